//! A write-ahead log of asynchronous invocations, in segments.
//!
//! Use it where accepted invocations must survive a crash of the process or the machine. [`Log::open`] recovers the log and
//! returns the invocations that have not completed. [`Log::commit`] appends a batch of [`LogRecord`]s, all or none of it, and
//! returns once the batch is durable. After a failed write the log refuses every further batch, because the state on disk
//! after a failed sync is unknown; it has to be opened again.
//!
//! * `record`: what is logged.
//! * `framing`: segment headers, and batches with length and checksum.
//! * `segment`: names of segment files, and how much of each is still needed.
//! * `storage`: the file system operations that the log needs, and a directory that provides them.
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
