//! What is logged: accepted invocations and their transitions.
//!
//! Both types are encoded with postcard, which is positional: fields and variants may be renamed, but never reordered.
use serde::{Deserialize, Serialize};

/// An invocation that has not completed. Times are microseconds since 1970.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvocationRecord {
    /// Unique within the log.
    pub id: u64,
    /// When it was accepted.
    pub accepted_us: u64,
    /// When its next attempt is due.
    pub due_us: u64,
    /// Attempts that ran or may be running.
    pub attempts: u32,
    /// No attempt may start after this time.
    pub deduplication_deadline_us: Option<u64>,
    /// Start of an attempt whose outcome is unknown: it may have executed.
    pub attempt_started_us: Option<u64>,
    /// The invocation itself, encoded by the caller.
    pub request: Vec<u8>,
}

impl InvocationRecord {
    /// A copy with an empty request, so that the open log does not hold payloads in memory.
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

    /// Applies a transition that neither creates nor completes the invocation; others are ignored.
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

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogRecord {
    /// The invocation was accepted, or moved here from an older segment with its state at that time.
    Snapshot(InvocationRecord),
    /// An attempt is about to start.
    AttemptStarted {
        /// The invocation.
        id: u64,
        /// When the attempt starts, in microseconds since 1970.
        at_us: u64,
        /// Attempts so far, this one included.
        attempts: u32,
    },
    /// The last attempt has ended and another one will follow.
    RetryScheduled {
        /// The invocation.
        id: u64,
        /// When the next attempt is due, in microseconds since 1970.
        due_us: u64,
        /// Attempts that count so far.
        attempts: u32,
        /// No attempt may start after this time, in microseconds since 1970.
        deduplication_deadline_us: Option<u64>,
    },
    /// The invocation needs no further attempt.
    Completed {
        /// The invocation.
        id: u64,
    },
}
