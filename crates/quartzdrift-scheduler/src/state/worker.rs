//! State of a worker as seen by this scheduler.
use super::{ActivityProof, DerivedSettings, LeaseView};
use crate::interface::{RequestId, WorkerStanding};
use crate::messages::{Attempt, EndpointRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// Cache entry of a function at a worker.
#[derive(Clone, Copy, Default)]
pub(crate) struct CacheEntry {
    /// An attempt or load command of the function has succeeded at the worker, so its load is complete.
    pub(crate) is_cached: bool,
    /// End of the cache status [`Known`](crate::messages::CacheStatus::Known).
    pub(crate) known_until: Duration,
    /// End of the cache status [`Assumed`](crate::messages::CacheStatus::Assumed).
    pub(crate) assumed_until: Duration,
}

impl CacheEntry {
    /// Time after which the function counts as not warm.
    pub(crate) fn expires_at(&self) -> Duration {
        self.known_until.max(self.assumed_until)
    }
}

/// Health of a worker for the requests of one class.
#[derive(Default)]
pub(crate) struct Health {
    pub(crate) ejected_until: Duration,
    /// Number of consecutive ejections.
    pub(crate) ejections: u32,
    /// Moving average of the share of attempts that failed, from 0 to 1.
    pub(crate) error_rate: f64,
}

/// Load of a worker by other schedulers, as derived from its last load report.
#[derive(Clone, Copy)]
pub(crate) struct RemoteLoad {
    pub(crate) value: f64,
    pub(crate) reported_at: Duration,
}

/// Use of a worker's slow-start budget in the current half window.
#[derive(Default)]
pub(crate) struct SlowStartUsage {
    /// Sequence number of the half window.
    half_window: u64,
    /// Work sent to the worker in the half window, in units of the mean request.
    pub(crate) work: f64,
}

impl SlowStartUsage {
    /// Resets the work at the first call in a new half window.
    pub(crate) fn enter(&mut self, half_window: u64) {
        if half_window != self.half_window {
            *self = SlowStartUsage { half_window, work: 0.0 };
        }
    }
}

/// Scheduler-wide inputs of a worker's decisions.
#[derive(Clone, Copy)]
pub(crate) struct DecisionContext<'a> {
    pub(crate) now: Duration,
    pub(crate) settings: &'a DerivedSettings,
    pub(crate) lease: LeaseView,
}

/// State of a worker as seen by this scheduler.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) index: usize,
    /// Hash of the worker's name, equal in all schedulers.
    pub(crate) name_hash: u64,
    pub(crate) endpoint: EndpointRecord,
    /// Time at which the worker was removed from the endpoint list.
    pub(crate) gone_since: Duration,
    /// Cache entries by function.
    pub(crate) cache: BTreeMap<usize, CacheEntry>,
    pub(crate) attempts: Vec<Attempt>,
    /// For each cancelled or timed-out attempt that the worker may still execute, the time until which it
    /// counts.
    pub(crate) abandoned_until: Vec<Duration>,
    pub(crate) remote_load: Option<RemoteLoad>,
    /// Share of the worker's memory that cannot be reclaimed, from 0 to 1, according to the last load report.
    pub(crate) unreclaimable_share: f64,
    pub(crate) last_response_at: Duration,
    /// Time at which this scheduler was told of the start of the worker's process, while the worker is warming
    /// up; `None`: it is not.
    pub(crate) warming_since: Option<Duration>,
    pub(crate) slow_start_usage: SlowStartUsage,
    pub(crate) at_capacity_until: Duration,
    /// Latest sequence of commands that the worker accepted.
    pub(crate) proof: Option<ActivityProof>,
    /// Time at which the worker last rejected an attempt while the endpoint list could not be confirmed.
    pub(crate) suspected_at: Option<Duration>,
    /// Standing in the last notice on this worker.
    pub(crate) reported_standing: WorkerStanding,
    /// Minimum duration of an ejection for unresponsiveness.
    pub(crate) unresponsive_ejection: Duration,
    /// For each tenant that the worker rejected while it had capacity for others, the time until which the
    /// worker is ranked last for the tenant.
    pub(crate) tenant_rejected_until: BTreeMap<u32, Duration>,
    /// Health by request class, because a worker may fail the requests of a single class.
    pub(crate) health: BTreeMap<usize, Health>,
}

impl Worker {
    pub(crate) fn new(index: usize) -> Worker {
        Worker { index, ..Worker::default() }
    }

    pub(crate) fn remove_attempt(&mut self, request: RequestId, number: u32) -> Option<Attempt> {
        let is_wanted = |attempt: &Attempt| (attempt.request, attempt.number) == (request, number);
        let at = self.attempts.iter().position(is_wanted)?;
        Some(self.attempts.swap_remove(at))
    }

    /// Returns the number of attempts whose function is cached; the others wait for a load.
    pub(crate) fn running_attempts(&self) -> usize {
        let is_cached = |function| self.cache.get(&function).is_some_and(|entry| entry.is_cached);
        self.attempts.iter().filter(|attempt| is_cached(attempt.query.function)).count()
    }

    pub(crate) fn cache_entry(&self, function: usize) -> CacheEntry {
        self.cache.get(&function).copied().unwrap_or_default()
    }
}
