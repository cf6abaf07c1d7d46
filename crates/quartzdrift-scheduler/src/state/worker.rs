//! State of a worker, as this scheduler knows it.
use super::{ActivityProof, DerivedSettings, LeaseView};
use crate::interface::{RequestId, WorkerStanding};
use crate::messages::{Attempt, EndpointRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is known of a function's copy at a worker.
#[derive(Clone, Copy, Default)]
pub(crate) struct CacheEntry {
    /// An answer came since the function was first sent there.
    pub(crate) is_cached: bool,
    pub(crate) known_until: Duration,
    pub(crate) assumed_until: Duration,
}

impl CacheEntry {
    /// End of the entry's last status.
    pub(crate) fn expires_at(&self) -> Duration {
        self.known_until.max(self.assumed_until)
    }
}

/// Health of a worker for one request class.
#[derive(Default)]
pub(crate) struct Health {
    pub(crate) ejected_until: Duration,
    /// Ejections in a row.
    pub(crate) ejections: u32,
    /// Share of recent attempts that ended in error.
    pub(crate) error_rate: f64,
}

/// Load of a worker by other schedulers, and when it was reported.
#[derive(Clone, Copy)]
pub(crate) struct RemoteLoad {
    pub(crate) value: f64,
    pub(crate) reported_at: Duration,
}

/// Use of the slow-start budget.
#[derive(Default)]
pub(crate) struct SlowStartUsage {
    /// Number of the half window.
    half_window: u64,
    /// Work sent in it.
    pub(crate) work: f64,
}

impl SlowStartUsage {
    /// Begins a half window, unless it is the current one.
    pub(crate) fn enter(&mut self, half_window: u64) {
        if half_window != self.half_window {
            *self = SlowStartUsage { half_window, work: 0.0 };
        }
    }
}

/// What a worker's decisions rest on besides its state.
#[derive(Clone, Copy)]
pub(crate) struct DecisionContext<'a> {
    pub(crate) now: Duration,
    pub(crate) settings: &'a DerivedSettings,
    pub(crate) lease: LeaseView,
}

/// State of a worker, as this scheduler knows it.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) index: usize,
    /// Hash of the worker's name, the same in each scheduler.
    pub(crate) name_hash: u64,
    pub(crate) endpoint: EndpointRecord,
    /// Since when the endpoint list does not name it.
    pub(crate) gone_since: Duration,
    /// By function.
    pub(crate) cache: BTreeMap<usize, CacheEntry>,
    pub(crate) attempts: Vec<Attempt>,
    /// Attempts that were given up and may still run, each until when.
    pub(crate) abandoned_until: Vec<Duration>,
    pub(crate) remote_load: Option<RemoteLoad>,
    /// Share of its memory that cannot be freed, as last reported.
    pub(crate) unreclaimable_share: f64,
    pub(crate) last_response_at: Duration,
    /// Start of the process, while it is warming up.
    pub(crate) warming_since: Option<Duration>,
    pub(crate) slow_start_usage: SlowStartUsage,
    pub(crate) at_capacity_until: Duration,
    /// Commands that it took lately.
    pub(crate) proof: Option<ActivityProof>,
    /// When it turned an attempt away while the endpoint list could not be confirmed.
    pub(crate) suspected_at: Option<Duration>,
    /// The standing that was noticed last.
    pub(crate) reported_standing: WorkerStanding,
    /// Least ejection time after it was unresponsive.
    pub(crate) unresponsive_ejection: Duration,
    /// Tenants that it alone rejected, each until when it is used last.
    pub(crate) tenant_rejected_until: BTreeMap<u32, Duration>,
    /// By request class, as a worker may fail requests of one class only.
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

    /// Attempts whose function is cached here: the others wait for a load.
    pub(crate) fn attempts_at_cached_copies(&self) -> usize {
        let is_cached = |function| self.cache.get(&function).is_some_and(|entry| entry.is_cached);
        self.attempts.iter().filter(|attempt| is_cached(attempt.query.function)).count()
    }

    pub(crate) fn cache_entry(&self, function: usize) -> CacheEntry {
        self.cache.get(&function).copied().unwrap_or_default()
    }
}
