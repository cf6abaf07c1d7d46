//! A worker's reply to a placement query, with the values that the request table ranks the worker by.
use super::constants::MAX_REPORT_AGE;
use crate::interface::EndpointState;
use crate::messages::{CacheStatus, Candidate, PlacementQuery};
use crate::state::{DecisionContext, Worker};

impl Worker {
    /// Returns the worker as a candidate for the request; `None`: the worker does not accept the request.
    pub(super) fn evaluate_query(
        &mut self,
        query: &PlacementQuery,
        context: DecisionContext,
    ) -> Option<Candidate> {
        self.update_unresponsive_ejection(query);
        let is_excluded = query.restriction.is_some_and(|restriction| !restriction.permits(&self.endpoint));
        // The endpoint list may be out of date: by its entries alone, draining workers would receive requests
        // for as long as no update arrives.
        if self.endpoint.state != EndpointState::Up || is_excluded || !self.may_receive_work(context) {
            return None;
        }
        let now = context.now;
        let exceeds_slow_start_budget = !self.has_slow_start_budget(query, context);
        let entry = self.cache_entry(query.function);
        let statuses = [(entry.known_until, CacheStatus::Known), (entry.assumed_until, CacheStatus::Assumed)];
        let valid_status = statuses.into_iter().find(|(until, _)| *until > now);
        let cache_status = valid_status.map_or(CacheStatus::NotWarm, |(_, status)| status);
        let remote_load = self.remote_load.filter(|load| now - load.reported_at < MAX_REPORT_AGE);
        self.abandoned_until.retain(|&until| until > now);
        Some(Candidate {
            worker: self.index,
            cache_status,
            is_cached: entry.is_cached && cache_status != CacheStatus::NotWarm,
            remote_load: remote_load.map(|load| load.value),
            local_load: self.attempts.len(),
            local_running: self.running_attempts(),
            local_abandoned: self.abandoned_until.len(),
            is_ejected: self.is_ejected(query, now),
            tenant_rejected: self.tenant_rejected_until.get(&query.tenant).is_some_and(|&until| until > now),
            is_suspected: self.is_suspected(context),
            is_warming_up: self.warming_since.is_some(),
            exceeds_slow_start_budget,
        })
    }
}
