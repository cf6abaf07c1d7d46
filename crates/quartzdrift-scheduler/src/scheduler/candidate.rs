//! A worker's answer to a placement query: the facts that the request table ranks it by.
use super::constants::{MAX_REPORT_AGE, MAX_UNRESPONSIVE, MISSED_REQUESTS};
use crate::interface::EndpointState;
use crate::messages::{CacheStatus, Candidate, PlacementQuery};
use crate::state::{Context, Worker};
use std::time::Duration;

impl Worker {
    /// `None`: the worker does not take the request.
    pub(super) fn answer(&mut self, query: &PlacementQuery, context: Context) -> Option<Candidate> {
        // While unresponsive a worker misses few requests, as a health check costs a request all its time.
        let seconds = (MISSED_REQUESTS / query.worker_capacity).min(MAX_UNRESPONSIVE.as_secs_f64());
        self.unresponsive_ejection = Duration::from_secs_f64(seconds);
        let is_outside = query.restriction.is_some_and(|restriction| !restriction.permits(&self.endpoint));
        if self.endpoint.state != EndpointState::Up || is_outside {
            return None;
        }
        let now = context.now;
        let slow_start_spent = !self.has_slow_start_budget(query, context);
        let entry = self.cache_entry(query.function);
        let cache_status = entry.status(now);
        self.abandoned_until.retain(|&until| until > now);
        Some(Candidate {
            worker: self.index,
            cache_status,
            is_cached: entry.is_cached && cache_status != CacheStatus::NotWarm,
            remote_load: self
                .remote_load
                .filter(|load| now - load.at < MAX_REPORT_AGE)
                .map(|load| load.value),
            local_load: self.attempts.len(),
            running: self.attempts_at_cached_copies(),
            abandoned: self.abandoned_until.len(),
            is_ejected: self.is_ejected(query, now),
            tenant_rejected: self.tenant_rejected_until.get(&query.tenant).is_some_and(|&until| until > now),
            is_warming_up: self.warming_since.is_some(),
            slow_start_spent,
        })
    }
}
