//! A write-ahead log of asynchronous invocations, stored in segments.
//!
//! It keeps accepted invocations across a crash of the process or the machine. [`Log::open`] recovers the log
//! and returns the invocations that have not completed. [`Log::commit`] appends a batch of [`LogRecord`]s
//! atomically and returns once the batch is durable. After a failed write the state on disk is unknown, so
//! the log refuses every further batch until [`Log::resume`] succeeds.
//!
//! * `record`: the logged records: invocations and their transitions.
//! * `framing`: the binary format: segment headers, and batches with length and checksum.
//! * `segment`: segment file names, and the number of open invocations of each segment.
//! * `storage`: the file system operations that the log needs, implemented for a directory.
//! * `recovery`: reading, inspecting and repairing a log.
//! * `log`: the open log, its commits and its compaction.
mod error;
mod framing;
mod log;
mod record;
mod recovery;
mod segment;
mod storage;

pub use error::LogError;
pub use log::{Log, LogSize};
pub use record::{InvocationRecord, LogRecord};
pub use recovery::{Inspection, inspect, repair};
pub use storage::{DirectoryStorage, LogStorage};
