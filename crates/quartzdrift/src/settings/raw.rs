//! The settings file as it is written. Every field of the decision module's settings can be told; a field that
//! is unknown, of the wrong kind or in a bad unit is an error with its place.
use quartzdrift_choice::interface as choice;
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
    pub workloads: Vec<Spanned<Workload>>,
    #[serde(default)]
    pub customers: Vec<Spanned<Customer>>,
    #[serde(default)]
    pub allowed: Allowed,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub copies: Copies,
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
    pub roster: Option<Roster>,
    #[serde(default)]
    pub deferred: Deferred,
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
    /// Where workers keep the fingerprints of what they have run.
    pub fingerprints: FingerprintsIn,
    /// Whether calls are let in by a pace while copies return after a loss of many.
    pub pace: bool,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FingerprintsIn {
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
            fingerprints: FingerprintsIn::Memory,
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

/// A trace of all jobs, for the emulator and for load.
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
    /// The field by which a trusted front tells the customer; none: all jobs are the first customer's.
    pub customer_field: Option<String>,
    /// The workload of functions that the settings do not name; none: they are not found.
    pub default_workload: Option<Spanned<String>>,
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
    pub connections_each_worker: Option<usize>,
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
        Log { form: LogForm::Text, filter: "info".to_owned() }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Discovery {
    #[default]
    Push,
    Ask,
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
    Job,
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
    pub discovery: Discovery,
    pub weights: Weights,
    pub counted_by: CountedBy,
    pub over_share_importance: Option<f64>,
    pub clients_mark_retries: bool,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Restartable,
    Fingerprinted,
    RunOnce,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    pub name: String,
    pub effect: Effect,
    pub time_limit: Span,
    pub start_target: Option<Span>,
    pub target_stretch: Option<f64>,
    pub importance: Option<f64>,
    pub late_share: Option<f64>,
    pub group: Option<Group>,
    pub window: Option<Span>,
    #[serde(default)]
    pub streams: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    pub share: Option<f64>,
    pub jobs_per_second: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Allowed {
    pub cancel: bool,
    pub probes: bool,
    pub peers: bool,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after: Option<Span>,
    pub max_executions: Option<u32>,
    pub max_open: Option<u32>,
    pub connect_timeout: Span,
    pub keepalive: Span,
    pub cpu_us_per_second: Option<f64>,
    pub cpu_us_per_job: Option<f64>,
    pub streams_per_connection: Option<u32>,
}

impl Default for Allowed {
    fn default() -> Allowed {
        Allowed {
            cancel: true,
            probes: false,
            peers: false,
            second_copies: false,
            retry_after: true,
            max_retry_after: Some(Span(Duration::from_secs(10))),
            max_executions: Some(3),
            max_open: None,
            connect_timeout: Span(Duration::from_millis(250)),
            keepalive: Span(Duration::from_secs(15)),
            cpu_us_per_second: None,
            cpu_us_per_job: None,
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
pub struct Copies {
    pub on_miss: OnMiss,
    pub orders: bool,
    pub tells_warm: bool,
    pub tells_crowd: bool,
    pub keep: Option<Span>,
    pub memory_mb_by_kind: Vec<f64>,
    pub idle_memory_price: Option<f64>,
    pub load_free: Option<f64>,
    pub load_share: Option<f64>,
    pub load_window: Option<Span>,
    pub order_timeout: Option<Span>,
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
    FinishedPerSecond,
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
    pub late_kill: f64,
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
    pub worst_workload: f64,
    pub worst_customer: f64,
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
    pub workload: String,
    pub memory_mb: Option<f64>,
    pub lanes: Option<f64>,
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
pub struct Roster {
    /// Where the list is, like "http://127.0.0.1:9800/workers".
    pub url: Spanned<String>,
    /// Changes come over server-sent events at the same address.
    #[serde(default)]
    pub stream: bool,
    /// How often the whole list is asked for.
    #[serde(default = "every")]
    pub every: Span,
    /// An answer not there by then has failed.
    #[serde(default = "roster_timeout")]
    pub timeout: Span,
}

fn every() -> Span {
    Span(Duration::from_secs(5))
}

fn roster_timeout() -> Span {
    Span(Duration::from_secs(2))
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Deferred {
    pub tries: u32,
    pub wait: Span,
    pub longest_wait: Span,
    pub greatest_age: Span,
    pub jobs: usize,
    pub bytes: usize,
    pub out: usize,
    pub on_success: Option<To>,
    pub on_failure: Option<To>,
    /// Folder in which jobs outlast the process; none: they do not.
    pub store: Option<String>,
    /// When a job is answered as taken.
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

impl Default for Deferred {
    fn default() -> Deferred {
        Deferred {
            tries: 3,
            wait: Span(Duration::from_secs(1)),
            longest_wait: Span(Duration::from_secs(300)),
            greatest_age: Span(Duration::from_secs(6 * 3600)),
            jobs: 100_000,
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

impl From<Effect> for choice::Effect {
    fn from(effect: Effect) -> Self {
        match effect {
            Effect::Restartable => choice::Effect::Restartable,
            Effect::Fingerprinted => choice::Effect::Fingerprinted,
            Effect::RunOnce => choice::Effect::RunOnce,
        }
    }
}

impl From<ReportField> for choice::ReportField {
    fn from(field: ReportField) -> Self {
        match field {
            ReportField::Held => choice::ReportField::Held,
            ReportField::Queued => choice::ReportField::Queued,
            ReportField::Busy => choice::ReportField::Busy,
            ReportField::LatencyMs => choice::ReportField::LatencyMs,
            ReportField::FinishedPerSecond => choice::ReportField::FinishedPerSecond,
            ReportField::ErrorsPerSecond => choice::ReportField::ErrorsPerSecond,
            ReportField::MemoryTaken => choice::ReportField::MemoryTaken,
            ReportField::Loads => choice::ReportField::Loads,
        }
    }
}

impl File {
    /// The decision module's part of the settings.
    pub fn choice(&self) -> choice::Settings {
        let (scheduler, allowed) = (self.scheduler.clone(), &self.allowed);
        let zone = scheduler.zone.as_ref().and_then(|told| {
            scheduler.zones.iter().position(|zone| zone == told.get_ref()).map(|at| at as u32)
        });
        let workload = |w: &Spanned<Workload>| {
            let w = w.get_ref();
            choice::Workload {
                name: w.name.clone(),
                effect: w.effect.into(),
                start_target: span(w.start_target),
                target_stretch: w.target_stretch,
                time_limit: Some(w.time_limit.0),
                importance: w.importance,
                late_share: w.late_share,
                group: match w.group {
                    None | Some(Group::All) => choice::Group::All,
                    Some(Group::Zone) => choice::Group::Zone,
                    Some(Group::Cell) => choice::Group::Cell,
                },
                window: span(w.window),
                streams: w.streams,
            }
        };
        let customer = |c: &Spanned<Customer>| {
            let Customer { name, share, jobs_per_second } = c.get_ref().clone();
            choice::Customer { name, share, jobs_per_second }
        };
        choice::Settings {
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
                Discovery::Push => choice::Discovery::Push,
                Discovery::Ask => choice::Discovery::Ask,
            },
            weights: match scheduler.weights {
                Weights::Silent => choice::Weights::Silent,
                Weights::Nominal => choice::Weights::Nominal,
                Weights::Rough => choice::Weights::Rough,
                Weights::Live => choice::Weights::Live,
            },
            counted_by: match scheduler.counted_by {
                CountedBy::Job => choice::CountedBy::Job,
                CountedBy::Work => choice::CountedBy::Work,
            },
            over_share_importance: scheduler.over_share_importance,
            clients_mark_retries: scheduler.clients_mark_retries,
            workloads: self.workloads.iter().map(workload).collect(),
            customers: self.customers.iter().map(customer).collect(),
            allowed: choice::Allowed {
                cancel: allowed.cancel,
                probes: allowed.probes,
                peers: allowed.peers,
                second_copies: allowed.second_copies,
                retry_after: allowed.retry_after,
                max_retry_after: span(allowed.max_retry_after),
                max_executions: allowed.max_executions,
                max_open: allowed.max_open,
                connect_timeout: Some(allowed.connect_timeout.0),
                keepalive: Some(allowed.keepalive.0),
                cpu_us_per_second: allowed.cpu_us_per_second,
                cpu_us_per_job: allowed.cpu_us_per_job,
                streams_per_connection: allowed.streams_per_connection,
            },
            rules: choice::Rules {
                answer_slack: Some(self.rules.answer_slack.0),
                ask_within: span(self.rules.ask_within),
                cold_from: self.rules.cold_from,
                cold_for: span(self.rules.cold_for),
                drain_grace: Some(self.rules.drain_grace.0),
                fall_multiple: self.rules.fall_multiple,
                fall_window: span(self.rules.fall_window),
            },
            copies: choice::Copies {
                on_miss: match self.copies.on_miss {
                    OnMiss::Load => choice::OnMiss::Load,
                    OnMiss::Miss => choice::OnMiss::Miss,
                },
                orders: self.copies.orders,
                tells_warm: self.copies.tells_warm,
                tells_crowd: self.copies.tells_crowd,
                keep: span(self.copies.keep),
                memory_mb_by_kind: self.copies.memory_mb_by_kind.clone(),
                idle_memory_price: self.copies.idle_memory_price,
                load_free: self.copies.load_free,
                load_share: self.copies.load_share,
                load_window: span(self.copies.load_window),
                order_timeout: span(self.copies.order_timeout),
            },
            report_source: match self.reports.source {
                ReportSource::Answers => choice::ReportSource::Answers,
                ReportSource::Probes => choice::ReportSource::Probes,
                ReportSource::Silent => choice::ReportSource::Silent,
            },
            report_fields: self.reports.fields.iter().map(|m| m.field.into()).collect(),
            prices: choice::Prices {
                connection: self.prices.connection,
                cross_zone: self.prices.cross_zone,
                handshake: self.prices.handshake,
                late_kill: self.prices.late_kill,
                moves: self.prices.moves,
                origin: self.prices.origin,
                peer: self.prices.peer,
                probe: self.prices.probe,
                discovery: self.prices.discovery,
                waste: self.prices.waste,
            },
            goal: choice::Goal {
                whole: self.goal.whole,
                worst_window: self.goal.worst_window,
                worst_workload: self.goal.worst_workload,
                worst_customer: self.goal.worst_customer,
            },
        }
    }
}
