//! Bodies, by length, in chunks or up to the close, with a limit (RFC 9112 sections 6 and 7). No I/O.
use crate::head::Framing;

/// Bytes of one chunk's size line at most; also of all trailer fields.
const MAX_LINE: usize = 1024;
/// Bytes set aside for a body on its length's word alone.
const TRUST: usize = 64 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    TooLarge,
    Malformed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer(usize),
    UntilClose,
    Done,
}

/// Takes a body's bytes as they come.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    limit: usize,
    /// What came so far, or since it was last taken away.
    pub bytes: Vec<u8>,
}

impl BodyReader {
    /// `Err` where the told length is over the limit already.
    pub fn new(framing: Framing, limit: usize) -> Result<BodyReader, BodyError> {
        let (state, expected) = match framing {
            Framing::None | Framing::Length(0) => (State::Done, 0),
            Framing::Length(length) if length > limit as u64 => return Err(BodyError::TooLarge),
            Framing::Length(length) => (State::Length(length), (length as usize).min(TRUST)),
            Framing::Chunked => (State::Size, 0),
            Framing::UntilClose => (State::UntilClose, 0),
        };
        Ok(BodyReader {
            state,
            limit,
            bytes: Vec::with_capacity(expected),
        })
    }

    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body is whole if the connection is closed now.
    pub fn whole_at_close(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    fn take(&mut self, input: &[u8]) -> Result<(), BodyError> {
        if self.bytes.len() + input.len() > self.limit {
            return Err(BodyError::TooLarge);
        }
        self.bytes.extend_from_slice(input);
        Ok(())
    }

    /// Takes what belongs to the body and says how many bytes that was.
    pub fn feed(&mut self, input: &[u8]) -> Result<usize, BodyError> {
        let mut at = 0;
        loop {
            let rest = &input[at..];
            match self.state {
                State::Done => return Ok(at),
                _ if rest.is_empty() => return Ok(at),
                State::UntilClose => {
                    self.take(rest)?;
                    return Ok(input.len());
                }
                State::Length(left) | State::Chunk(left) => {
                    let now = left.min(rest.len() as u64);
                    self.take(&rest[..now as usize])?;
                    at += now as usize;
                    let left = left - now;
                    self.state = match self.state {
                        State::Length(_) if left == 0 => State::Done,
                        State::Length(_) => State::Length(left),
                        _ if left == 0 => State::ChunkEnd,
                        _ => State::Chunk(left),
                    };
                }
                State::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        at += used;
                        self.state = if size == 0 {
                            State::Trailer(0)
                        } else {
                            State::Chunk(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if rest.len() <= MAX_LINE => return Ok(at),
                    Ok(httparse::Status::Partial) | Err(_) => return Err(BodyError::Malformed),
                },
                State::ChunkEnd => {
                    if !rest.starts_with(b"\r\n") {
                        return if rest == b"\r" {
                            Ok(at)
                        } else {
                            Err(BodyError::Malformed)
                        };
                    }
                    at += 2;
                    self.state = State::Size;
                }
                State::Trailer(seen) => {
                    let Some(end) = rest.iter().position(|&b| b == b'\n') else {
                        return if seen + rest.len() <= MAX_LINE {
                            Ok(at)
                        } else {
                            Err(BodyError::Malformed)
                        };
                    };
                    at += end + 1;
                    let empty = rest[..end].trim_ascii().is_empty();
                    if !empty && seen + end > MAX_LINE {
                        return Err(BodyError::Malformed);
                    }
                    self.state = if empty {
                        State::Done
                    } else {
                        State::Trailer(seen + end)
                    };
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(input: &[u8], cut: usize) -> Result<(Vec<u8>, usize), BodyError> {
        let mut reader = BodyReader::new(Framing::Chunked, 100)?;
        let (mut held, mut used) = (Vec::new(), 0);
        for part in input.chunks(cut.max(1)) {
            held.extend_from_slice(part);
            let taken = reader.feed(&held)?;
            held.drain(..taken);
            used += taken;
        }
        assert!(reader.done());
        Ok((reader.bytes, used))
    }

    proptest::proptest! {
        #[test]
        fn chunks_are_read_alike_however_they_are_cut(cut in 1usize..30) {
            let input = b"5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\nx-t: 1\r\n\r\nnext";
            let (bytes, used) = read(input, cut).unwrap();
            proptest::prop_assert_eq!(&bytes[..], b"hello, world");
            proptest::prop_assert_eq!(used, input.len() - 4);
        }

        #[test]
        fn any_bytes_end_or_fail(bytes: Vec<u8>) {
            let mut reader = BodyReader::new(Framing::Chunked, 64).unwrap();
            if let Ok(used) = reader.feed(&bytes) {
                proptest::prop_assert!(used <= bytes.len() && reader.bytes.len() <= 64);
            }
        }
    }

    #[test]
    fn limits_hold() {
        assert_eq!(
            BodyReader::new(Framing::Length(101), 100).unwrap_err(),
            BodyError::TooLarge
        );
        let mut reader = BodyReader::new(Framing::Chunked, 4).unwrap();
        assert_eq!(reader.feed(b"5\r\nhello\r\n").unwrap_err(), BodyError::TooLarge);
        let mut reader = BodyReader::new(Framing::Chunked, 4).unwrap();
        let line = [b'0'; MAX_LINE + 2];
        assert_eq!(reader.feed(&line).unwrap_err(), BodyError::Malformed);
    }
}
