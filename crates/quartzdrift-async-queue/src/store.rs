//! Where changes go. The queue works on what it holds in memory and reports each change to its store before the change takes
//! effect; a store that makes changes durable delays their effect until they are.
use crate::invocation::{Invocation, InvocationId};
use std::time::Duration;

/// Takes the changes of a queue, in order. Times are since 1970.
pub trait InvocationStore {
    /// An invocation was accepted. The client may be told so once this is durable.
    fn accepted(&mut self, id: InvocationId, at: Duration, invocation: &Invocation);

    /// An attempt is about to start: after a crash it may have executed. Unless the invocation is idempotent, the attempt may
    /// start only once this is durable.
    fn attempt_started(&mut self, id: InvocationId, at: Duration, attempts: u32);

    /// The next attempt is due at `due_at`, and none may start after `deduplication_deadline`.
    fn retry_scheduled(
        &mut self,
        id: InvocationId,
        due_at: Duration,
        attempts: u32,
        deduplication_deadline: Option<Duration>,
    );

    /// No further attempt will be made.
    fn completed(&mut self, id: InvocationId);
}

/// Stores nothing: open invocations are lost with the process.
#[derive(Debug, Default)]
pub struct NoStore;

impl InvocationStore for NoStore {
    fn accepted(&mut self, _: InvocationId, _: Duration, _: &Invocation) {}
    fn attempt_started(&mut self, _: InvocationId, _: Duration, _: u32) {}
    fn retry_scheduled(&mut self, _: InvocationId, _: Duration, _: u32, _: Option<Duration>) {}
    fn completed(&mut self, _: InvocationId) {}
}

/// One change of the queue. Times are since 1970.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// An invocation was accepted and is due at once.
    Accepted {
        /// The invocation.
        id: InvocationId,
        /// When it was accepted.
        at: Duration,
        /// The encoded invocation; [`Invocation::from_bytes`] decodes it.
        encoded: Vec<u8>,
    },
    /// An attempt is about to start.
    AttemptStarted {
        /// The invocation.
        id: InvocationId,
        /// When it starts.
        at: Duration,
        /// Attempts so far, this one included.
        attempts: u32,
    },
    /// The next attempt is due later.
    RetryScheduled {
        /// The invocation.
        id: InvocationId,
        /// When it is due.
        due_at: Duration,
        /// Attempts that count so far.
        attempts: u32,
        /// No attempt may start after this time.
        deduplication_deadline: Option<Duration>,
    },
    /// No further attempt will be made.
    Completed {
        /// The invocation.
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
    /// An empty buffer; one that is not enabled drops all changes.
    pub fn new(enabled: bool) -> ChangeBuffer {
        ChangeBuffer {
            enabled,
            changes: Vec::new(),
        }
    }

    /// Takes all changes since the last call. They have to become durable together or not at all.
    pub fn take(&mut self) -> Vec<StoreChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns changes that could not be written yet, before all later ones.
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
