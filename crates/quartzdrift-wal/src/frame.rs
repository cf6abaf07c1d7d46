//! A segment: a head, then frames of one batch each.
//!
//! ```text
//! "QDDEFER\0" | version: u32 | checksum of these: u32 | (length: u32 | checksum: u32 | changes)*
//! ```
//!
//! Numbers are little-endian, checksums CRC-32 (ISO-HDLC), changes in postcard's published format.
use crate::Change;

pub const NAME: &[u8; 8] = b"QDDEFER\0";
pub const VERSION: u32 = 1;
pub const HEAD: usize = 16;
/// Bytes of a frame at most: a length beyond it is damage.
pub const MAX_FRAME: usize = 64 << 20;

pub fn head() -> Vec<u8> {
    let mut bytes = NAME.to_vec();
    bytes.extend(VERSION.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn number(bytes: &[u8], at: usize) -> Option<u32> {
    let of = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes([of[0], of[1], of[2], of[3]]))
}

#[derive(Debug, PartialEq, Eq)]
pub enum Head {
    Good,
    /// Cut short, as a crash leaves it.
    Short,
    Foreign,
    Version(u32),
}

pub fn read_head(bytes: &[u8]) -> Head {
    if bytes.len() < HEAD {
        let zeros = bytes.iter().all(|byte| *byte == 0);
        return if NAME.starts_with(&bytes[..bytes.len().min(NAME.len())]) || zeros {
            Head::Short
        } else {
            Head::Foreign
        };
    }
    if &bytes[..NAME.len()] != NAME || number(bytes, 12) != Some(crc32fast::hash(&bytes[..12])) {
        return Head::Foreign;
    }
    match number(bytes, 8) {
        Some(VERSION) => Head::Good,
        other => Head::Version(other.unwrap_or(0)),
    }
}

/// `None`: a batch that is too long.
pub fn write(changes: &[Change]) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(changes)
        .ok()
        .filter(|body| body.len() <= MAX_FRAME)?;
    let mut bytes = Vec::with_capacity(body.len() + 8);
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    Some(bytes)
}

/// The frame at a place, and where the next one begins; `None` where it is cut short or damaged.
pub fn read(bytes: &[u8], at: usize) -> Option<(Vec<Change>, usize)> {
    let length = number(bytes, at)? as usize;
    let sum = number(bytes, at + 4)?;
    // Zeros, which a file system may leave after a crash, are no frame.
    if length == 0 || length > MAX_FRAME {
        return None;
    }
    let body = bytes.get(at + 8..at + 8 + length)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, at + 8 + length))
}

/// Whether a good frame follows a bad one: then it is damage, and no write that a crash cut short.
pub fn goes_on(bytes: &[u8], at: usize) -> bool {
    let Some(length) = number(bytes, at) else {
        return false;
    };
    let next = at.saturating_add(8).saturating_add(length as usize);
    length > 0 && next < bytes.len() && read(bytes, next).is_some()
}
