//! Retries: whether another attempt follows, and when.
use super::{Entry, InvocationQueue};
use crate::invocation::InvocationId;
use crate::outcome::{AttemptOutcome, CompletionCondition, NextStep};
use crate::store::InvocationStore;
use quartzdrift_scheduler::interface::Idempotency;
use rand::RngExt;
use std::time::Duration;

/// Maximum doublings of the first delay.
const MAX_DOUBLINGS: u32 = 16;

impl Entry {
    /// A rejected attempt did not execute, or executing it again is harmless: it does not count as an attempt.
    fn record_rejection(&mut self, may_have_executed: Option<Duration>) {
        self.attempts -= 1;
        self.rejections += 1;
        if self.invocation.idempotency == Idempotency::IdempotentWithKey
            && let Some(executed_at) = may_have_executed
        {
            self.restrict_to_window(executed_at);
        }
    }

    /// Workers remember the key for one window from the first attempt that may have executed.
    fn restrict_to_window(&mut self, executed_at: Duration) {
        let deadline = executed_at + self.invocation.deduplication_window;
        self.deduplication_deadline = Some(match self.deduplication_deadline {
            Some(earlier) => earlier.min(deadline),
            None => deadline,
        });
    }
}

impl<S: InvocationStore> InvocationQueue<S> {
    /// Takes the outcome of an attempt. `None` where no attempt of this invocation is under way.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        id: InvocationId,
        outcome: AttemptOutcome,
    ) -> Option<NextStep> {
        let entry = self.entries.get_mut(&id).filter(|entry| entry.attempt_running)?;
        entry.attempt_running = false;
        self.running_attempts -= 1;
        let delay = match outcome {
            AttemptOutcome::Succeeded {
                function_error: false,
            } => return self.complete(id, CompletionCondition::Success),
            AttemptOutcome::Succeeded { function_error: true } | AttemptOutcome::Failed => {
                let attempts = entry.attempts;
                let idempotent = entry.invocation.idempotency == Idempotency::Idempotent;
                if !idempotent || attempts >= self.settings.max_attempts {
                    return self.complete(id, CompletionCondition::RetriesExhausted);
                }
                self.delay_after_failure(attempts)
            }
            AttemptOutcome::Rejected {
                retry_after,
                may_have_executed,
            } => {
                entry.record_rejection(may_have_executed);
                let rejections = entry.rejections;
                self.delay_after_rejection(rejections, retry_after.unwrap_or_default())
            }
        };
        self.schedule_retry(id, now + delay)
    }

    /// Exponential backoff with equal jitter: at least half of the delay, so that invocations that failed together do not
    /// come back together.
    fn delay_after_failure(&mut self, attempts: u32) -> Duration {
        let doublings = (attempts - 1).min(MAX_DOUBLINGS);
        let delay = self.backoff(doublings);
        delay / 2 + self.random_part(delay / 2)
    }

    /// Exponential backoff with full jitter (M. Brooker, "Exponential backoff and jitter"), added to the time that the
    /// rejection asked for.
    fn delay_after_rejection(&mut self, rejections: u32, retry_after: Duration) -> Duration {
        let doublings = rejections.min(MAX_DOUBLINGS);
        let delay = self.backoff(doublings);
        retry_after + self.random_part(delay)
    }

    fn backoff(&self, doublings: u32) -> Duration {
        let delay = self.settings.first_retry_delay * (1 << doublings);
        delay.min(self.settings.max_retry_delay)
    }

    fn random_part(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.random.random_range(0.0..1.0))
    }

    /// Lets the invocation wait until `due_at`, unless that is after its maximum age or its deduplication deadline.
    fn schedule_retry(&mut self, id: InvocationId, due_at: Duration) -> Option<NextStep> {
        let entry = self.entries.get_mut(&id)?;
        if due_at > entry.accepted_at + self.settings.max_age {
            return self.complete(id, CompletionCondition::EventAgeExceeded);
        }
        if entry
            .deduplication_deadline
            .is_some_and(|deadline| due_at >= deadline)
        {
            return self.complete(id, CompletionCondition::RetriesExhausted);
        }
        entry.due_at = due_at;
        self.store
            .retry_scheduled(id, due_at, entry.attempts, entry.deduplication_deadline);
        self.due.insert(entry.invocation.tenant, due_at, id);
        Some(NextStep::Retry { at: due_at })
    }
}
