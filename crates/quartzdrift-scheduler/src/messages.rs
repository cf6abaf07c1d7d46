//! What the request table and the workers send each other. Types only.
use crate::interface::{CacheResult, DeduplicationScope, Endpoint, Outcome, RequestId};
use std::time::Duration;

/// Cache status of a worker for a function, the better first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CacheStatus {
    /// An answer told of the cached copy.
    Known,
    /// A request was sent there lately.
    Assumed,
    NotWarm,
}

/// A message to the request table or to a worker.
pub(crate) enum Message {
    /// To a worker: its entry in the endpoint list changed.
    EndpointUpdated {
        endpoint: EndpointRecord,
        /// Since the start of its process, at least.
        age: Duration,
    },
    /// To a worker: whether it takes a request, and how well.
    PlacementQuery(PlacementQuery),
    /// To the request table: a worker's answer; `None` if it does not take the request.
    PlacementReply(Option<Candidate>),
    /// To a worker: an attempt was sent to it.
    AttemptStarted(Attempt),
    /// To a worker: an attempt ended, perhaps because it rejects this tenant alone.
    AttemptEnded { end: AttemptEnd, tenant_rejected: bool },
    /// To the request table: look for a worker for this request.
    PlaceRequest(RequestId),
    /// To a worker: a connection to it has ended.
    Disconnected,
    /// To a worker: some time has passed.
    Tick,
    /// To the request table: this attempt is in flight at a worker that answers nothing.
    WorkerUnresponsive { request: RequestId, attempt: u32 },
}

/// A worker's entry in the endpoint list; its name is stored in the table of names.
pub(crate) type EndpointRecord = Endpoint<'static>;

/// Asks a worker whether it takes a request.
#[derive(Clone, Copy)]
pub(crate) struct PlacementQuery {
    pub(crate) request_class: usize,
    pub(crate) tenant: u32,
    pub(crate) function: usize,
    /// It carries an idempotency key: a success may be that of an earlier request.
    pub(crate) has_key: bool,
    /// Set once an attempt may have executed.
    pub(crate) restriction: Option<Restriction>,
    /// Idempotent with attempts left: may be sent to a worker of doubtful health.
    pub(crate) may_retry: bool,
    /// Work of the request, in usual requests.
    pub(crate) relative_work: f64,
    /// Work that the worker surely does, in usual requests a second, as far as it is ours.
    pub(crate) worker_capacity: f64,
}

/// Confines a request to the workers that drop its repeats.
#[derive(Clone, Copy)]
pub(crate) struct Restriction {
    scope: DeduplicationScope,
    /// The worker that may have executed the request.
    endpoint: EndpointRecord,
}

impl Restriction {
    pub(crate) fn new(scope: DeduplicationScope, endpoint: EndpointRecord) -> Restriction {
        Restriction { scope, endpoint }
    }

    pub(crate) fn permits(&self, worker: &EndpointRecord) -> bool {
        let same_zone = worker.zone == self.endpoint.zone;
        match self.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => same_zone,
            DeduplicationScope::Cell => same_zone && worker.cell == self.endpoint.cell,
        }
    }
}

/// A worker that takes a request, and the facts that it is ranked by.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) worker: usize,
    pub(crate) cache_status: CacheStatus,
    /// An answer came since the function was first sent there.
    pub(crate) is_cached: bool,
    /// Load by other schedulers, as last reported.
    pub(crate) remote_load: Option<f64>,
    /// Our own attempts in flight there.
    pub(crate) local_load: usize,
    /// Those of them that do not wait for a load.
    pub(crate) local_running: usize,
    /// Our own attempts that were given up and may still run.
    pub(crate) local_abandoned: usize,
    pub(crate) is_ejected: bool,
    /// It turned an attempt away while the endpoint list could not be confirmed.
    pub(crate) is_suspected: bool,
    /// It rejected this tenant alone of late.
    pub(crate) tenant_rejected: bool,
    pub(crate) is_warming_up: bool,
    /// Its slow-start budget has no room for the request.
    pub(crate) exceeds_slow_start_budget: bool,
}

/// A worker whose proof has to be renewed soon, or that has none.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProofRenewal {
    pub(crate) last_sent_at: Option<Duration>,
}

/// An attempt in flight at a worker.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    /// Counts the request's attempts from 0.
    pub(crate) number: u32,
    pub(crate) query: PlacementQuery,
    pub(crate) timeout: Duration,
    pub(crate) sent_at: Duration,
}

/// How a load command ended.
pub(crate) struct PrefetchEnd {
    pub(crate) worker: usize,
    pub(crate) function: usize,
    pub(crate) outcome: Outcome,
    pub(crate) duration: Duration,
    /// Copies that were loaded.
    pub(crate) copies: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct AttemptEnd {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) outcome: Outcome,
    pub(crate) duration: Duration,
    pub(crate) cache_result: CacheResult,
    /// Load that the worker reported: requests, or its share of busy cores.
    pub(crate) load: Option<f64>,
}
