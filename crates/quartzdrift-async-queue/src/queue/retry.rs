//! Retries: decides after each attempt whether and when the invocation is attempted again.
use super::{InvocationQueue, QueueEntry};
use crate::invocation::InvocationId;
use crate::outcome::{AttemptOutcome, CompletionCondition, NextStep};
use crate::store::InvocationStore;
use quartzdrift_scheduler::interface::Idempotency;
use rand::RngExt;
use std::time::Duration;

/// Maximum number of times that the first retry delay is doubled.
const MAX_DOUBLINGS: u32 = 16;

impl QueueEntry {
    /// Counts a rejection instead of an attempt, since a rejected attempt was not executed or may be executed
    /// again.
    fn record_rejection(&mut self, may_have_executed: Option<Duration>) {
        self.attempts -= 1;
        self.rejections += 1;
        if self.invocation.idempotency == Idempotency::IdempotentWithKey
            && let Some(executed_at) = may_have_executed
        {
            self.limit_to_deduplication_window(executed_at);
        }
    }

    /// Moves the deduplication deadline to the end of the window that starts at `executed_at`, unless it is
    /// earlier already: workers keep the idempotency key for one window from the first attempt that may have
    /// executed.
    fn limit_to_deduplication_window(&mut self, executed_at: Duration) {
        let deadline = executed_at + self.invocation.deduplication_window;
        self.deduplication_deadline = Some(match self.deduplication_deadline {
            Some(earlier) => earlier.min(deadline),
            None => deadline,
        });
    }
}

impl<S: InvocationStore> InvocationQueue<S> {
    /// Retries or completes an invocation according to the outcome of its attempt. `None` if no attempt of
    /// the invocation is running.
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

    /// Exponential backoff with equal jitter: between half of the delay and the whole delay, so that
    /// invocations that failed at the same time are not retried at the same time.
    fn delay_after_failure(&mut self, attempts: u32) -> Duration {
        let doublings = (attempts - 1).min(MAX_DOUBLINGS);
        let delay = self.backoff(doublings);
        delay / 2 + self.random_up_to(delay / 2)
    }

    /// Exponential backoff with full jitter (M. Brooker, "Exponential backoff and jitter"), added to the
    /// delay that the rejection requires.
    fn delay_after_rejection(&mut self, rejections: u32, retry_after: Duration) -> Duration {
        let doublings = rejections.min(MAX_DOUBLINGS);
        let delay = self.backoff(doublings);
        retry_after + self.random_up_to(delay)
    }

    /// The first retry delay after a number of doublings, up to the maximum retry delay.
    fn backoff(&self, doublings: u32) -> Duration {
        let delay = self.settings.first_retry_delay * (1 << doublings);
        delay.min(self.settings.max_retry_delay)
    }

    /// A random duration between zero and `delay`.
    fn random_up_to(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.random.random_range(0.0..1.0))
    }

    /// Schedules the next attempt at `due_at`. If that is later than the maximum age or not before the
    /// deduplication deadline, completes the invocation instead.
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
