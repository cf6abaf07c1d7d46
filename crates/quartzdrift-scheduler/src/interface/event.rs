//! Events that the host passes to the scheduler, in the order in which they occurred.
use crate::measure::Measurements;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of a request. The host assigns it, unique among the open requests.
pub type RequestId = u64;

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker accepts requests.
    Up,
    /// The worker finishes its attempts and accepts no new ones.
    Draining,
    /// The endpoint list does not name the worker, or has removed it.
    #[default]
    Gone,
}

/// Content and origin of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The workers whose entries changed.
    Changes,
    /// All workers.
    Full,
    /// All workers as persisted by an earlier run of the process; always the first list of a scheduler.
    Snapshot,
    /// No workers: the fetch of the list failed.
    Failed,
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint<'a> {
    /// Name of the worker.
    pub worker: &'a str,
    /// Capacity of the worker as [`CapacityHints`](super::CapacityHints) describes it; `None`: not listed.
    pub capacity_hint: Option<f64>,
    /// Address at which the worker listens; `None`: its name is its address. Two workers are never at one address:
    /// the one that was listed there last has replaced the other.
    pub address: Option<SocketAddr>,
    /// Number of the worker's cell, which is a part of its zone.
    pub cell: u32,
    /// Index of the worker's kind of machine in [`Settings::machine_kinds`](super::Settings::machine_kinds).
    pub machine_kind: u32,
    /// Index of the worker's zone in [`Settings::zones`](super::Settings::zones).
    pub zone: u32,
    /// Time of the latest start of the worker's process, by any clock; `None`: long ago. Another time than before
    /// means that the process is a new one. How old it is does not follow from the time.
    pub started_at: Option<Duration>,
    /// State of the worker.
    pub state: EndpointState,
}

/// A request from a client.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Number of the request, unique among the open requests.
    pub id: RequestId,
    /// Index into [`Settings::request_classes`](super::Settings::request_classes). The scheduler rejects a
    /// request with an index past the last class.
    pub request_class: u32,
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: u32,
    /// Name of the function.
    pub function: &'a str,
    /// Time until the request's deadline, when the client stops waiting.
    pub time_left: Duration,
    /// Expected execution time.
    pub work_hint: Option<Duration>,
    /// Memory of a cached copy of the function, in MB.
    pub memory_mb: Option<f64>,
    /// Number of requests that one copy of the function executes concurrently.
    pub concurrency_slots: Option<f64>,
    /// Expected duration of a load of the function.
    pub load_hint: Option<Duration>,
    /// The client marked the request as a retry.
    pub is_retry: bool,
    /// The execution of the request has side effects.
    pub has_side_effects: bool,
}

/// Forecast of the requests for a function.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageForecast<'a> {
    /// Name of the function.
    pub function: &'a str,
    /// Class of the requests: index into [`Settings::request_classes`](super::Settings::request_classes).
    pub request_class: u32,
    /// Period that the forecast covers, starting now.
    pub horizon: Duration,
    /// Probability of at least one request within the horizon, from 0 to 1.
    pub probability: f64,
    /// Expected requests for the function per second, summed over all schedulers; `None`: unknown.
    pub requests_per_second: Option<f64>,
    /// Memory of a cached copy of the function, in MB.
    pub memory_mb: Option<f64>,
    /// Number of requests that one copy of the function executes concurrently.
    pub concurrency_slots: Option<f64>,
    /// Expected duration of a load of the function.
    pub load_hint: Option<Duration>,
}

/// Outcome of a command to a worker: an attempt, a health check or a load command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command was executed.
    Succeeded,
    /// The worker responded with an error; the command may have been executed.
    Error,
    /// The worker rejected the command because it holds too many requests.
    AtCapacity,
    /// No response arrived in time; the command may have been executed.
    TimedOut,
    /// No connection to the worker could be opened; the command was not executed.
    ConnectFailed,
    /// The connection was lost; the command may have been executed.
    Reset,
    /// The host cancelled the command; it may have been executed.
    Cancelled,
    /// The command was withdrawn before it was sent.
    NeverSent,
    /// The worker has no cached copy of the function and did not load one.
    CacheMiss,
}

/// Cache status of the function as the response to an attempt reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheResult {
    /// The response did not report a cache status.
    #[default]
    Unknown,
    /// A cached copy executed the request.
    Warm,
    /// The attempt started a load.
    StartedLoad,
    /// The attempt waited for a load that another attempt had started.
    AwaitedLoad,
    /// The load of the function failed.
    LoadFailed,
}

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The host received an endpoint list, or failed to fetch one.
    EndpointList {
        /// Content of `entries`.
        kind: EndpointListKind,
        /// Entries of the workers; a removed worker has the state [`EndpointState::Gone`].
        entries: Vec<Endpoint<'a>>,
    },
    /// Discovery confirmed that the endpoint list, with all entries passed so far, was current.
    EndpointsConfirmed {
        /// Latest time at which the list is certain to have been current: the time at which the host sent its
        /// request to discovery, not the time of the response.
        as_of: Duration,
    },
    /// A worker closed an idle connection.
    WorkerDisconnected {
        /// Name of the worker.
        worker: &'a str,
    },
    /// A request arrived from a client.
    Request(Request<'a>),
    /// An attempt ended.
    AttemptEnded {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Name of the worker.
        worker: &'a str,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time from the attempt's start to its end.
        duration: Duration,
        /// The request needs no final response any more: the scheduler closes it without a further attempt.
        concluded: bool,
        /// Cache status that the response reported.
        cache_result: CacheResult,
        /// Number of the function's requests that the worker held; `None`: not reported.
        concurrency: Option<u32>,
        /// Load report of the worker: one value for each of
        /// [`Settings::report_fields`](super::Settings::report_fields), or empty if there was none.
        report: Vec<Option<f64>>,
    },
    /// A worker started to stream a response, which the host passes on to the client.
    StreamingStarted {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Name of the worker.
        worker: &'a str,
        /// Time from the attempt's start to the first byte of the response.
        duration: Duration,
    },
    /// The client disconnected, or the deadline for the final response has passed.
    RequestCancelled {
        /// The cancelled request.
        request: RequestId,
    },
    /// A timer expired that [`SetTimer`](super::Action::SetTimer) had set.
    Timer {
        /// Name of the timer.
        name: &'a str,
    },
    /// A health check ended.
    HealthChecked {
        /// Name of the worker.
        worker: &'a str,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Time from the health check's start to its end.
        duration: Duration,
        /// Load report of the worker, as in [`AttemptEnded`](Event::AttemptEnded).
        report: Vec<Option<f64>>,
    },
    /// A message arrived from another scheduler.
    PeerMessage {
        /// Number of the sending scheduler.
        from: u32,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// A load command ended.
    LoadEnded {
        /// Name of the worker.
        worker: &'a str,
        /// Name of the function.
        function: &'a str,
        /// Outcome of the load command.
        outcome: Outcome,
        /// Time from the load command to its end.
        duration: Duration,
        /// Number of copies that the worker loaded.
        copies: u32,
    },
    /// The number of schedulers that share the workers has changed, this one included.
    SchedulerCount(u32),
    /// A forecast of a function's requests. The scheduler prefetches functions only on this event.
    UsageForecast(UsageForecast<'a>),
    /// Measurements of an earlier run of this scheduler, with times on the same clock as this run's.
    RestoredMeasurements(Measurements),
}
