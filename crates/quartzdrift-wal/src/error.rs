//! Errors of the log. Use them to tell a log that needs repair from one that another release wrote, or from a failing disk.
use crate::framing::VERSION;
use std::io;

/// Why a log cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The storage failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file with this name is not a segment.
    #[error("{0} is no segment of deferred jobs")]
    Foreign(String),
    /// The file with this name was written by a release with another format version.
    #[error("{0} is of version {1}, and {VERSION} is read here")]
    Version(String, u32),
    /// The segment with this name is damaged at this byte, before the end of the log.
    #[error("{0} is damaged at byte {1}; `quartzdrift store repair` keeps what can be read")]
    Corrupt(String, u64),
    /// An earlier write failed, so the state on disk is unknown.
    #[error("an earlier write failed")]
    Failed,
    /// The encoded batch is longer than a frame may be.
    #[error("a batch is too long")]
    TooLong,
}
