//! Selection of the attempts that are due, and the limit on how many are under way.
use super::InvocationQueue;
use crate::invocation::{Invocation, InvocationId};
use crate::store::InvocationStore;
use std::time::Duration;

/// An attempt that is to start now.
#[derive(Clone, Debug)]
pub struct DueAttempt {
    /// The invocation.
    pub id: InvocationId,
    /// What to run.
    pub invocation: Invocation,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Time in which the attempt may be sent, where that is bounded.
    pub time_left: Option<Duration>,
}

impl<S: InvocationStore> InvocationQueue<S> {
    /// Limits the attempts under way at a time, within the limit of the settings. Those under way are not affected.
    pub fn set_attempt_limit(&mut self, limit: usize) {
        self.allowed_attempts = limit.min(self.settings.max_concurrent_attempts);
    }

    /// When [`InvocationQueue::take_due`] has the next attempt; `None` where none is waiting or no further one is allowed.
    pub fn next_due(&self) -> Option<Duration> {
        let has_capacity = self.running_attempts < self.allowed_attempts;
        self.due.next_due().filter(|_| has_capacity)
    }

    /// Whether an attempt is under way, or due even if it is not allowed to start.
    pub fn is_busy(&self, now: Duration) -> bool {
        self.running_attempts > 0 || self.due.next_due().is_some_and(|due_at| due_at <= now)
    }

    /// Starts the next attempt that is due. Tenants with due invocations take turns.
    pub fn take_due(&mut self, now: Duration) -> Option<DueAttempt> {
        if self.running_attempts >= self.allowed_attempts {
            return None;
        }
        let id = self.due.take_next(now)?;
        let entry = self.entries.get_mut(&id)?;
        entry.attempt_running = true;
        entry.attempts += 1;
        self.running_attempts += 1;
        self.store.attempt_started(id, now, entry.attempts);
        Some(DueAttempt {
            id,
            invocation: entry.invocation.clone(),
            attempts: entry.attempts,
            time_left: entry
                .deduplication_deadline
                .map(|deadline| deadline.saturating_sub(now)),
        })
    }
}
