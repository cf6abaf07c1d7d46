//! Stores of the queue's changes. The queue keeps its invocations in memory and reports each change to its
//! store. If the store makes changes durable, its caller delays responses and attempts until their changes
//! are durable.
use crate::invocation::{Invocation, InvocationId};
use std::time::Duration;

/// Receives the changes of a queue, in order. Times are since the Unix epoch.
pub trait InvocationStore {
    /// Records the acceptance of an invocation, which is due at once. The acceptance may be sent to the
    /// client once this change is durable.
    fn accepted(&mut self, id: InvocationId, at: Duration, invocation: &Invocation);

    /// Records that an attempt is about to start, so that it counts as possibly executed after a crash.
    /// Unless the invocation is idempotent, the attempt may start only once this change is durable.
    /// `attempts` includes this attempt.
    fn attempt_started(&mut self, id: InvocationId, at: Duration, attempts: u32);

    /// Records that the next attempt is due at `due_at`, and that it has to start before
    /// `deduplication_deadline`.
    fn retry_scheduled(
        &mut self,
        id: InvocationId,
        due_at: Duration,
        attempts: u32,
        deduplication_deadline: Option<Duration>,
    );

    /// Records that no further attempt is made.
    fn completed(&mut self, id: InvocationId);
}

/// Discards all changes: open invocations are lost when the process ends.
#[derive(Debug, Default)]
pub struct NoStore;

impl InvocationStore for NoStore {
    fn accepted(&mut self, _: InvocationId, _: Duration, _: &Invocation) {}
    fn attempt_started(&mut self, _: InvocationId, _: Duration, _: u32) {}
    fn retry_scheduled(&mut self, _: InvocationId, _: Duration, _: u32, _: Option<Duration>) {}
    fn completed(&mut self, _: InvocationId) {}
}

/// One change of the queue. Times are since the Unix epoch.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// An invocation was accepted and is due at once.
    Accepted {
        /// Id of the invocation.
        id: InvocationId,
        /// Time of acceptance.
        at: Duration,
        /// The encoded invocation; [`Invocation::from_bytes`] decodes it.
        encoded: Vec<u8>,
    },
    /// An attempt is about to start.
    AttemptStarted {
        /// Id of the invocation.
        id: InvocationId,
        /// Start of the attempt.
        at: Duration,
        /// Number of attempts so far, including this one; rejected ones do not count.
        attempts: u32,
    },
    /// The invocation waits for its next attempt.
    RetryScheduled {
        /// Id of the invocation.
        id: InvocationId,
        /// Time at which the next attempt is due.
        due_at: Duration,
        /// Number of attempts so far; rejected ones do not count.
        attempts: u32,
        /// End of the deduplication window: further attempts have to start before it.
        deduplication_deadline: Option<Duration>,
    },
    /// No further attempt is made.
    Completed {
        /// Id of the invocation.
        id: InvocationId,
    },
}

/// Collects changes for a caller that makes them durable in batches.
#[derive(Debug, Default)]
pub struct ChangeBuffer {
    enabled: bool,
    changes: Vec<StoreChange>,
}

impl ChangeBuffer {
    /// Creates an empty buffer. If it is not enabled, it discards all changes.
    pub fn new(enabled: bool) -> ChangeBuffer {
        ChangeBuffer {
            enabled,
            changes: Vec::new(),
        }
    }

    /// Removes and returns all buffered changes. The caller has to make them durable as one atomic batch.
    pub fn take(&mut self) -> Vec<StoreChange> {
        std::mem::take(&mut self.changes)
    }

    /// Inserts changes that could not be written yet before all later ones.
    pub fn put_back(&mut self, mut changes: Vec<StoreChange>) {
        changes.append(&mut self.changes);
        self.changes = changes;
    }

    fn push(&mut self, change: impl FnOnce() -> StoreChange) {
        if self.enabled {
            self.changes.push(change());
        }
    }
}

impl InvocationStore for ChangeBuffer {
    fn accepted(&mut self, id: InvocationId, at: Duration, invocation: &Invocation) {
        self.push(|| StoreChange::Accepted {
            id,
            at,
            encoded: invocation.to_bytes(),
        });
    }

    fn attempt_started(&mut self, id: InvocationId, at: Duration, attempts: u32) {
        self.push(|| StoreChange::AttemptStarted { id, at, attempts });
    }

    fn retry_scheduled(
        &mut self,
        id: InvocationId,
        due_at: Duration,
        attempts: u32,
        deduplication_deadline: Option<Duration>,
    ) {
        self.push(|| StoreChange::RetryScheduled {
            id,
            due_at,
            attempts,
            deduplication_deadline,
        });
    }

    fn completed(&mut self, id: InvocationId) {
        self.push(|| StoreChange::Completed { id });
    }
}
