//! Encodes and decodes frames between schedulers and workers: a header of 16 bytes, fields, body, checksum.
//!
//! The header is `magic:1 code:1 fields:2 body:4 id:8`, with lengths in bytes and big-endian numbers. The
//! checksum is the CRC-32 (IEEE) of fields and body.

/// First byte of a frame from a scheduler.
pub const FROM_SCHEDULER: u8 = 192;
/// First byte of a frame from a worker.
pub const FROM_WORKER: u8 = 193;

/// Length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 16;
/// Length of a frame's checksum, in bytes.
pub const CHECKSUM_BYTES: usize = 4;
/// Maximum length of the fields of an answer, in bytes. A frame whose header states more is rejected without
/// waiting for the rest.
pub const MAX_FIELDS_BYTES: usize = 4 << 10;
/// Maximum length of the body of an answer, in bytes. A frame whose header states more is rejected without
/// waiting for the rest.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Code of the command to execute a request.
pub const EXECUTE: u8 = 48;
/// Code of the command to cancel a request, for which no client waits any more.
pub const CANCEL: u8 = 49;
/// Code of the command to answer with [`AnswerCode::Alive`], which shows that the connection works.
pub const PING: u8 = 50;

/// Result that a worker's answer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCode {
    /// The request was executed; the body is its response.
    Succeeded,
    /// The worker has not loaded the function and did not load it for the request, which was not executed.
    CacheMiss,
    /// The worker is at capacity; the request was not executed.
    AtCapacity,
    /// The request failed and may have been executed.
    Error,
    /// The request was concluded before; this attempt executed nothing.
    AlreadyConcluded,
    /// Answer to a [`PING`]: the connection works.
    Alive,
}

impl AnswerCode {
    fn from_byte(code: u8) -> Option<AnswerCode> {
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

/// A worker's answer, borrowed from the received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer<'a> {
    /// Result that the worker reports.
    pub code: AnswerCode,
    /// Id of the request that the answer is for.
    pub request_id: u64,
    /// `name=value` pairs separated by commas.
    pub fields: &'a [u8],
    /// Body of the response for the client.
    pub body: &'a [u8],
    /// Length of the whole frame, in bytes.
    pub frame_bytes: usize,
}

/// Why received bytes are not an answer. The start of the next frame is unknown then, so the connection
/// cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame starts with this byte instead of [`FROM_WORKER`].
    Magic(u8),
    /// The frame has this code, which the protocol does not define.
    Code(u8),
    /// The header states longer fields or a longer body than allowed; the value is the sum of both lengths,
    /// in bytes.
    Length(u64),
    /// The checksum does not match the fields and the body.
    Check,
}

/// The `N` bytes at `offset`; `None` if they have not all been received.
fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    bytes.get(offset..offset + N)?.try_into().ok()
}

/// Reads the first answer in `bytes`; `None` while it is incomplete.
///
/// # Errors
/// The bytes are not an answer. A wrong header is rejected as soon as the wrong value has been received.
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
    let code = AnswerCode::from_byte(code).ok_or(FrameError::Code(code))?;
    let (Some(fields_length), Some(body_length), Some(request_id)) =
        (bytes_at(bytes, 2), bytes_at(bytes, 4), bytes_at(bytes, 8))
    else {
        return Ok(None);
    };
    let fields_length = usize::from(u16::from_be_bytes(fields_length));
    let body_length = u32::from_be_bytes(body_length) as usize;
    if fields_length > MAX_FIELDS_BYTES || body_length > MAX_BODY_BYTES {
        return Err(FrameError::Length((fields_length + body_length) as u64));
    }
    let body_start = HEADER_BYTES + fields_length;
    let body_end = body_start + body_length;
    let Some(checksum) = bytes_at(bytes, body_end) else {
        return Ok(None);
    };
    if crc32fast::hash(&bytes[HEADER_BYTES..body_end]) != u32::from_be_bytes(checksum) {
        return Err(FrameError::Check);
    }
    Ok(Some(Answer {
        code,
        request_id: u64::from_be_bytes(request_id),
        fields: &bytes[HEADER_BYTES..body_start],
        body: &bytes[body_start..body_end],
        frame_bytes: body_end + CHECKSUM_BYTES,
    }))
}

/// Appends a frame to `out`.
///
/// The caller has checked the sizes: the header has 16 bits for the length of `fields` and 32 bits for that
/// of `body`.
pub fn write(out: &mut Vec<u8>, magic: u8, code: u8, request_id: u64, fields: &[u8], body: &[u8]) {
    out.reserve(HEADER_BYTES + fields.len() + body.len() + CHECKSUM_BYTES);
    out.extend_from_slice(&[magic, code]);
    out.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&request_id.to_be_bytes());
    let fields_start = out.len();
    out.extend_from_slice(fields);
    out.extend_from_slice(body);
    let checksum = crc32fast::hash(&out[fields_start..]);
    out.extend_from_slice(&checksum.to_be_bytes());
}

#[cfg(test)]
mod tests;
