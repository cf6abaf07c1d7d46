//! The checked settings, in the types that the parts of the gateway take. [`super::load()`] returns them once
//! all checks have passed.
use quartzdrift_async_queue::{Destination, QueueSettings};
use quartzdrift_discovery::{ConfiguredNames, DiscoveredEndpoint};
use quartzdrift_http::Limits;
use quartzdrift_scheduler::interface::Settings as SchedulerSettings;
use quartzdrift_schedules::Schedule;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Settings of one function.
#[derive(Clone, Debug, Default)]
pub struct Function {
    /// Index of the request class in [`SchedulerSettings::request_classes`].
    pub request_class: u32,
    /// Memory that one cached replica takes, in megabytes; `None` if unknown.
    pub memory_mb: Option<f64>,
    /// Number of requests that one cached replica runs at a time, at least 1; `None` if unknown.
    pub concurrency_slots: Option<f64>,
    /// Expected time to load the function; `None` if unknown.
    pub expected_load_time: Option<Duration>,
    /// Expected duration of one request; `None` if unknown.
    pub expected_duration: Option<Duration>,
    /// Whether a request changes state outside the function.
    pub has_side_effects: bool,
    /// Destination of events about succeeded asynchronous invocations; `None` for [`Settings::on_success`].
    pub on_success: Option<Destination>,
    /// Destination of events about failed asynchronous invocations; `None` for [`Settings::on_failure`].
    pub on_failure: Option<Destination>,
}

/// Server of the endpoint list, and how it is polled.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Address of the server that publishes the endpoint list.
    pub address: SocketAddr,
    /// HTTP request target of the endpoint list: path and query.
    pub target: String,
    /// Whether the server also sends changes of the list as server-sent events at the same URL.
    pub watch: bool,
    /// Interval between two polls of the whole list, at least 50 ms.
    pub poll_interval: Duration,
    /// Timeout of one poll.
    pub poll_timeout: Duration,
}

/// Format and filter of the log.
#[derive(Clone, Debug)]
pub struct Log {
    /// Whether each log line is a JSON object instead of text.
    pub json: bool,
    /// Filter in the syntax of tracing-subscriber's `EnvFilter`.
    pub filter: String,
}

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses to listen on, at least one; the system chooses the port for port 0.
    pub listen: Vec<SocketAddr>,
    /// Folder for snapshots; `None` disables them.
    pub state_folder: Option<PathBuf>,
    /// Seed of the random number generators; `None` draws a new seed at each start.
    pub seed: Option<u64>,
    /// Maximum time that a stopping gateway waits for open requests.
    pub drain_timeout: Duration,
    /// Whether the gateway rejects payloads that are not JSON.
    pub require_json: bool,
    /// Name, in lower case, of the header in which a trusted frontend sends the tenant's name.
    pub tenant_header: Option<String>,
    /// Index of each tenant in [`SchedulerSettings::tenants`], by name.
    pub tenants: HashMap<String, u32>,
    /// Functions by name; the name includes the version or alias if the settings have one.
    pub functions: HashMap<String, Rc<Function>>,
    /// Settings of functions that are not in `functions`; `None` if calls of those functions are rejected.
    pub default_function: Option<Rc<Function>>,
    /// Limits of HTTP connections.
    pub limits: Limits,
    /// Format and filter of the log.
    pub log: Log,
    /// Settings of the scheduler.
    pub scheduler: SchedulerSettings,
    /// Metric names of the load report's fields, in the order of [`SchedulerSettings::report_fields`].
    pub report_metrics: Vec<String>,
    /// Timeout of a connection attempt to a worker.
    pub connect_timeout: Duration,
    /// Workers listed in the settings file.
    pub workers: Vec<DiscoveredEndpoint>,
    /// Names of the zones and machine kinds that endpoint lists may use.
    pub configured_names: ConfiguredNames,
    /// Source of the endpoint list; `None` if `workers` lists all workers.
    pub discovery: Option<Discovery>,
    /// Settings of the asynchronous queue.
    pub asynchronous: QueueSettings,
    /// Folder of the asynchronous queue's write-ahead log; `None` keeps the queue in memory only.
    pub store_folder: Option<PathBuf>,
    /// Whether the response "accepted" to an asynchronous request is sent before the request is durable.
    pub accept_before_durable: bool,
    /// Default destination of events about succeeded asynchronous invocations.
    pub on_success: Option<Destination>,
    /// Default destination of events about failed asynchronous invocations.
    pub on_failure: Option<Destination>,
    /// Schedules that submit asynchronous invocations, each with the payload of its invocations.
    pub schedules: Vec<(Schedule, Rc<[u8]>)>,
    /// Forecasts of function use; `None` disables prefetch.
    pub forecasts: Option<Forecasts>,
    /// Trace of accepted requests; `None` disables the trace.
    pub request_trace: Option<RequestTrace>,
    /// Membership of a fleet of schedulers; `None` if this scheduler runs alone.
    pub fleet: Option<FleetSettings>,
    /// Recovery after a start.
    pub recovery: Recovery,
    /// Whether other processes may listen on the same addresses, so that a successor can take over before
    /// this gateway stops.
    pub share_port: bool,
}

/// Membership of a fleet of schedulers.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Settings of the membership protocol.
    pub members: quartzdrift_membership::Settings,
    /// UDP address that the membership protocol's socket is bound to.
    pub listen: SocketAddr,
    /// How long an unreachable scheduler is still assumed to send requests to workers.
    pub max_silence: Duration,
}

/// Recovery after a start: phases between the start and full service.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Maximum time to poll other schedulers for the classification of the start; greater than zero.
    pub classification_timeout: Duration,
    /// Maximum time until full service; at least `classification_timeout`.
    pub max_duration: Duration,
    /// Whether idempotency keys on the workers survive a loss of power.
    pub idempotency_keys_on_disk: bool,
    /// Whether an admission ramp limits requests while many functions are loaded again.
    pub admission_ramp: bool,
}

/// Forecasts of function use, and their snapshots.
#[derive(Clone, Debug)]
pub struct Forecasts {
    /// Settings of the forecast model.
    pub settings: quartzdrift_forecast::ForecastSettings,
    /// Interval of forecast snapshots and of the forecast summary in the log, at least 1 s.
    pub snapshot_interval: Duration,
}

/// Trace of accepted requests, written to a file.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// The trace file; compressed with gzip if its name ends in `.gz`.
    pub file: PathBuf,
    /// Maximum size of the trace before compression, in bytes; greater than 0.
    pub max_bytes: u64,
    /// Whether the trace has a hash in place of each function name.
    pub hash_names: bool,
}

impl Settings {
    /// The settings of a function. `qualified_name` may end in `:VERSION` or `:ALIAS`. If the settings have
    /// no entry for that version or alias, the entry of the plain name applies, then `default_function`.
    pub fn function(&self, qualified_name: &str) -> Option<Rc<Function>> {
        self.functions
            .get(qualified_name)
            .or_else(|| self.functions.get(plain_name(qualified_name)))
            .or(self.default_function.as_ref())
            .cloned()
    }
}

/// The function name without the version or alias after the colon.
pub(crate) fn plain_name(qualified_name: &str) -> &str {
    qualified_name
        .split_once(':')
        .map_or(qualified_name, |(plain, _)| plain)
}
