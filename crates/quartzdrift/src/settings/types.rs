//! The checked settings, in the types that the gateway's parts take. They come from [`super::load`]; nothing
//! in them contradicts.
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

/// A function as the settings describe it.
#[derive(Clone, Debug, Default)]
pub struct Function {
    /// Index among the scheduler's request classes.
    pub request_class: u32,
    /// Memory of one cached replica, in megabytes; `None`: unknown.
    pub memory_mb: Option<f64>,
    /// Requests that one cached replica runs at a time, 1 or more; `None`: unknown.
    pub concurrency_slots: Option<f64>,
    /// Expected time to load the function; `None`: unknown.
    pub load: Option<Duration>,
    /// Expected duration of one request; `None`: unknown.
    pub work: Option<Duration>,
    /// Whether a request changes state outside the function.
    pub writes: bool,
    /// Destination of events about succeeded asynchronous invocations; `None`: that of the gateway.
    pub on_success: Option<Destination>,
    /// Destination of events about failed asynchronous invocations; `None`: that of the gateway.
    pub on_failure: Option<Destination>,
}

/// Where the endpoint list is polled.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query of the list.
    pub target: String,
    /// Whether watch events come over server-sent events at the same URL.
    pub stream: bool,
    /// Interval of polls, 50 ms or more.
    pub every: Duration,
    /// Timeout of one poll.
    pub timeout: Duration,
}

/// Format and filter of the log.
#[derive(Clone, Debug)]
pub struct Log {
    /// One JSON object a line in place of text.
    pub json: bool,
    /// A filter of tracing-subscriber's `EnvFilter`.
    pub filter: String,
}

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses to listen at, one or more; port 0 takes a free one.
    pub listen: Vec<SocketAddr>,
    /// Folder for snapshots; `None`: nothing is stored.
    pub state: Option<PathBuf>,
    /// Seed of the random numbers; `None`: a new one at each start.
    pub seed: Option<u64>,
    /// Drain window of a stopping gateway.
    pub drain: Duration,
    /// Whether payloads must be JSON.
    pub require_json: bool,
    /// Header, in lower case, by which a trusted frontend names the tenant.
    pub tenant_field: Option<String>,
    /// Index of each tenant by its name.
    pub tenants: HashMap<String, u32>,
    /// Functions by name, with the version or alias where the settings name one.
    pub functions: HashMap<String, Rc<Function>>,
    /// What applies to functions that are not named; `None`: they are not found.
    pub default_function: Option<Rc<Function>>,
    /// Limits of HTTP connections.
    pub limits: Limits,
    /// The log.
    pub log: Log,
    /// Settings of the scheduler.
    pub scheduler: SchedulerSettings,
    /// Metrics that hold the fields of load reports, in the order of the scheduler's `report_fields`.
    pub metrics: Vec<String>,
    /// Timeout of a connection attempt to a worker.
    pub connect_timeout: Duration,
    /// Workers that the file names.
    pub workers: Vec<DiscoveredEndpoint>,
    /// Names of zones and kinds, by which endpoint lists refer to them.
    pub known: ConfiguredNames,
    /// The endpoint list; `None`: only the workers above.
    pub discovery: Option<Discovery>,
    /// Settings of the asynchronous queue.
    pub asynchronous: QueueSettings,
    /// Folder of the asynchronous queue's write-ahead log; `None`: in memory only.
    pub store: Option<PathBuf>,
    /// Whether an asynchronous request is answered as accepted before it is durable.
    pub answer_early: bool,
    /// Destination of events about succeeded asynchronous invocations.
    pub on_success: Option<Destination>,
    /// Destination of events about failed asynchronous invocations.
    pub on_failure: Option<Destination>,
    /// Schedules, each with the payload of its invocations.
    pub timers: Vec<(Schedule, Rc<[u8]>)>,
    /// Forecasts of use; `None`: nothing is loaded ahead.
    pub forecasts: Option<Forecasts>,
    /// The trace of requests; `None`: none is written.
    pub record: Option<Record>,
    /// The fleet of schedulers; `None`: this one is alone.
    pub fleet: Option<Fleet>,
    /// The return to service after a start.
    pub recovery: Recovery,
    /// Whether others may listen at the same addresses, so that a successor takes over before this one stops.
    pub share_port: bool,
}

/// Membership of a fleet of schedulers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Settings of the membership protocol.
    pub members: quartzdrift_membership::Settings,
    /// UDP address of the protocol's socket.
    pub listen: SocketAddr,
    /// How long an unreachable scheduler counts as one that may still send.
    pub silent: Duration,
}

/// The return to service after a start.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Maximum time to poll other schedulers, over zero.
    pub ask: Duration,
    /// Maximum time before full service, no shorter than `ask`.
    pub longest: Duration,
    /// Whether workers keep idempotency keys over a loss of power.
    pub idempotency_keys_on_disk: bool,
    /// Whether an admission ramp limits calls while many functions are loaded again.
    pub pace: bool,
}

/// Forecasts of use.
#[derive(Clone, Debug)]
pub struct Forecasts {
    /// Settings of the forecasts.
    pub settings: quartzdrift_forecast::ForecastSettings,
    /// Interval of snapshots and of the summary in the log, a second or more.
    pub every: Duration,
}

/// The trace of requests.
#[derive(Clone, Debug)]
pub struct Record {
    /// The trace file; compressed by gzip where the name ends in `.gz`.
    pub file: PathBuf,
    /// Maximum bytes before compression, over 0.
    pub bytes: u64,
    /// Whether names of functions are replaced by hashes.
    pub hash_names: bool,
}

impl Settings {
    /// The function for a name as it is loaded. A version or alias that the settings do not name is treated
    /// as the function itself.
    pub fn function(&self, loaded_name: &str) -> Option<Rc<Function>> {
        self.functions
            .get(loaded_name)
            .or_else(|| self.functions.get(plain_name(loaded_name)))
            .or(self.default_function.as_ref())
            .cloned()
    }
}

/// A function's name without its version or alias.
pub(crate) fn plain_name(name: &str) -> &str {
    name.split_once(':').map_or(name, |(plain, _)| plain)
}
