//! Types of the messages between the request table and the workers.
use crate::interface::{CacheResult, DeduplicationScope, Endpoint, Outcome, RequestId};
use std::time::Duration;

/// Cache status of a function at a worker, in order of preference.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CacheStatus {
    /// A recent response or load command showed that the function is cached.
    Known,
    /// The worker received a request or load command for the function within the keep-alive.
    Assumed,
    /// The worker probably has to load the function before it can execute a request.
    NotWarm,
}

/// A message to the request table or to a worker.
pub(crate) enum Message {
    /// To a worker: its entry in the endpoint list was updated.
    EndpointUpdated(EndpointRecord),
    /// To a worker: another worker has taken over its address.
    Replaced,
    /// To a worker: asks whether the worker accepts a request.
    PlacementQuery(PlacementQuery),
    /// To the request table: reply of a worker to a placement query; `None`: the worker does not accept the
    /// request.
    PlacementReply(Option<Candidate>),
    /// To a worker: an attempt was sent to the worker.
    AttemptStarted(Attempt),
    /// To a worker: an attempt ended. `tenant_rejected`: a rejection of the attempt concerns only its tenant.
    AttemptEnded { end: AttemptEnd, tenant_rejected: bool },
    /// To the request table: choose a worker for this request.
    PlaceRequest(RequestId),
    /// To a worker: a connection to the worker was closed.
    Disconnected,
    /// To a worker: check its responsiveness. Sent periodically.
    Tick,
    /// To the request table: this attempt is in flight at an unresponsive worker.
    WorkerUnresponsive { request: RequestId, attempt: u32 },
}

/// A worker's entry in the endpoint list, without its name, which is stored in the name table.
pub(crate) type EndpointRecord = Endpoint<'static>;

/// Properties of a request that a worker's decision to accept the request depends on.
#[derive(Clone, Copy)]
pub(crate) struct PlacementQuery {
    pub(crate) request_class: usize,
    pub(crate) tenant: u32,
    pub(crate) function: usize,
    /// The request carries an idempotency key, so a success may be the stored response of an earlier attempt.
    pub(crate) has_key: bool,
    /// Workers that the request is confined to, once an attempt may have executed; `None`: no restriction.
    pub(crate) restriction: Option<Restriction>,
    /// The request is idempotent and has attempts left, so it may serve as a health check of an ejected
    /// worker.
    pub(crate) may_retry: bool,
    /// Work of the request, in units of the mean request.
    pub(crate) relative_work: f64,
    /// Throughput that the worker has proven to sustain, in mean requests per second. Only work that this
    /// scheduler sent is counted.
    pub(crate) worker_capacity: f64,
}

/// Confines a request to the workers that drop a duplicate of it.
#[derive(Clone, Copy)]
pub(crate) struct Restriction {
    scope: DeduplicationScope,
    /// A worker that may have executed the request.
    executor: EndpointRecord,
    /// The workers that may have executed the request are in several scopes: no worker drops every duplicate.
    is_in_several_scopes: bool,
}

impl Restriction {
    /// Creates the restriction of a request that these workers may have executed; `None`: none may have.
    pub(crate) fn new(scope: DeduplicationScope, executors: &[EndpointRecord]) -> Option<Restriction> {
        let (&executor, others) = executors.split_first()?;
        let is_in_several_scopes = others.iter().any(|other| !is_in_same_scope(scope, &executor, other));
        Some(Restriction { scope, executor, is_in_several_scopes })
    }

    pub(crate) fn permits(&self, worker: &EndpointRecord) -> bool {
        !self.is_in_several_scopes && is_in_same_scope(self.scope, &self.executor, worker)
    }
}

/// Whether each of two workers drops a duplicate of a request that the other has executed.
fn is_in_same_scope(scope: DeduplicationScope, first: &EndpointRecord, second: &EndpointRecord) -> bool {
    let same_zone = first.zone == second.zone;
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => same_zone,
        DeduplicationScope::Cell => same_zone && first.cell == second.cell,
    }
}

/// A worker that accepts a request, with the values that its rank depends on.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) worker: usize,
    pub(crate) cache_status: CacheStatus,
    /// An attempt or load command of the function has succeeded at the worker, so its load is complete.
    pub(crate) is_cached: bool,
    /// Load by other schedulers according to the last load report; `None`: no recent report.
    pub(crate) remote_load: Option<f64>,
    /// Number of this scheduler's attempts in flight at the worker.
    pub(crate) local_load: usize,
    /// Number of this scheduler's attempts in flight at the worker that do not wait for a load.
    pub(crate) local_running: usize,
    /// Number of this scheduler's cancelled or timed-out attempts that the worker may still execute.
    pub(crate) local_abandoned: usize,
    pub(crate) is_ejected: bool,
    /// The worker rejected an attempt while the endpoint list could not be confirmed.
    pub(crate) is_suspected: bool,
    /// The worker recently rejected this tenant while it had capacity for others.
    pub(crate) tenant_rejected: bool,
    pub(crate) is_warming_up: bool,
    /// The request does not fit the worker's slow-start budget.
    pub(crate) exceeds_slow_start_budget: bool,
}

/// A due renewal of a worker's proof. The order is by the time of the last command, a worker without one
/// first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProofRenewal {
    /// Time at which the last command was sent that is in flight or that the worker accepted since the
    /// endpoint list's last confirmation; `None`: no such command.
    pub(crate) last_sent_at: Option<Duration>,
}

/// An attempt in flight at a worker.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub(crate) number: u32,
    pub(crate) query: PlacementQuery,
    pub(crate) timeout: Duration,
    pub(crate) sent_at: Duration,
}

/// End of a load command.
pub(crate) struct PrefetchEnd {
    pub(crate) worker: usize,
    pub(crate) function: usize,
    pub(crate) outcome: Outcome,
    pub(crate) duration: Duration,
    /// Number of copies that the worker loaded.
    pub(crate) copies: u32,
}

/// End of an attempt.
#[derive(Clone, Copy)]
pub(crate) struct AttemptEnd {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) outcome: Outcome,
    pub(crate) duration: Duration,
    pub(crate) cache_result: CacheResult,
    /// Load that the worker reported: its number of requests, or else its share of busy cores.
    pub(crate) load: Option<f64>,
}
