//! Estimates that decisions rest on: attempt durations and timeouts, claims, and the capacity of workers.
use super::constants::{
    MAX_FLEET_BOUND_FACTOR, MIN_SAMPLES, SLOW_START_SAFETY, SMALL_WORKER_COPIES, TIMEOUT_QUANTILE,
    TIMEOUT_RATIO,
};
use crate::messages::PlacementQuery;
use crate::state::{ClassState, Scheduler};
use std::time::Duration;

impl ClassState {
    /// Duration that `share` of the attempts stay within: of those that load, or of those that find a copy.
    pub(super) fn duration_quantile(&self, share: f64, loading: bool) -> Option<Duration> {
        let durations = if loading { &self.load_durations } else { &self.cached_durations };
        (durations.count() >= MIN_SAMPLES).then(|| durations.quantile(share))
    }

    /// How long to wait for an attempt; one that waits for a load is given a load's time.
    pub(super) fn attempt_timeout(&self, loading: bool) -> Duration {
        let nearly_all = |loading| {
            self.duration_quantile(TIMEOUT_QUANTILE, loading).map(|time| time.mul_f64(TIMEOUT_RATIO))
        };
        let timeout = nearly_all(false).unwrap_or(self.default_timeout);
        if loading { timeout.max(nearly_all(true).unwrap_or(self.default_timeout)) } else { timeout }
    }
}

impl Scheduler {
    /// Work of a request of this class, in usual requests; crowding slows all and changes no weight.
    pub(super) fn relative_work(&self, request_class: usize) -> f64 {
        let mean = self.classes[request_class].cached_durations.mean();
        mean.map_or(1.0, |mean| mean.as_secs_f64() / self.mean_attempt_seconds())
    }

    /// Duration of the usual attempt in seconds: the mean over request classes.
    pub(super) fn mean_attempt_seconds(&self) -> f64 {
        let means = self.classes.iter().filter_map(|class| class.cached_durations.mean());
        let (count, sum) = means.fold((0, Duration::ZERO), |(count, sum), mean| (count + 1, sum + mean));
        sum.checked_div(count).or(self.measurements.mean_duration).map_or(1.0, |usual| usual.as_secs_f64())
    }

    /// Share of the listed workers' memory that a copy takes; zero where the worker's memory is not known.
    pub(super) fn memory_share(&self, worker: usize, copy_mb: f64) -> f64 {
        let kind = |worker: usize| self.workers[worker].endpoint.machine_kind as usize;
        let worker_mb = |worker: usize| self.settings.memory_mb_by_kind.get(kind(worker));
        let fleet_mb: f64 = self.listed_workers.iter().filter_map(|&worker| worker_mb(worker)).sum();
        worker_mb(worker).map_or(0.0, |_| copy_mb / fleet_mb)
    }

    /// Priority weight of a request class for each unit of work.
    pub(super) fn priority_per_work(&self, request_class: usize) -> f64 {
        let priority = self.classes[request_class].priority_weight;
        if self.settings.priority_counts_work {
            priority
        } else {
            priority / self.relative_work(request_class)
        }
    }

    /// Factor on the fleet's bound, by the priority of the work and by how far its tenant is below its quota.
    pub(super) fn fleet_bound_factor(&self, query: &PlacementQuery) -> f64 {
        let priority = self.priority_per_work(query.request_class) * self.requested_work.total(self.now);
        let relative_priority = priority / self.requested_priority.total(self.now);
        let tenant = query.tenant as usize;
        let all_succeeded = self.succeeded_work.total(self.now);
        let succeeded = self.succeeded_work.get(tenant, self.now) + 1.0;
        let unused_quota = |share| (share * all_succeeded + 1.0) / succeeded;
        let unused_quota = self.tenant_shares.get(tenant).map_or(1.0, unused_quota);
        let claim = (relative_priority * unused_quota).sqrt();
        if claim.is_finite() {
            claim.clamp(1.0 / MAX_FLEET_BOUND_FACTOR, MAX_FLEET_BOUND_FACTOR)
        } else {
            1.0
        }
    }

    /// Size of the workers against one of a few cores, by the usual copies that fit their memory; 1 at least.
    pub(super) fn worker_size(&self) -> f64 {
        let kinds = &self.settings.memory_mb_by_kind;
        let memory_mb = kinds.iter().sum::<f64>() / kinds.len() as f64;
        let size = memory_mb / self.mean_memory_mb / SMALL_WORKER_COPIES;
        if size.is_finite() { size.max(1.0) } else { 1.0 }
    }

    /// Speed of a worker's kind of machine against the mean of all, as far as it was measured.
    pub(super) fn relative_speed(&self, worker: usize) -> f64 {
        self.relative_speeds.get(
            self.workers[worker].endpoint.machine_kind as usize,
            f64::from(MIN_SAMPLES),
            self.now,
        )
    }

    /// Work that each worker of a kind, or of all, surely does a second; less where all are filled at once.
    pub(super) fn worker_capacity(&self, kind: Option<u32>) -> f64 {
        let peak = self.measurements.peak_throughput.get(&kind).map_or(0.0, |peak| peak.value(self.now));
        let safety = if self.measurements.predates_loss { SLOW_START_SAFETY } else { 1.0 };
        safety * peak / self.measurements.max_workers_up.get(&kind).map_or(1.0, |&workers| workers as f64)
    }
}
