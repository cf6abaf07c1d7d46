//! Snapshots of forecasts, which keep them over a restart: a header, then JSON.
//!
//! ```text
//! "QDFORECA" | version: u32 | checksum of the JSON: u32 | [time of the snapshot, records by function name]
//! ```
//!
//! Numbers are little-endian, the checksum is CRC-32 (ISO-HDLC).
use crate::forecasts::{ForecastSettings, Forecasts, FunctionRecord};
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Signature at the start of a snapshot.
const MAGIC: &[u8; 8] = b"QDFORECA";
/// Version of the snapshot format.
const VERSION: u32 = 1;
/// Offset of the format version in the header, in bytes.
const VERSION_OFFSET: usize = 8;
/// Offset of the checksum in the header, in bytes.
const CHECKSUM_OFFSET: usize = 12;
/// Length of the header, in bytes.
const HEADER_LENGTH: usize = 16;
/// Days after which a snapshot no longer predicts current uses.
const MAX_AGE_DAYS: u64 = 14;
/// Maximum age of a snapshot.
const MAX_AGE: Duration = Duration::from_secs(MAX_AGE_DAYS * 86_400);
/// Maximum time by which a snapshot may be newer than the current time, as after a clock was set back.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// The reason for which a snapshot cannot be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The header is incomplete, or does not start with the signature of a snapshot.
    #[error("not a forecast snapshot: no header of {HEADER_LENGTH} bytes with the signature QDFORECA")]
    NotASnapshot,
    /// Another release wrote the snapshot in this format version.
    #[error("snapshot format version {0} is not supported, only version {VERSION}")]
    UnsupportedVersion(u32),
    /// The checksum does not match, or the content cannot be parsed.
    #[error("the snapshot is damaged: its checksum or its JSON is invalid")]
    Corrupt,
    /// The snapshot is older than 14 days.
    #[error("the snapshot is older than {MAX_AGE_DAYS} days")]
    TooOld,
    /// The snapshot is newer than the current time by more than five minutes.
    #[error("the snapshot is more than {} seconds newer than the current time", MAX_CLOCK_SKEW.as_secs())]
    FromFuture,
}

impl Forecasts {
    /// Serializes the function records to a snapshot for [`Forecasts::restore`].
    pub fn save(&self, now: Duration) -> Vec<u8> {
        let body = serde_json::to_vec(&(now, &self.functions)).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_LENGTH + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Restores forecasts from a snapshot. Records beyond `max_functions` of the settings are dropped.
    ///
    /// # Errors
    /// Returns the reason for which the snapshot cannot be restored.
    pub fn restore(
        settings: ForecastSettings,
        bytes: &[u8],
        now: Duration,
    ) -> Result<Forecasts, SnapshotError> {
        let body = checked_body(bytes)?;
        let (written_at, records): (Duration, BTreeMap<String, FunctionRecord>) =
            serde_json::from_slice(body).map_err(|_| SnapshotError::Corrupt)?;
        if written_at > now + MAX_CLOCK_SKEW {
            return Err(SnapshotError::FromFuture);
        }
        if written_at + MAX_AGE < now {
            return Err(SnapshotError::TooOld);
        }
        let mut forecasts = Forecasts::new(settings);
        let names: Vec<String> = records.keys().cloned().collect();
        forecasts.functions = records;
        for function in &names {
            forecasts.insert_into_use_order(function);
        }
        Ok(forecasts)
    }
}

/// Checks the header and the checksum of a snapshot, and returns its JSON.
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

/// Reads a little-endian number. Panics where fewer than four bytes follow the offset.
fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([
        bytes[offset],
        bytes[offset + 1],
        bytes[offset + 2],
        bytes[offset + 3],
    ])
}
