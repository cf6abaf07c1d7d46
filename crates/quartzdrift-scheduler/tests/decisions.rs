//! Regression test of the scheduler's decisions: a change of names or structure must not change any of them.
//!
//! Each simulated run drives one scheduler with seeded random events and a small model of the workers. Its
//! actions are hashed in blocks and compared with `decisions.txt`, which holds one line `run block hash` for
//! each block. The test prints the actions of the first block that differs. After an intended change of a
//! decision, `RECORD_DECISIONS=1` writes the file again.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod random;

use quartzdrift_scheduler::interface::{
    Action, ActionLimits, CacheResult, CacheSettings, DeduplicationScope, DiscoveryMode, Endpoint,
    EndpointListKind, EndpointState, Event, Idempotency, Outcome, Prices, PriorityUnit, ReportField,
    ReportSource, Request, RequestClass, RequestId, Rules, Settings, Tenant, UsageForecast,
};
use quartzdrift_scheduler::scheduler::Scheduler;
use random::SplitMix64;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

const RUNS: u64 = 24;
const WORKERS: usize = 10;
const RUN_DURATION: Duration = Duration::from_secs(30);
/// Number of actions that share a hash.
const BLOCK_SIZE: usize = 32;
/// Longer than any run. Added to the start time of an attempt to mark the attempt as cancelled.
const CANCELLATION_MARK: Duration = Duration::from_secs(1_000_000);
const RECORDED_HASHES: &str = include_str!("decisions.txt");

/// An event that the simulation has scheduled.
enum ScheduledEvent {
    Arrival,
    AttemptEnd { request: RequestId, attempt: u32, worker: String, sent_at: Duration },
    Deadline(RequestId),
    Timer(&'static str),
    EndpointList,
    Forecast,
    LoadEnd { worker: String, function: String, copies: u32, sent_at: Duration },
}

/// Time of a scheduled event, and its sequence number.
type EventKey = (Duration, u64);

/// The clocks that the workers' machines read at the starts of their workers.
enum WorkerClocks {
    /// All show the time of the run.
    Exact,
    /// Each is wrong by an amount that is drawn at each start.
    Wrong(SplitMix64),
}

impl WorkerClocks {
    /// Reads a machine's clock at the time `now`, up to two hours ahead of it or, as far as a clock can be,
    /// behind it. No two readings are equal.
    fn read(&mut self, now: Duration) -> Duration {
        match self {
            WorkerClocks::Exact => now,
            WorkerClocks::Wrong(random) => random.duration_ms(1, 7_200_000),
        }
    }
}

/// A run of one scheduler in simulated time.
struct Simulation {
    seed: u64,
    random: SplitMix64,
    scheduler: Scheduler,
    class_count: usize,
    tenant_count: u32,
    report_field_count: usize,
    now: Duration,
    /// Number of events scheduled so far.
    scheduled_count: u64,
    /// Scheduled events by time; events with equal times are in the order in which they were scheduled.
    queue: BTreeMap<EventKey, ScheduledEvent>,
    /// Requests without a final response.
    open_requests: BTreeSet<RequestId>,
    /// Number of attempts so far, by request.
    attempt_counts: BTreeMap<RequestId, u32>,
    /// Scheduled end of each attempt in flight, by request and number of the attempt.
    in_flight: BTreeMap<(RequestId, u32), EventKey>,
    /// Latest start of each worker's process by its machine's clock; `None`: before the run.
    started_at: Vec<Option<Duration>>,
    clocks: WorkerClocks,
    /// Number of attempts for which each worker's error rate is still raised.
    failures_left: Vec<u64>,
    last_request: RequestId,
    /// Formatted actions of the scheduler.
    actions: Vec<String>,
}

/// Returns a bit of the seed, which enables or disables a setting.
fn bit(seed: u64, position: u64) -> bool {
    seed >> position & 1 == 1
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
        request_classes: (0..3).map(|index| request_class(seed, index)).collect(),
        tenants: vec![tenant("a", 20.0), tenant("b", 10.0)],
        limits: action_limits(seed),
        rules: rules(seed),
        cache: cache_settings(seed),
        report_source: ReportSource::Responses,
        report_fields: report_fields(seed),
        prices: Prices { origin_fetch: 0.02, ..Prices::default() },
        ..Settings::default()
    }
}

fn request_class(seed: u64, index: usize) -> RequestClass {
    let idempotency_kinds =
        [Idempotency::Idempotent, Idempotency::IdempotentWithKey, Idempotency::NonIdempotent];
    let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    RequestClass {
        name: format!("class-{index}"),
        idempotency: idempotency_kinds[(index + seed as usize) % 3],
        latency_objective: Some(millis(400 + 300 * index as u64)),
        timeout: Some(millis(3000)),
        priority_weight: Some(1.0 + index as f64),
        deduplication_scope: scopes[seed as usize % 3],
        deduplication_window: Some(millis(1500)),
        ..RequestClass::default()
    }
}

fn action_limits(seed: u64) -> ActionLimits {
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

/// Formats an action without the names of types and fields, so that renaming them does not change a hash.
fn format_action(action: &Action) -> String {
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
        Action::WatchEndpoints { enabled } => format!("watch {enabled}"),
        Action::PollEndpoints => "list".to_owned(),
        Action::Notice(notice) => format!("notice {notice:?}"),
        Action::Log { text } => format!("log {text}"),
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let settings = settings(seed);
        let mut random = SplitMix64(seed.wrapping_mul(0x5851_f42d_4c95_7f2d));
        Simulation {
            seed,
            scheduler: Scheduler::new(&settings, random.next()),
            class_count: settings.request_classes.len(),
            tenant_count: settings.tenants.len() as u32,
            report_field_count: settings.report_fields.len(),
            random,
            now: Duration::from_secs(1),
            scheduled_count: 0,
            queue: BTreeMap::new(),
            open_requests: BTreeSet::new(),
            attempt_counts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            started_at: vec![None; WORKERS],
            clocks: WorkerClocks::Exact,
            failures_left: vec![0; WORKERS],
            last_request: 0,
            actions: Vec::new(),
        }
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) -> EventKey {
        self.scheduled_count += 1;
        let key = (self.now + delay, self.scheduled_count);
        self.queue.insert(key, event);
        key
    }

    /// Passes an event to the scheduler, and records and carries out its actions.
    fn handle_event(&mut self, event: Event) {
        for action in self.scheduler.handle(self.now, event) {
            self.actions.push(format!("{:?} {}", self.now, format_action(&action)));
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt { request, worker, timeout, .. } => {
                let count = self.attempt_counts.entry(request).or_insert(0);
                let attempt = *count;
                *count += 1;
                let waits_for_load = self.random.chance(25);
                let duration = if waits_for_load {
                    self.random.duration_ms(200, 900)
                } else {
                    self.random.duration_ms(20, 250)
                };
                let delay = timeout.map_or(duration, |limit| duration.min(limit));
                let (worker, sent_at) = (worker.to_string(), self.now);
                let key =
                    self.schedule(delay, ScheduledEvent::AttemptEnd { request, attempt, worker, sent_at });
                self.in_flight.insert((request, attempt), key);
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.open_requests.remove(&request);
            }
            Action::CancelAttempt { request, attempt } => {
                let Some(key) = self.in_flight.get(&(request, attempt)).copied() else { return };
                if let Some(ScheduledEvent::AttemptEnd { worker, sent_at, .. }) = self.queue.remove(&key) {
                    self.in_flight.remove(&(request, attempt));
                    let delay = Duration::from_micros(10);
                    let sent_at = sent_at + CANCELLATION_MARK;
                    self.schedule(delay, ScheduledEvent::AttemptEnd { request, attempt, worker, sent_at });
                }
            }
            Action::SetTimer { delay, name } => {
                self.schedule(delay, ScheduledEvent::Timer(name));
            }
            Action::Load { worker, function, copies } => {
                let duration = self.random.duration_ms(100, 700);
                let (worker, function, sent_at) = (worker.to_string(), function.to_string(), self.now);
                self.schedule(duration, ScheduledEvent::LoadEnd { worker, function, copies, sent_at });
            }
            Action::WatchEndpoints { .. } | Action::PollEndpoints => {
                self.schedule(Duration::from_millis(30), ScheduledEvent::EndpointList);
            }
            Action::CheckHealth { .. }
            | Action::CloseIdleConnections { .. }
            | Action::SendToPeer { .. }
            | Action::Unload { .. }
            | Action::Notice(_)
            | Action::Log { .. } => {}
        }
    }

    /// Sends an endpoint list with random states of the workers.
    fn send_endpoint_list(&mut self, kind: EndpointListKind) {
        let names: Vec<String> = (0..WORKERS).map(|index| format!("10.0.0.{index}:80")).collect();
        if kind != EndpointListKind::Snapshot && self.random.chance(40) {
            let index = self.random.below(WORKERS as u64) as usize;
            self.started_at[index] = Some(self.clocks.read(self.now));
        }
        let mut entries = Vec::new();
        for (index, worker) in names.iter().enumerate() {
            let state = match self.random.below(12) {
                0 if kind != EndpointListKind::Snapshot => EndpointState::Draining,
                1 if kind == EndpointListKind::Changes => EndpointState::Gone,
                _ => EndpointState::Up,
            };
            if kind == EndpointListKind::Changes && self.random.chance(70) {
                continue;
            }
            let number = index as u32;
            entries.push(Endpoint {
                worker,
                capacity_hint: None,
                address: None,
                cell: number / 5,
                machine_kind: number % 2,
                zone: number % 3,
                started_at: self.started_at[index],
                state,
            });
        }
        if kind == EndpointListKind::Failed {
            entries.clear();
        }
        self.handle_event(Event::EndpointList { kind, entries });
    }

    /// Sends a request, and schedules its deadline and the arrival of the next request.
    fn send_request(&mut self) {
        // The rate of requests is higher in the middle third of the run.
        let is_burst = self.now > RUN_DURATION / 3 && self.now < RUN_DURATION * 2 / 3;
        let interval = if is_burst { self.random.duration_ms(1, 9) } else { self.random.duration_ms(4, 30) };
        self.schedule(interval, ScheduledEvent::Arrival);
        self.last_request += 1;
        let request = self.last_request;
        let function = format!("f{}", self.random.below(4) * self.random.below(6));
        let time_left = self.random.duration_ms(800, 3000);
        // Every 97th request may name a class that is not configured.
        let class_bound = self.class_count as u64 + u64::from(request.is_multiple_of(97));
        let new_request = Request {
            id: request,
            request_class: self.random.below(class_bound) as u32,
            tenant: self.random.below(u64::from(self.tenant_count)) as u32,
            function: &function,
            time_left,
            memory_mb: (!request.is_multiple_of(3)).then_some(200.0),
            concurrency_slots: (!request.is_multiple_of(2)).then_some(1.0 + (request % 4) as f64),
            ..Request::default()
        };
        self.open_requests.insert(request);
        self.schedule(time_left, ScheduledEvent::Deadline(request));
        self.handle_event(Event::Request(new_request));
    }

    fn load_report(&mut self) -> Vec<Option<f64>> {
        let value = |random: &mut SplitMix64| (!random.chance(10)).then(|| random.below(1000) as f64 / 100.0);
        (0..self.report_field_count).map(|_| value(&mut self.random)).collect()
    }

    /// Ends an attempt with a random outcome. A worker sometimes fails many attempts in a row.
    fn end_attempt(&mut self, request: RequestId, attempt: u32, worker: &str, sent_at: Duration) {
        self.in_flight.remove(&(request, attempt));
        let is_cancelled = sent_at > self.now;
        // The index is the last number of the address: 10.0.0.INDEX:80.
        let index: usize = worker[7..worker.len() - 3].parse().unwrap();
        if self.random.chance(1) {
            self.failures_left[index] = self.random.below(60);
        }
        let is_failing = self.failures_left[index] > 0;
        self.failures_left[index] = self.failures_left[index].saturating_sub(1);
        let outcome = match self.random.below(if is_failing { 8 } else { 60 }) {
            _ if is_cancelled => Outcome::Cancelled,
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
        let duration = if is_cancelled { self.random.duration_ms(1, 400) } else { self.now - sent_at };
        let concluded = outcome == Outcome::Succeeded || !self.open_requests.contains(&request);
        if concluded {
            self.open_requests.remove(&request);
        }
        let report = self.load_report();
        self.handle_event(Event::AttemptEnded {
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

    /// Sends a forecast, and sometimes a changed number of schedulers or the scheduler's own measurements.
    fn send_forecast(&mut self) {
        self.schedule(Duration::from_millis(700), ScheduledEvent::Forecast);
        let function = format!("f{}", self.random.below(16));
        let forecast = UsageForecast {
            function: &function,
            request_class: self.random.below(self.class_count as u64) as u32,
            horizon: self.random.duration_ms(500, 9000),
            probability: self.random.below(100) as f64 / 100.0,
            requests_per_second: self.random.chance(50).then_some(3.0),
            memory_mb: Some(200.0),
            concurrency_slots: Some(1.0),
            load_hint: self.random.chance(50).then_some(Duration::from_millis(600)),
        };
        self.handle_event(Event::UsageForecast(forecast));
        match self.random.below(20) {
            0 => {
                let schedulers = 1 + self.random.below(6) as u32;
                self.handle_event(Event::SchedulerCount(schedulers));
            }
            1 => {
                let measurements = self.scheduler.measurements.clone();
                self.handle_event(Event::RestoredMeasurements(measurements));
            }
            _ => {}
        }
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.send_request(),
            ScheduledEvent::AttemptEnd { request, attempt, worker, sent_at } => {
                self.end_attempt(request, attempt, &worker, sent_at)
            }
            ScheduledEvent::Deadline(request) => {
                if self.open_requests.remove(&request) {
                    self.handle_event(Event::RequestCancelled { request });
                }
            }
            ScheduledEvent::Timer(name) => self.handle_event(Event::Timer { name }),
            ScheduledEvent::EndpointList => {
                self.schedule(Duration::from_millis(2500), ScheduledEvent::EndpointList);
                let kind = match self.random.below(6) {
                    0 => EndpointListKind::Failed,
                    1 | 2 => EndpointListKind::Full,
                    _ => EndpointListKind::Changes,
                };
                self.send_endpoint_list(kind);
            }
            ScheduledEvent::Forecast => self.send_forecast(),
            ScheduledEvent::LoadEnd { worker, function, copies, sent_at } => {
                let (outcome, copies) = match self.random.below(10) {
                    0 => (Outcome::Error, 0),
                    1 => (Outcome::AtCapacity, 0),
                    2 => (Outcome::Succeeded, 0),
                    _ => (Outcome::Succeeded, copies),
                };
                let duration = self.now - sent_at;
                let (worker, function) = (&*worker, &*function);
                self.handle_event(Event::LoadEnded { worker, function, outcome, duration, copies });
            }
        }
    }

    /// Returns the formatted actions of the whole run.
    fn run(mut self) -> Vec<String> {
        self.send_endpoint_list(EndpointListKind::Snapshot);
        self.schedule(Duration::from_millis(5), ScheduledEvent::Arrival);
        self.schedule(Duration::from_millis(1500), ScheduledEvent::EndpointList);
        self.schedule(Duration::from_millis(2000), ScheduledEvent::Forecast);
        while let Some(((time, _), event)) =
            self.queue.pop_first().filter(|((time, _), _)| *time < RUN_DURATION)
        {
            self.now = time;
            self.process(event);
        }
        assert!(self.actions.len() > 1000, "run {} has only {} actions", self.seed, self.actions.len());
        self.actions
    }
}

/// Returns the 64-bit FNV-1a hash of the lines.
fn fnv1a(lines: &[String]) -> u64 {
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn actions_of_seeded_runs_match_the_recorded_hashes() {
    let mut recorded = RECORDED_HASHES.lines();
    let mut hashes = String::new();
    let is_recording = std::env::var_os("RECORD_DECISIONS").is_some();
    for seed in 0..RUNS {
        let actions = Simulation::new(seed).run();
        for (block, lines) in actions.chunks(BLOCK_SIZE).enumerate() {
            let line = format!("{seed} {block} {:016x}", fnv1a(lines));
            let expected = recorded.next();
            assert!(
                is_recording || expected == Some(&*line),
                "run {seed}, block {block}: hash differs from the recorded {expected:?}, actions:\n{}",
                lines.join("\n")
            );
            writeln!(hashes, "{line}").unwrap();
        }
    }
    if is_recording {
        std::fs::write(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/decisions.txt"), hashes).unwrap();
    } else {
        assert_eq!(recorded.next(), None, "decisions.txt has more lines than the runs have blocks");
    }
}

/// Guards against a worker that is taken for warm, or not for a new process, because a clock was wrong when it
/// started: the readings of the workers' clocks make no difference to any decision.
#[test]
fn wrong_clocks_of_workers_change_no_decision() {
    for seed in 0..RUNS {
        let expected = Simulation::new(seed).run();
        let mut simulation = Simulation::new(seed);
        simulation.clocks = WorkerClocks::Wrong(SplitMix64(seed));
        let actions = simulation.run();
        let difference = expected.iter().zip(&actions).find(|(expected, action)| expected != action);
        assert_eq!(
            difference, None,
            "run {seed}: the first action that differs, without and with wrong clocks"
        );
        assert_eq!(actions.len(), expected.len(), "run {seed}");
    }
}
