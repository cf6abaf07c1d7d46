//! Completion of invocations, and the choice of the destination for their event.
use super::InvocationQueue;
use crate::invocation::InvocationId;
use crate::outcome::{CompletedInvocation, CompletionCondition, NextStep};
use crate::store::InvocationStore;

/// Number of hops from which on an invocation sends no event. The limit ends cycles of destinations.
pub(super) const MAX_HOPS: u32 = 4;

impl<S: InvocationStore> InvocationQueue<S> {
    /// Removes the invocation from the queue and selects the destination of its event.
    pub(super) fn complete(&mut self, id: InvocationId, condition: CompletionCondition) -> Option<NextStep> {
        let entry = self.entries.remove(&id)?;
        self.due.remove(entry.invocation.tenant, entry.due_at, id);
        self.bytes -= entry.charged_bytes();
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
