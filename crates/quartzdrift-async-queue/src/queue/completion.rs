//! Completion: an invocation leaves the queue, and its event goes to a destination.
use super::InvocationQueue;
use crate::invocation::InvocationId;
use crate::outcome::{CompletedInvocation, CompletionCondition, NextStep};
use crate::store::InvocationStore;

/// Maximum destinations in a row, each invoked by the one before: it ends a cycle of them.
pub(super) const MAX_HOPS: u32 = 4;

impl<S: InvocationStore> InvocationQueue<S> {
    /// Removes the invocation.
    pub(super) fn complete(&mut self, id: InvocationId, condition: CompletionCondition) -> Option<NextStep> {
        let entry = self.entries.remove(&id)?;
        self.due.remove(entry.invocation.tenant, entry.due_at, id);
        self.bytes -= entry.size();
        self.store.completed(id);
        let destination = match condition {
            CompletionCondition::Success => entry.invocation.on_success.clone(),
            CompletionCondition::RetriesExhausted | CompletionCondition::EventAgeExceeded => {
                entry.invocation.on_failure.clone()
            }
        };
        Some(NextStep::Completed(Box::new(CompletedInvocation {
            id,
            attempts: entry.attempts,
            destination: destination.filter(|_| entry.invocation.hops < MAX_HOPS),
            condition,
            invocation: entry.invocation,
        })))
    }
}
