//! The records of the log: accepted invocations and their transitions.
//!
//! Both types are encoded with postcard, which is positional: fields and variants may be renamed, but never
//! reordered.
use serde::{Deserialize, Serialize};

/// An invocation that has not completed. Times are in microseconds since the Unix epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvocationRecord {
    /// Id of the invocation, unique within the log.
    pub id: u64,
    /// Time at which the invocation was accepted.
    pub accepted_us: u64,
    /// Time at which the next attempt is due.
    pub due_us: u64,
    /// Number of attempts so far, including a running one and excluding rejected ones.
    pub attempts: u32,
    /// Time after which no attempt may start, because workers may have forgotten the idempotency key.
    pub deduplication_deadline_us: Option<u64>,
    /// Start time of an attempt whose outcome is unknown. The function may have been executed.
    pub attempt_started_us: Option<u64>,
    /// The request of the invocation, as encoded by the caller.
    pub request: Vec<u8>,
}

impl InvocationRecord {
    /// Copies the record without its request. The open log keeps such copies, so that payloads do not stay in
    /// memory.
    pub(crate) fn without_request(&self) -> InvocationRecord {
        InvocationRecord {
            id: self.id,
            accepted_us: self.accepted_us,
            due_us: self.due_us,
            attempts: self.attempts,
            deduplication_deadline_us: self.deduplication_deadline_us,
            attempt_started_us: self.attempt_started_us,
            request: Vec::new(),
        }
    }

    /// Applies a started attempt or a scheduled retry to this invocation; other records are ignored.
    pub(crate) fn apply(&mut self, record: &LogRecord) {
        match *record {
            LogRecord::AttemptStarted { at_us, attempts, .. } => {
                self.attempt_started_us = Some(at_us);
                self.attempts = attempts;
            }
            LogRecord::RetryScheduled {
                due_us,
                attempts,
                deduplication_deadline_us,
                ..
            } => {
                self.due_us = due_us;
                self.attempts = attempts;
                self.deduplication_deadline_us = deduplication_deadline_us;
                self.attempt_started_us = None;
            }
            LogRecord::Snapshot(_) | LogRecord::Completed { .. } => {}
        }
    }
}

/// One record of a batch. Times are in microseconds since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// Complete state of an invocation that was accepted, or that compaction copied from an older segment.
    Snapshot(InvocationRecord),
    /// An attempt is about to start.
    AttemptStarted {
        /// Id of the invocation.
        id: u64,
        /// Start time of the attempt.
        at_us: u64,
        /// Number of attempts so far, including this one and excluding rejected ones.
        attempts: u32,
    },
    /// An attempt has ended, and a retry is scheduled.
    RetryScheduled {
        /// Id of the invocation.
        id: u64,
        /// Time at which the next attempt is due.
        due_us: u64,
        /// Number of attempts so far, excluding rejected ones.
        attempts: u32,
        /// Time after which no attempt may start, because workers may have forgotten the idempotency key.
        deduplication_deadline_us: Option<u64>,
    },
    /// The invocation needs no further attempt.
    Completed {
        /// Id of the invocation.
        id: u64,
    },
}
