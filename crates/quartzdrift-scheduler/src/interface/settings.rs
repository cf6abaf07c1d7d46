//! Settings of a scheduler: the rules of the deployment that it is part of. The scheduler does not use all of them;
//! docs/move.md lists those that it leaves out.
use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    #[default]
    Idempotent,
    /// Any number of times within the deduplication window, as workers drop its repeats.
    IdempotentWithKey,
    /// Once at most.
    NonIdempotent,
}

/// Which workers drop the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    #[default]
    All,
    /// Those of the zone where it was first executed.
    Zone,
    /// Those of the cell where it was first executed.
    Cell,
}

/// A class of requests that share their rules.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Time in which requests should start to be executed.
    pub latency_objective: Option<Duration>,
    /// The latency objective grows by this many times the request's own work.
    pub latency_objective_stretch: Option<f64>,
    /// Time after which clients give up.
    pub timeout: Option<Duration>,
    /// Weight of a request, or of a unit of work ([`PriorityUnit`]), in the goal.
    pub priority_weight: Option<f64>,
    /// Share of that weight that a request has after its latency objective.
    pub late_weight: Option<f64>,
    /// Which workers drop the repeats of a request with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// Deduplication window: how long workers drop such repeats.
    pub deduplication_window: Option<Duration>,
    /// Answers are streamed.
    pub streams_responses: bool,
}

/// A tenant, on whose behalf requests are sent.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Share of the requests that are expected of it, from 0 to 1.
    pub share: Option<f64>,
    /// Quota, in requests a second.
    pub requests_per_second: Option<f64>,
}

/// What a scheduler is allowed to do, and how often.
#[derive(Clone, Debug, Default)]
pub struct ActionLimits {
    /// To cancel attempts.
    pub cancel: bool,
    /// To check workers' health.
    pub health_checks: bool,
    /// To send messages to other schedulers.
    pub peer_messages: bool,
    /// To send hedged requests.
    pub hedging: bool,
    /// To name a time when it rejects a request.
    pub retry_after: bool,
    /// The longest such time.
    pub max_retry_after: Option<Duration>,
    /// Attempts of a request; `None`: one.
    pub max_attempts: Option<u32>,
    /// Most that may be open at a time; not used by the scheduler.
    pub max_open_requests: Option<u32>,
    /// Time after which a connection counts as failed.
    pub connect_timeout: Option<Duration>,
    /// Time after which workers close an idle connection.
    pub connection_keep_alive: Option<Duration>,
    /// Processor time of the scheduler, in microseconds a second.
    pub cpu_us_per_second: Option<f64>,
    /// Processor time of the scheduler, in microseconds a request.
    pub cpu_us_per_request: Option<f64>,
    /// Attempts that a connection carries at a time.
    pub streams_per_connection: Option<u32>,
}

/// Rules that every scheduler must follow.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time by which a final answer may miss its deadline.
    pub response_slack: Option<Duration>,
    /// Time after a failure in which the endpoint list is to be asked for again.
    pub endpoint_refresh_limit: Option<Duration>,
    /// Share of its capacity that a worker has at its start, from 0 to 1.
    pub slow_start_min_capacity: Option<f64>,
    /// Time for which a worker is warming up after its start.
    pub slow_start_duration: Option<Duration>,
    /// Time for which a draining worker goes on with its attempts.
    pub drain_grace: Option<Duration>,
    /// Time for which the endpoint list holds after the last sign that it was current: what discovery would have told
    /// counts as told then, and at once after that. `None`: the list holds without end.
    pub endpoint_lease: Option<Duration>,
    /// A worker fails if it is sent more than this many times what it can do, over the window that follows.
    pub overload_multiple: Option<f64>,
    /// The window in which work sent to a worker is compared with its capacity.
    pub overload_window: Option<Duration>,
}

/// What a worker does with a request whose function it has no copy of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheMissPolicy {
    /// It loads the function, and executes the request then.
    #[default]
    Load,
    /// It answers that there is none.
    ReportMiss,
}

/// How workers cache functions, and the quota for load commands.
#[derive(Clone, Debug, Default)]
pub struct CacheSettings {
    /// What a worker does with a request whose function it has no copy of.
    pub on_miss: CacheMissPolicy,
    /// Load commands may be given.
    pub load_commands: bool,
    /// Answers tell whether a copy was cached.
    pub reports_cache_status: bool,
    /// Answers tell how many requests of the function the worker held.
    pub reports_concurrency: bool,
    /// Keep-alive: the least time for which an idle copy stays cached.
    pub keep_alive: Option<Duration>,
    /// Memory of a worker for copies, in MB, by kind of machine.
    pub memory_mb_by_kind: Vec<f64>,
    /// Price of holding all memory idle, in points of the result.
    pub idle_memory_price: Option<f64>,
    /// Load quota: load commands in a window, whatever the requests.
    pub load_quota_burst: Option<f64>,
    /// Load quota: further load commands for each request in the window.
    pub load_quota_share: Option<f64>,
    /// Window of the load quota; `None`: load commands are not limited.
    pub load_quota_window: Option<Duration>,
    /// Time after which a load command counts as failed.
    pub load_command_timeout: Option<Duration>,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// With answers.
    Responses,
    /// With answers to health checks.
    HealthChecks,
    /// There are none.
    #[default]
    Absent,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests that the worker holds.
    InFlight,
    /// Those of them that wait to be executed.
    Queued,
    /// Share of busy cores, from 0 to 1.
    CoreUtilization,
    /// Latency of requests, in milliseconds.
    LatencyMs,
    /// Requests that succeeded in a second.
    SucceededPerSecond,
    /// Requests that ended in error in a second.
    ErrorsPerSecond,
    /// Share of memory in use that cannot be freed, from 0 to 1.
    UnreclaimableMemory,
    /// Loads in progress.
    LoadsInProgress,
    /// A value that this version does not know.
    Unknown,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// They are sent to every scheduler.
    #[default]
    Push,
    /// They are sent to those that watch the list.
    Poll,
}

/// What the endpoint list tells of workers' capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacityHints {
    /// Nothing.
    #[default]
    Absent,
    /// That of the kind of machine.
    Nominal,
    /// An approximation.
    Approximate,
    /// The present one.
    Current,
}

/// What priority weights are given for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PriorityUnit {
    /// Each request.
    #[default]
    Request,
    /// Each unit of work.
    Work,
}

/// Points taken off the result, each for one unit of what it names.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An open connection.
    pub connection: f64,
    /// An attempt in another zone.
    pub cross_zone: f64,
    /// A connection that is made.
    pub handshake: f64,
    /// A request that fails late.
    pub late_failure: f64,
    /// A function that moves to another worker.
    pub function_move: f64,
    /// A fetch from the origin store.
    pub origin_fetch: f64,
    /// A message to another scheduler.
    pub peer_message: f64,
    /// A health check.
    pub health_check: f64,
    /// A request for the endpoint list.
    pub endpoint_list_request: f64,
    /// Work whose result nobody waits for.
    pub wasted_work: f64,
}

/// CapacityHints of the parts of the goal.
#[derive(Clone, Debug, Default)]
pub struct GoalWeights {
    /// All requests.
    pub all_requests: f64,
    /// The worst window of time.
    pub worst_window: f64,
    /// The worst request class.
    pub worst_request_class: f64,
    /// The worst tenant.
    pub worst_tenant: f64,
}

/// The settings of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this scheduler.
    pub scheduler_number: Option<u32>,
    /// Number of schedulers that share the workers, this one included; `None`: one.
    pub scheduler_count: Option<u32>,
    /// Number of this scheduler's zone, an index into `zones`.
    pub zone: Option<u32>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub machine_kinds: Vec<String>,
    /// Number of this scheduler's tier, an index into `tiers`.
    pub tier: Option<u32>,
    /// Names of the tiers.
    pub tiers: Vec<String>,
    /// Name of the kind of work.
    pub workload: String,
    /// Resolution of the clock.
    pub clock_resolution: Option<Duration>,
    /// How changes of the endpoint list arrive.
    pub discovery_mode: DiscoveryMode,
    /// What the endpoint list tells of workers' capacity.
    pub capacity_hints: CapacityHints,
    /// What priority weights are given for.
    pub priority_unit: PriorityUnit,
    /// Share of its weight that a request above its tenant's quota has.
    pub over_quota_weight: Option<f64>,
    /// Clients mark requests that they send again.
    pub clients_mark_retries: bool,
    /// The request classes; requests name them by index.
    pub request_classes: Vec<RequestClass>,
    /// The tenants; requests name them by index.
    pub tenants: Vec<Tenant>,
    /// What this scheduler is allowed to do.
    pub limits: ActionLimits,
    /// Rules that it must follow.
    pub rules: Rules,
    /// How workers cache functions.
    pub cache: CacheSettings,
    /// How load reports come.
    pub report_source: ReportSource,
    /// The values of a load report, in their order.
    pub report_fields: Vec<ReportField>,
    /// Prices of the scheduler's actions.
    pub prices: Prices,
    /// CapacityHints of the parts of the goal.
    pub goal: GoalWeights,
}
