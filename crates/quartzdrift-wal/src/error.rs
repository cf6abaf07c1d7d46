//! Errors of the log. They distinguish a damaged log, a log of another release and a failing disk.
use crate::framing::{FORMAT_VERSION, MAX_FRAME_BODY_BYTES};
use std::io;

/// Error of reading or writing a log.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// An operation of the storage failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file with this name has the name of a segment but not a valid header.
    #[error("{0} is not a segment of the write-ahead log: its header is invalid")]
    NotASegment(String),
    /// The segment with this file name has this format version, which this release cannot read.
    #[error("segment {0} has format version {1}, but this release reads only version {FORMAT_VERSION}")]
    UnsupportedVersion(String, u32),
    /// The segment with this file name is damaged at this byte offset, which is not the incomplete end of the
    /// log.
    #[error(
        "segment {0} is damaged at byte {1}; `quartzdrift store repair` keeps the records that can be read"
    )]
    Corrupt(String, u64),
    /// An earlier write failed, so the state on disk is unknown until [`Log::resume`](crate::Log::resume)
    /// succeeds.
    #[error("the log accepts no batch because an earlier write failed")]
    EarlierWriteFailed,
    /// The batch with this number of records is larger than a frame may be.
    #[error("a batch of {0} records exceeds the limit of {MAX_FRAME_BODY_BYTES} bytes")]
    BatchTooLarge(usize),
}
