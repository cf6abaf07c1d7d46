//! Frames between schedulers and workers: sixteen bytes of head, fields, body, check.
//!
//! `mark:1 code:1 fields:2 body:4 id:8`, numbers big-endian; the check is the CRC-32 (IEEE) of fields and body.

/// First byte of a frame from a scheduler.
pub const FROM_SCHEDULER: u8 = 192;
/// First byte of a frame from a worker.
pub const FROM_WORKER: u8 = 193;

/// Bytes of a frame's head.
pub const HEADER_BYTES: usize = 16;
/// Bytes of a frame's checksum.
pub const CHECKSUM_BYTES: usize = 4;
/// Largest fields of an answer, in bytes; a frame that claims more is refused from its head.
pub const MAX_FIELDS_BYTES: usize = 4 << 10;
/// Largest body of an answer, in bytes; a frame that claims more is refused from its head.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Code of a command: run a request.
pub const EXECUTE: u8 = 48;
/// Code of a command: nobody waits for a request any more.
pub const CANCEL: u8 = 49;
/// Code of a command: answer if this connection works.
pub const PING: u8 = 50;

/// What a worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCode {
    /// The request ran; the body is its answer.
    Succeeded,
    /// The function is not loaded and was not loaded for the request.
    CacheMiss,
    /// The worker is at capacity; nothing ran.
    AtCapacity,
    /// The request failed and may have run.
    Error,
    /// The request was concluded already; nothing ran.
    AlreadyConcluded,
    /// The connection works.
    Alive,
}

impl AnswerCode {
    fn read(code: u8) -> Option<AnswerCode> {
        Some(match code {
            64 => AnswerCode::Succeeded,
            66 => AnswerCode::CacheMiss,
            67 => AnswerCode::AtCapacity,
            68 => AnswerCode::Error,
            69 => AnswerCode::AlreadyConcluded,
            70 => AnswerCode::Alive,
            _ => return None,
        })
    }
}

/// A worker's answer, in the bytes that it came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer<'a> {
    /// What the worker says.
    pub code: AnswerCode,
    /// Id of the request that it is about.
    pub request_id: u64,
    /// `name=value` pairs separated by commas.
    pub fields: &'a [u8],
    /// The answer itself.
    pub body: &'a [u8],
    /// Bytes of the whole frame.
    pub frame_bytes: usize,
}

/// Bytes that are no answer: where the next one begins is not known, so the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The first byte is not that of a worker's frame.
    Magic(u8),
    /// The code is unknown.
    Code(u8),
    /// Longer than any answer may be.
    Length(u64),
    /// The checksum does not fit.
    Check,
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// Reads the first answer in `bytes`; `None` while it is not complete.
///
/// # Errors
/// The bytes are no answer; what the head already shows to be wrong is refused at once.
pub fn read(bytes: &[u8]) -> Result<Option<Answer<'_>>, FrameError> {
    let Some(&magic) = bytes.first() else {
        return Ok(None);
    };
    if magic != FROM_WORKER {
        return Err(FrameError::Magic(magic));
    }
    let Some(&code) = bytes.get(1) else {
        return Ok(None);
    };
    let code = AnswerCode::read(code).ok_or(FrameError::Code(code))?;
    let (Some(fields), Some(body), Some(request_id)) = (number(bytes, 2), number(bytes, 4), number(bytes, 8))
    else {
        return Ok(None);
    };
    let (fields, body) = (
        usize::from(u16::from_be_bytes(fields)),
        u32::from_be_bytes(body) as usize,
    );
    if fields > MAX_FIELDS_BYTES || body > MAX_BODY_BYTES {
        return Err(FrameError::Length((fields + body) as u64));
    }
    let (mid, end) = (HEADER_BYTES + fields, HEADER_BYTES + fields + body);
    let Some(check) = number(bytes, end) else {
        return Ok(None);
    };
    if crc32fast::hash(&bytes[HEADER_BYTES..end]) != u32::from_be_bytes(check) {
        return Err(FrameError::Check);
    }
    Ok(Some(Answer {
        code,
        request_id: u64::from_be_bytes(request_id),
        fields: &bytes[HEADER_BYTES..mid],
        body: &bytes[mid..end],
        frame_bytes: end + CHECKSUM_BYTES,
    }))
}

/// Writes a frame. The caller's fields and body are within the bounds that it checked at its own door.
pub fn write(out: &mut Vec<u8>, magic: u8, code: u8, id: u64, fields: &[u8], body: &[u8]) {
    out.reserve(HEADER_BYTES + fields.len() + body.len() + CHECKSUM_BYTES);
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
mod tests;
