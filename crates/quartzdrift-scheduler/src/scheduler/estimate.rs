//! Estimates used by the decisions: attempt durations and timeouts, relative work, and the capacity of
//! workers.
use super::constants::{
    MAX_FLEET_BOUND_FACTOR, MIN_SAMPLES, SLOW_START_SAFETY, SMALL_WORKER_COPIES, TIMEOUT_QUANTILE,
    TIMEOUT_RATIO,
};
use crate::messages::PlacementQuery;
use crate::state::{ClassState, Scheduler};
use std::time::Duration;

impl ClassState {
    /// Returns the quantile `share` of the durations of attempts that waited for a load (`loading`), or of
    /// the others; `None`: too few samples.
    pub(super) fn duration_quantile(&self, share: f64, loading: bool) -> Option<Duration> {
        let durations = if loading { &self.load_durations } else { &self.cached_durations };
        (durations.count() >= MIN_SAMPLES).then(|| durations.quantile(share))
    }

    /// Returns the timeout of an attempt. `loading`: the attempt waits for a load of its function.
    pub(super) fn attempt_timeout(&self, loading: bool) -> Duration {
        let measured_timeout = |loading| {
            self.duration_quantile(TIMEOUT_QUANTILE, loading).map(|time| time.mul_f64(TIMEOUT_RATIO))
        };
        let timeout = measured_timeout(false).unwrap_or(self.default_timeout);
        if loading { timeout.max(measured_timeout(true).unwrap_or(self.default_timeout)) } else { timeout }
    }
}

impl Scheduler {
    /// Returns the work of a request of this class, in units of the mean request. An overload slows all
    /// classes alike and leaves this ratio unchanged.
    pub(super) fn relative_work(&self, request_class: usize) -> f64 {
        let mean = self.classes[request_class].cached_durations.mean();
        mean.map_or(1.0, |mean| mean.as_secs_f64() / self.mean_attempt_seconds())
    }

    /// Returns the mean duration of an attempt whose function is cached, in seconds, averaged over request
    /// classes.
    pub(super) fn mean_attempt_seconds(&self) -> f64 {
        let means = self.classes.iter().filter_map(|class| class.cached_durations.mean());
        let (count, sum) = means.fold((0, Duration::ZERO), |(count, sum), mean| (count + 1, sum + mean));
        sum.checked_div(count).or(self.measurements.mean_duration).map_or(1.0, |mean| mean.as_secs_f64())
    }

    /// Returns the share of all listed workers' memory that a copy occupies; zero if the worker's memory is
    /// unknown.
    pub(super) fn memory_share(&self, worker: usize, copy_mb: f64) -> f64 {
        let kind = |worker: usize| self.workers[worker].endpoint.machine_kind as usize;
        let worker_mb = |worker: usize| self.settings.memory_mb_by_kind.get(kind(worker));
        let fleet_mb: f64 = self.listed_workers.iter().filter_map(|&worker| worker_mb(worker)).sum();
        worker_mb(worker).map_or(0.0, |_| copy_mb / fleet_mb)
    }

    /// Returns the priority weight of a request class per unit of work.
    pub(super) fn priority_per_work(&self, request_class: usize) -> f64 {
        let priority = self.classes[request_class].priority_weight;
        if self.settings.priority_counts_work {
            priority
        } else {
            priority / self.relative_work(request_class)
        }
    }

    /// Returns the factor on the fleet's overload bound for a request. It grows with the priority of the
    /// request's work relative to all requested work, and with the unused part of its tenant's quota.
    pub(super) fn fleet_bound_factor(&self, query: &PlacementQuery) -> f64 {
        let priority = self.priority_per_work(query.request_class) * self.requested_work.total(self.now);
        let relative_priority = priority / self.requested_priority.total(self.now);
        let tenant = query.tenant as usize;
        let all_succeeded = self.succeeded_work.total(self.now);
        let succeeded = self.succeeded_work.get(tenant, self.now) + 1.0;
        let quota_ratio = |share| (share * all_succeeded + 1.0) / succeeded;
        let quota_ratio = self.tenant_shares.get(tenant).map_or(1.0, quota_ratio);
        let factor = (relative_priority * quota_ratio).sqrt();
        if factor.is_finite() {
            factor.clamp(1.0 / MAX_FLEET_BOUND_FACTOR, MAX_FLEET_BOUND_FACTOR)
        } else {
            1.0
        }
    }

    /// Returns the size of a mean worker relative to one of a few cores, at least 1. The size is estimated by
    /// the number of mean copies that fit the memory.
    pub(super) fn worker_size(&self) -> f64 {
        let kinds = &self.settings.memory_mb_by_kind;
        let memory_mb = kinds.iter().sum::<f64>() / kinds.len() as f64;
        let size = memory_mb / self.mean_memory_mb / SMALL_WORKER_COPIES;
        if size.is_finite() { size.max(1.0) } else { 1.0 }
    }

    /// Returns the measured speed of the worker's kind of machine relative to the mean of all kinds.
    pub(super) fn relative_speed(&self, worker: usize) -> f64 {
        self.relative_speeds.get(
            self.workers[worker].endpoint.machine_kind as usize,
            f64::from(MIN_SAMPLES),
            self.now,
        )
    }

    /// Returns the work per second that a worker of a kind (`None`: of any kind) has proven to sustain, in
    /// mean requests. It is reduced after a loss of workers, when all workers fill up at the same time.
    pub(super) fn worker_capacity(&self, kind: Option<u32>) -> f64 {
        let peak = self.measurements.peak_throughput.get(&kind).map_or(0.0, |peak| peak.value(self.now));
        let safety = if self.measurements.predates_loss { SLOW_START_SAFETY } else { 1.0 };
        safety * peak / self.measurements.max_workers_up.get(&kind).map_or(1.0, |&workers| workers as f64)
    }
    /// Returns the work per second that this scheduler may send to a worker of mean speed whose capacity it has
    /// not measured, as when it has just started itself: any worker executes at least one request at a time, and
    /// all schedulers share it.
    pub(super) fn unmeasured_capacity(&self) -> f64 {
        self.settings.worker_share / self.mean_attempt_seconds()
    }
}
