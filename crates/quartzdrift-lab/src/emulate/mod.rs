//! A fleet in simulated time: the real desk, decision module and forecasts, with modelled workers, store, roster,
//! clients and network. One queue of events; the same script, traffic and seed give the same figures.
//!
//! Modelled, not measured: each message takes 0.2 to 0.6 ms, schedulers take no time to decide, and a connection to a worker
//! that is down is refused at once. Everything else is the code that runs on sockets, or the fakes' models.
mod clients;
mod faults;
mod fleet;
mod power;
mod returning;
mod schedulers;
mod workers;

use crate::model::{Found, Machine, Say, Worker};
use crate::scenario::{Fault, Scenario};
use crate::scenario_runner;
use crate::store;
use crate::traffic::{self, Arrival};
use crate::worker::Faults;
use quartzdrift_forecast::{ForecastScores, Forecasts, PrefetchPlanner, PrefetchTotals};
use quartzdrift_lifecycle::{AttemptResult, FinalResponse, NewRequest, Output, RequestTable};
use quartzdrift_scheduler::interface::{
    ActionLimits, CacheResult, CacheSettings, Endpoint, EndpointListKind, EndpointState, Idempotency,
    Outcome, Prices, ReportField, ReportSource, RequestClass, Rules, Settings, UsageForecast,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use schedulers::entries;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// The simulated day begins here on the schedulers' clocks.
const START: Duration = Duration::from_secs(1_700_000_000);
/// Reports are made anew this often.
const REPORT_EVERY: Duration = Duration::from_millis(100);
/// After the last call, for what is open to end.
const SETTLE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Forecasting {
    #[default]
    Off,
    On,
    /// Each use is told in time and for sure: the limit of what forecasts can do.
    Foresight,
}

/// What differs between runs of one day.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Variant {
    pub forecasting: Forecasting,
    /// Orders allowed in any window of this many seconds: a few, and a share of the requests taken in it; 0: no ration.
    pub load_window_s: f64,
    #[serde(rename = "load_free")]
    pub load_quota_burst: f64,
    #[serde(rename = "load_share")]
    pub load_quota_share: f64,
    pub fetch_price: f64,
    pub memory_price: f64,
    /// Lengths of the seasons that forecasts look for, in seconds.
    pub seasons_s: Vec<f64>,
    /// What forecasts have learnt is saved this often, and read after a restart; 0: never.
    pub snapshot_s: f64,
    /// Schedulers know of each other by the real membership.
    pub members: bool,
    /// Schedulers return to service in stages after they were killed; it takes `members`.
    pub recovery: bool,
    /// With recovery, calls are let in by a pace while copies return.
    pub pace: bool,
    /// Schedulers as the settings tell them; 0: as many as there are.
    pub schedulers: u32,
}

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    pub calls: u64,
    pub finished: u64,
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    pub killed: u64,
    pub no_answer: u64,
    #[serde(rename = "executions")]
    pub attempts: u64,
    /// Finished attempts that did not find their copy loaded.
    pub waited_for_load: u64,
    pub fetches: u64,
    /// Share of the asked for that was finished within its latency objective, a client's repeats counted with its first.
    pub in_time: f64,
    /// Waiting beside the work itself, of finished requests, in ms.
    pub wait_p50_ms: f64,
    pub wait_p95_ms: f64,
    /// Mean share of all memory held by copies that run nothing.
    pub idle_memory: f64,
    pub orders: u64,
    pub orders_used: u64,
    pub orders_unused: u64,
    pub fell_over: u64,
    /// Largest share of the ration that orders came to.
    pub ration_most: f64,
    /// Gaps between uses that forecasts spoke of, and the mean score of what they, "as the last time" and "always near"
    /// said: 0 is best.
    pub gaps: u64,
    pub score: f64,
    pub score_last: f64,
    pub score_always: f64,
    /// Largest share of what a cold worker may be sent in a window that it was sent.
    pub cold_most: f64,
    /// Seconds from a scheduler's restart until calls to it were in time as often as before it was killed, or nearly.
    pub recovered_s: f64,
    /// Seconds from the return of power, the first gateway or worker, until all calls were in time as often as before, or nearly,
    /// and stayed so; and calls rejected from then on.
    pub power_back_s: f64,
    #[serde(rename = "power_pushed_back")]
    pub power_rejected: u64,
    /// Seconds that the store's pace alone would take for the functions needed for so many calls; fetches after the loss, of how
    /// many functions, and those that the store turned away.
    pub power_bound_s: f64,
    pub power_fetches: u64,
    pub power_functions: u64,
    pub power_refused: u64,
    /// Calls a second that were in time over ten seconds before the loss, and over the last ten of the day.
    pub power_goodput_before: f64,
    pub power_goodput_after: f64,
    /// Largest fall of the share in time, over windows of a second, below what it had come to since.
    pub power_fall_back: f64,
    /// Of the schedulers' last starts after a loss of power, the share judged as such, and the longest time until one was judged.
    pub judged_lost: f64,
    pub judged_most_s: f64,
    /// Seconds from a kill until the first and the last of the others knew, and schedulers thought dead that were there.
    pub found_first_s: f64,
    pub found_last_s: f64,
    pub false_dead: u64,
    /// Bytes of datagrams a second that each member sent.
    pub member_bytes_s: f64,
    /// Least and greatest number of schedulers counted, against those that were there.
    pub told_least: f64,
    pub told_most: f64,
}

enum Ev {
    Arrive(usize),
    ClientTimeout(usize, u32),
    /// A repeat whose time has come.
    Again(usize),
    RequestTableDue(usize, u64),
    Came {
        worker: usize,
        scheduler: usize,
        incarnation: u64,
        request: u64,
        attempt: u32,
        call: u64,
        client: usize,
    },
    Back {
        scheduler: usize,
        incarnation: u64,
        request: u64,
        attempt: u32,
        ended: AttemptResult,
    },
    Cancel {
        worker: usize,
        call: u64,
    },
    WorkerDue(usize),
    StoreDue,
    Order {
        worker: usize,
        scheduler: usize,
        incarnation: u64,
        order: u64,
        function: Rc<str>,
        copies: u32,
    },
    OrderBack {
        scheduler: usize,
        incarnation: u64,
        order: u64,
        outcome: Outcome,
        copies: u32,
    },
    List {
        scheduler: usize,
        worker: usize,
        state: EndpointState,
        started: Option<Duration>,
    },
    FullList {
        scheduler: usize,
        incarnation: u64,
    },
    Fault(usize),
    Datagram {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    FleetDue(usize, u64),
    Foresee(usize),
    Sample,
}

struct Client {
    arrival: usize,
    repeats: u32,
    gateway: usize,
    first: Duration,
    /// Which try this is; news of earlier ones does not count.
    turn: u32,
    open: bool,
    request: Option<(usize, u64)>,
    /// The number of the function that it tries, and in which life of its scheduler.
    tries: Option<(u64, u32)>,
}

struct WorkerSim {
    model: Worker,
    up: bool,
    faults: Faults,
    calls: BTreeMap<u64, (usize, u64, u64, u32)>,
    orders: BTreeMap<u64, (usize, u64, u64)>,
    planned: Option<Duration>,
    reports: Vec<(Duration, Vec<Option<f64>>)>,
    incarnation: u64,
}

struct SchedulerSim {
    request_table: Option<RequestTable<usize>>,
    ahead: Option<PrefetchPlanner>,
    incarnation: u64,
    planned: Option<Duration>,
    sent: BTreeMap<(u64, u32), (usize, u64)>,
    orders: BTreeMap<u64, (Duration, Rc<str>)>,
    /// Times of requests taken and orders given, for the ration.
    taken: Vec<Duration>,
    given: Vec<Duration>,
    /// The last snapshot of its forecasts.
    saved: Option<(Duration, Vec<u8>)>,
    fleet: Option<fleet::Fleet>,
    /// Members met before a kill, and how many schedulers were counted.
    met: (Vec<std::net::SocketAddr>, u32),
    /// It does nothing until then.
    paused: Duration,
    returning: returning::Returning,
}

struct Sim<'a> {
    script: &'a Scenario,
    variant: &'a Variant,
    arrivals: &'a [Arrival],
    settings: Settings,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Ev>,
    drawn: u64,
    chance: StdRng,
    clients: Vec<Client>,
    workers: Vec<WorkerSim>,
    names: Vec<String>,
    by_name: HashMap<String, usize>,
    schedulers: Vec<SchedulerSim>,
    store: store::Model,
    store_planned: Option<Duration>,
    fetches: BTreeMap<u64, (usize, u64, u64)>,
    cancelled: BTreeSet<u64>,
    discovery: Vec<(EndpointState, Option<Duration>)>,
    lag: Duration,
    discovery_stopped: bool,
    figures: Figures,
    waits: Vec<f64>,
    in_time: BTreeSet<usize>,
    idle: (f64, u64),
    sums: PrefetchTotals,
    standing: ForecastScores,
    deaths: fleet::Deaths,
    power: power::Power,
    /// The attempt whose end is being taken failed with its load.
    load_failed: bool,
    /// Of workers that are no more: the largest share of what they could be sent while cold.
    cold_most: f64,
    /// Schedulers that datagrams do not reach from others, nor others from them where it is not one way.
    apart: Option<(std::ops::Range<usize>, bool)>,
    /// Shares of datagrams that are lost and that come twice, and by how much each may be late.
    loss: f64,
    doubled: f64,
    late: Duration,
}

/// The settings that schedulers of a day have.
pub fn settings(script: &Scenario, variant: &Variant, me: usize) -> Settings {
    let request_class = |w: &crate::scenario::RequestClass| RequestClass {
        name: w.name.clone(),
        idempotency: w.idempotency,
        timeout: Some(w.time_limit),
        latency_objective: Some(w.latency_objective),
        deduplication_window: (w.idempotency == Idempotency::IdempotentWithKey)
            .then_some(w.deduplication_window),
        ..RequestClass::default()
    };
    let cold = script.fall_multiple > 0.0;
    Settings {
        scheduler_number: Some(me as u32),
        scheduler_count: Some(if variant.schedulers > 0 {
            variant.schedulers
        } else {
            script.gateways as u32
        }),
        request_classes: script.request_classes.iter().map(request_class).collect(),
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
            slow_start_min_capacity: cold.then_some(script.cold_from),
            slow_start_duration: cold.then_some(script.cold_for),
            overload_multiple: cold.then_some(script.fall_multiple),
            overload_window: cold.then_some(script.fall_window),
            ..Rules::default()
        },
        cache: CacheSettings {
            load_commands: variant.forecasting != Forecasting::Off,
            reports_cache_status: true,
            reports_concurrency: true,
            keep_alive: Some(script.keep_loaded),
            memory_mb_by_kind: vec![script.memory_mb],
            idle_memory_price: Some(variant.memory_price),
            load_quota_burst: (variant.load_window_s > 0.0).then_some(variant.load_quota_burst),
            load_quota_share: (variant.load_window_s > 0.0).then_some(variant.load_quota_share),
            load_quota_window: (variant.load_window_s > 0.0)
                .then(|| Duration::from_secs_f64(variant.load_window_s)),
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

/// Plays a day; `seed` draws what traffic leaves to chance.
pub fn run(script: &Scenario, arrivals: &[Arrival], variant: &Variant, seed: u64) -> Figures {
    let machine = scenario_runner::worker_machine(script);
    let names: Vec<String> = (0..script.workers)
        .map(|n| format!("10.0.{}.{}:80", n / 250, n % 250))
        .collect();
    let specs = scenario_runner::function_specs(script);
    let warm = Machine {
        cold_for: Duration::ZERO,
        ..machine.clone()
    };
    let worker = |_| WorkerSim {
        model: Worker::new(warm.clone(), specs.clone(), START),
        up: true,
        faults: Faults::default(),
        calls: BTreeMap::new(),
        orders: BTreeMap::new(),
        planned: None,
        reports: Vec::new(),
        incarnation: 1,
    };
    let mut sim = Sim {
        script,
        variant,
        arrivals,
        settings: settings(script, variant, 0),
        now: START,
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        drawn: 0,
        chance: StdRng::seed_from_u64(seed),
        clients: Vec::new(),
        workers: (0..script.workers).map(worker).collect(),
        by_name: names.iter().cloned().zip(0..).collect(),
        names,
        schedulers: Vec::new(),
        store: store::Model::new(scenario_runner::store_config(script)),
        store_planned: None,
        fetches: BTreeMap::new(),
        cancelled: BTreeSet::new(),
        discovery: vec![(EndpointState::Up, None); script.workers],
        lag: script.discovery_lag,
        discovery_stopped: false,
        figures: Figures::default(),
        waits: Vec::new(),
        in_time: BTreeSet::new(),
        idle: (0.0, 0),
        sums: PrefetchTotals::default(),
        standing: ForecastScores::default(),
        deaths: fleet::Deaths::default(),
        power: power::Power::default(),
        load_failed: false,
        cold_most: 0.0,
        apart: None,
        loss: 0.0,
        doubled: 0.0,
        late: Duration::ZERO,
    };
    sim.play(&machine, seed);
    sim.figures()
}

impl Sim<'_> {
    fn put(&mut self, at: Duration, event: Ev) {
        self.drawn += 1;
        self.queue.push(Reverse((at.max(self.now), self.drawn)));
        self.events.insert(self.drawn, event);
    }

    fn later(&mut self, event: Ev) {
        let at = self.now + Duration::from_secs_f64(self.chance.random_range(0.0002..0.0006));
        self.put(at, event);
    }

    fn play(&mut self, machine: &Machine, seed: u64) {
        for s in 0..self.script.gateways {
            let scheduler = SchedulerSim {
                request_table: None,
                ahead: None,
                incarnation: 0,
                planned: None,
                sent: BTreeMap::new(),
                orders: BTreeMap::new(),
                taken: Vec::new(),
                given: Vec::new(),
                saved: None,
                fleet: None,
                met: Default::default(),
                paused: Duration::ZERO,
                returning: returning::Returning::default(),
            };
            self.schedulers.push(scheduler);
            self.start_scheduler(s, seed);
        }
        for (n, (at, _)) in self.script.faults.iter().enumerate() {
            self.put(START + *at, Ev::Fault(n));
        }
        if let Some(first) = self.arrivals.first() {
            self.put(START + traffic::at(first), Ev::Arrive(0));
        }
        if self.variant.forecasting == Forecasting::Foresight {
            self.put(START, Ev::Foresee(0));
        }
        self.put(START + Duration::from_secs(1), Ev::Sample);
        let end = START + self.script.length + SETTLE;
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let Some(event) = self.events.remove(&id) else {
                continue;
            };
            self.event(event, machine, seed);
        }
    }

    fn figures(mut self) -> Figures {
        self.fleet_figures();
        let mut ledgers = vec![self.sums];
        ledgers.extend(
            self.schedulers
                .iter()
                .filter_map(|s| s.ahead.as_ref())
                .map(|a| a.tracker.totals()),
        );
        let mut of = self.figures;
        of.orders_used = ledgers.iter().map(|sums| sums.used).sum();
        of.orders_unused = ledgers.iter().map(|sums| sums.unused).sum();
        let mut standing = self.standing;
        let all = self.schedulers.iter().filter_map(|s| s.ahead.as_ref());
        all.for_each(|ahead| standing.merge(ahead.forecasts.scores));
        (of.gaps, of.score) = (standing.scored_gaps, standing.chosen);
        (of.score_last, of.score_always) = (standing.last_gap_baseline, standing.always_near_baseline);
        of.fetches = self.store.served;
        of.in_time = self.in_time.len() as f64 / self.arrivals.len().max(1) as f64;
        self.waits.sort_by(f64::total_cmp);
        let at = |share: f64| {
            self.waits
                .get(((self.waits.len() as f64 - 1.0) * share).max(0.0) as usize)
        };
        (of.wait_p50_ms, of.wait_p95_ms) =
            (at(0.5).copied().unwrap_or(0.0), at(0.95).copied().unwrap_or(0.0));
        of.idle_memory = self.idle.0 / self.idle.1.max(1) as f64;
        of
    }

    /// The scheduler that an event is for; a client's call finds its own.
    fn scheduler_of(event: &Ev) -> Option<usize> {
        match event {
            Ev::RequestTableDue(s, _) | Ev::FleetDue(s, _) => Some(*s),
            Ev::Back { scheduler, .. }
            | Ev::OrderBack { scheduler, .. }
            | Ev::List { scheduler, .. }
            | Ev::FullList { scheduler, .. } => Some(*scheduler),
            Ev::Datagram { to, .. } => Some(*to),
            Ev::Arrive(_)
            | Ev::ClientTimeout(..)
            | Ev::Again(_)
            | Ev::Came { .. }
            | Ev::Cancel { .. }
            | Ev::WorkerDue(_)
            | Ev::StoreDue
            | Ev::Order { .. }
            | Ev::Fault(_)
            | Ev::Foresee(_)
            | Ev::Sample => None,
        }
    }

    fn event(&mut self, event: Ev, machine: &Machine, seed: u64) {
        // What comes to one that is paused waits for it.
        if let Some(until) = Self::scheduler_of(&event).map(|s| self.schedulers[s].paused)
            && until > self.now
        {
            return self.put(until, event);
        }
        match event {
            Ev::Datagram { to, from, bytes } => self.datagram(to, from, &bytes),
            Ev::FleetDue(s, incarnation) => {
                if self.schedulers[s].incarnation == incarnation {
                    self.fleet_due(s);
                }
            }
            Ev::Arrive(n) => self.arrive(n),
            Ev::ClientTimeout(client, turn) => self.client_timeout(client, turn),
            Ev::Again(client) => self.ask(client),
            Ev::RequestTableDue(s, incarnation) => self.request_table_due(s, incarnation),
            Ev::Came {
                worker,
                scheduler,
                incarnation,
                request,
                attempt,
                call,
                client,
            } => self.came(worker, (scheduler, incarnation, request, attempt), call, client),
            Ev::Back {
                scheduler,
                incarnation,
                request,
                attempt,
                ended,
            } => self.back(scheduler, incarnation, request, attempt, ended),
            Ev::Cancel { worker, call } => self.cancel(worker, call),
            Ev::WorkerDue(w) => {
                self.workers[w].planned = None;
                if !self.workers[w].faults.hang && self.workers[w].up {
                    self.workers[w].model.due(self.now);
                }
                self.act(w);
            }
            Ev::StoreDue => {
                self.store_planned = None;
                for fetch in self.store.due(self.now) {
                    self.fetched(fetch, true);
                }
                self.plan_store();
            }
            Ev::Order {
                worker,
                scheduler,
                incarnation,
                order,
                function,
                copies,
            } => self.order(worker, scheduler, incarnation, order, &function, copies),
            Ev::OrderBack {
                scheduler,
                incarnation,
                order,
                outcome,
                copies,
            } => self.order_back(scheduler, incarnation, order, outcome, copies),
            Ev::List {
                scheduler,
                worker,
                state,
                started,
            } => {
                let worker = self.names[worker].clone();
                if let Some(request_table) = &mut self.schedulers[scheduler].request_table {
                    let entry = Endpoint {
                        worker: &worker,
                        state,
                        started_at: started,
                        ..Endpoint::default()
                    };
                    request_table.update_endpoints(self.now, EndpointListKind::Changes, vec![entry]);
                }
                self.outputs(scheduler);
            }
            Ev::FullList {
                scheduler,
                incarnation,
            } => {
                if self.schedulers[scheduler].incarnation == incarnation {
                    if let Some(request_table) = &mut self.schedulers[scheduler].request_table {
                        request_table.update_endpoints(
                            self.now,
                            EndpointListKind::Full,
                            entries(&self.names, &self.discovery),
                        );
                    }
                    self.outputs(scheduler);
                }
            }
            Ev::Fault(n) => {
                let fault = self.script.faults[n].1.clone();
                self.fault(&fault, machine, seed);
            }
            Ev::Foresee(n) => self.foresee(n),
            Ev::Sample => {
                self.save();
                self.sample_fleet();
                let all = self.script.memory_mb * self.workers.len() as f64;
                let idle: f64 = self
                    .workers
                    .iter()
                    .filter(|w| w.up)
                    .map(|w| w.model.idle_mb())
                    .sum();
                self.idle = (self.idle.0 + idle / all, self.idle.1 + 1);
                if self.now < START + self.script.length {
                    self.put(self.now + Duration::from_secs(1), Ev::Sample);
                }
            }
        }
    }

    /// Has schedulers save what they have learnt, where it is time.
    fn save(&mut self) {
        let (now, every) = (self.now, Duration::from_secs_f64(self.variant.snapshot_s));
        for scheduler in self.schedulers.iter_mut().filter(|_| !every.is_zero()) {
            if let Some(ahead) = &scheduler.ahead
                && scheduler.saved.as_ref().is_none_or(|(at, _)| *at + every <= now)
            {
                scheduler.saved = Some((now, ahead.forecasts.save(now)));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario;

    fn day() -> Scenario {
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
    fn a_day_is_the_same_for_a_seed_and_nobody_falls_over() {
        let script = day();
        let arrivals = traffic::arrivals(&script, 1);
        let first = run(&script, &arrivals, &Variant::default(), 1);
        assert_eq!(first, run(&script, &arrivals, &Variant::default(), 1));
        assert!(first.finished as f64 > 0.95 * arrivals.len() as f64, "{first:?}");
        assert_eq!((first.fell_over, first.orders), (0, 0));
        let answered = first.finished + first.rejected + first.killed + first.no_answer;
        assert_eq!(answered, first.calls, "{first:?}");
    }

    #[test]
    fn timers_are_loaded_ahead_and_the_ration_holds() {
        let script = day();
        let arrivals = traffic::arrivals(&script, 2);
        let off = run(&script, &arrivals, &Variant::default(), 2);
        let on = Variant {
            forecasting: Forecasting::On,
            ..Variant::default()
        };
        let with = run(&script, &arrivals, &on, 2);
        assert!(
            (with.waited_for_load as f64) < 0.8 * off.waited_for_load as f64,
            "{off:?} {with:?}"
        );
        let rationed = Variant {
            load_window_s: 5.0,
            load_quota_burst: 1.0,
            load_quota_share: 0.01,
            ..on.clone()
        };
        let rationed = run(&script, &arrivals, &rationed, 2);
        assert!(rationed.orders > 0 && rationed.ration_most <= 1.0, "{rationed:?}");
        // A scheduler that is killed goes on from what it saved: its timers are not learnt anew.
        let saved = run(
            &script,
            &arrivals,
            &Variant {
                snapshot_s: 2.0,
                ..on.clone()
            },
            2,
        );
        assert!(
            saved.gaps > with.gaps && saved.waited_for_load <= with.waited_for_load,
            "{with:?} {saved:?}"
        );
        let none = Variant {
            load_window_s: 5.0,
            forecasting: Forecasting::On,
            ..Variant::default()
        };
        assert_eq!(run(&script, &arrivals, &none, 2).orders, 0);
    }
}
