//! Choice of a worker among the candidates: the normal rule and its exceptions (docs/design.md).
use super::constants::MIN_LOCAL_REQUESTS;
use super::constants::{
    BUSY_FLEET_UTILIZATION, FLEET_OVERLOAD_BOUND, MAX_EJECTED_SHARE, MIN_OVERLOAD_BOUND, OVERLOAD_BOUND_RATIO,
};
use crate::interface::{RejectReason, RequestId};
use crate::messages::{CacheStatus, Candidate, PlacementQuery};
use crate::names::hash;
use crate::state::Scheduler;

/// Estimates the requests at a candidate from its load report and from this scheduler's own attempts.
struct LoadEstimate {
    /// Requests of other schedulers at a candidate without a load report.
    remote_if_unreported: f64,
    /// Ratio of the requests of other schedulers to the reported load; `None`: no candidate reported a load.
    remote_per_reported: Option<f64>,
    /// Number of this scheduler's attempts at all candidates.
    local_load: usize,
    /// Number of this scheduler's attempts at all candidates that do not wait for a load.
    local_running: usize,
}

impl LoadEstimate {
    /// Returns the estimated number of requests at a candidate.
    fn requests(&self, candidate: &Candidate) -> f64 {
        let reported = candidate.remote_load.zip(self.remote_per_reported);
        let remote = reported.map_or(self.remote_if_unreported, |(load, ratio)| load * ratio);
        remote + candidate.local_load as f64
    }
}

impl Scheduler {
    /// Starts an attempt at one of the candidates below the overload bound: the one with the best cache
    /// status, then with the fewest estimated requests. Without a candidate, rejects or fails the request.
    pub(super) fn choose_worker(&mut self, id: RequestId, query: PlacementQuery) {
        let mut candidates = std::mem::take(&mut self.candidates);
        let Some(request) = self.requests.get(&id) else { return };
        let no_worker_is_usable = candidates.is_empty() && !self.lease_holds();
        let warming_up = candidates.iter().filter(|candidate| candidate.is_warming_up).count();
        let fleet_is_warming = self.measurements.predates_loss && warming_up * 2 > candidates.len();
        self.measurements.predates_loss = fleet_is_warming;
        candidates.retain(|candidate| fleet_is_warming || !candidate.exceeds_slow_start_budget);
        let is_unsuspected = |candidate: &Candidate| !candidate.is_suspected;
        if candidates.iter().any(is_unsuspected) {
            candidates.retain(is_unsuspected);
        }
        // If many workers are ejected at once, they are not the cause of the failures: ignores the ejections.
        let ejected = candidates.iter().filter(|candidate| candidate.is_ejected).count();
        let skips_ejected = ejected as f64 <= MAX_EJECTED_SHARE * candidates.len() as f64;
        candidates.retain(|candidate| !skips_ejected || !candidate.is_ejected);
        candidates.retain(|candidate| !request.tried_workers.contains(&candidate.worker));
        let load = self.estimate_load(&mut candidates);
        let requests = candidates.iter().map(|candidate| load.requests(candidate));
        let mean = requests.sum::<f64>() / candidates.len() as f64;
        let bound = (mean * OVERLOAD_BOUND_RATIO).max(MIN_OVERLOAD_BOUND * self.worker_size());
        let mostly_loading =
            load.local_load >= MIN_LOCAL_REQUESTS && load.local_running * 2 < load.local_load;
        let fleet_is_loading = fleet_is_warming || mostly_loading;
        candidates.retain(|candidate| fleet_is_loading || load.requests(candidate) < bound);
        self.mark_preferred(request, &query, &mut candidates);
        let fleet_bound = FLEET_OVERLOAD_BOUND * self.worker_size() * self.fleet_bound_factor(&query);
        let fleet_is_full = self.mean_running(mean, &load) > fleet_bound;
        if fleet_is_loading || fleet_is_full {
            // If all workers are busy, warming up or loading, another load would make a load storm worse.
            let bound = if fleet_is_full { bound.min(fleet_bound) } else { bound };
            candidates.retain(|candidate| {
                candidate.cache_status != CacheStatus::NotWarm && !candidate.exceeds_slow_start_budget
            });
            candidates.retain(|candidate| load.requests(candidate) < bound);
        }
        let renewed = self.renewed_candidate(&candidates);
        let best = renewed.or_else(|| self.best_candidate(&candidates, &load));
        self.random_draws += 1;
        match best {
            Some(candidate) => self.start_attempt(id, query, candidate),
            None if no_worker_is_usable => self.conclude_request(id, RejectReason::NoProvenWorker),
            None => self.conclude_request(id, RejectReason::NoCapacity),
        }
    }

    /// Returns the candidate with the best cache status, then with the fewest estimated requests relative to
    /// its speed. Ties are broken at random. Workers that recently rejected the tenant come last.
    fn best_candidate(&self, candidates: &[Candidate], load: &LoadEstimate) -> Option<Candidate> {
        let ranked = candidates.iter().map(|candidate| {
            let status = (candidate.tenant_rejected, candidate.cache_status);
            let requests = (load.requests(candidate) + 1.0) / self.relative_speed(candidate.worker);
            (status, requests, candidate)
        });
        // Drawn only on a tie.
        let draw = |candidate: &Candidate| hash(&(self.settings.seed, self.random_draws, candidate.worker));
        let best = ranked.min_by(|(status, requests, candidate), (other_status, other_requests, other)| {
            let by_rank = status.cmp(other_status).then(requests.total_cmp(other_requests));
            by_rank.then_with(|| draw(candidate).cmp(&draw(other)))
        });
        best.map(|(.., candidate)| *candidate)
    }

    /// Builds the load estimate. Adds abandoned attempts, whose outcome is unknown, to the local load
    /// unless the load reports show idle cores.
    fn estimate_load(&self, candidates: &mut [Candidate]) -> LoadEstimate {
        let reports = candidates.iter().filter(|candidate| candidate.remote_load.is_some()).count();
        let reported: f64 = candidates.iter().filter_map(|candidate| candidate.remote_load).sum();
        let average = reported / reports.max(1) as f64;
        // After a lost response, an attempt that has ended still counts as abandoned. If the reports show
        // idle cores, all abandoned attempts are taken to have ended.
        if reports == 0 || average >= BUSY_FLEET_UTILIZATION {
            candidates.iter_mut().for_each(|candidate| candidate.local_load += candidate.local_abandoned);
        }
        let local: usize = candidates.iter().map(|candidate| candidate.local_load).sum();
        let running = candidates.iter().map(|candidate| candidate.local_running).sum();
        // Without request counts in the reports, each other scheduler is assumed to have as many requests in
        // flight as this one, less one standard deviation, in proportion to the reported loads.
        let per_scheduler = local as f64 - (local as f64).sqrt();
        let assumed = (self.settings.scheduler_count - 1.0) * per_scheduler / candidates.len() as f64;
        let is_counted = self.settings.reports_count_requests && reports > 0;
        let (remote_if_unreported, ratio) =
            if is_counted { (average, 1.0) } else { (assumed, assumed / average) };
        LoadEstimate {
            remote_if_unreported,
            remote_per_reported: (average > 0.0).then_some(ratio),
            local_load: local,
            local_running: running,
        }
    }

    /// Returns the mean number of requests per worker that occupy a core. Reported counts include requests
    /// that wait for a load, so the mean is scaled by the share of this scheduler's attempts that do not
    /// wait.
    fn mean_running(&self, mean: f64, load: &LoadEstimate) -> f64 {
        let counts = self.settings.reports_count_requests;
        if counts { mean * load.local_running as f64 / load.local_load.max(1) as f64 } else { mean }
    }
}
