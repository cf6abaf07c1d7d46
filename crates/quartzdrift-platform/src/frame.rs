//! Frames between schedulers and workers: sixteen bytes of head, fields, body, check.
//!
//! `mark:1 code:1 fields:2 body:4 id:8`, numbers big-endian; the check is the CRC-32 (IEEE) of fields and body.

/// First byte of a frame from a scheduler, and from a worker.
pub const FROM_SCHEDULER: u8 = 192;
pub const FROM_WORKER: u8 = 193;

/// Bytes of a frame's head and of its check.
pub const HEAD: usize = 16;
pub const CHECK: usize = 4;
/// Bytes of an answer's fields and of its body; a frame that claims more is refused from its head.
pub const MAX_FIELDS: usize = 4 << 10;
pub const MAX_BODY: usize = 64 << 10;

pub const EXECUTE: u8 = 48;
pub const GIVE_UP: u8 = 49;
pub const ASK_ALIVE: u8 = 50;

/// What a worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Done,
    Miss,
    Full,
    Error,
    /// The request was over already.
    Over,
    Alive,
}

impl Code {
    fn read(code: u8) -> Option<Code> {
        Some(match code {
            64 => Code::Done,
            66 => Code::Miss,
            67 => Code::Full,
            68 => Code::Error,
            69 => Code::Over,
            70 => Code::Alive,
            _ => return None,
        })
    }
}

/// A worker's answer, in the bytes that it came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer<'a> {
    pub code: Code,
    pub id: u64,
    pub fields: &'a [u8],
    pub body: &'a [u8],
    /// Bytes of the whole frame.
    pub length: usize,
}

/// Bytes that are no answer: where the next one begins is not known, so the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    Magic(u8),
    Code(u8),
    /// Longer than any answer may be.
    Length(u64),
    Check,
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// Reads the first answer in `bytes`; `None` while it is not all there. What its head already shows to be wrong
/// is refused at once.
pub fn read(bytes: &[u8]) -> Result<Option<Answer<'_>>, Unreadable> {
    let Some(&magic) = bytes.first() else {
        return Ok(None);
    };
    if magic != FROM_WORKER {
        return Err(Unreadable::Magic(magic));
    }
    let Some(&code) = bytes.get(1) else {
        return Ok(None);
    };
    let code = Code::read(code).ok_or(Unreadable::Code(code))?;
    let (Some(fields), Some(body), Some(id)) = (number(bytes, 2), number(bytes, 4), number(bytes, 8)) else {
        return Ok(None);
    };
    let (fields, body) = (
        usize::from(u16::from_be_bytes(fields)),
        u32::from_be_bytes(body) as usize,
    );
    if fields > MAX_FIELDS || body > MAX_BODY {
        return Err(Unreadable::Length((fields + body) as u64));
    }
    let (mid, end) = (HEAD + fields, HEAD + fields + body);
    let Some(check) = number(bytes, end) else {
        return Ok(None);
    };
    if crc32fast::hash(&bytes[HEAD..end]) != u32::from_be_bytes(check) {
        return Err(Unreadable::Check);
    }
    let id = u64::from_be_bytes(id);
    Ok(Some(Answer {
        code,
        id,
        fields: &bytes[HEAD..mid],
        body: &bytes[mid..end],
        length: end + CHECK,
    }))
}

/// Writes a frame. The caller's fields and body are within the bounds that it checked at its own door.
pub fn write(out: &mut Vec<u8>, magic: u8, code: u8, id: u64, fields: &[u8], body: &[u8]) {
    out.reserve(HEAD + fields.len() + body.len() + CHECK);
    out.extend_from_slice(&[magic, code]);
    out.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&id.to_be_bytes());
    let from = out.len();
    out.extend_from_slice(fields);
    out.extend_from_slice(body);
    let check = crc32fast::hash(&out[from..]);
    out.extend_from_slice(&check.to_be_bytes());
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn frame(code: u8, fields: &[u8], body: &[u8]) -> Vec<u8> {
        let mut out = Vec::new();
        write(&mut out, FROM_WORKER, code, 0x0102_0304_0506_0708, fields, body);
        out
    }

    #[test]
    fn a_frame_is_laid_out_as_published() {
        let bytes = frame(64, b"a=b", b"xyz");
        assert_eq!(
            &bytes[..HEAD],
            &[193, 64, 0, 3, 0, 0, 0, 3, 1, 2, 3, 4, 5, 6, 7, 8]
        );
        // The check value that the CRC-32's definition gives for these nine digits.
        assert_eq!(
            frame(64, b"123456789", b"")[HEAD + 9..],
            0xcbf4_3926_u32.to_be_bytes()
        );
    }

    #[test]
    fn what_is_wrong_is_refused_from_the_first_byte_that_shows_it() {
        assert_eq!(read(&[192]), Err(Unreadable::Magic(192)));
        assert_eq!(read(&[193, 65]), Err(Unreadable::Code(65)));
        let three_gigabytes = [193, 64, 0, 0, 0xb2, 0xd0, 0x5e, 0, 0, 0, 0, 0, 0, 0, 0, 1];
        assert_eq!(read(&three_gigabytes), Err(Unreadable::Length(3_000_000_000)));
        let mut spoilt = frame(64, b"", b"good");
        spoilt[HEAD + 1] ^= 1;
        assert_eq!(read(&spoilt), Err(Unreadable::Check));
    }

    proptest! {
        #[test]
        fn an_answer_is_read_whole_and_only_whole(
            fields in proptest::collection::vec(any::<u8>(), 0..100),
            body in proptest::collection::vec(any::<u8>(), 0..1000),
            cut in any::<proptest::sample::Index>(),
        ) {
            let bytes = frame(67, &fields, &body);
            prop_assert_eq!(read(&bytes[..cut.index(bytes.len())]), Ok(None));
            let answer = read(&bytes).unwrap().unwrap();
            prop_assert_eq!((answer.code, answer.fields, answer.body), (Code::Full, &fields[..], &body[..]));
            prop_assert_eq!(answer.length, bytes.len());
        }

        #[test]
        fn noise_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
            let _ = read(&bytes);
        }
    }
}
