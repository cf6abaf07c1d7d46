//! The decisions of seeded days, compared with recorded hashes: a change of names or structure must not move one.
//!
//! Each day drives one scheduler with a small model of workers and hashes the sequence of its actions in blocks. The
//! recorded hashes are in `decisions.txt`, one `day block hash` a line; the first block that differs is printed. After an
//! intended change of a decision, `RECORD_DECISIONS=1` writes the file anew.
#![allow(clippy::unwrap_used, reason = "a test may stop at what must not be")]

use quartzdrift_scheduler::interface::{
    Action, ActionLimits, CacheResult, CacheSettings, DeduplicationScope, DiscoveryMode, Endpoint,
    EndpointListKind, EndpointState, Event, Idempotency, Outcome, Prices, PriorityUnit, ReportField,
    ReportSource, Request, RequestClass, RequestId, Rules, Settings, Tenant, UsageForecast,
};
use quartzdrift_scheduler::scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

const DAYS: u64 = 24;
const WORKERS: usize = 10;
const DAY: Duration = Duration::from_secs(30);
/// Actions that share a hash.
const BLOCK: usize = 32;
const RECORDED: &str = include_str!("decisions.txt");

/// SplitMix64, as published by its author.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(from * 1000 + self.below((to - from) * 1000))
    }
}

/// An event that is still to come.
enum Upcoming {
    Arrival,
    Ending { request: RequestId, attempt: u32, worker: String, sent: Duration },
    Expiry(RequestId),
    Timer(&'static str),
    List,
    Forecast,
    Loaded { worker: String, function: String, copies: u32, sent: Duration },
}

struct Day {
    seed: u64,
    random: Random,
    scheduler: Scheduler,
    classes: usize,
    tenants: u32,
    fields: usize,
    now: Duration,
    /// Events planned so far.
    planned: u64,
    /// By time, then in the order in which they were planned.
    upcoming: BTreeMap<(Duration, u64), Upcoming>,
    open: BTreeSet<RequestId>,
    attempts: BTreeMap<RequestId, u32>,
    /// Keys of the ends of attempts that are in flight.
    in_flight: BTreeMap<(RequestId, u32), (Duration, u64)>,
    started: Vec<Option<Duration>>,
    /// Attempts at each worker that may still fail in a row.
    failures_left: Vec<u64>,
    next_request: RequestId,
    actions: Vec<String>,
}

/// Bit `at` of the seed, which switches a setting.
fn bit(seed: u64, at: u64) -> bool {
    seed >> at & 1 == 1
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn settings(seed: u64) -> Settings {
    let tenant = |name: &str, rate| Tenant {
        name: name.to_owned(),
        requests_per_second: Some(rate),
        ..Tenant::default()
    };
    Settings {
        scheduler_count: Some(1 + (seed % 5) as u32),
        discovery_mode: if bit(seed, 1) { DiscoveryMode::Poll } else { DiscoveryMode::Push },
        priority_unit: if bit(seed, 2) { PriorityUnit::Work } else { PriorityUnit::Request },
        request_classes: (0..3).map(|at| request_class(seed, at)).collect(),
        tenants: vec![tenant("a", 20.0), tenant("b", 10.0)],
        limits: allowed(seed),
        rules: rules(seed),
        cache: cache_settings(seed),
        report_source: ReportSource::Responses,
        report_fields: report_fields(seed),
        prices: Prices { origin_fetch: 0.02, ..Prices::default() },
        ..Settings::default()
    }
}

fn request_class(seed: u64, at: usize) -> RequestClass {
    let idempotency_kinds =
        [Idempotency::Idempotent, Idempotency::IdempotentWithKey, Idempotency::NonIdempotent];
    let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    RequestClass {
        name: format!("class-{at}"),
        idempotency: idempotency_kinds[(at + seed as usize) % 3],
        latency_objective: Some(millis(400 + 300 * at as u64)),
        timeout: Some(millis(3000)),
        priority_weight: Some(1.0 + at as f64),
        deduplication_scope: scopes[seed as usize % 3],
        deduplication_window: Some(millis(1500)),
        ..RequestClass::default()
    }
}

fn allowed(seed: u64) -> ActionLimits {
    ActionLimits {
        cancel: bit(seed, 0),
        retry_after: bit(seed, 3),
        max_retry_after: bit(seed, 2).then_some(millis(150)),
        max_attempts: Some(1 + (seed % 3) as u32),
        ..ActionLimits::default()
    }
}

fn rules(seed: u64) -> Rules {
    Rules {
        slow_start_min_capacity: Some(0.2),
        slow_start_duration: Some(millis(4000)),
        overload_multiple: Some(2.0),
        overload_window: bit(seed, 1).then_some(millis(1500)),
        drain_grace: Some(millis(250)),
        endpoint_refresh_limit: bit(seed, 0).then_some(millis(400)),
        ..Rules::default()
    }
}

fn cache_settings(seed: u64) -> CacheSettings {
    CacheSettings {
        load_commands: bit(seed, 2) || bit(seed, 0),
        reports_cache_status: bit(seed, 1),
        reports_concurrency: bit(seed, 1),
        keep_alive: Some(millis(6000)),
        memory_mb_by_kind: vec![4000.0, 16000.0],
        idle_memory_price: Some(0.01),
        load_quota_burst: Some(4.0),
        load_quota_share: Some(0.05),
        load_quota_window: bit(seed, 3).then_some(millis(5000)),
        ..CacheSettings::default()
    }
}

fn report_fields(seed: u64) -> Vec<ReportField> {
    match seed % 4 {
        0 => vec![ReportField::InFlight, ReportField::UnreclaimableMemory],
        1 => vec![ReportField::CoreUtilization],
        2 => vec![ReportField::Queued, ReportField::LoadsInProgress],
        _ => Vec::new(),
    }
}

/// Actions in a form that does not follow the names of types and fields.
fn written(action: &Action) -> String {
    match action {
        Action::StartAttempt { request, worker, timeout, .. } => {
            format!("send {request} {worker} {timeout:?}")
        }
        Action::Reject { request, retry_after, .. } => format!("reject {request} {retry_after:?}"),
        Action::Fail { request } => format!("fail {request}"),
        Action::CancelAttempt { request, attempt } => format!("cancel {request} {attempt}"),
        Action::SetTimer { delay, name } => format!("timer {delay:?} {name}"),
        Action::CheckHealth { worker } => format!("probe {worker}"),
        Action::CloseIdleConnections { worker } => format!("close {worker}"),
        Action::SendToPeer { to, bytes } => format!("tell {to:?} {bytes:?}"),
        Action::Load { worker, function, copies } => format!("load {worker} {function} {copies}"),
        Action::Unload { worker, function } => format!("unload {worker} {function}"),
        Action::WatchEndpoints { enabled: on } => format!("watch {on}"),
        Action::PollEndpoints => "list".to_owned(),
        Action::Notice(notice) => format!("notice {notice:?}"),
        Action::Log { text } => format!("log {text}"),
    }
}

impl Day {
    fn new(seed: u64) -> Day {
        let settings = settings(seed);
        let mut random = Random(seed.wrapping_mul(0x5851_f42d_4c95_7f2d));
        Day {
            seed,
            scheduler: Scheduler::new(&settings, random.next()),
            classes: settings.request_classes.len(),
            tenants: settings.tenants.len() as u32,
            fields: settings.report_fields.len(),
            random,
            now: Duration::from_secs(1),
            planned: 0,
            upcoming: BTreeMap::new(),
            open: BTreeSet::new(),
            attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            started: vec![None; WORKERS],
            failures_left: vec![0; WORKERS],
            next_request: 0,
            actions: Vec::new(),
        }
    }

    fn plan(&mut self, after: Duration, what: Upcoming) -> (Duration, u64) {
        self.planned += 1;
        let key = (self.now + after, self.planned);
        self.upcoming.insert(key, what);
        key
    }

    fn feed(&mut self, event: Event) {
        for action in self.scheduler.handle(self.now, event) {
            self.actions.push(format!("{:?} {}", self.now, written(&action)));
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt { request, worker, timeout, .. } => {
                let next = self.attempts.entry(request).or_insert(0);
                let attempt = *next;
                *next += 1;
                let loads = self.random.chance(25);
                let duration = if loads { self.random.millis(200, 900) } else { self.random.millis(20, 250) };
                let after = timeout.map_or(duration, |limit| duration.min(limit));
                let (worker, sent) = (worker.to_string(), self.now);
                let key = self.plan(after, Upcoming::Ending { request, attempt, worker, sent });
                self.in_flight.insert((request, attempt), key);
            }
            Action::Reject { request, .. } | Action::Fail { request } => drop(self.open.remove(&request)),
            Action::CancelAttempt { request, attempt } => {
                let Some(key) = self.in_flight.get(&(request, attempt)).copied() else { return };
                if let Some(Upcoming::Ending { worker, sent, .. }) = self.upcoming.remove(&key) {
                    self.in_flight.remove(&(request, attempt));
                    let after = Duration::from_micros(10);
                    let sent = sent + Duration::from_secs(1_000_000); // marks a cancelled one
                    self.plan(after, Upcoming::Ending { request, attempt, worker, sent });
                }
            }
            Action::SetTimer { delay, name } => {
                self.plan(delay, Upcoming::Timer(name));
            }
            Action::Load { worker, function, copies } => {
                let duration = self.random.millis(100, 700);
                let (worker, function, sent) = (worker.to_string(), function.to_string(), self.now);
                self.plan(duration, Upcoming::Loaded { worker, function, copies, sent });
            }
            Action::WatchEndpoints { .. } | Action::PollEndpoints => {
                self.plan(Duration::from_millis(30), Upcoming::List);
            }
            Action::CheckHealth { .. }
            | Action::CloseIdleConnections { .. }
            | Action::SendToPeer { .. }
            | Action::Unload { .. }
            | Action::Notice(_)
            | Action::Log { .. } => {}
        }
    }

    fn list(&mut self, form: EndpointListKind) {
        let names: Vec<String> = (0..WORKERS).map(|at| format!("10.0.0.{at}:80")).collect();
        if form != EndpointListKind::Snapshot && self.random.chance(40) {
            let at = self.random.below(WORKERS as u64) as usize;
            self.started[at] = Some(self.now);
        }
        let mut entries = Vec::new();
        for (at, worker) in names.iter().enumerate() {
            let state = match self.random.below(12) {
                0 if form != EndpointListKind::Snapshot => EndpointState::Draining,
                1 if form == EndpointListKind::Changes => EndpointState::Gone,
                _ => EndpointState::Up,
            };
            if form == EndpointListKind::Changes && self.random.chance(70) {
                continue;
            }
            let (kind, zone, cell) = (at as u32 % 2, at as u32 % 3, at as u32 / 5);
            let started = self.started[at];
            entries.push(Endpoint {
                worker,
                capacity_hint: None,
                cell,
                machine_kind: kind,
                zone,
                started_at: started,
                state,
            });
        }
        if form == EndpointListKind::Failed {
            entries.clear();
        }
        self.feed(Event::EndpointList { kind: form, entries });
    }

    fn arrival(&mut self) {
        // A burst in the middle third.
        let busy = self.now > DAY / 3 && self.now < DAY * 2 / 3;
        let gap = if busy { self.random.millis(1, 9) } else { self.random.millis(4, 30) };
        self.plan(gap, Upcoming::Arrival);
        self.next_request += 1;
        let request = self.next_request;
        let function = format!("f{}", self.random.below(4) * self.random.below(6));
        let left = self.random.millis(800, 3000);
        let arrived = Request {
            id: request,
            request_class: self.random.below(self.classes as u64 + u64::from(request.is_multiple_of(97)))
                as u32,
            tenant: self.random.below(u64::from(self.tenants)) as u32,
            function: &function,
            time_left: left,
            memory_mb: (!request.is_multiple_of(3)).then_some(200.0),
            concurrency_slots: (!request.is_multiple_of(2)).then_some(1.0 + (request % 4) as f64),
            ..Request::default()
        };
        self.open.insert(request);
        self.plan(left, Upcoming::Expiry(request));
        self.feed(Event::Request(arrived));
    }

    fn report(&mut self) -> Vec<Option<f64>> {
        let field = |random: &mut Random| (!random.chance(10)).then(|| random.below(1000) as f64 / 100.0);
        (0..self.fields).map(|_| field(&mut self.random)).collect()
    }

    fn ending(&mut self, request: RequestId, attempt: u32, worker: &str, sent: Duration) {
        self.in_flight.remove(&(request, attempt));
        let cancelled = sent > self.now;
        let at: usize = worker[7..worker.len() - 3].parse().unwrap();
        if self.random.chance(1) {
            self.failures_left[at] = self.random.below(60);
        }
        let is_failing = self.failures_left[at] > 0;
        self.failures_left[at] = self.failures_left[at].saturating_sub(1);
        let outcome = match self.random.below(if is_failing { 8 } else { 60 }) {
            _ if cancelled => Outcome::Cancelled,
            0 => Outcome::Error,
            1 => Outcome::AtCapacity,
            2 => Outcome::TimedOut,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Reset,
            5 => Outcome::CacheMiss,
            6 => Outcome::NeverSent,
            _ => Outcome::Succeeded,
        };
        let cache_result = match self.random.below(8) {
            0 => CacheResult::Unknown,
            1 => CacheResult::StartedLoad,
            2 => CacheResult::AwaitedLoad,
            3 if outcome == Outcome::CacheMiss => CacheResult::LoadFailed,
            _ => CacheResult::Warm,
        };
        let duration = if cancelled { self.random.millis(1, 400) } else { self.now - sent };
        let concluded = outcome == Outcome::Succeeded || !self.open.contains(&request);
        if concluded {
            self.open.remove(&request);
        }
        let report = self.report();
        self.feed(Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            duration,
            concluded,
            cache_result,
            concurrency: None,
            report,
        });
    }

    fn forecast(&mut self) {
        self.plan(Duration::from_millis(700), Upcoming::Forecast);
        let function = format!("f{}", self.random.below(16));
        let forecast = UsageForecast {
            function: &function,
            request_class: self.random.below(self.classes as u64) as u32,
            horizon: self.random.millis(500, 9000),
            probability: self.random.below(100) as f64 / 100.0,
            requests_per_second: self.random.chance(50).then_some(3.0),
            memory_mb: Some(200.0),
            concurrency_slots: Some(1.0),
            load_hint: self.random.chance(50).then_some(Duration::from_millis(600)),
        };
        self.feed(Event::UsageForecast(forecast));
        match self.random.below(20) {
            0 => {
                let schedulers = 1 + self.random.below(6) as u32;
                self.feed(Event::SchedulerCount(schedulers));
            }
            1 => {
                let before = self.scheduler.measurements.clone();
                self.feed(Event::RestoredMeasurements(before));
            }
            _ => {}
        }
    }

    fn step(&mut self, what: Upcoming) {
        match what {
            Upcoming::Arrival => self.arrival(),
            Upcoming::Ending { request, attempt, worker, sent } => {
                self.ending(request, attempt, &worker, sent)
            }
            Upcoming::Expiry(request) => {
                if self.open.remove(&request) {
                    self.feed(Event::RequestCancelled { request });
                }
            }
            Upcoming::Timer(name) => self.feed(Event::Timer { name }),
            Upcoming::List => {
                self.plan(Duration::from_millis(2500), Upcoming::List);
                let form = match self.random.below(6) {
                    0 => EndpointListKind::Failed,
                    1 | 2 => EndpointListKind::Full,
                    _ => EndpointListKind::Changes,
                };
                self.list(form);
            }
            Upcoming::Forecast => self.forecast(),
            Upcoming::Loaded { worker, function, copies, sent } => {
                let (outcome, copies) = match self.random.below(10) {
                    0 => (Outcome::Error, 0),
                    1 => (Outcome::AtCapacity, 0),
                    2 => (Outcome::Succeeded, 0),
                    _ => (Outcome::Succeeded, copies),
                };
                let duration = self.now - sent;
                let (worker, function) = (&*worker, &*function);
                self.feed(Event::LoadEnded { worker, function, outcome, duration, copies });
            }
        }
    }

    fn play(mut self) -> Vec<String> {
        self.list(EndpointListKind::Snapshot);
        self.plan(Duration::from_millis(5), Upcoming::Arrival);
        self.plan(Duration::from_millis(1500), Upcoming::List);
        self.plan(Duration::from_millis(2000), Upcoming::Forecast);
        while let Some(((at, _), what)) = self.upcoming.pop_first().filter(|((at, _), _)| *at < DAY) {
            self.now = at;
            self.step(what);
        }
        assert!(
            self.actions.len() > 1000,
            "day {} decides little: {} actions",
            self.seed,
            self.actions.len()
        );
        self.actions
    }
}

/// FNV-1a with 64 bits, as published.
fn hash(lines: &[String]) -> u64 {
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn actions_of_seeded_days_are_the_recorded_ones() {
    let mut recorded = RECORDED.lines();
    let mut text = String::new();
    let record = std::env::var_os("RECORD_DECISIONS").is_some();
    for seed in 0..DAYS {
        let actions = Day::new(seed).play();
        for (block, lines) in actions.chunks(BLOCK).enumerate() {
            let line = format!("{seed} {block} {:016x}", hash(lines));
            let expected = recorded.next();
            assert!(
                record || expected == Some(&*line),
                "day {seed}, block {block}: decided otherwise than recorded ({expected:?}):\n{}",
                lines.join("\n")
            );
            writeln!(text, "{line}").unwrap();
        }
    }
    if record {
        std::fs::write(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/decisions.txt"), text).unwrap();
    } else {
        assert_eq!(recorded.next(), None, "more was recorded than is decided");
    }
}
