//! Events: what happened, to be passed to the scheduler in the order in which it happened.
use crate::measure::Measurements;
use std::time::Duration;

/// Number of a request, given by the caller; unique among the open requests.
pub type RequestId = u64;

/// Whether a worker takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Up,
    /// It ends its attempts and takes no further ones.
    Draining,
    /// The endpoint list does not name it (any more).
    #[default]
    Gone,
}

/// What an endpoint list holds, and where it is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The workers that changed.
    Changes,
    /// All workers.
    Full,
    /// All workers as persisted by an earlier start; the first list of a scheduler.
    Snapshot,
    /// None: the list could not be fetched.
    Failed,
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint<'a> {
    /// Name of the worker.
    pub worker: &'a str,
    /// The worker's capacity, in the unit of [`CapacityHints`](super::CapacityHints), where the list tells it.
    pub capacity_hint: Option<f64>,
    /// Number of the worker's cell, a part of its zone.
    pub cell: u32,
    /// Number of the worker's kind of machine, an index into [`Settings::machine_kinds`](super::Settings::machine_kinds).
    pub machine_kind: u32,
    /// Number of the worker's zone, an index into [`Settings::zones`](super::Settings::zones).
    pub zone: u32,
    /// The most recent start of its process; `None`: long ago.
    pub started_at: Option<Duration>,
    /// Whether it takes requests.
    pub state: EndpointState,
}

/// A request that arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Number of the request.
    pub id: RequestId,
    /// Index into [`Settings::request_classes`](super::Settings::request_classes); others are rejected.
    pub request_class: u32,
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: u32,
    /// Name of the function.
    pub function: &'a str,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// Expected time of execution.
    pub work_hint: Option<Duration>,
    /// Memory of a copy of the function, in MB.
    pub memory_mb: Option<f64>,
    /// Requests that a copy of the function executes at a time.
    pub concurrency_slots: Option<f64>,
    /// Expected time of a load of the function.
    pub load_hint: Option<Duration>,
    /// The client sends it again.
    pub is_retry: bool,
    /// Its execution has effects.
    pub has_side_effects: bool,
}

/// What a forecast expects of a function's use.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageForecast<'a> {
    /// Name of the function.
    pub function: &'a str,
    /// Class of the requests, an index into [`Settings::request_classes`](super::Settings::request_classes).
    pub request_class: u32,
    /// The span from now on that the forecast is for.
    pub horizon: Duration,
    /// Probability of a use in that span, from 0 to 1.
    pub probability: f64,
    /// Requests of the function that are expected in a second, of all schedulers, where that is known.
    pub requests_per_second: Option<f64>,
    /// Memory of a copy of the function, in MB.
    pub memory_mb: Option<f64>,
    /// Requests that a copy of the function executes at a time.
    pub concurrency_slots: Option<f64>,
    /// Expected time of a load of the function.
    pub load_hint: Option<Duration>,
}

/// How an attempt, a health check or a load command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was executed.
    Succeeded,
    /// The worker answered with an error; it may have been executed.
    Error,
    /// The worker refused it, as it holds too many requests.
    AtCapacity,
    /// No answer came in time; it may have been executed.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection was lost; it may have been executed.
    Reset,
    /// It was cancelled; it may have been executed.
    Cancelled,
    /// It was recalled before it was sent.
    NeverSent,
    /// The worker holds no copy of the function and did not load one.
    CacheMiss,
}

/// What an answer tells of the function's copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheResult {
    /// Nothing.
    #[default]
    Unknown,
    /// A copy was loaded before.
    Warm,
    /// The attempt started a load.
    StartedLoad,
    /// The attempt waited for a load that another had started.
    AwaitedLoad,
    /// The load failed.
    LoadFailed,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The endpoint list, or changes of it.
    EndpointList {
        /// What `entries` holds.
        kind: EndpointListKind,
        /// Workers; those that the list removed are [`EndpointState::Gone`].
        entries: Vec<Endpoint<'a>>,
    },
    /// The endpoint list was current, as far as it was passed on until now.
    EndpointsConfirmed {
        /// The latest time of which that is certain: not that of the answer, but that of the question.
        as_of: Duration,
    },
    /// A worker has ended a connection that carried nothing.
    WorkerDisconnected {
        /// Name of the worker.
        worker: &'a str,
    },
    /// A request arrived.
    Request(Request<'a>),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt's request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Name of the worker.
        worker: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was started.
        duration: Duration,
        /// The request needs no final answer from the scheduler any more.
        concluded: bool,
        /// What the answer tells of the function's copy.
        cache_result: CacheResult,
        /// Requests of the function that the worker held, where the answer tells.
        concurrency: Option<u32>,
        /// The worker's load report: a value for each of
        /// [`Settings::report_fields`](super::Settings::report_fields), or empty.
        report: Vec<Option<f64>>,
    },
    /// A streamed answer has begun; the client owns that attempt now.
    StreamingStarted {
        /// The attempt's request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Name of the worker.
        worker: &'a str,
        /// Time since the attempt was started.
        duration: Duration,
    },
    /// The client left, or the final answer is overdue.
    RequestCancelled {
        /// The request.
        request: RequestId,
    },
    /// A timer that [`SetTimer`](super::Action::SetTimer) set is due.
    Timer {
        /// Name that it was set with.
        name: &'a str,
    },
    /// A health check ended.
    HealthChecked {
        /// Name of the worker.
        worker: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was started.
        duration: Duration,
        /// The worker's load report, as in [`AttemptEnded`](Event::AttemptEnded).
        report: Vec<Option<f64>>,
    },
    /// A message of another scheduler.
    PeerMessage {
        /// Number of that scheduler.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A load command ended.
    LoadEnded {
        /// Name of the worker.
        worker: &'a str,
        /// Name of the function.
        function: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was given.
        duration: Duration,
        /// Number of copies that were loaded.
        copies: u32,
    },
    /// How many schedulers there are from now on, in place of the settings' number.
    SchedulerCount(u32),
    /// A function is likely to be used; nothing is loaded ahead of need without such an event.
    UsageForecast(UsageForecast<'a>),
    /// What an earlier start of this scheduler had measured, by a clock that goes on in ours.
    RestoredMeasurements(Measurements),
}
