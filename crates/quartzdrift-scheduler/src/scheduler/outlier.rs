//! Outlier ejection. A worker that fails fast, rejects attempts or is unresponsive appears idle, and would
//! attract requests.
use super::constants::{ERROR_RATE_ATTEMPTS, FIRST_EJECTION, MAX_EJECTION_DOUBLINGS, MAX_ERROR_RATE};
use super::constants::{
    MAX_UNRESPONSIVE_EJECTION, MISSED_REQUESTS_PER_EJECTION, TIMEOUT_RATIO, UNRESPONSIVE_TIMEOUTS,
};
use crate::mailbox::Mailbox;
use crate::messages::{Attempt, Message, PlacementQuery};
use crate::state::{Health, Worker};
use std::time::Duration;

impl Health {
    /// Ejects the worker unless it is ejected already. The duration doubles with each consecutive ejection.
    pub(super) fn eject(&mut self, now: Duration, min_duration: Duration) {
        if now >= self.ejected_until {
            let duration = FIRST_EJECTION * (1 << self.ejections.min(MAX_EJECTION_DOUBLINGS));
            self.ejected_until = now + duration.max(min_duration);
            self.ejections += 1;
        }
    }

    /// Lowers the error rate. Ends the sequence of ejections once the error rate is low enough.
    pub(super) fn record_success(&mut self) {
        self.error_rate *= 1.0 - 1.0 / ERROR_RATE_ATTEMPTS;
        if self.error_rate < MAX_ERROR_RATE {
            self.ejections = 0;
        }
    }

    /// Raises the error rate. Ejects the worker if the rate is too high, or if the worker has not recovered
    /// since its last ejection.
    pub(super) fn record_error(&mut self, now: Duration) {
        self.error_rate += (1.0 - self.error_rate) / ERROR_RATE_ATTEMPTS;
        if self.error_rate > MAX_ERROR_RATE || self.ejections > 0 {
            self.eject(now, Duration::ZERO);
        }
    }
}

impl Worker {
    /// Whether the worker is ejected for the request. Once the ejection time is over, a single request that
    /// may be retried is let through as a health check.
    pub(super) fn is_ejected(&mut self, query: &PlacementQuery, now: Duration) -> bool {
        let health = self.health.entry(query.request_class).or_default();
        let has_attempt =
            self.attempts.iter().any(|attempt| attempt.query.request_class == query.request_class);
        let is_paused = now < health.ejected_until || now < self.at_capacity_until;
        is_paused || health.ejections > 0 && (has_attempt || !query.may_retry)
    }

    /// Sets the minimum ejection time for unresponsiveness. A request that serves as the health check of an
    /// unresponsive worker spends its whole attempt timeout there, so checks must be rare relative to the
    /// requests.
    pub(super) fn update_unresponsive_ejection(&mut self, query: &PlacementQuery) {
        let seconds = (MISSED_REQUESTS_PER_EJECTION / query.worker_capacity)
            .min(MAX_UNRESPONSIVE_EJECTION.as_secs_f64());
        self.unresponsive_ejection = Duration::from_secs_f64(seconds);
    }

    /// Ejects the worker if it is unresponsive. Overdue attempts of several functions rule out a single long
    /// load as the cause.
    pub(super) fn check_responsiveness(&mut self, now: Duration, mailbox: &mut Mailbox<Message>) {
        let waiting_time = |attempt: &Attempt| now.saturating_sub(attempt.sent_at.max(self.last_response_at));
        let mut overdue = self.attempts.iter().filter(|attempt| waiting_time(attempt) > attempt.timeout);
        let Some(first) = overdue.next() else { return };
        let is_one_function = overdue.all(|attempt| attempt.query.function == first.query.function);
        if is_one_function && now - first.sent_at <= first.timeout * UNRESPONSIVE_TIMEOUTS {
            return;
        }
        self.health.values_mut().for_each(|health| health.eject(now, self.unresponsive_ejection));
        for attempt in &self.attempts {
            let (request, attempt) = (attempt.request, attempt.number);
            mailbox.send_to_request_table(Message::WorkerUnresponsive { request, attempt });
        }
    }

    /// Ejects a worker that has not responded since a timed-out attempt was sent, which detects unresponsive
    /// workers with few requests. An attempt that a client's short timeout ended is no evidence.
    pub(super) fn record_timeout(&mut self, attempt: &Attempt, now: Duration) {
        let waited_enough = (now - attempt.sent_at).mul_f64(TIMEOUT_RATIO) > attempt.timeout;
        if self.last_response_at < attempt.sent_at && waited_enough {
            let health = self.health.entry(attempt.query.request_class).or_default();
            health.eject(now, self.unresponsive_ejection);
        }
    }
}
