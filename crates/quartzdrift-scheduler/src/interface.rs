//! What goes into the decision module and what comes out of it. Types only.
//!
//! Times are spans since the clock's zero. A setting that was not told is `None`.
use crate::measure::Measurements;
use std::rc::Rc;
use std::time::Duration;

pub type RequestId = u64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    #[default]
    Idempotent,
    IdempotentWithKey,
    NonIdempotent,
}

/// Which workers drop the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    pub name: String,
    pub idempotency: Idempotency,
    pub latency_objective: Option<Duration>,
    /// The latency objective grows by this many times the request's own work.
    pub latency_objective_stretch: Option<f64>,
    pub timeout: Option<Duration>,
    pub priority_weight: Option<f64>,
    pub late_weight: Option<f64>,
    pub deduplication_scope: DeduplicationScope,
    pub window: Option<Duration>,
    pub streams: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Tenant {
    pub name: String,
    pub share: Option<f64>,
    pub requests_per_second: Option<f64>,
}

#[derive(Clone, Debug, Default)]
pub struct Allowed {
    pub cancel: bool,
    pub probes: bool,
    pub peers: bool,
    pub hedging: bool,
    pub retry_after: bool,
    pub max_retry_after: Option<Duration>,
    pub max_attempts: Option<u32>,
    pub max_open: Option<u32>,
    pub connect_timeout: Option<Duration>,
    pub keepalive: Option<Duration>,
    pub cpu_us_per_second: Option<f64>,
    pub cpu_us_per_request: Option<f64>,
    pub streams_per_connection: Option<u32>,
}

#[derive(Clone, Debug, Default)]
pub struct Rules {
    pub answer_slack: Option<Duration>,
    pub ask_within: Option<Duration>,
    pub cold_from: Option<f64>,
    pub cold_for: Option<Duration>,
    pub drain_grace: Option<Duration>,
    pub fall_multiple: Option<f64>,
    pub fall_window: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnMiss {
    #[default]
    Load,
    Miss,
}

#[derive(Clone, Debug, Default)]
pub struct CacheSettings {
    pub on_miss: OnMiss,
    pub load_commands: bool,
    pub reports_cache_status: bool,
    pub reports_concurrency: bool,
    pub keep: Option<Duration>,
    pub memory_mb_by_kind: Vec<f64>,
    pub idle_memory_price: Option<f64>,
    pub load_quota_burst: Option<f64>,
    pub load_quota_share: Option<f64>,
    pub load_quota_window: Option<Duration>,
    pub load_command_timeout: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    Answers,
    Probes,
    #[default]
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    Held,
    Queued,
    Busy,
    LatencyMs,
    SucceededPerSecond,
    ErrorsPerSecond,
    MemoryTaken,
    Loads,
    Unknown,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    #[default]
    Push,
    Poll,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    #[default]
    Silent,
    Nominal,
    Rough,
    Live,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CountedBy {
    #[default]
    Request,
    Work,
}

/// Points taken off the result, each for one unit of what it names.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    pub connection: f64,
    pub cross_zone: f64,
    pub handshake: f64,
    pub late_failure: f64,
    pub moves: f64,
    pub origin: f64,
    pub peer: f64,
    pub probe: f64,
    pub discovery: f64,
    pub waste: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Goal {
    pub whole: f64,
    pub worst_window: f64,
    pub worst_request_class: f64,
    pub worst_tenant: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub me: Option<u32>,
    pub schedulers: Option<u32>,
    pub zone: Option<u32>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub tier: Option<u32>,
    pub tiers: Vec<String>,
    pub family: String,
    pub resolution: Option<Duration>,
    pub discovery: DiscoveryMode,
    pub weights: Weights,
    pub counted_by: CountedBy,
    pub over_quota_weight: Option<f64>,
    pub clients_mark_retries: bool,
    pub request_classes: Vec<RequestClass>,
    pub tenants: Vec<Tenant>,
    pub allowed: Allowed,
    pub rules: Rules,
    pub copies: CacheSettings,
    pub report_source: ReportSource,
    pub report_fields: Vec<ReportField>,
    pub prices: Prices,
    pub goal: Goal,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Up,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    Changes,
    Full,
    Snapshot,
    Failed,
}

/// One line of the list of workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint<'a> {
    pub worker: &'a str,
    pub capacity_hint: Option<f64>,
    pub cell: u32,
    pub kind: u32,
    pub zone: u32,
    /// The most recent start; `None`: long ago.
    pub started: Option<Duration>,
    pub state: EndpointState,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    pub request: RequestId,
    pub request_class: u32,
    pub tenant: u32,
    pub function: &'a str,
    /// What remains until the client gives this try up.
    pub left: Duration,
    pub work_hint: Option<Duration>,
    pub memory_mb: Option<f64>,
    pub concurrency_slots: Option<f64>,
    pub load_hint: Option<Duration>,
    pub is_retry: bool,
    pub writes: bool,
}

/// What a forecast says of a function's use.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageForecast<'a> {
    pub function: &'a str,
    pub request_class: u32,
    /// The span from now on that it speaks of.
    pub within: Duration,
    /// Chance of a use in that span.
    pub probability: f64,
    /// Requests of the function that are expected a second in all, where that is known.
    pub requests_per_second: Option<f64>,
    pub memory_mb: Option<f64>,
    pub concurrency_slots: Option<f64>,
    pub load_hint: Option<Duration>,
}

/// How an attempt, a probe or a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Error,
    AtCapacity,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NeverSent,
    CacheMiss,
}

/// What an answer says of the function's copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheResult {
    #[default]
    Unknown,
    Warm,
    StartedLoad,
    AwaitedLoad,
    LoadFailed,
}

#[derive(Clone, Debug)]
pub enum Event<'a> {
    EndpointList {
        form: EndpointListKind,
        entries: Vec<Endpoint<'a>>,
    },
    Request(Request<'a>),
    /// An attempt ended; `concluded` once the request needs no final answer from us any more.
    AttemptEnded {
        request: RequestId,
        attempt: u32,
        worker: &'a str,
        outcome: Outcome,
        duration: Duration,
        concluded: bool,
        cache_result: CacheResult,
        concurrency: Option<u32>,
        report: Vec<Option<f64>>,
    },
    /// A streamed answer has begun; the client owns that attempt now.
    StreamingStarted {
        request: RequestId,
        attempt: u32,
        worker: &'a str,
        duration: Duration,
    },
    /// The client left, or the final answer is overdue.
    RequestCancelled {
        request: RequestId,
    },
    Timer {
        name: &'a str,
    },
    HealthChecked {
        worker: &'a str,
        outcome: Outcome,
        duration: Duration,
        report: Vec<Option<f64>>,
    },
    PeerMessage {
        from: u32,
        bytes: Vec<u8>,
    },
    LoadEnded {
        worker: &'a str,
        function: &'a str,
        outcome: Outcome,
        duration: Duration,
        copies: u32,
    },
    /// How many schedulers there are from now on, in place of the settings' number.
    SchedulerCount(u32),
    /// Without it nothing is loaded ahead of need.
    UsageForecast(UsageForecast<'a>),
    /// What an earlier start of this scheduler had measured, by a clock that goes on in ours.
    RestoredMeasurements(Measurements),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    StartAttempt {
        request: RequestId,
        worker: Rc<str>,
        timeout: Option<Duration>,
    },
    Reject {
        request: RequestId,
        retry_after: Option<Duration>,
    },
    Fail {
        request: RequestId,
    },
    CancelAttempt {
        request: RequestId,
        attempt: u32,
    },
    SetTimer {
        delay: Duration,
        name: &'static str,
    },
    CheckHealth {
        worker: Rc<str>,
    },
    CloseIdle {
        worker: Rc<str>,
    },
    /// To one scheduler, or to all of them.
    SendToPeer {
        to: Option<u32>,
        bytes: Vec<u8>,
    },
    Load {
        worker: Rc<str>,
        function: Rc<str>,
        copies: u32,
    },
    Unload {
        worker: Rc<str>,
        function: Rc<str>,
    },
    Watch {
        on: bool,
    },
    PollEndpoints,
    Log {
        text: String,
    },
}
