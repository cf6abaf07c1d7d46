//! What goes into the decision module and what comes out of it. Types only.
//!
//! Times are spans since the clock's zero. A setting that was not told is `None`.
use crate::measure::Measured;
use std::rc::Rc;
use std::time::Duration;

pub type JobId = u64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Restartable,
    Fingerprinted,
    RunOnce,
}

/// Which workers drop the repeats of a fingerprinted job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Default)]
pub struct Workload {
    pub name: String,
    pub effect: Effect,
    pub start_target: Option<Duration>,
    /// The start target grows by this many times the job's own work.
    pub target_stretch: Option<f64>,
    pub time_limit: Option<Duration>,
    pub importance: Option<f64>,
    pub late_share: Option<f64>,
    pub group: Group,
    pub window: Option<Duration>,
    pub streams: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Customer {
    pub name: String,
    pub share: Option<f64>,
    pub jobs_per_second: Option<f64>,
}

#[derive(Clone, Debug, Default)]
pub struct Allowed {
    pub cancel: bool,
    pub probes: bool,
    pub peers: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after: Option<Duration>,
    pub max_executions: Option<u32>,
    pub max_open: Option<u32>,
    pub connect_timeout: Option<Duration>,
    pub keepalive: Option<Duration>,
    pub cpu_us_per_second: Option<f64>,
    pub cpu_us_per_job: Option<f64>,
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
pub struct Copies {
    pub on_miss: OnMiss,
    pub orders: bool,
    pub tells_warm: bool,
    pub tells_crowd: bool,
    pub keep: Option<Duration>,
    pub memory_mb_by_kind: Vec<f64>,
    pub idle_memory_price: Option<f64>,
    pub load_free: Option<f64>,
    pub load_share: Option<f64>,
    pub load_window: Option<Duration>,
    pub order_timeout: Option<Duration>,
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
    FinishedPerSecond,
    ErrorsPerSecond,
    MemoryTaken,
    Loads,
    Unknown,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    #[default]
    Push,
    Ask,
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
    Job,
    Work,
}

/// Points taken off the result, each for one unit of what it names.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    pub connection: f64,
    pub cross_zone: f64,
    pub handshake: f64,
    pub late_kill: f64,
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
    pub worst_workload: f64,
    pub worst_customer: f64,
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
    pub discovery: Discovery,
    pub weights: Weights,
    pub counted_by: CountedBy,
    pub over_share_importance: Option<f64>,
    pub clients_mark_retries: bool,
    pub workloads: Vec<Workload>,
    pub customers: Vec<Customer>,
    pub allowed: Allowed,
    pub rules: Rules,
    pub copies: Copies,
    pub report_source: ReportSource,
    pub report_fields: Vec<ReportField>,
    pub prices: Prices,
    pub goal: Goal,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    Up,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    Changes,
    Full,
    Saved,
    Failed,
}

/// One line of the list of workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry<'a> {
    pub worker: &'a str,
    pub capacity_hint: Option<f64>,
    pub cell: u32,
    pub kind: u32,
    pub zone: u32,
    /// The most recent start; `None`: long ago.
    pub started: Option<Duration>,
    pub state: State,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct JobAsked<'a> {
    pub job: JobId,
    pub workload: u32,
    pub customer: u32,
    pub function: &'a str,
    /// What remains until the client gives this try up.
    pub left: Duration,
    pub work_hint: Option<Duration>,
    pub memory_mb: Option<f64>,
    pub lanes: Option<f64>,
    pub load_hint: Option<Duration>,
    pub is_retry: bool,
    pub writes: bool,
}

/// What a forecast says of a function's use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Expectation<'a> {
    pub function: &'a str,
    pub workload: u32,
    /// The span from now on that it speaks of.
    pub within: Duration,
    /// Chance of a use in that span.
    pub sure: f64,
    /// Jobs of the function that are expected a second in all, where that is known.
    pub jobs_per_second: Option<f64>,
    pub memory_mb: Option<f64>,
    pub lanes: Option<f64>,
    pub load_hint: Option<Duration>,
}

/// How an execution, a probe or a load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Finished,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
    Miss,
}

/// What an answer says of the function's copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Found {
    #[default]
    Untold,
    Warm,
    BeganLoad,
    AwaitedLoad,
    LoadFailed,
}

#[derive(Clone, Debug)]
pub enum Event<'a> {
    List {
        form: ListForm,
        entries: Vec<Entry<'a>>,
    },
    Job(JobAsked<'a>),
    /// An execution ended; `over` once the job needs no final answer from us any more.
    Ended {
        job: JobId,
        execution: u32,
        worker: &'a str,
        outcome: Outcome,
        took: Duration,
        over: bool,
        found: Found,
        crowd: Option<u32>,
        report: Vec<Option<f64>>,
    },
    /// A streamed answer has begun; the client owns that execution now.
    Streaming {
        job: JobId,
        execution: u32,
        worker: &'a str,
        took: Duration,
    },
    /// The client left, or the final answer is overdue.
    Expired {
        job: JobId,
    },
    Timer {
        mark: &'a str,
    },
    Probed {
        worker: &'a str,
        outcome: Outcome,
        took: Duration,
        report: Vec<Option<f64>>,
    },
    Heard {
        from: u32,
        bytes: Vec<u8>,
    },
    Loaded {
        worker: &'a str,
        function: &'a str,
        outcome: Outcome,
        took: Duration,
        copies: u32,
    },
    /// How many schedulers there are from now on, in place of the settings' number.
    Schedulers(u32),
    /// Without it nothing is loaded ahead of need.
    Expected(Expectation<'a>),
    /// What an earlier start of this scheduler had measured, by a clock that goes on in ours.
    Measured(Measured),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Execute {
        job: JobId,
        worker: Rc<str>,
        time_limit: Option<Duration>,
    },
    PushBack {
        job: JobId,
        come_back: Option<Duration>,
    },
    Kill {
        job: JobId,
    },
    Cancel {
        job: JobId,
        execution: u32,
    },
    Timer {
        delay: Duration,
        mark: &'static str,
    },
    Probe {
        worker: Rc<str>,
    },
    CloseIdle {
        worker: Rc<str>,
    },
    /// To one scheduler, or to all of them.
    Tell {
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
    AskList,
    Log {
        text: String,
    },
}
