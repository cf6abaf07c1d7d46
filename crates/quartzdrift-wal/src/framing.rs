//! Record framing: a segment is a header, then frames of one batch each.
//!
//! ```text
//! "QDDEFER\0" | version: u32 | checksum of these: u32 | (length: u32 | checksum: u32 | records)*
//! ```
//!
//! Numbers are little-endian, checksums CRC-32 (ISO-HDLC), records in postcard's published wire format.
use crate::LogRecord;

/// Version of the format that this release writes, and the only one that it reads.
pub(crate) const VERSION: u32 = 1;
/// Bytes of a segment's header.
pub(crate) const HEADER_LENGTH: usize = 16;

const MAGIC: &[u8; 8] = b"QDDEFER\0";
/// Offset of the format version within the header.
const VERSION_OFFSET: usize = 8;
/// Offset of the checksum within the header; it covers what precedes it.
const CHECKSUM_OFFSET: usize = 12;
/// Bytes of length and checksum before a frame's body.
const FRAME_PREFIX: usize = 8;
/// Maximum bytes of a frame's body: a greater length means damage.
const MAX_FRAME: usize = 64 << 20;

/// The header of a new segment.
pub(crate) fn header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// What stands where a segment's header should be.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Header {
    Valid,
    /// Cut short, as a crash leaves it.
    Incomplete,
    /// Not a segment, or a damaged header.
    Foreign,
    /// A segment of another format version.
    Version(u32),
}

/// Reads the header at the start of a segment.
pub(crate) fn read_header(bytes: &[u8]) -> Header {
    if bytes.len() < HEADER_LENGTH {
        return read_short_header(bytes);
    }
    let checksum = crc32fast::hash(&bytes[..CHECKSUM_OFFSET]);
    if !bytes.starts_with(MAGIC) || read_u32(bytes, CHECKSUM_OFFSET) != Some(checksum) {
        return Header::Foreign;
    }
    match read_u32(bytes, VERSION_OFFSET) {
        Some(VERSION) => Header::Valid,
        other => Header::Version(other.unwrap_or(0)),
    }
}

/// Tells a header that a crash cut short from a short file of another kind.
fn read_short_header(bytes: &[u8]) -> Header {
    let zeros = bytes.iter().all(|byte| *byte == 0);
    let magic_prefix = MAGIC.starts_with(&bytes[..bytes.len().min(MAGIC.len())]);
    if magic_prefix || zeros {
        Header::Incomplete
    } else {
        Header::Foreign
    }
}

/// Encodes a batch as one frame; `None` where the batch is longer than a frame may be.
pub(crate) fn encode_frame(records: &[LogRecord]) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(records)
        .ok()
        .filter(|body| body.len() <= MAX_FRAME)?;
    let mut bytes = Vec::with_capacity(body.len() + FRAME_PREFIX);
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// Decodes the frame at `offset`; returns its records and the offset of the next frame, or `None` where the frame is
/// incomplete or damaged.
pub(crate) fn decode_frame(bytes: &[u8], offset: usize) -> Option<(Vec<LogRecord>, usize)> {
    let length = read_u32(bytes, offset)? as usize;
    let checksum = read_u32(bytes, offset + 4)?;
    // A file system may leave zeros after a crash; an empty batch is never written.
    if length == 0 || length > MAX_FRAME {
        return None;
    }
    let start = offset + FRAME_PREFIX;
    let end = start + length;
    let body = bytes.get(start..end)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, end))
}

/// Whether a valid frame follows the invalid one at `offset`: then the latter is damaged, and not a write that a crash cut
/// short.
pub(crate) fn valid_frame_follows(bytes: &[u8], offset: usize) -> bool {
    let Some(length) = read_u32(bytes, offset) else {
        return false;
    };
    let next = offset
        .saturating_add(FRAME_PREFIX)
        .saturating_add(length as usize);
    length > 0 && next < bytes.len() && decode_frame(bytes, next).is_some()
}
