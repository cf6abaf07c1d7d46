//! Binary format of a segment: a header, then one frame for each batch of records.
//!
//! ```text
//! "QDDEFER\0" | version: u32 | checksum of both: u32 | (length: u32 | checksum: u32 | records)*
//! ```
//!
//! Numbers are little-endian. Checksums are CRC-32 (ISO-HDLC). Records are encoded in the wire format of
//! postcard.
use crate::LogRecord;

/// Format version that this release writes, and the only one that it reads.
pub(crate) const FORMAT_VERSION: u32 = 1;
/// Bytes of a segment's header.
pub(crate) const HEADER_LENGTH: usize = 16;
/// Maximum bytes of a frame's body. A length field above it is treated as damage.
pub(crate) const MAX_FRAME_BODY_BYTES: usize = 64 << 20;

const MAGIC: &[u8; 8] = b"QDDEFER\0";
/// Offset of the format version within the header.
const VERSION_OFFSET: usize = 8;
/// Offset of the checksum within the header. The checksum covers all bytes before it.
const CHECKSUM_OFFSET: usize = 12;
/// Bytes of the length and the checksum in front of a frame's body.
const FRAME_PREFIX_LENGTH: usize = 8;

/// Encodes the header of a new segment.
pub(crate) fn encode_header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// Result of reading the header of a segment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum HeaderStatus {
    Valid,
    /// The header is truncated, as after a crash while it was written.
    Incomplete,
    /// The file is not a segment, or its header is damaged.
    NotASegment,
    /// The segment has another format version.
    UnsupportedVersion(u32),
}

/// Reads the header at the start of a segment.
pub(crate) fn read_header(bytes: &[u8]) -> HeaderStatus {
    if bytes.len() < HEADER_LENGTH {
        return read_short_header(bytes);
    }
    let checksum = crc32fast::hash(&bytes[..CHECKSUM_OFFSET]);
    if !bytes.starts_with(MAGIC) || read_u32(bytes, CHECKSUM_OFFSET) != Some(checksum) {
        return HeaderStatus::NotASegment;
    }
    match read_u32(bytes, VERSION_OFFSET) {
        Some(FORMAT_VERSION) => HeaderStatus::Valid,
        other => HeaderStatus::UnsupportedVersion(other.unwrap_or(0)),
    }
}

/// Distinguishes a header that a crash truncated from a short file of another kind.
fn read_short_header(bytes: &[u8]) -> HeaderStatus {
    let is_zeroed = bytes.iter().all(|byte| *byte == 0);
    let has_magic_prefix = MAGIC.starts_with(&bytes[..bytes.len().min(MAGIC.len())]);
    if has_magic_prefix || is_zeroed {
        HeaderStatus::Incomplete
    } else {
        HeaderStatus::NotASegment
    }
}

/// Encodes a batch as one frame; `None` if the batch exceeds [`MAX_FRAME_BODY_BYTES`].
pub(crate) fn encode_frame(records: &[LogRecord]) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(records)
        .ok()
        .filter(|body| body.len() <= MAX_FRAME_BODY_BYTES)?;
    let mut bytes = Vec::with_capacity(body.len() + FRAME_PREFIX_LENGTH);
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// Decodes the frame at `offset` and returns its records and the offset of the next frame; `None` if the
/// frame is incomplete or damaged.
pub(crate) fn decode_frame(bytes: &[u8], offset: usize) -> Option<(Vec<LogRecord>, usize)> {
    let length = read_u32(bytes, offset)? as usize;
    let checksum = read_u32(bytes, offset + 4)?;
    // After a crash the file system may leave zeros, which would pass for an empty frame with a valid
    // checksum. Empty batches are never written, so a length of zero is invalid.
    if length == 0 || length > MAX_FRAME_BODY_BYTES {
        return None;
    }
    let start = offset + FRAME_PREFIX_LENGTH;
    let end = start + length;
    let body = bytes.get(start..end)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, end))
}

/// Returns whether a valid frame follows the invalid frame at `offset`. If so, the invalid frame was damaged
/// later; otherwise it may be a write that a crash interrupted.
pub(crate) fn valid_frame_follows(bytes: &[u8], offset: usize) -> bool {
    let Some(length) = read_u32(bytes, offset) else {
        return false;
    };
    let next = offset
        .saturating_add(FRAME_PREFIX_LENGTH)
        .saturating_add(length as usize);
    length > 0 && next < bytes.len() && decode_frame(bytes, next).is_some()
}
