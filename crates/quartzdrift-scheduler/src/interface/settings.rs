//! Settings of a scheduler, which describe its deployment. The scheduler does not use all of them;
//! docs/move.md lists the unused ones.
use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    #[default]
    Idempotent,
    /// The request may be sent again within the deduplication window, because workers drop duplicates.
    IdempotentWithKey,
    /// The request may be executed at most once.
    NonIdempotent,
}

/// Set of workers that drop a duplicate of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    #[default]
    All,
    /// The workers of the zone where the request was first executed.
    Zone,
    /// The workers of the cell where the request was first executed.
    Cell,
}

/// Settings of a request class.
#[derive(Clone, Debug, Default)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Time from arrival within which the execution of a request should start.
    pub latency_objective: Option<Duration>,
    /// The latency objective of a request grows by its own execution time multiplied by this factor.
    pub latency_objective_stretch: Option<f64>,
    /// Time from arrival after which clients stop waiting.
    pub timeout: Option<Duration>,
    /// Weight of a request or of a unit of work in the goal; [`PriorityUnit`] says which of the two.
    pub priority_weight: Option<f64>,
    /// Share of the priority weight that remains once a request has missed its latency objective.
    pub late_weight: Option<f64>,
    /// Set of workers that drop a duplicate of a request with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// Time after the first attempt during which workers drop duplicates.
    pub deduplication_window: Option<Duration>,
    /// Workers stream the responses.
    pub streams_responses: bool,
}

/// Settings of a tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Expected share of the tenant in all requests, from 0 to 1.
    pub share: Option<f64>,
    /// Quota of the tenant, in requests per second.
    pub requests_per_second: Option<f64>,
}

/// Actions that a scheduler may take, and the limits on them.
#[derive(Clone, Debug, Default)]
pub struct ActionLimits {
    /// The scheduler may cancel attempts.
    pub cancel: bool,
    /// The scheduler may send health checks to workers.
    pub health_checks: bool,
    /// The scheduler may send messages to other schedulers.
    pub peer_messages: bool,
    /// The scheduler may send hedged requests.
    pub hedging: bool,
    /// A rejection may tell the client when to retry.
    pub retry_after: bool,
    /// Longest time after which a rejection may ask the client to retry.
    pub max_retry_after: Option<Duration>,
    /// Maximum number of attempts of a request; `None`: one.
    pub max_attempts: Option<u32>,
    /// Maximum number of open requests. The request lifecycle enforces it, not the scheduler.
    pub max_open_requests: Option<u32>,
    /// Time after which an attempt to open a connection counts as failed.
    pub connect_timeout: Option<Duration>,
    /// Idle time after which workers close a connection.
    pub connection_keep_alive: Option<Duration>,
    /// Limit on the processor time of the scheduler, in microseconds per second.
    pub cpu_us_per_second: Option<f64>,
    /// Limit on the processor time of the scheduler, in microseconds per request.
    pub cpu_us_per_request: Option<f64>,
    /// Maximum number of concurrent attempts on one connection.
    pub streams_per_connection: Option<u32>,
}

/// Rules that every scheduler must follow.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time after a request's deadline by which its final response must be sent.
    pub response_slack: Option<Duration>,
    /// Longest delay between a failed fetch of the endpoint list and the next fetch.
    pub endpoint_refresh_limit: Option<Duration>,
    /// Share of its full capacity that a worker has when its process starts, from 0 to 1.
    pub slow_start_min_capacity: Option<f64>,
    /// Time after the start of its process during which a worker is warming up.
    pub slow_start_duration: Option<Duration>,
    /// Time during which a draining worker still finishes the attempts it holds.
    pub drain_grace: Option<Duration>,
    /// Lease of the endpoint list: time after its last confirmation during which its entries count. Once the
    /// lease has lapsed, any change that discovery failed to report is taken to have happened at its end or
    /// later. `None`: the entries count without a limit in time.
    pub endpoint_lease: Option<Duration>,
    /// Ratio of the work sent to a worker to its capacity, both over the overload window, above which the
    /// worker fails.
    pub overload_multiple: Option<f64>,
    /// Time window over which the work sent to a worker is compared with its capacity.
    pub overload_window: Option<Duration>,
}

/// Behavior of a worker on a request whose function is not in its cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheMissPolicy {
    /// The worker loads the function and then executes the request.
    #[default]
    Load,
    /// The worker responds that it has no cached copy.
    ReportMiss,
}

/// How workers cache functions, and the quota for load commands.
#[derive(Clone, Debug, Default)]
pub struct CacheSettings {
    /// Behavior of a worker on a request whose function is not in its cache.
    pub on_miss: CacheMissPolicy,
    /// The scheduler may send load commands.
    pub load_commands: bool,
    /// Responses report whether the function was cached.
    pub reports_cache_status: bool,
    /// Responses report how many requests of the function the worker held.
    pub reports_concurrency: bool,
    /// Shortest time for which an idle copy of a function stays cached.
    pub keep_alive: Option<Duration>,
    /// Memory of a worker for cached copies, in MB, by index of its kind of machine.
    pub memory_mb_by_kind: Vec<f64>,
    /// Price of filling all workers' memory with idle copies, in points of the [goal](GoalWeights).
    pub idle_memory_price: Option<f64>,
    /// Load quota: load commands per window that are allowed independently of the number of requests.
    pub load_quota_burst: Option<f64>,
    /// Load quota: additional load commands per request in the window.
    pub load_quota_share: Option<f64>,
    /// Time window of the load quota; `None`: no quota.
    pub load_quota_window: Option<Duration>,
    /// Time after which a load command counts as failed.
    pub load_command_timeout: Option<Duration>,
}

/// Source of the workers' load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// Workers attach a load report to each response.
    Responses,
    /// Workers attach a load report to each response to a health check.
    HealthChecks,
    /// Workers send no load reports.
    #[default]
    Absent,
}

/// A value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Number of requests that the worker holds, both executing and queued.
    InFlight,
    /// Number of requests that wait at the worker for their execution.
    Queued,
    /// Share of the worker's cores that are busy, from 0 to 1.
    CoreUtilization,
    /// Latency of the worker's requests, in milliseconds.
    LatencyMs,
    /// Number of requests that succeed per second.
    SucceededPerSecond,
    /// Number of requests that fail per second.
    ErrorsPerSecond,
    /// Share of the worker's memory that is in use and cannot be reclaimed, from 0 to 1.
    UnreclaimableMemory,
    /// Number of function loads in progress.
    LoadsInProgress,
    /// A value that this version does not know.
    Unknown,
}

/// Way in which changes of the endpoint list reach the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends the changes to every scheduler.
    #[default]
    Push,
    /// Discovery sends the changes only to schedulers that watch the list.
    Poll,
}

/// Kind of capacity information in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacityHints {
    /// The list contains no capacities.
    #[default]
    Absent,
    /// Nominal capacity of the worker's kind of machine.
    Nominal,
    /// Approximate capacity of the worker.
    Approximate,
    /// Current capacity of the worker.
    Current,
}

/// Unit that a priority weight applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PriorityUnit {
    /// The weight applies to each request.
    #[default]
    Request,
    /// The weight applies to each unit of work.
    Work,
}

/// Points that each action or event subtracts from the [goal](GoalWeights).
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// Price of an open connection.
    pub connection: f64,
    /// Price of an attempt at a worker in another zone.
    pub cross_zone: f64,
    /// Price of opening a connection.
    pub handshake: f64,
    /// Price of a request that fails late.
    pub late_failure: f64,
    /// Price of a function's move to another worker.
    pub function_move: f64,
    /// Price of a fetch from the origin store.
    pub origin_fetch: f64,
    /// Price of a message to another scheduler.
    pub peer_message: f64,
    /// Price of a health check.
    pub health_check: f64,
    /// Price of a request for the endpoint list.
    pub endpoint_list_request: f64,
    /// Price of work whose result no client waits for.
    pub wasted_work: f64,
}

/// Weights of the parts of the goal, which rates a deployment's results in points.
#[derive(Clone, Debug, Default)]
pub struct GoalWeights {
    /// Weight of the result over all requests.
    pub all_requests: f64,
    /// Weight of the result in the worst window of time.
    pub worst_window: f64,
    /// Weight of the result of the worst request class.
    pub worst_request_class: f64,
    /// Weight of the result of the worst tenant.
    pub worst_tenant: f64,
}

/// All settings of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this scheduler.
    pub scheduler_number: Option<u32>,
    /// Number of schedulers that share the workers, including this one; `None`: one.
    pub scheduler_count: Option<u32>,
    /// Index of this scheduler's zone in `zones`.
    pub zone: Option<u32>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub machine_kinds: Vec<String>,
    /// Index of this scheduler's tier in `tiers`.
    pub tier: Option<u32>,
    /// Names of the tiers.
    pub tiers: Vec<String>,
    /// Name of the workload.
    pub workload: String,
    /// Resolution of the clock that the times of events are measured with.
    pub clock_resolution: Option<Duration>,
    /// Way in which changes of the endpoint list reach the scheduler.
    pub discovery_mode: DiscoveryMode,
    /// Kind of capacity information in the endpoint list.
    pub capacity_hints: CapacityHints,
    /// Unit that a priority weight applies to.
    pub priority_unit: PriorityUnit,
    /// Share of the priority weight that a request above its tenant's quota keeps.
    pub over_quota_weight: Option<f64>,
    /// Clients mark the requests that are retries.
    pub clients_mark_retries: bool,
    /// Request classes; a request names its class by index.
    pub request_classes: Vec<RequestClass>,
    /// Tenants; a request names its tenant by index.
    pub tenants: Vec<Tenant>,
    /// Actions that this scheduler may take, and the limits on them.
    pub limits: ActionLimits,
    /// Rules that every scheduler must follow.
    pub rules: Rules,
    /// Function caches of the workers, and the quota for load commands.
    pub cache: CacheSettings,
    /// Source of the workers' load reports.
    pub report_source: ReportSource,
    /// Values of a load report, in their order.
    pub report_fields: Vec<ReportField>,
    /// Prices of actions and events.
    pub prices: Prices,
    /// Weights of the parts of the goal, which the deployment is rated by.
    pub goal: GoalWeights,
}
