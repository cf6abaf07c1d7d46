//! The scheduler's state, and its tables of names.
use super::{ClassState, DerivedSettings, EndpointLease, OpenRequest, PendingQuery, Worker};
use crate::interface::{Action, EndpointState, RequestId};
use crate::mailbox::Mailbox;
use crate::measure::{DecayingSums, Histogram, Measurements, RelativeSpeeds, SlidingWindow};
use crate::messages::{Candidate, Message};
use crate::names::{NameTable, stable_hash};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One instance of the router's decisions: a state machine without clock or I/O. Its methods are those of the
/// modules of [`crate::scheduler`].
#[derive(Default)]
pub struct Scheduler {
    pub(crate) settings: DerivedSettings,
    pub(crate) classes: Vec<ClassState>,
    /// Each tenant's share of all quotas.
    pub(crate) tenant_shares: Vec<f64>,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) pending_query: Option<PendingQuery>,
    /// Workers that have still to answer the pending query.
    pub(crate) awaited_replies: usize,
    pub(crate) candidates: Vec<Candidate>,
    /// Work that succeeded, by tenant.
    pub(crate) succeeded_work: DecayingSums,
    /// Work that was requested, by function.
    pub(crate) requested_work: DecayingSums,
    /// Priority weight that was requested, in all.
    pub(crate) requested_priority: DecayingSums,
    /// Memory of the usual copy, in MB.
    pub(crate) mean_memory_mb: f64,
    /// Speed of each kind of machine.
    pub(crate) relative_speeds: RelativeSpeeds,
    /// What workers do, for a later start of this scheduler.
    pub measurements: Measurements,
    pub(crate) random_draws: u64,
    /// By index.
    pub(crate) workers: Vec<Worker>,
    /// Indexes of the workers that the endpoint list names.
    pub(crate) listed_workers: Vec<usize>,
    pub(crate) listed_workers_stale: bool,
    pub(crate) worker_names: NameTable,
    pub(crate) function_names: NameTable,
    pub(crate) mailbox: Mailbox<Message>,
    pub(crate) now: Duration,
    pub(crate) last_sweep_at: Duration,
    /// Requests and load commands in the load quota's window.
    pub(crate) load_quota_requests: SlidingWindow,
    pub(crate) load_quota_commands: SlidingWindow,
    pub(crate) prefetch_paused_until: Duration,
    pub(crate) prefetch_durations: Histogram,
    /// The start of a process by which the endpoint list's clock is known best, and when it was told.
    pub(crate) latest_start: Option<(Duration, Duration)>,
    pub(crate) lease: EndpointLease,
    /// When to watch the endpoint list.
    pub(crate) watch_due_at: Option<Duration>,
    /// Actions of the event at hand.
    pub(crate) actions: Vec<Action>,
}

/// How many of each the scheduler holds: its memory grows with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Workers whose names are retained.
    pub workers: usize,
    /// Functions whose names are retained.
    pub functions: usize,
    /// Requests without a final answer.
    pub open_requests: usize,
}

impl Scheduler {
    /// How many workers, functions and open requests the scheduler holds.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            workers: self.worker_names.len(),
            functions: self.function_names.len(),
            open_requests: self.requests.len(),
        }
    }

    /// Rebuilds the list of workers that the endpoint list names, if that changed.
    pub(crate) fn refresh_listed_workers(&mut self) {
        if !std::mem::take(&mut self.listed_workers_stale) {
            return;
        }
        let listed = self.workers.iter().filter(|worker| worker.endpoint.state != EndpointState::Gone);
        self.listed_workers = listed.map(|worker| worker.index).collect();
        let up = self.workers.iter().filter(|worker| worker.endpoint.state == EndpointState::Up);
        self.measurements.record_workers_up(up.map(|worker| worker.endpoint.machine_kind));
    }

    /// Reads a worker's load report: stores its use of memory and returns its load.
    pub(crate) fn apply_load_report(&mut self, worker: usize, report: &[Option<f64>]) -> Option<f64> {
        let value = |field: Option<usize>| field.and_then(|at| report.get(at).copied().flatten());
        self.workers[worker].unreclaimable_share =
            value(self.settings.memory_field_index).unwrap_or_default();
        value(self.settings.load_field_index)
    }

    /// Functions that an open request or an attempt names: an attempt may outlive its request.
    pub(crate) fn functions_in_use(&self) -> BTreeSet<usize> {
        let attempts = self.workers.iter().flat_map(|worker| &worker.attempts);
        let attempted = attempts.map(|attempt| attempt.query.function);
        let requested = self.requests.values().map(|request| request.function);
        requested.chain(attempted).collect()
    }

    /// Workers that an open request was sent to, or that have an attempt in flight.
    pub(crate) fn workers_in_use(&self) -> BTreeSet<usize> {
        let busy = self.workers.iter().filter(|worker| !worker.attempts.is_empty());
        let tried = self.requests.values().flat_map(|request| &request.tried_workers);
        busy.map(|worker| worker.index).chain(tried.copied()).collect()
    }

    /// Index of a worker; a new name gets a free one.
    pub(crate) fn worker_index(&mut self, name: &str) -> usize {
        let index = self.worker_names.index(name, self.now);
        while self.workers.len() <= index {
            self.workers.push(Worker::new(self.workers.len()));
        }
        self.workers[index].name_hash = stable_hash(name, 0);
        index
    }
}
