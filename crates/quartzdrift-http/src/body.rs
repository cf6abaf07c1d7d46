//! Incremental parsing of message bodies with a size limit, without I/O (RFC 9112 sections 6 and 7).
use crate::head::Framing;

#[cfg(test)]
mod tests;

/// Maximum bytes of one chunk-size line, and of all trailer fields together.
const MAX_LINE: usize = 1024;
/// Maximum bytes allocated in advance for a `content-length`, which the peer may not actually send.
const MAX_PREALLOCATED: usize = 64 << 10;

/// Reason for rejecting a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the reader's limit.
    TooLarge,
    /// The chunk framing is invalid.
    Malformed,
}

/// The element of the body that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Remaining bytes of a body of known length.
    Length(u64),
    /// The size line of a chunk.
    ChunkSize,
    /// Remaining bytes of a chunk.
    Chunk(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// Trailer fields; holds the bytes of them received so far.
    Trailer(usize),
    /// Bytes up to the end of the connection.
    UntilClose,
    /// Nothing: the body is complete.
    Complete,
}

/// Result of parsing one element.
enum Step {
    /// This many bytes were consumed; the next element may follow.
    Consumed(usize),
    /// Nothing was consumed: the next element is not complete.
    Incomplete,
}

/// Parses a body incrementally as its bytes arrive.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    limit: usize,
    /// Decoded bytes of the body; the owner may take them at any time.
    pub bytes: Vec<u8>,
}

impl BodyReader {
    /// Creates a reader for a body with this framing that holds at most `limit` decoded bytes at a time.
    ///
    /// # Errors
    /// Returns [`BodyError::TooLarge`] if the stated length exceeds the limit.
    pub fn new(framing: Framing, limit: usize) -> Result<BodyReader, BodyError> {
        let state = match framing {
            Framing::None | Framing::Length(0) => State::Complete,
            Framing::Length(length) if length > limit as u64 => return Err(BodyError::TooLarge),
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        let preallocated = match state {
            State::Length(length) => (length as usize).min(MAX_PREALLOCATED),
            _ => 0,
        };
        Ok(BodyReader {
            state,
            limit,
            bytes: Vec::with_capacity(preallocated),
        })
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Whether the body is complete if the connection closes now.
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.state, State::Complete | State::UntilClose)
    }

    /// Parses input up to the end of the body. Returns the number of bytes consumed; the caller passes the
    /// remaining bytes again.
    ///
    /// # Errors
    /// Returns [`BodyError`] if the body exceeds the limit or its chunk framing is invalid.
    pub fn feed(&mut self, input: &[u8]) -> Result<usize, BodyError> {
        let mut consumed = 0;
        while consumed < input.len() && !self.is_complete() {
            match self.step(&input[consumed..])? {
                Step::Consumed(bytes) => consumed += bytes,
                Step::Incomplete => break,
            }
        }
        Ok(consumed)
    }

    /// Parses the next element of the input, which must not be empty.
    fn step(&mut self, input: &[u8]) -> Result<Step, BodyError> {
        match self.state {
            State::Complete => Ok(Step::Incomplete),
            State::UntilClose => {
                self.append(input)?;
                Ok(Step::Consumed(input.len()))
            }
            State::Length(left) => {
                let (appended, left) = self.append_up_to(left, input)?;
                self.state = match left {
                    0 => State::Complete,
                    left => State::Length(left),
                };
                Ok(Step::Consumed(appended))
            }
            State::Chunk(left) => {
                let (appended, left) = self.append_up_to(left, input)?;
                self.state = match left {
                    0 => State::ChunkEnd,
                    left => State::Chunk(left),
                };
                Ok(Step::Consumed(appended))
            }
            State::ChunkSize => self.read_chunk_size(input),
            State::ChunkEnd => self.read_chunk_end(input),
            State::Trailer(received) => self.read_trailer(received, input),
        }
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), BodyError> {
        if self.bytes.len() + bytes.len() > self.limit {
            return Err(BodyError::TooLarge);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Appends at most `left` bytes of `input`. Returns the number appended and the number still left.
    fn append_up_to(&mut self, left: u64, input: &[u8]) -> Result<(usize, u64), BodyError> {
        let length = left.min(input.len() as u64);
        self.append(&input[..length as usize])?;
        Ok((length as usize, left - length))
    }

    fn read_chunk_size(&mut self, input: &[u8]) -> Result<Step, BodyError> {
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((consumed, size))) => {
                self.state = match size {
                    0 => State::Trailer(0),
                    size => State::Chunk(size),
                };
                Ok(Step::Consumed(consumed))
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_LINE => Ok(Step::Incomplete),
            Ok(httparse::Status::Partial) | Err(_) => Err(BodyError::Malformed),
        }
    }

    fn read_chunk_end(&mut self, input: &[u8]) -> Result<Step, BodyError> {
        const LINE_END: &[u8] = b"\r\n";
        if input.starts_with(LINE_END) {
            self.state = State::ChunkSize;
            Ok(Step::Consumed(LINE_END.len()))
        } else if input == b"\r" {
            Ok(Step::Incomplete)
        } else {
            Err(BodyError::Malformed)
        }
    }

    /// Skips one trailer field; an empty line ends the body.
    fn read_trailer(&mut self, received: usize, input: &[u8]) -> Result<Step, BodyError> {
        let Some(line_length) = input.iter().position(|&byte| byte == b'\n') else {
            return if received + input.len() <= MAX_LINE {
                Ok(Step::Incomplete)
            } else {
                Err(BodyError::Malformed)
            };
        };
        let is_empty = input[..line_length].trim_ascii().is_empty();
        if !is_empty && received + line_length > MAX_LINE {
            return Err(BodyError::Malformed);
        }
        self.state = if is_empty {
            State::Complete
        } else {
            State::Trailer(received + line_length)
        };
        Ok(Step::Consumed(line_length + 1))
    }
}
