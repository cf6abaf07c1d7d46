//! Start of due attempts within the limit on running attempts.
use super::InvocationQueue;
use crate::invocation::{Invocation, InvocationId};
use crate::store::InvocationStore;
use std::time::Duration;

/// An attempt that the caller has to start now.
#[derive(Clone, Debug)]
pub struct DueAttempt {
    /// Id of the invocation.
    pub id: InvocationId,
    /// The invocation to execute.
    pub invocation: Invocation,
    /// Number of attempts so far, including this one; rejected ones do not count.
    pub attempts: u32,
    /// Time until the end of the deduplication window, after which the attempt may no longer be sent.
    pub time_left: Option<Duration>,
}

impl<S: InvocationStore> InvocationQueue<S> {
    /// Sets the maximum number of attempts that run at the same time, capped by the limit of the settings.
    /// Running attempts continue.
    pub fn set_attempt_limit(&mut self, limit: usize) {
        self.attempt_limit = limit.min(self.settings.max_concurrent_attempts);
    }

    /// Time from which on [`InvocationQueue::take_due`] returns an attempt; `None` if no invocation is
    /// waiting or the limit on running attempts is reached.
    pub fn next_due(&self) -> Option<Duration> {
        let has_capacity = self.running_attempts < self.attempt_limit;
        self.due.next_due().filter(|_| has_capacity)
    }

    /// Whether an attempt is running or due. A due attempt counts even if the limit on running attempts holds
    /// it back.
    pub fn is_busy(&self, now: Duration) -> bool {
        self.running_attempts > 0 || self.due.next_due().is_some_and(|due_at| due_at <= now)
    }

    /// Marks the next due attempt as running and returns it. Tenants with due invocations are served round
    /// robin. `None` if no attempt is due or the limit on running attempts is reached.
    pub fn take_due(&mut self, now: Duration) -> Option<DueAttempt> {
        if self.running_attempts >= self.attempt_limit {
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
