//! State of the scheduler.
use super::{Addresses, ClassState, DerivedSettings, EndpointLease, OpenRequest, PendingQuery, Worker};
use crate::interface::{Action, EndpointState, RequestId};
use crate::mailbox::Mailbox;
use crate::measure::{DecayingSums, Histogram, Measurements, RelativeSpeeds, SlidingWindow};
use crate::messages::{Candidate, Message};
use crate::names::{NameTable, stable_hash};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A scheduler: a deterministic state machine without a clock or I/O. Its methods are in the modules of
/// [`crate::scheduler`].
#[derive(Default)]
pub struct Scheduler {
    pub(crate) settings: DerivedSettings,
    pub(crate) classes: Vec<ClassState>,
    /// Share of each tenant's quota in the sum of all quotas, by tenant.
    pub(crate) tenant_shares: Vec<f64>,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) pending_query: Option<PendingQuery>,
    /// Number of workers that have not yet replied to the pending query.
    pub(crate) awaited_replies: usize,
    pub(crate) candidates: Vec<Candidate>,
    /// Work of successful attempts by tenant, in units of the mean request.
    pub(crate) succeeded_work: DecayingSums,
    /// Work of arrived requests by function, in units of the mean request.
    pub(crate) requested_work: DecayingSums,
    /// Priority weight of arrived requests, in total.
    pub(crate) requested_priority: DecayingSums,
    /// Mean memory of a cached copy, in MB.
    pub(crate) mean_memory_mb: f64,
    /// Speed of each kind of machine relative to the mean.
    pub(crate) relative_speeds: RelativeSpeeds,
    /// Measurements that a later run of this scheduler can be started with.
    pub measurements: Measurements,
    /// Number of pseudo-random draws so far.
    pub(crate) random_draws: u64,
    /// State of each worker, by index.
    pub(crate) workers: Vec<Worker>,
    /// Indexes of the workers that the endpoint list names.
    pub(crate) listed_workers: Vec<usize>,
    /// The endpoint list has changed since `listed_workers` was built.
    pub(crate) listed_workers_stale: bool,
    pub(crate) addresses: Addresses,
    pub(crate) worker_names: NameTable,
    pub(crate) function_names: NameTable,
    /// Number of functions at which the least requested ones are forgotten; 0 until it is first computed.
    pub(crate) function_limit: usize,
    /// Functions that were forgotten because the name table was full.
    pub(crate) forgotten_functions: u64,
    /// Upper bound of the number of cache entries at all workers.
    pub(crate) cache_insertions: usize,
    pub(crate) mailbox: Mailbox<Message>,
    pub(crate) now: Duration,
    pub(crate) last_sweep_at: Duration,
    /// Requests within the load quota's window.
    pub(crate) load_quota_requests: SlidingWindow,
    /// Load commands within the load quota's window.
    pub(crate) load_quota_commands: SlidingWindow,
    pub(crate) prefetch_paused_until: Duration,
    pub(crate) prefetch_durations: Histogram,
    pub(crate) lease: EndpointLease,
    /// Time at which to start the next watch on the endpoint list; `None`: none is due.
    pub(crate) watch_due_at: Option<Duration>,
    /// Actions that the current event has led to so far.
    pub(crate) actions: Vec<Action>,
}

/// Sizes of the tables that the scheduler's memory grows with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Number of workers in the name table.
    pub workers: usize,
    /// Number of functions in the name table.
    pub functions: usize,
    /// Number of requests without a final response.
    pub open_requests: usize,
    /// Number of cache entries at all workers, including expired ones.
    pub cache_entries: usize,
    /// Number of functions with a measured popularity.
    pub popularities: usize,
    /// Workers that are in slow start, each since this scheduler was told of its process.
    pub warming_workers: usize,
    /// Functions that were forgotten since the start because the name table was full.
    pub forgotten_functions: u64,
}

impl Scheduler {
    /// Returns the current sizes of the tables.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            workers: self.worker_names.len(),
            functions: self.function_names.len(),
            open_requests: self.requests.len(),
            cache_entries: self.workers.iter().map(|worker| worker.cache.len()).sum(),
            popularities: self.requested_work.len(),
            warming_workers: self.workers.iter().filter(|worker| worker.warming_since.is_some()).count(),
            forgotten_functions: self.forgotten_functions,
        }
    }

    /// Rebuilds `listed_workers` if the endpoint list has changed.
    pub(crate) fn refresh_listed_workers(&mut self) {
        if !std::mem::take(&mut self.listed_workers_stale) {
            return;
        }
        let listed = self.workers.iter().filter(|worker| worker.endpoint.state != EndpointState::Gone);
        self.listed_workers = listed.map(|worker| worker.index).collect();
        let up = self.workers.iter().filter(|worker| worker.endpoint.state == EndpointState::Up);
        self.measurements.record_workers_up(up.map(|worker| worker.endpoint.machine_kind));
    }

    /// Stores the memory use in a worker's load report, and returns the load in it.
    pub(crate) fn apply_load_report(&mut self, worker: usize, report: &[Option<f64>]) -> Option<f64> {
        let value = |field: Option<usize>| field.and_then(|at| report.get(at).copied().flatten());
        self.workers[worker].unreclaimable_share =
            value(self.settings.memory_field_index).unwrap_or_default();
        value(self.settings.load_field_index)
    }

    /// Returns the functions of all open requests and of all attempts in flight. An attempt may outlive its
    /// request.
    pub(crate) fn functions_in_use(&self) -> BTreeSet<usize> {
        let attempts = self.workers.iter().flat_map(|worker| &worker.attempts);
        let attempted = attempts.map(|attempt| attempt.query.function);
        let requested = self.requests.values().map(|request| request.function);
        requested.chain(attempted).collect()
    }

    /// Returns the workers that an open request was sent to, and those with an attempt in flight.
    pub(crate) fn workers_in_use(&self) -> BTreeSet<usize> {
        let busy = self.workers.iter().filter(|worker| !worker.attempts.is_empty());
        let tried = self.requests.values().flat_map(|request| &request.tried_workers);
        busy.map(|worker| worker.index).chain(tried.copied()).collect()
    }

    /// Returns the index of a worker, assigning a free index to a new name.
    pub(crate) fn worker_index(&mut self, name: &str) -> usize {
        let index = self.worker_names.index(name, self.now);
        while self.workers.len() <= index {
            self.workers.push(Worker::new(self.workers.len()));
        }
        self.workers[index].name_hash = stable_hash(name, 0);
        index
    }
}
