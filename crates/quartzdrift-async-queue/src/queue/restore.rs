//! Restores invocations from a store after a restart. An attempt that the restart interrupted may have
//! executed: its invocation is retried if that is safe, and completed otherwise.
use super::{InvocationQueue, QueueEntry};
use crate::invocation::{Invocation, InvocationId, StoredInvocation};
use crate::outcome::{AttemptOutcome, CompletionCondition, NextStep};
use crate::store::InvocationStore;
use quartzdrift_scheduler::interface::Idempotency;
use std::time::Duration;

/// State of the workers and of the store after a restart, which decides what may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreContext {
    /// Whether the workers still have the idempotency keys of the invocations that they executed before the
    /// restart.
    pub keys_retained: bool,
    /// Whether the store is in an earlier state than before the restart, for example from a backup. An
    /// invocation that waits in it may have executed after that state.
    pub store_is_outdated: bool,
}

impl<S: InvocationStore> InvocationQueue<S> {
    /// Reserves all ids up to and including `last` for invocations that are restored later.
    pub fn reserve_ids(&mut self, last: InvocationId) {
        self.last_id = self.last_id.max(last);
    }

    /// Restores an invocation. `None` if it keeps its due time and waits; otherwise the decision for an
    /// invocation that may have executed. The capacity limits of the settings applied on acceptance and are
    /// not checked again.
    pub fn restore(
        &mut self,
        now: Duration,
        stored: StoredInvocation,
        context: RestoreContext,
    ) -> Option<NextStep> {
        let id = stored.id;
        let started_at = stored.attempt_started_at;
        self.reserve_ids(id);
        let entry = QueueEntry {
            invocation: stored.invocation,
            accepted_at: stored.accepted_at,
            due_at: stored.due_at,
            attempts: stored.attempts,
            rejections: 0,
            attempt_running: started_at.is_some(),
            deduplication_deadline: stored.deduplication_deadline,
        };
        self.bytes += entry.charged_bytes();
        match started_at {
            Some(started_at) => {
                let outcome = interrupted_outcome(&entry.invocation, started_at, now, context);
                self.entries.insert(id, entry);
                self.running_attempts += 1;
                self.attempt_ended(now, id, outcome)
            }
            None => self.restore_waiting(id, entry, context),
        }
    }

    fn restore_waiting(
        &mut self,
        id: InvocationId,
        entry: QueueEntry,
        context: RestoreContext,
    ) -> Option<NextStep> {
        let tenant = entry.invocation.tenant;
        let due_at = entry.due_at;
        let idempotent = entry.invocation.idempotency == Idempotency::Idempotent;
        self.entries.insert(id, entry);
        if context.store_is_outdated && !idempotent {
            return self.complete(id, CompletionCondition::RetriesExhausted);
        }
        self.due.insert(tenant, due_at, id);
        None
    }
}

/// Outcome that is assumed for an attempt that a restart interrupted: rejected, and therefore retried, if all
/// workers would drop a duplicate of it now; otherwise failed.
fn interrupted_outcome(
    invocation: &Invocation,
    started_at: Duration,
    now: Duration,
    context: RestoreContext,
) -> AttemptOutcome {
    let deduplicated = invocation.idempotency == Idempotency::IdempotentWithKey
        && invocation.deduplicated_by_all
        && context.keys_retained
        && now < started_at + invocation.deduplication_window;
    if deduplicated {
        AttemptOutcome::Rejected {
            retry_after: None,
            may_have_executed: Some(started_at),
        }
    } else {
        AttemptOutcome::Failed
    }
}
