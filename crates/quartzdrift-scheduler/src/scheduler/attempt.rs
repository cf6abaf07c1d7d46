//! Starting and cancelling attempts, and the final response that rejects or fails a request.
use super::constants::{DEFAULT_RETRY_AFTER, MEDIAN, RETRY_AFTER_RATIO};
use crate::interface::{Action, DeduplicationScope, Idempotency, RejectReason, RequestId};
use crate::messages::{Attempt, Candidate, Message, PlacementQuery};
use crate::state::{CurrentAttempt, DecisionContext, OpenRequest, Scheduler, Worker};

impl Scheduler {
    /// Whether a request may be retried after `more` additional attempts.
    pub(super) fn may_retry(&self, request: &OpenRequest, more: u32) -> bool {
        let idempotency = self.classes[request.request_class].idempotency;
        idempotency == Idempotency::Idempotent && request.attempt_count + more < self.settings.max_attempts
    }

    /// Starts an attempt of a request at a candidate.
    pub(super) fn start_attempt(&mut self, id: RequestId, query: PlacementQuery, candidate: Candidate) {
        let Some(request) = self.requests.get(&id) else { return };
        let timeout = self.classes[request.request_class].attempt_timeout(!candidate.is_cached);
        // An attempt that cannot be cancelled later needs its timeout from the start.
        let is_limited = self.may_retry(request, 1) && !self.settings.can_cancel;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let endpoint = self.workers[candidate.worker].endpoint;
        let current = CurrentAttempt::new(candidate.cache_status, endpoint, self.now);
        let number = request.add_attempt(candidate.worker, current);
        let attempt = Attempt { request: id, number, query, timeout, sent_at: self.now };
        self.cache_insertions += 1;
        self.mailbox.send_to_worker(candidate.worker, Message::AttemptStarted(attempt));
        let worker = self.worker_names.name(candidate.worker);
        let timeout = is_limited.then_some(timeout);
        let send_by = self.workers[candidate.worker].usable_until(self.context());
        self.actions.push(Action::StartAttempt { request: id, worker, timeout, send_by });
    }

    /// Cancels an attempt at an unresponsive worker if its request may be retried.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_current = request.current_attempt.is_some() && attempt + 1 == request.attempt_count;
        if is_current && self.may_retry(request, 0) && self.settings.can_cancel {
            self.actions.push(Action::CancelAttempt { request: id, attempt });
        }
    }

    /// Sends the final response of a request: rejects it for `reason` if the client may safely retry, and
    /// fails it otherwise.
    pub(super) fn conclude_request(&mut self, id: RequestId, reason: RejectReason) {
        let Some(request) = self.requests.remove(&id) else { return };
        let class = &self.classes[request.request_class];
        let may_client_retry = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => class.deduplication_scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        };
        if request.first_uncertain_sent_at.is_some() && !may_client_retry {
            return self.actions.push(Action::Fail { request: id });
        }
        let typical_duration = class.duration_quantile(MEDIAN, false).unwrap_or(DEFAULT_RETRY_AFTER);
        let wait = match reason {
            RejectReason::NoProvenWorker => DEFAULT_RETRY_AFTER,
            _ => typical_duration.mul_f64(RETRY_AFTER_RATIO),
        };
        let retry_after = self.settings.max_retry_after.map(|max| wait.min(max));
        self.actions.push(Action::Reject { request: id, retry_after, reason });
    }
}

impl Worker {
    /// Records an attempt that is sent to this worker.
    pub(super) fn start_attempt(&mut self, attempt: Attempt, context: DecisionContext) {
        let entry = self.cache.entry(attempt.query.function).or_default();
        entry.is_cached &= entry.expires_at() > context.now;
        entry.assumed_until = context.now + context.settings.keep_alive;
        self.slow_start_usage.work += attempt.query.relative_work;
        self.attempts.push(attempt);
    }
}
