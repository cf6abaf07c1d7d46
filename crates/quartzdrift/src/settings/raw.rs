//! The settings file as it is written. Every field of the decision module's settings can be told; a field that
//! is unknown, of the wrong kind or in a bad unit is an error with its place.
use quartzdrift_scheduler::interface as scheduler;
use serde::de::{Deserializer, Error, Visitor};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use toml::Spanned;

/// A span of time, written like "250ms", "1s 500ms" or "2m".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        struct Read;
        impl Visitor<'_> for Read {
            type Value = Span;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("a span of time with its unit in quotes, like \"250ms\", \"1s 500ms\" or \"2m\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
                humantime::parse_duration(text).map(Span).map_err(|e| {
                    E::custom(format!(
                        "'{text}' is no span of time ({e}); write it like \"250ms\" or \"1s 500ms\""
                    ))
                })
            }
        }
        from.deserialize_any(Read)
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub gateway: Gateway,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub log: Log,
    #[serde(default)]
    pub scheduler: Scheduler,
    #[serde(default)]
    #[serde(rename = "workloads")]
    pub request_classes: Vec<Spanned<RequestClass>>,
    #[serde(default)]
    #[serde(rename = "customers")]
    pub tenants: Vec<Spanned<Tenant>>,
    #[serde(default)]
    pub allowed: Allowed,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub copies: CacheSettings,
    #[serde(default)]
    pub reports: Reports,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub goal: Goal,
    #[serde(default)]
    pub functions: Vec<Spanned<Function>>,
    #[serde(default)]
    pub workers: Vec<Spanned<Worker>>,
    #[serde(rename = "roster")]
    pub discovery: Option<Discovery>,
    #[serde(default)]
    #[serde(rename = "deferred")]
    pub asynchronous: Asynchronous,
    #[serde(default)]
    pub timers: Vec<Spanned<Timer>>,
    pub forecasts: Option<Forecasts>,
    pub record: Option<Record>,
    pub fleet: Option<Fleet>,
    #[serde(default)]
    pub recovery: Recovery,
}

/// How service returns after a start; it takes `gateway.state`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Recovery {
    /// How long other schedulers are asked at most what a start is.
    pub ask: Span,
    /// How long service may take to return in stages at most.
    pub longest: Span,
    /// Where workers keep the idempotency keys of what they have run.
    #[serde(rename = "fingerprints")]
    pub idempotency_keys: IdempotencyKeysIn,
    /// Whether calls are let in by a pace while copies return after a loss of many.
    pub pace: bool,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyKeysIn {
    /// Lost with their power.
    #[default]
    Memory,
    /// Known again after it.
    Disk,
}

impl Default for Recovery {
    fn default() -> Recovery {
        Recovery {
            ask: Span(Duration::from_secs(2)),
            longest: Span(Duration::from_secs(300)),
            idempotency_keys: IdempotencyKeysIn::Memory,
            pace: true,
        }
    }
}

/// Membership of a fleet of schedulers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Unlike that of any other scheduler, and the same after a restart.
    pub name: String,
    pub cluster: String,
    /// UDP address for datagrams of members; port 0 takes a free one.
    pub listen: Spanned<String>,
    /// Where others reach it, if that is not `listen`.
    pub advertise: Option<Spanned<String>>,
    #[serde(default)]
    pub seeds: Vec<Spanned<String>>,
    /// Files with keys, in hexadecimal digits; the first signs, both are taken.
    pub keys: Vec<Spanned<String>>,
    pub period: Option<Span>,
    pub probe_timeout: Option<Span>,
    pub datagram_bytes: Option<usize>,
    /// Known at a time at most.
    pub members: Option<usize>,
    /// How long a scheduler that is silent counts as one that may still send.
    #[serde(default = "silent")]
    pub silent: Span,
}

fn silent() -> Span {
    Span(Duration::from_secs(3600))
}

/// Loads ahead of need by forecasts of use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Forecasts {
    /// Functions whose use is remembered at most.
    pub functions: usize,
    /// Lengths of the seasons that are looked for.
    pub seasons: Vec<Span>,
    /// How often what was learnt is saved, where `gateway.state` is told, and the account is logged.
    pub every: Span,
}

impl Default for Forecasts {
    fn default() -> Forecasts {
        let day = Duration::from_secs(86_400);
        Forecasts {
            functions: 100_000,
            seasons: vec![Span(day), Span(day * 7)],
            every: Span(Duration::from_secs(60)),
        }
    }
}

/// A trace of all requests, for the emulator and for load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// JSON lines, compressed by gzip where the name ends in `.gz`.
    pub file: String,
    /// Bytes written at most, before compression; then it ends.
    #[serde(default = "record_bytes")]
    pub bytes: u64,
    /// Names of functions are replaced by hashes.
    #[serde(default)]
    pub hash_names: bool,
}

fn record_bytes() -> u64 {
    1 << 30
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Addresses to listen at; port 0 takes a free one.
    pub listen: Vec<Spanned<String>>,
    /// Where the last list of workers is kept; none: nowhere.
    pub state: Option<String>,
    /// Draws by chance follow from it; none: a new one at each start.
    pub seed: Option<u64>,
    /// How long a stopping gateway waits for what is open.
    #[serde(default = "drain")]
    pub drain: Span,
    /// Whether a payload must be JSON, as the API has it.
    #[serde(default = "yes")]
    pub require_json: bool,
    /// The field by which a trusted front tells the tenant; none: all requests are the first tenant's.
    #[serde(rename = "customer_field")]
    pub tenant_field: Option<String>,
    /// The request class of functions that the settings do not name; none: they are not found.
    #[serde(rename = "default_workload")]
    pub default_request_class: Option<Spanned<String>>,
    /// Whether another instance may listen at the same addresses, to take over before this one stops.
    #[serde(default)]
    pub share_port: bool,
}

fn drain() -> Span {
    Span(Duration::from_secs(10))
}

fn yes() -> bool {
    true
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    pub head_bytes: Option<usize>,
    pub payload_bytes: Option<usize>,
    pub answer_bytes: Option<usize>,
    pub connections: Option<usize>,
    pub connections_per_server_worker: Option<usize>,
    pub receive: Option<Span>,
    pub idle: Option<Span>,
    pub send: Option<Span>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    pub form: LogForm,
    /// A filter as tracing-subscriber's `EnvFilter` reads it, like "info" or "info,quartzdrift=debug".
    pub filter: String,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            form: LogForm::Text,
            filter: "info".to_owned(),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryMode {
    #[default]
    Push,
    #[serde(rename = "ask")]
    Poll,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Weights {
    #[default]
    Silent,
    Nominal,
    Rough,
    Live,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CountedBy {
    #[default]
    #[serde(rename = "job")]
    Request,
    Work,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scheduler {
    pub me: Option<u32>,
    pub schedulers: Option<u32>,
    pub zone: Option<Spanned<String>>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub tier: Option<u32>,
    pub tiers: Vec<String>,
    pub family: String,
    pub resolution: Option<Span>,
    pub discovery: DiscoveryMode,
    pub weights: Weights,
    pub counted_by: CountedBy,
    #[serde(rename = "over_share_importance")]
    pub over_quota_weight: Option<f64>,
    pub clients_mark_retries: bool,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    #[serde(rename = "restartable")]
    Idempotent,
    #[serde(rename = "fingerprinted")]
    IdempotentWithKey,
    #[serde(rename = "run-once")]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    pub name: String,
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    #[serde(rename = "time_limit")]
    pub timeout: Span,
    #[serde(rename = "start_target")]
    pub latency_objective: Option<Span>,
    #[serde(rename = "target_stretch")]
    pub latency_objective_stretch: Option<f64>,
    #[serde(rename = "importance")]
    pub priority_weight: Option<f64>,
    #[serde(rename = "late_share")]
    pub late_weight: Option<f64>,
    #[serde(rename = "group")]
    pub deduplication_scope: Option<DeduplicationScope>,
    pub window: Option<Span>,
    #[serde(default)]
    pub streams: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub share: Option<f64>,
    #[serde(rename = "jobs_per_second")]
    pub requests_per_second: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Allowed {
    pub cancel: bool,
    pub probes: bool,
    pub peers: bool,
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    pub retry_after: bool,
    pub max_retry_after: Option<Span>,
    #[serde(rename = "max_executions")]
    pub max_attempts: Option<u32>,
    pub max_open: Option<u32>,
    pub connect_timeout: Span,
    pub keepalive: Span,
    pub cpu_us_per_second: Option<f64>,
    #[serde(rename = "cpu_us_per_job")]
    pub cpu_us_per_request: Option<f64>,
    pub streams_per_connection: Option<u32>,
}

impl Default for Allowed {
    fn default() -> Allowed {
        Allowed {
            cancel: true,
            probes: false,
            peers: false,
            hedging: false,
            retry_after: true,
            max_retry_after: Some(Span(Duration::from_secs(10))),
            max_attempts: Some(3),
            max_open: None,
            connect_timeout: Span(Duration::from_millis(250)),
            keepalive: Span(Duration::from_secs(15)),
            cpu_us_per_second: None,
            cpu_us_per_request: None,
            streams_per_connection: None,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    pub answer_slack: Span,
    pub ask_within: Option<Span>,
    pub cold_from: Option<f64>,
    pub cold_for: Option<Span>,
    pub drain_grace: Span,
    pub fall_multiple: Option<f64>,
    pub fall_window: Option<Span>,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            answer_slack: Span(Duration::from_millis(20)),
            ask_within: None,
            cold_from: None,
            cold_for: None,
            drain_grace: Span(Duration::from_millis(250)),
            fall_multiple: None,
            fall_window: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnMiss {
    #[default]
    Load,
    Miss,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CacheSettings {
    pub on_miss: OnMiss,
    #[serde(rename = "orders")]
    pub load_commands: bool,
    #[serde(rename = "tells_warm")]
    pub reports_cache_status: bool,
    #[serde(rename = "tells_crowd")]
    pub reports_concurrency: bool,
    pub keep: Option<Span>,
    pub memory_mb_by_kind: Vec<f64>,
    pub idle_memory_price: Option<f64>,
    #[serde(rename = "load_free")]
    pub load_quota_burst: Option<f64>,
    #[serde(rename = "load_share")]
    pub load_quota_share: Option<f64>,
    #[serde(rename = "load_window")]
    pub load_quota_window: Option<Span>,
    #[serde(rename = "order_timeout")]
    pub load_command_timeout: Option<Span>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportSource {
    Answers,
    Probes,
    #[default]
    Silent,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ReportField {
    Held,
    Queued,
    Busy,
    LatencyMs,
    #[serde(rename = "finished-per-second")]
    SucceededPerSecond,
    ErrorsPerSecond,
    MemoryTaken,
    Loads,
}

/// A figure, and the metric of the worker's report that tells it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metric {
    pub field: ReportField,
    pub metric: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    pub source: ReportSource,
    pub fields: Vec<Metric>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Prices {
    pub connection: f64,
    pub cross_zone: f64,
    pub handshake: f64,
    #[serde(rename = "late_kill")]
    pub late_failure: f64,
    pub moves: f64,
    pub origin: f64,
    pub peer: f64,
    pub probe: f64,
    pub discovery: f64,
    pub waste: f64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    pub whole: f64,
    pub worst_window: f64,
    #[serde(rename = "worst_workload")]
    pub worst_request_class: f64,
    #[serde(rename = "worst_customer")]
    pub worst_tenant: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct To {
    pub function: Option<String>,
    pub url: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Function {
    pub name: String,
    #[serde(rename = "workload")]
    pub request_class: String,
    pub memory_mb: Option<f64>,
    #[serde(rename = "lanes")]
    pub concurrency_slots: Option<f64>,
    pub load: Option<Span>,
    pub work: Option<Span>,
    #[serde(default)]
    pub writes: bool,
    pub on_success: Option<To>,
    pub on_failure: Option<To>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    pub address: String,
    pub zone: Option<String>,
    pub kind: Option<String>,
    #[serde(default)]
    pub cell: u32,
    pub capacity: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Where the list is, like "http://127.0.0.1:9800/workers".
    pub url: Spanned<String>,
    /// Changes come over server-sent events at the same address.
    #[serde(default)]
    pub stream: bool,
    /// How often the whole list is asked for.
    #[serde(default = "every")]
    pub every: Span,
    /// An answer not there by then has failed.
    #[serde(default = "discovery_timeout")]
    pub timeout: Span,
}

fn every() -> Span {
    Span(Duration::from_secs(5))
}

fn discovery_timeout() -> Span {
    Span(Duration::from_secs(2))
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Asynchronous {
    pub tries: u32,
    pub wait: Span,
    pub longest_wait: Span,
    pub greatest_age: Span,
    #[serde(rename = "jobs")]
    pub requests: usize,
    pub bytes: usize,
    pub out: usize,
    pub on_success: Option<To>,
    pub on_failure: Option<To>,
    /// Folder in which requests outlast the process; none: they do not.
    pub store: Option<String>,
    /// When a request is answered as taken.
    pub answer: Answer,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Once it is on the disk.
    #[default]
    Durable,
    /// At once: a crash within some milliseconds may lose it.
    Early,
}

impl Default for Asynchronous {
    fn default() -> Asynchronous {
        Asynchronous {
            tries: 3,
            wait: Span(Duration::from_secs(1)),
            longest_wait: Span(Duration::from_secs(300)),
            greatest_age: Span(Duration::from_secs(6 * 3600)),
            requests: 100_000,
            bytes: 256 << 20,
            out: 256,
            on_success: None,
            on_failure: None,
            store: None,
            answer: Answer::Durable,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Missed {
    #[default]
    Skip,
    Once,
    All,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timer {
    pub name: String,
    pub function: String,
    pub cron: String,
    #[serde(default = "utc")]
    pub zone: String,
    pub jitter: Option<Span>,
    #[serde(default)]
    pub missed: Missed,
    #[serde(default)]
    pub overlap: bool,
    #[serde(default)]
    pub payload: String,
}

fn utc() -> String {
    "UTC".to_owned()
}

fn span(told: Option<Span>) -> Option<Duration> {
    told.map(|span| span.0)
}

impl From<Idempotency> for scheduler::Idempotency {
    fn from(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Idempotent => scheduler::Idempotency::Idempotent,
            Idempotency::IdempotentWithKey => scheduler::Idempotency::IdempotentWithKey,
            Idempotency::NonIdempotent => scheduler::Idempotency::NonIdempotent,
        }
    }
}

impl From<ReportField> for scheduler::ReportField {
    fn from(field: ReportField) -> Self {
        match field {
            ReportField::Held => scheduler::ReportField::Held,
            ReportField::Queued => scheduler::ReportField::Queued,
            ReportField::Busy => scheduler::ReportField::Busy,
            ReportField::LatencyMs => scheduler::ReportField::LatencyMs,
            ReportField::SucceededPerSecond => scheduler::ReportField::SucceededPerSecond,
            ReportField::ErrorsPerSecond => scheduler::ReportField::ErrorsPerSecond,
            ReportField::MemoryTaken => scheduler::ReportField::MemoryTaken,
            ReportField::Loads => scheduler::ReportField::Loads,
        }
    }
}

impl File {
    /// The decision module's part of the settings.
    pub fn scheduler(&self) -> scheduler::Settings {
        let (scheduler, allowed) = (self.scheduler.clone(), &self.allowed);
        let zone = scheduler.zone.as_ref().and_then(|told| {
            scheduler
                .zones
                .iter()
                .position(|zone| zone == told.get_ref())
                .map(|at| at as u32)
        });
        let request_class = |w: &Spanned<RequestClass>| {
            let w = w.get_ref();
            scheduler::RequestClass {
                name: w.name.clone(),
                idempotency: w.idempotency.into(),
                latency_objective: span(w.latency_objective),
                latency_objective_stretch: w.latency_objective_stretch,
                timeout: Some(w.timeout.0),
                priority_weight: w.priority_weight,
                late_weight: w.late_weight,
                deduplication_scope: match w.deduplication_scope {
                    None | Some(DeduplicationScope::All) => scheduler::DeduplicationScope::All,
                    Some(DeduplicationScope::Zone) => scheduler::DeduplicationScope::Zone,
                    Some(DeduplicationScope::Cell) => scheduler::DeduplicationScope::Cell,
                },
                window: span(w.window),
                streams: w.streams,
            }
        };
        let tenant = |c: &Spanned<Tenant>| {
            let Tenant {
                name,
                share,
                requests_per_second,
            } = c.get_ref().clone();
            scheduler::Tenant {
                name,
                share,
                requests_per_second,
            }
        };
        scheduler::Settings {
            me: scheduler.me,
            schedulers: scheduler.schedulers,
            zone,
            zones: scheduler.zones,
            kinds: scheduler.kinds,
            tier: scheduler.tier,
            tiers: scheduler.tiers,
            family: scheduler.family,
            resolution: span(scheduler.resolution),
            discovery: match scheduler.discovery {
                DiscoveryMode::Push => scheduler::DiscoveryMode::Push,
                DiscoveryMode::Poll => scheduler::DiscoveryMode::Poll,
            },
            weights: match scheduler.weights {
                Weights::Silent => scheduler::Weights::Silent,
                Weights::Nominal => scheduler::Weights::Nominal,
                Weights::Rough => scheduler::Weights::Rough,
                Weights::Live => scheduler::Weights::Live,
            },
            counted_by: match scheduler.counted_by {
                CountedBy::Request => scheduler::CountedBy::Request,
                CountedBy::Work => scheduler::CountedBy::Work,
            },
            over_quota_weight: scheduler.over_quota_weight,
            clients_mark_retries: scheduler.clients_mark_retries,
            request_classes: self.request_classes.iter().map(request_class).collect(),
            tenants: self.tenants.iter().map(tenant).collect(),
            allowed: scheduler::Allowed {
                cancel: allowed.cancel,
                probes: allowed.probes,
                peers: allowed.peers,
                hedging: allowed.hedging,
                retry_after: allowed.retry_after,
                max_retry_after: span(allowed.max_retry_after),
                max_attempts: allowed.max_attempts,
                max_open: allowed.max_open,
                connect_timeout: Some(allowed.connect_timeout.0),
                keepalive: Some(allowed.keepalive.0),
                cpu_us_per_second: allowed.cpu_us_per_second,
                cpu_us_per_request: allowed.cpu_us_per_request,
                streams_per_connection: allowed.streams_per_connection,
            },
            rules: scheduler::Rules {
                answer_slack: Some(self.rules.answer_slack.0),
                ask_within: span(self.rules.ask_within),
                cold_from: self.rules.cold_from,
                cold_for: span(self.rules.cold_for),
                drain_grace: Some(self.rules.drain_grace.0),
                fall_multiple: self.rules.fall_multiple,
                fall_window: span(self.rules.fall_window),
            },
            copies: scheduler::CacheSettings {
                on_miss: match self.copies.on_miss {
                    OnMiss::Load => scheduler::OnMiss::Load,
                    OnMiss::Miss => scheduler::OnMiss::Miss,
                },
                load_commands: self.copies.load_commands,
                reports_cache_status: self.copies.reports_cache_status,
                reports_concurrency: self.copies.reports_concurrency,
                keep: span(self.copies.keep),
                memory_mb_by_kind: self.copies.memory_mb_by_kind.clone(),
                idle_memory_price: self.copies.idle_memory_price,
                load_quota_burst: self.copies.load_quota_burst,
                load_quota_share: self.copies.load_quota_share,
                load_quota_window: span(self.copies.load_quota_window),
                load_command_timeout: span(self.copies.load_command_timeout),
            },
            report_source: match self.reports.source {
                ReportSource::Answers => scheduler::ReportSource::Answers,
                ReportSource::Probes => scheduler::ReportSource::Probes,
                ReportSource::Silent => scheduler::ReportSource::Silent,
            },
            report_fields: self.reports.fields.iter().map(|m| m.field.into()).collect(),
            prices: scheduler::Prices {
                connection: self.prices.connection,
                cross_zone: self.prices.cross_zone,
                handshake: self.prices.handshake,
                late_failure: self.prices.late_failure,
                moves: self.prices.moves,
                origin: self.prices.origin,
                peer: self.prices.peer,
                probe: self.prices.probe,
                discovery: self.prices.discovery,
                waste: self.prices.waste,
            },
            goal: scheduler::Goal {
                whole: self.goal.whole,
                worst_window: self.goal.worst_window,
                worst_request_class: self.goal.worst_request_class,
                worst_tenant: self.goal.worst_tenant,
            },
        }
    }
}
