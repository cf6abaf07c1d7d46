//! Discrete-event simulation of a cluster in simulated time.
//!
//! The lifecycle of requests, the scheduler, the forecasts, the membership and the recovery are the real
//! code. Workers, the store, the discovery service, clients and the network are models. All of them share one
//! event queue; the same scenario, traffic and seed give the same figures.
//!
//! Simplifications: each message takes 0.2 to 0.6 ms, schedulers take no time to decide, and a connection to
//! a worker that is down is refused at once.
mod clients;
mod faults;
mod membership;
mod power_loss;
mod recovery;
mod schedulers;
mod workers;

use crate::scenario::{Fault, Scenario};
use crate::scenario_runner;
use crate::store;
use crate::traffic::{self, Arrival};
use crate::worker::Faults;
use crate::worker_model::{CacheOutcome, WorkerModel, WorkerOutput, WorkerSpec};
use quartzdrift_forecast::{ForecastScores, Forecasts, PrefetchPlanner, PrefetchTotals};
use quartzdrift_lifecycle::{AttemptResult, FinalResponse, NewRequest, Output, RequestTable};
use quartzdrift_scheduler::interface::{
    ActionLimits, CacheResult, CacheSettings, Endpoint, EndpointListKind, EndpointState, Idempotency,
    Outcome, Prices, ReportField, ReportSource, RequestClass, Rules, Settings, UsageForecast,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use schedulers::endpoint_list;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Start of the scenario on the schedulers' clocks.
const START: Duration = Duration::from_secs(1_700_000_000);
/// Interval at which a worker renews its load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the end of the traffic for open requests to end.
const SETTLE: Duration = Duration::from_secs(10);
/// Interval of the samples of idle memory and scheduler counts.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Source of the usage forecasts that schedulers receive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Forecasting {
    #[default]
    Off,
    On,
    /// Every use is forecast in time with probability 1: the upper bound for any forecast.
    Foresight,
}

/// Options that differ between runs of the same scenario.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Variant {
    pub forecasting: Forecasting,
    /// Window of the load quota in seconds: within any window a scheduler sends at most `load_quota_burst`
    /// load commands plus `load_quota_share` per received request; 0 disables the quota.
    #[serde(rename = "load_window_s")]
    pub load_quota_window_s: f64,
    #[serde(rename = "load_free")]
    pub load_quota_burst: f64,
    #[serde(rename = "load_share")]
    pub load_quota_share: f64,
    /// Price of a fetch from the store.
    pub fetch_price: f64,
    #[serde(rename = "memory_price")]
    pub idle_memory_price: f64,
    /// Periods, in seconds, of the seasonal patterns that forecasts look for.
    pub seasons_s: Vec<f64>,
    /// Interval, in seconds, of the forecast snapshots that a scheduler restores after a restart; 0 disables
    /// snapshots.
    #[serde(rename = "snapshot_s")]
    pub snapshot_interval_s: f64,
    /// Schedulers detect each other through the membership protocol.
    #[serde(rename = "members")]
    pub membership: bool,
    /// Schedulers recover in phases after they were killed; requires `membership`.
    pub recovery: bool,
    /// An admission ramp limits requests during recovery; requires `recovery`.
    #[serde(rename = "pace")]
    pub admission_ramp: bool,
    /// Number of schedulers in the settings; 0: the number in the scenario.
    #[serde(rename = "schedulers")]
    pub configured_schedulers: u32,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests sent by clients, retries included.
    #[serde(rename = "calls")]
    pub requests: u64,
    #[serde(rename = "finished")]
    pub succeeded: u64,
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    #[serde(rename = "killed")]
    pub failed: u64,
    /// Requests that ended without a response: by the client's timeout, or by the loss of the gateway.
    #[serde(rename = "no_answer")]
    pub unanswered: u64,
    #[serde(rename = "executions")]
    pub attempts: u64,
    /// Successful attempts that started a load or waited for one.
    pub waited_for_load: u64,
    pub fetches: u64,
    /// Share of the arrivals that succeeded within the latency objective, measured from the first request of
    /// the client, retries included.
    #[serde(rename = "in_time")]
    pub on_time_share: f64,
    /// Median and 95th percentile of the latency of successful requests, without their execution time.
    pub wait_p50_ms: f64,
    pub wait_p95_ms: f64,
    /// Mean share of the memory of all workers that idle copies hold.
    pub idle_memory: f64,
    #[serde(rename = "orders")]
    pub load_commands: u64,
    /// Prefetches followed by a use within the keep-alive, and prefetches without one.
    #[serde(rename = "orders_used")]
    pub load_commands_used: u64,
    #[serde(rename = "orders_unused")]
    pub load_commands_unused: u64,
    /// Workers that crashed because they exceeded their overload bound.
    #[serde(rename = "fell_over")]
    pub overload_crashes: u64,
    /// Largest share of the load quota used within any window.
    #[serde(rename = "ration_most")]
    pub max_load_quota_share: f64,
    /// Gaps between uses that were forecast, and the mean scores of the forecasts and of two baselines: the
    /// last gap repeats, and the next use is always near. A score of 0 is best.
    #[serde(rename = "gaps")]
    pub scored_gaps: u64,
    #[serde(rename = "score")]
    pub forecast_score: f64,
    #[serde(rename = "score_last")]
    pub last_gap_score: f64,
    #[serde(rename = "score_always")]
    pub always_near_score: f64,
    /// Largest share of its overload bound that a worker received in a window during slow start.
    #[serde(rename = "cold_most")]
    pub max_overload_share: f64,
    /// Mean time from a scheduler's restart until the on-time share of its requests is back at
    /// `RECOVERED_SHARE` of the share before the kill.
    #[serde(rename = "recovered_s")]
    pub restart_recovery_s: f64,
    /// Time from the first restart of a scheduler after the last power loss until the on-time share of all
    /// requests stays at `RECOVERED_SHARE` of the share before the loss.
    #[serde(rename = "power_back_s")]
    pub power_recovery_s: f64,
    /// Requests rejected since the first power loss.
    #[serde(rename = "power_pushed_back")]
    pub power_rejected: u64,
    /// Lower bound of the recovery time: the time that the store needs to serve the functions that receive
    /// `RECOVERED_SHARE` of the requests.
    #[serde(rename = "power_bound_s")]
    pub power_recovery_bound_s: f64,
    /// Fetches that the store accepted since the first power loss.
    pub power_fetches: u64,
    /// Number of different functions among these fetches.
    #[serde(rename = "power_functions")]
    pub power_fetched_functions: u64,
    /// Fetches that the store rejected since the first power loss.
    #[serde(rename = "power_refused")]
    pub power_rejected_fetches: u64,
    /// On-time requests per second in the 10 s before the power loss, and in the last 10 s of the
    /// scenario.
    pub power_goodput_before: f64,
    pub power_goodput_after: f64,
    /// Largest drop of the on-time share below its maximum since the restart, over windows of 1 s.
    #[serde(rename = "power_fall_back")]
    pub power_max_regression: f64,
    /// Share of the schedulers whose last start was classified as a mass failure.
    #[serde(rename = "judged_lost")]
    pub mass_failure_share: f64,
    /// Longest time from the last start of a scheduler until it was classified.
    #[serde(rename = "judged_most_s")]
    pub max_classification_s: f64,
    /// Mean time from a kill until the first and the last of the other schedulers detected it.
    #[serde(rename = "found_first_s")]
    pub first_detection_s: f64,
    #[serde(rename = "found_last_s")]
    pub last_detection_s: f64,
    /// Detections of running schedulers as dead.
    pub false_dead: u64,
    /// Mean datagram bytes per second that each member sent.
    #[serde(rename = "member_bytes_s")]
    pub member_bytes_per_s: f64,
    /// Smallest and largest ratio of the scheduler count of a member to the number of running schedulers.
    #[serde(rename = "told_least")]
    pub min_scheduler_count_share: f64,
    #[serde(rename = "told_most")]
    pub max_scheduler_count_share: f64,
}

/// Attempt as its worker knows it: scheduler, incarnation of the scheduler, request and attempt number.
type AttemptKey = (usize, u64, u64, u32);

/// Event of the simulation. Workers, schedulers, clients, arrivals and faults are given by their index.
enum Event {
    ClientArrival(usize),
    /// The client at this index waited too long for the response to its request with this number.
    ClientTimeout(usize, u32),
    ClientRetry(usize),
    /// A timer of the request table of a scheduler, in this incarnation.
    RequestTableDue(usize, u64),
    AttemptArrived {
        worker: usize,
        scheduler: usize,
        incarnation: u64,
        request: u64,
        attempt: u32,
        call: u64,
        client: usize,
    },
    AttemptEnded {
        scheduler: usize,
        incarnation: u64,
        request: u64,
        attempt: u32,
        result: AttemptResult,
    },
    AttemptCancelled {
        worker: usize,
        call: u64,
    },
    WorkerDue(usize),
    StoreDue,
    LoadCommandArrived {
        worker: usize,
        scheduler: usize,
        incarnation: u64,
        command: u64,
        function: Rc<str>,
        copies: u32,
    },
    LoadCommandEnded {
        scheduler: usize,
        incarnation: u64,
        command: u64,
        outcome: Outcome,
        copies: u32,
    },
    EndpointChanged {
        scheduler: usize,
        worker: usize,
        state: EndpointState,
        started_at: Option<Duration>,
    },
    FullEndpointList {
        scheduler: usize,
        incarnation: u64,
    },
    Fault(usize),
    DatagramArrived {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    /// A timer of the membership of a scheduler, in this incarnation.
    MembershipDue(usize, u64),
    /// The forecast of the arrival at this index, with [`Forecasting::Foresight`].
    PerfectForecast(usize),
    Sample,
}

/// One request of a client. A retry is a client of its own, with the same arrival.
struct Client {
    arrival: usize,
    retries: u32,
    gateway: usize,
    /// Time of the client's first request.
    first_sent_at: Duration,
    /// Number of the request; a timeout of an earlier request is ignored.
    request_number: u32,
    awaits_response: bool,
    /// Scheduler and number of the request in its request table.
    request: Option<(usize, u64)>,
    /// Incarnation of the scheduler and number of the load that the request was admitted for during recovery.
    recovery_load: Option<(u64, u32)>,
}

struct SimulatedWorker {
    model: WorkerModel,
    up: bool,
    faults: Faults,
    calls: BTreeMap<u64, AttemptKey>,
    /// Scheduler, its incarnation and its number of each load command, by the worker's number.
    load_commands: BTreeMap<u64, (usize, u64, u64)>,
    next_wakeup: Option<Duration>,
    /// Recent load reports with the times they were made.
    load_reports: Vec<(Duration, Vec<Option<f64>>)>,
    incarnation: u64,
}

struct SimulatedScheduler {
    /// `None` while the scheduler is down.
    request_table: Option<RequestTable<usize>>,
    prefetch_planner: Option<PrefetchPlanner>,
    incarnation: u64,
    next_wakeup: Option<Duration>,
    /// Worker and call of each attempt in flight, by request and attempt number.
    attempts_in_flight: BTreeMap<(u64, u32), (usize, u64)>,
    /// Time and function of each pending load command.
    load_commands: BTreeMap<u64, (Duration, Rc<str>)>,
    /// Times of the received requests and of the sent load commands, to check the load quota.
    request_times: Vec<Duration>,
    load_command_times: Vec<Duration>,
    /// Time and bytes of the last snapshot of the forecasts.
    forecast_snapshot: Option<(Duration, Vec<u8>)>,
    membership: Option<membership::SchedulerMembership>,
    /// Addresses of the known members and the scheduler count, saved when the scheduler was killed.
    saved_members: (Vec<std::net::SocketAddr>, u32),
    /// The scheduler handles no events before this time.
    paused_until: Duration,
    recovery: recovery::RecoveryState,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    variant: &'a Variant,
    arrivals: &'a [Arrival],
    settings: Settings,
    now: Duration,
    /// Time and number of each pending event, earliest first.
    event_queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    /// Source of the numbers of events, calls, fetches and load commands.
    last_id: u64,
    rng: StdRng,
    clients: Vec<Client>,
    workers: Vec<SimulatedWorker>,
    worker_names: Vec<String>,
    workers_by_name: HashMap<String, usize>,
    schedulers: Vec<SimulatedScheduler>,
    store: store::StoreModel,
    store_wakeup: Option<Duration>,
    /// Worker, its incarnation and its load of each fetch.
    fetches: BTreeMap<u64, (usize, u64, u64)>,
    /// Calls that were cancelled before they reached their worker.
    cancelled_calls: BTreeSet<u64>,
    /// State and start time of each worker in the endpoint list.
    endpoints: Vec<(EndpointState, Option<Duration>)>,
    discovery_lag: Duration,
    discovery_stopped: bool,
    figures: Figures,
    /// Latency of each successful request in milliseconds, without its execution time.
    wait_times_ms: Vec<f64>,
    on_time_arrivals: BTreeSet<usize>,
    /// Sum and number of the samples of the share of memory that idle copies hold.
    idle_memory_samples: (f64, u64),
    /// Prefetch totals and forecast scores of scheduler incarnations that were killed.
    killed_prefetch_totals: PrefetchTotals,
    killed_forecast_scores: ForecastScores,
    membership_stats: membership::MembershipStats,
    power_loss: power_loss::PowerLoss,
    /// Set while the end of an attempt whose load failed is handled.
    attempt_load_failed: bool,
    /// Largest share of the overload bound among worker processes that have ended.
    max_overload_share: f64,
    /// Schedulers cut off from the others, and whether only datagrams from them are lost.
    partition: Option<(std::ops::Range<usize>, bool)>,
    /// Shares of datagrams that are lost and duplicated, and the maximum delay of each.
    datagram_loss: f64,
    datagram_duplication: f64,
    max_datagram_delay: Duration,
}

/// Returns the settings of the scheduler with number `scheduler_number`.
pub fn scheduler_settings(scenario: &Scenario, variant: &Variant, scheduler_number: usize) -> Settings {
    let request_class = |class: &crate::scenario::RequestClass| RequestClass {
        name: class.name.clone(),
        idempotency: class.idempotency,
        timeout: Some(class.time_limit),
        latency_objective: Some(class.latency_objective),
        deduplication_window: (class.idempotency == Idempotency::IdempotentWithKey)
            .then_some(class.deduplication_window),
        ..RequestClass::default()
    };
    let has_overload_bound = scenario.overload_multiple > 0.0;
    Settings {
        scheduler_number: Some(scheduler_number as u32),
        scheduler_count: Some(if variant.configured_schedulers > 0 {
            variant.configured_schedulers
        } else {
            scenario.gateways as u32
        }),
        request_classes: scenario.request_classes.iter().map(request_class).collect(),
        limits: ActionLimits {
            cancel: true,
            retry_after: true,
            max_retry_after: Some(Duration::from_secs(10)),
            max_attempts: Some(3),
            ..ActionLimits::default()
        },
        rules: Rules {
            response_slack: Some(Duration::from_millis(50)),
            drain_grace: Some(Duration::from_millis(250)),
            slow_start_min_capacity: has_overload_bound.then_some(scenario.slow_start_min_capacity),
            slow_start_duration: has_overload_bound.then_some(scenario.slow_start_duration),
            overload_multiple: has_overload_bound.then_some(scenario.overload_multiple),
            overload_window: has_overload_bound.then_some(scenario.overload_window),
            ..Rules::default()
        },
        cache: CacheSettings {
            load_commands: variant.forecasting != Forecasting::Off,
            reports_cache_status: true,
            reports_concurrency: true,
            keep_alive: Some(scenario.keep_alive),
            memory_mb_by_kind: vec![scenario.memory_mb],
            idle_memory_price: Some(variant.idle_memory_price),
            load_quota_burst: (variant.load_quota_window_s > 0.0).then_some(variant.load_quota_burst),
            load_quota_share: (variant.load_quota_window_s > 0.0).then_some(variant.load_quota_share),
            load_quota_window: (variant.load_quota_window_s > 0.0)
                .then(|| Duration::from_secs_f64(variant.load_quota_window_s)),
            ..CacheSettings::default()
        },
        prices: Prices {
            origin_fetch: variant.fetch_price,
            ..Prices::default()
        },
        report_source: ReportSource::Responses,
        report_fields: vec![ReportField::InFlight, ReportField::UnreclaimableMemory],
        ..Settings::default()
    }
}

/// Runs a scenario with the given arrivals. The seed determines every random draw except the traffic's.
pub fn run(scenario: &Scenario, arrivals: &[Arrival], variant: &Variant, seed: u64) -> Figures {
    let worker_spec = scenario_runner::worker_spec(scenario);
    let worker_names: Vec<String> = (0..scenario.workers)
        .map(|n| format!("10.0.{}.{}:80", n / 250, n % 250))
        .collect();
    let function_specs = scenario_runner::function_specs(scenario);
    let without_slow_start = WorkerSpec {
        slow_start_duration: Duration::ZERO,
        ..worker_spec.clone()
    };
    let worker = |_| SimulatedWorker {
        model: WorkerModel::new(without_slow_start.clone(), function_specs.clone(), START),
        up: true,
        faults: Faults::default(),
        calls: BTreeMap::new(),
        load_commands: BTreeMap::new(),
        next_wakeup: None,
        load_reports: Vec::new(),
        incarnation: 1,
    };
    let mut simulation = Simulation {
        scenario,
        variant,
        arrivals,
        settings: scheduler_settings(scenario, variant, 0),
        now: START,
        event_queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        last_id: 0,
        rng: StdRng::seed_from_u64(seed),
        clients: Vec::new(),
        workers: (0..scenario.workers).map(worker).collect(),
        workers_by_name: worker_names.iter().cloned().zip(0..).collect(),
        worker_names,
        schedulers: Vec::new(),
        store: store::StoreModel::new(scenario_runner::store_config(scenario)),
        store_wakeup: None,
        fetches: BTreeMap::new(),
        cancelled_calls: BTreeSet::new(),
        endpoints: vec![(EndpointState::Up, None); scenario.workers],
        discovery_lag: scenario.discovery_lag,
        discovery_stopped: false,
        figures: Figures::default(),
        wait_times_ms: Vec::new(),
        on_time_arrivals: BTreeSet::new(),
        idle_memory_samples: (0.0, 0),
        killed_prefetch_totals: PrefetchTotals::default(),
        killed_forecast_scores: ForecastScores::default(),
        membership_stats: membership::MembershipStats::default(),
        power_loss: power_loss::PowerLoss::default(),
        attempt_load_failed: false,
        max_overload_share: 0.0,
        partition: None,
        datagram_loss: 0.0,
        datagram_duplication: 0.0,
        max_datagram_delay: Duration::ZERO,
    };
    simulation.run_to_end(&worker_spec, seed);
    simulation.into_figures()
}

impl Simulation<'_> {
    /// Queues an event for `at`, or for now if `at` has passed.
    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_id += 1;
        self.event_queue.push(Reverse((at.max(self.now), self.last_id)));
        self.events.insert(self.last_id, event);
    }

    /// Queues an event that a message causes, after the network latency.
    fn schedule_message(&mut self, event: Event) {
        let latency_s = self.rng.random_range(0.0002..0.0006);
        self.schedule(self.now + Duration::from_secs_f64(latency_s), event);
    }

    fn run_to_end(&mut self, worker_spec: &WorkerSpec, seed: u64) {
        for s in 0..self.scenario.gateways {
            let scheduler = SimulatedScheduler {
                request_table: None,
                prefetch_planner: None,
                incarnation: 0,
                next_wakeup: None,
                attempts_in_flight: BTreeMap::new(),
                load_commands: BTreeMap::new(),
                request_times: Vec::new(),
                load_command_times: Vec::new(),
                forecast_snapshot: None,
                membership: None,
                saved_members: Default::default(),
                paused_until: Duration::ZERO,
                recovery: recovery::RecoveryState::default(),
            };
            self.schedulers.push(scheduler);
            self.start_scheduler(s, seed);
        }
        for (n, (at, _)) in self.scenario.faults.iter().enumerate() {
            self.schedule(START + *at, Event::Fault(n));
        }
        if let Some(first) = self.arrivals.first() {
            self.schedule(START + traffic::arrival_time(first), Event::ClientArrival(0));
        }
        if self.variant.forecasting == Forecasting::Foresight {
            self.schedule(START, Event::PerfectForecast(0));
        }
        self.schedule(START + SAMPLE_INTERVAL, Event::Sample);
        let end = START + self.scenario.length + SETTLE;
        while let Some(Reverse((at, id))) = self.event_queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let Some(event) = self.events.remove(&id) else {
                continue;
            };
            self.handle_event(event, worker_spec, seed);
        }
    }

    fn into_figures(mut self) -> Figures {
        self.compute_membership_figures();
        let mut prefetch_totals = vec![self.killed_prefetch_totals];
        let mut scores = self.killed_forecast_scores;
        for planner in self.schedulers.iter().filter_map(|s| s.prefetch_planner.as_ref()) {
            prefetch_totals.push(planner.tracker.totals());
            scores.merge(planner.forecasts.scores);
        }
        let mut figures = self.figures;
        figures.load_commands_used = prefetch_totals.iter().map(|totals| totals.used).sum();
        figures.load_commands_unused = prefetch_totals.iter().map(|totals| totals.unused).sum();
        figures.scored_gaps = scores.scored_gaps;
        figures.forecast_score = scores.chosen;
        figures.last_gap_score = scores.last_gap_baseline;
        figures.always_near_score = scores.always_near_baseline;
        figures.fetches = self.store.completed_fetches;
        figures.on_time_share = self.on_time_arrivals.len() as f64 / self.arrivals.len().max(1) as f64;
        self.wait_times_ms.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let index = ((self.wait_times_ms.len() as f64 - 1.0) * share).max(0.0) as usize;
            self.wait_times_ms.get(index).copied().unwrap_or(0.0)
        };
        figures.wait_p50_ms = quantile(0.5);
        figures.wait_p95_ms = quantile(0.95);
        let (idle_share_sum, samples) = self.idle_memory_samples;
        figures.idle_memory = idle_share_sum / samples.max(1) as f64;
        figures
    }

    /// Scheduler that handles the event; `None` for events of clients, workers and the simulation itself.
    fn receiving_scheduler(event: &Event) -> Option<usize> {
        match event {
            Event::RequestTableDue(s, _) | Event::MembershipDue(s, _) => Some(*s),
            Event::AttemptEnded { scheduler, .. }
            | Event::LoadCommandEnded { scheduler, .. }
            | Event::EndpointChanged { scheduler, .. }
            | Event::FullEndpointList { scheduler, .. } => Some(*scheduler),
            Event::DatagramArrived { to, .. } => Some(*to),
            Event::ClientArrival(_)
            | Event::ClientTimeout(..)
            | Event::ClientRetry(_)
            | Event::AttemptArrived { .. }
            | Event::AttemptCancelled { .. }
            | Event::WorkerDue(_)
            | Event::StoreDue
            | Event::LoadCommandArrived { .. }
            | Event::Fault(_)
            | Event::PerfectForecast(_)
            | Event::Sample => None,
        }
    }

    fn handle_event(&mut self, event: Event, worker_spec: &WorkerSpec, seed: u64) {
        // Events for a paused scheduler are postponed until it resumes.
        if let Some(until) = Self::receiving_scheduler(&event).map(|s| self.schedulers[s].paused_until)
            && until > self.now
        {
            return self.schedule(until, event);
        }
        match event {
            Event::DatagramArrived { to, from, bytes } => self.datagram_arrived(to, from, &bytes),
            Event::MembershipDue(s, incarnation) => {
                if self.schedulers[s].incarnation == incarnation {
                    self.membership_due(s);
                }
            }
            Event::ClientArrival(n) => self.client_arrived(n),
            Event::ClientTimeout(client, request_number) => self.client_timed_out(client, request_number),
            Event::ClientRetry(client) => self.send_request(client),
            Event::RequestTableDue(s, incarnation) => self.request_table_due(s, incarnation),
            Event::AttemptArrived {
                worker,
                scheduler,
                incarnation,
                request,
                attempt,
                call,
                client,
            } => self.attempt_arrived(worker, (scheduler, incarnation, request, attempt), call, client),
            Event::AttemptEnded {
                scheduler,
                incarnation,
                request,
                attempt,
                result,
            } => self.attempt_ended(scheduler, incarnation, request, attempt, result),
            Event::AttemptCancelled { worker, call } => self.attempt_cancelled(worker, call),
            Event::WorkerDue(w) => {
                self.workers[w].next_wakeup = None;
                if !self.workers[w].faults.hang && self.workers[w].up {
                    self.workers[w].model.due(self.now);
                }
                self.process_worker_outputs(w);
            }
            Event::StoreDue => {
                self.store_wakeup = None;
                for fetch in self.store.due(self.now) {
                    self.fetch_ended(fetch, true);
                }
                self.schedule_store_wakeup();
            }
            Event::LoadCommandArrived {
                worker,
                scheduler,
                incarnation,
                command,
                function,
                copies,
            } => self.load_command_arrived(worker, (scheduler, incarnation, command), &function, copies),
            Event::LoadCommandEnded {
                scheduler,
                incarnation,
                command,
                outcome,
                copies,
            } => self.load_command_ended(scheduler, incarnation, command, outcome, copies),
            Event::EndpointChanged {
                scheduler,
                worker,
                state,
                started_at,
            } => {
                let worker = self.worker_names[worker].clone();
                if let Some(request_table) = &mut self.schedulers[scheduler].request_table {
                    let endpoint = Endpoint {
                        worker: &worker,
                        state,
                        started_at,
                        ..Endpoint::default()
                    };
                    request_table.update_endpoints(self.now, EndpointListKind::Changes, vec![endpoint]);
                }
                self.process_scheduler_outputs(scheduler);
            }
            Event::FullEndpointList {
                scheduler,
                incarnation,
            } => {
                if self.schedulers[scheduler].incarnation == incarnation {
                    if let Some(request_table) = &mut self.schedulers[scheduler].request_table {
                        request_table.update_endpoints(
                            self.now,
                            EndpointListKind::Full,
                            endpoint_list(&self.worker_names, &self.endpoints),
                        );
                    }
                    self.process_scheduler_outputs(scheduler);
                }
            }
            Event::Fault(n) => {
                let fault = self.scenario.faults[n].1.clone();
                self.apply_fault(&fault, worker_spec, seed);
            }
            Event::PerfectForecast(n) => self.send_perfect_forecast(n),
            Event::Sample => self.take_sample(),
        }
    }

    /// Takes the periodic snapshots and samples, and schedules the next ones.
    fn take_sample(&mut self) {
        self.save_forecast_snapshots();
        self.sample_scheduler_counts();
        let total_mb = self.scenario.memory_mb * self.workers.len() as f64;
        let running_workers = self.workers.iter().filter(|worker| worker.up);
        let idle_mb: f64 = running_workers.map(|worker| worker.model.idle_memory_mb()).sum();
        let (idle_share_sum, samples) = self.idle_memory_samples;
        self.idle_memory_samples = (idle_share_sum + idle_mb / total_mb, samples + 1);
        if self.now < START + self.scenario.length {
            self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
        }
    }

    /// Saves a snapshot of the forecasts of each scheduler whose last one is older than the interval.
    fn save_forecast_snapshots(&mut self) {
        let (now, interval) = (
            self.now,
            Duration::from_secs_f64(self.variant.snapshot_interval_s),
        );
        if interval.is_zero() {
            return;
        }
        for scheduler in &mut self.schedulers {
            let is_due = scheduler
                .forecast_snapshot
                .as_ref()
                .is_none_or(|(at, _)| *at + interval <= now);
            if let Some(planner) = &scheduler.prefetch_planner
                && is_due
            {
                scheduler.forecast_snapshot = Some((now, planner.forecasts.save(now)));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario;

    /// A scenario with worker, gateway and deployment faults.
    fn scenario() -> Scenario {
        scenario::read(
            "gateways 3\nworkers 6 cores=2 memory=1600 keep=5s cold=0.2 cold-for=3s fall=3 fall-window=1s\n\
             roster lag=300ms\nlength 180s\n\
             workload quote restartable rate=60 work=10ms limit=2s functions=8 memory=150 load=300ms lanes=2\n\
             workload refund run-once rate=20 work=10ms limit=2s functions=3 memory=150 load=300ms\n\
             workload report restartable work=20ms limit=3s functions=12 memory=150 load=500ms pattern=timers period=12s\n\
             at 10s crash worker 0\nat 12s start worker 0\nat 15s silent worker 1\nat 18s well worker 1\n\
             at 20s kill gateway 1\nat 21s start gateway 1\nat 30s replace workers 2 3 every=3s\n",
        )
        .unwrap()
    }

    #[test]
    fn a_seed_gives_the_same_figures_and_no_worker_is_overloaded() {
        let scenario = scenario();
        let arrivals = traffic::generate_arrivals(&scenario, 1);
        let first = run(&scenario, &arrivals, &Variant::default(), 1);
        assert_eq!(first, run(&scenario, &arrivals, &Variant::default(), 1));
        assert!(first.succeeded as f64 > 0.95 * arrivals.len() as f64, "{first:?}");
        assert_eq!((first.overload_crashes, first.load_commands), (0, 0));
        let ended = first.succeeded + first.rejected + first.failed + first.unanswered;
        assert_eq!(ended, first.requests, "{first:?}");
    }

    #[test]
    fn functions_on_timers_are_prefetched_within_the_load_quota() {
        let scenario = scenario();
        let arrivals = traffic::generate_arrivals(&scenario, 2);
        let off = run(&scenario, &arrivals, &Variant::default(), 2);
        let forecasting = Variant {
            forecasting: Forecasting::On,
            ..Variant::default()
        };
        let prefetched = run(&scenario, &arrivals, &forecasting, 2);
        assert!(
            (prefetched.waited_for_load as f64) < 0.8 * off.waited_for_load as f64,
            "{off:?} {prefetched:?}"
        );
        let limited = Variant {
            load_quota_window_s: 5.0,
            load_quota_burst: 1.0,
            load_quota_share: 0.01,
            ..forecasting.clone()
        };
        let limited = run(&scenario, &arrivals, &limited, 2);
        assert!(
            limited.load_commands > 0 && limited.max_load_quota_share <= 1.0,
            "{limited:?}"
        );
        // A killed scheduler restores its snapshot: it does not learn the timers again.
        let restored = run(
            &scenario,
            &arrivals,
            &Variant {
                snapshot_interval_s: 2.0,
                ..forecasting.clone()
            },
            2,
        );
        assert!(
            restored.scored_gaps > prefetched.scored_gaps
                && restored.waited_for_load <= prefetched.waited_for_load,
            "{prefetched:?} {restored:?}"
        );
        let zero_quota = Variant {
            load_quota_window_s: 5.0,
            forecasting: Forecasting::On,
            ..Variant::default()
        };
        assert_eq!(run(&scenario, &arrivals, &zero_quota, 2).load_commands, 0);
    }
}
