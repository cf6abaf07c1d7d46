//! Forecasts as bytes that outlast the process: a header, then JSON.
//!
//! ```text
//! "QDFORECA" | version: u32 | checksum of the JSON: u32 | [time of the snapshot, histories by function]
//! ```
//!
//! Numbers are little-endian, the checksum is CRC-32 (ISO-HDLC).
use crate::forecasts::{ForecastSettings, Forecasts, Track};
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

const MAGIC: &[u8; 8] = b"QDFORECA";
const VERSION: u32 = 1;
/// Offset of the format version.
const VERSION_OFFSET: usize = 8;
/// Offset of the checksum.
const CHECKSUM_OFFSET: usize = 12;
/// Bytes of the header.
const HEADER_LENGTH: usize = 16;
/// Age beyond which a snapshot says nothing of today.
const MAX_AGE: Duration = Duration::from_secs(14 * 86_400);
/// How far in the future a snapshot may lie, as the clock may have been set back.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Why a snapshot is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not a snapshot.
    #[error("it is no snapshot of forecasts")]
    NotASnapshot,
    /// A release with this other format version wrote it.
    #[error("it is of version {0}, and {VERSION} is read here")]
    UnsupportedVersion(u32),
    /// The content is damaged.
    #[error("its checksum does not fit")]
    Corrupt,
    /// It is older than fourteen days.
    #[error("it is too old to say anything of today")]
    TooOld,
    /// It is more than five minutes newer than now.
    #[error("it was written later than now")]
    FromTheFuture,
}

impl Forecasts {
    /// The histories as bytes for [`Forecasts::restore`].
    pub fn save(&self, now: Duration) -> Vec<u8> {
        let body = serde_json::to_vec(&(now, &self.tracks)).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_LENGTH + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Forecasts from a snapshot. Histories beyond the bound of the settings are dropped.
    ///
    /// # Errors
    /// The reason for which the snapshot cannot be used.
    pub fn restore(
        settings: ForecastSettings,
        bytes: &[u8],
        now: Duration,
    ) -> Result<Forecasts, SnapshotError> {
        let body = checked_body(bytes)?;
        let (written_at, tracks): (Duration, BTreeMap<String, Track>) =
            serde_json::from_slice(body).map_err(|_| SnapshotError::Corrupt)?;
        if written_at > now + MAX_CLOCK_SKEW {
            return Err(SnapshotError::FromTheFuture);
        }
        if written_at + MAX_AGE < now {
            return Err(SnapshotError::TooOld);
        }
        let mut forecasts = Forecasts::new(settings);
        let functions: Vec<String> = tracks.keys().cloned().collect();
        forecasts.tracks = tracks;
        for function in &functions {
            forecasts.list(function);
        }
        Ok(forecasts)
    }
}

/// The body of a snapshot whose header and checksum are right.
fn checked_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    let (header, body) = bytes
        .split_at_checked(HEADER_LENGTH)
        .ok_or(SnapshotError::NotASnapshot)?;
    if !header.starts_with(MAGIC) {
        return Err(SnapshotError::NotASnapshot);
    }
    let version = read_u32(header, VERSION_OFFSET);
    if version != VERSION {
        return Err(SnapshotError::UnsupportedVersion(version));
    }
    if crc32fast::hash(body) != read_u32(header, CHECKSUM_OFFSET) {
        return Err(SnapshotError::Corrupt);
    }
    Ok(body)
}

/// The number at an offset, which has to lie within the bytes.
fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([
        bytes[offset],
        bytes[offset + 1],
        bytes[offset + 2],
        bytes[offset + 3],
    ])
}
