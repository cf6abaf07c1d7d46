//! Restoring of invocations from a store after a restart. An attempt that was under way may have executed: the invocation is
//! retried where that is harmless, and completed elsewhere.
use super::{Entry, InvocationQueue};
use crate::invocation::{Invocation, InvocationId, StoredInvocation};
use crate::outcome::{AttemptOutcome, CompletionCondition, NextStep};
use crate::store::InvocationStore;
use quartzdrift_scheduler::interface::Idempotency;
use std::time::Duration;

/// What has happened between a store's last change and now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreContext {
    /// Whether workers still remember the idempotency keys of what they ran.
    pub keys_retained: bool,
    /// Whether the store is an earlier copy: an invocation that waits in it may have executed since.
    pub store_is_outdated: bool,
}

impl<S: InvocationStore> InvocationQueue<S> {
    /// Reserves all ids up to this one for invocations that are still to be restored.
    pub fn reserve_ids(&mut self, last: InvocationId) {
        self.last_id = self.last_id.max(last);
    }

    /// Restores an invocation. `None` where it waits for the time at which it was due, else what follows from an attempt
    /// that may have executed. The limits of the settings applied when it was accepted, and are not checked again.
    pub fn restore(
        &mut self,
        now: Duration,
        stored: StoredInvocation,
        context: RestoreContext,
    ) -> Option<NextStep> {
        let id = stored.id;
        let started_at = stored.attempt_started_at;
        self.reserve_ids(id);
        let entry = Entry {
            invocation: stored.invocation,
            accepted_at: stored.accepted_at,
            due_at: stored.due_at,
            attempts: stored.attempts,
            rejections: 0,
            attempt_running: started_at.is_some(),
            deduplication_deadline: stored.deduplication_deadline,
        };
        self.bytes += entry.size();
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
        entry: Entry,
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

/// The outcome to assume for an attempt that a restart interrupted.
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
