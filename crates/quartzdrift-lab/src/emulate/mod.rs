//! A fleet in simulated time: the real desk, decision module and forecasts, with modelled workers, store, roster,
//! clients and network. One queue of events; the same script, traffic and seed give the same figures.
//!
//! Modelled, not measured: each message takes 0.2 to 0.6 ms, schedulers take no time to decide, and a connection to a worker
//! that is down is refused at once. Everything else is the code that runs on sockets, or the stand-ins' models.
mod fleet;
mod returning;

use crate::badday;
use crate::model::{Found, Machine, Say, Worker};
use crate::script::{Script, Trouble};
use crate::store;
use crate::traffic::{self, Arrival};
use crate::worker::Faults;
use quartzdrift_choice::interface::{
    Allowed, Copies, Effect, Entry, Expectation, Found as Told, ListForm, Outcome, Prices, ReportField,
    ReportSource, Rules, Settings, State, Workload,
};
use quartzdrift_desk::{Desk, Ended, FinalAnswer, NewJob, Output};
use quartzdrift_forecast::{Ahead, Forecasts, Standing, ledger::Sums};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// The simulated day begins here on the schedulers' clocks.
const START: Duration = Duration::from_secs(1_700_000_000);
const REPEATS_MOST: u32 = 2;
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
    /// Orders allowed in any window of this many seconds: a few, and a share of the jobs taken in it; 0: no ration.
    pub load_window_s: f64,
    pub load_free: f64,
    pub load_share: f64,
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
    /// Schedulers as the settings tell them; 0: as many as there are.
    pub schedulers: u32,
}

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    pub calls: u64,
    pub finished: u64,
    pub pushed_back: u64,
    pub killed: u64,
    pub no_answer: u64,
    pub executions: u64,
    /// Finished executions that did not find their copy loaded.
    pub waited_for_load: u64,
    pub fetches: u64,
    /// Share of the asked for that was finished within its start target, a client's repeats counted with its first.
    pub in_time: f64,
    /// Waiting beside the work itself, of finished jobs, in ms.
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
    /// and stayed so; and calls pushed back from then on.
    pub power_back_s: f64,
    pub power_pushed_back: u64,
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
    DeskDue(usize, u64),
    Came {
        worker: usize,
        scheduler: usize,
        life: u64,
        job: u64,
        execution: u32,
        call: u64,
        client: usize,
    },
    Back {
        scheduler: usize,
        life: u64,
        job: u64,
        execution: u32,
        ended: Ended,
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
        life: u64,
        order: u64,
        function: Rc<str>,
        copies: u32,
    },
    OrderBack {
        scheduler: usize,
        life: u64,
        order: u64,
        outcome: Outcome,
        copies: u32,
    },
    List {
        scheduler: usize,
        worker: usize,
        state: State,
        started: Option<Duration>,
    },
    FullList {
        scheduler: usize,
        life: u64,
    },
    Trouble(usize),
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
    job: Option<(usize, u64)>,
}

struct WorkerSim {
    model: Worker,
    up: bool,
    faults: Faults,
    calls: BTreeMap<u64, (usize, u64, u64, u32)>,
    orders: BTreeMap<u64, (usize, u64, u64)>,
    planned: Option<Duration>,
    reports: Vec<(Duration, Vec<Option<f64>>)>,
    life: u64,
}

struct SchedulerSim {
    desk: Option<Desk<usize>>,
    ahead: Option<Ahead>,
    life: u64,
    planned: Option<Duration>,
    sent: BTreeMap<(u64, u32), (usize, u64)>,
    orders: BTreeMap<u64, (Duration, Rc<str>)>,
    /// Times of jobs taken and orders given, for the ration.
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
    script: &'a Script,
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
    roster: Vec<(State, Option<Duration>)>,
    lag: Duration,
    roster_stopped: bool,
    figures: Figures,
    waits: Vec<f64>,
    in_time: BTreeSet<usize>,
    idle: (f64, u64),
    sums: Sums,
    standing: Standing,
    deaths: fleet::Deaths,
    /// Of workers that are no more: the largest share of what they could be sent while cold.
    cold_most: f64,
    /// Schedulers that datagrams do not reach from others, nor others from them where it is not one way.
    apart: Option<(std::ops::Range<usize>, bool)>,
    /// Share of datagrams lost.
    loss: f64,
}

/// The settings that schedulers of a day have.
pub fn settings(script: &Script, variant: &Variant, me: usize) -> Settings {
    let workload = |w: &crate::script::Workload| Workload {
        name: w.name.clone(),
        effect: w.effect,
        time_limit: Some(w.limit),
        start_target: Some(w.start_target),
        window: (w.effect == Effect::Fingerprinted).then_some(w.window),
        ..Workload::default()
    };
    let cold = script.fall_multiple > 0.0;
    Settings {
        me: Some(me as u32),
        schedulers: Some(if variant.schedulers > 0 { variant.schedulers } else { script.gateways as u32 }),
        workloads: script.workloads.iter().map(workload).collect(),
        allowed: Allowed {
            cancel: true,
            retry_after: true,
            max_retry_after: Some(Duration::from_secs(10)),
            max_executions: Some(3),
            ..Allowed::default()
        },
        rules: Rules {
            answer_slack: Some(Duration::from_millis(50)),
            drain_grace: Some(Duration::from_millis(250)),
            cold_from: cold.then_some(script.cold_from),
            cold_for: cold.then_some(script.cold_for),
            fall_multiple: cold.then_some(script.fall_multiple),
            fall_window: cold.then_some(script.fall_window),
            ..Rules::default()
        },
        copies: Copies {
            orders: variant.forecasting != Forecasting::Off,
            tells_warm: true,
            tells_crowd: true,
            keep: Some(script.keep),
            memory_mb_by_kind: vec![script.memory_mb],
            idle_memory_price: Some(variant.memory_price),
            load_free: (variant.load_window_s > 0.0).then_some(variant.load_free),
            load_share: (variant.load_window_s > 0.0).then_some(variant.load_share),
            load_window: (variant.load_window_s > 0.0)
                .then(|| Duration::from_secs_f64(variant.load_window_s)),
            ..Copies::default()
        },
        prices: Prices { origin: variant.fetch_price, ..Prices::default() },
        report_source: ReportSource::Answers,
        report_fields: vec![ReportField::Held, ReportField::MemoryTaken],
        ..Settings::default()
    }
}

/// Plays a day; `seed` draws what traffic leaves to chance.
pub fn run(script: &Script, arrivals: &[Arrival], variant: &Variant, seed: u64) -> Figures {
    let machine = badday::machine(script);
    let names: Vec<String> =
        (0..script.workers).map(|n| format!("10.0.{}.{}:80", n / 250, n % 250)).collect();
    let specs = badday::specs(script);
    let warm = Machine { cold_for: Duration::ZERO, ..machine.clone() };
    let worker = |_| WorkerSim {
        model: Worker::new(warm.clone(), specs.clone(), START),
        up: true,
        faults: Faults::default(),
        calls: BTreeMap::new(),
        orders: BTreeMap::new(),
        planned: None,
        reports: Vec::new(),
        life: 1,
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
        store: store::Model::new(badday::store_config(script)),
        store_planned: None,
        fetches: BTreeMap::new(),
        cancelled: BTreeSet::new(),
        roster: vec![(State::Up, None); script.workers],
        lag: script.lag,
        roster_stopped: false,
        figures: Figures::default(),
        waits: Vec::new(),
        in_time: BTreeSet::new(),
        idle: (0.0, 0),
        sums: Sums::default(),
        standing: Standing::default(),
        deaths: fleet::Deaths::default(),
        cold_most: 0.0,
        apart: None,
        loss: 0.0,
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
                desk: None,
                ahead: None,
                life: 0,
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
        for (n, (at, _)) in self.script.troubles.iter().enumerate() {
            self.put(START + *at, Ev::Trouble(n));
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
            let Some(event) = self.events.remove(&id) else { continue };
            self.event(event, machine, seed);
        }
    }

    fn figures(mut self) -> Figures {
        self.fleet_figures();
        let mut ledgers = vec![self.sums];
        ledgers.extend(self.schedulers.iter().filter_map(|s| s.ahead.as_ref()).map(|a| a.ledger.sums()));
        let mut of = self.figures;
        of.orders_used = ledgers.iter().map(|sums| sums.used).sum();
        of.orders_unused = ledgers.iter().map(|sums| sums.unused).sum();
        let mut standing = self.standing;
        let all = self.schedulers.iter().filter_map(|s| s.ahead.as_ref());
        all.for_each(|ahead| standing.join(ahead.forecasts.standing));
        (of.gaps, of.score) = (standing.gaps, standing.chosen);
        (of.score_last, of.score_always) = (standing.last, standing.always);
        of.fetches = self.store.served;
        of.in_time = self.in_time.len() as f64 / self.arrivals.len().max(1) as f64;
        self.waits.sort_by(f64::total_cmp);
        let at = |share: f64| self.waits.get(((self.waits.len() as f64 - 1.0) * share).max(0.0) as usize);
        (of.wait_p50_ms, of.wait_p95_ms) =
            (at(0.5).copied().unwrap_or(0.0), at(0.95).copied().unwrap_or(0.0));
        of.idle_memory = self.idle.0 / self.idle.1.max(1) as f64;
        of
    }

    fn start_scheduler(&mut self, s: usize, seed: u64) {
        let mut settings = self.settings.clone();
        settings.me = Some(s as u32);
        let life = self.schedulers[s].life + 1;
        let mut desk = Desk::new(&settings, seed.wrapping_mul(1_000_003) ^ (s as u64) << 8 ^ life);
        desk.list(self.now, ListForm::Saved, entries(&self.names, &self.roster));
        let ahead = (self.variant.forecasting == Forecasting::On).then(|| {
            let span = |s: &f64| Duration::from_secs_f64(*s);
            let settings = quartzdrift_forecast::Settings {
                keep: self.script.keep,
                seasons: self.variant.seasons_s.iter().map(span).collect(),
                ..quartzdrift_forecast::Settings::default()
            };
            let mut ahead = Ahead::new(settings.clone());
            let saved = self.schedulers[s].saved.as_ref();
            if let Some(Ok(saved)) = saved.map(|(_, bytes)| Forecasts::restore(settings, bytes, self.now)) {
                ahead.forecasts = saved;
            }
            ahead
        });
        let scheduler = &mut self.schedulers[s];
        (scheduler.desk, scheduler.ahead, scheduler.life, scheduler.planned) =
            (Some(desk), ahead, life, None);
        self.begin_return(s);
        self.outputs(s);
        self.join(s);
    }

    /// The scheduler that an event is for; a client's call finds its own.
    fn scheduler_of(event: &Ev) -> Option<usize> {
        match event {
            Ev::DeskDue(s, _) | Ev::FleetDue(s, _) => Some(*s),
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
            | Ev::Trouble(_)
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
            Ev::FleetDue(s, life) => {
                if self.schedulers[s].life == life {
                    self.fleet_due(s);
                }
            }
            Ev::Arrive(n) => self.arrive(n),
            Ev::ClientTimeout(client, turn) => self.client_timeout(client, turn),
            Ev::Again(client) => self.ask(client),
            Ev::DeskDue(s, life) => self.desk_due(s, life),
            Ev::Came { worker, scheduler, life, job, execution, call, client } => {
                self.came(worker, (scheduler, life, job, execution), call, client)
            }
            Ev::Back { scheduler, life, job, execution, ended } => {
                self.back(scheduler, life, job, execution, ended)
            }
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
            Ev::Order { worker, scheduler, life, order, function, copies } => {
                self.order(worker, scheduler, life, order, &function, copies)
            }
            Ev::OrderBack { scheduler, life, order, outcome, copies } => {
                self.order_back(scheduler, life, order, outcome, copies)
            }
            Ev::List { scheduler, worker, state, started } => {
                let worker = self.names[worker].clone();
                if let Some(desk) = &mut self.schedulers[scheduler].desk {
                    let entry = Entry { worker: &worker, state, started, ..Entry::default() };
                    desk.list(self.now, ListForm::Changes, vec![entry]);
                }
                self.outputs(scheduler);
            }
            Ev::FullList { scheduler, life } => {
                if self.schedulers[scheduler].life == life {
                    if let Some(desk) = &mut self.schedulers[scheduler].desk {
                        desk.list(self.now, ListForm::Full, entries(&self.names, &self.roster));
                    }
                    self.outputs(scheduler);
                }
            }
            Ev::Trouble(n) => {
                let trouble = self.script.troubles[n].1.clone();
                self.trouble(&trouble, machine, seed);
            }
            Ev::Foresee(n) => self.foresee(n),
            Ev::Sample => {
                self.save();
                self.sample_fleet();
                let all = self.script.memory_mb * self.workers.len() as f64;
                let idle: f64 = self.workers.iter().filter(|w| w.up).map(|w| w.model.idle_mb()).sum();
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

    // --- Clients ---

    fn arrive(&mut self, n: usize) {
        if let Some(next) = self.arrivals.get(n + 1) {
            self.put(START + traffic::at(next), Ev::Arrive(n + 1));
        }
        let gateway = self.arrivals[n].gateway_of(self.schedulers.len());
        let client =
            Client { arrival: n, repeats: 0, gateway, first: self.now, turn: 0, open: false, job: None };
        self.clients.push(client);
        self.ask(self.clients.len() - 1);
    }

    /// A try of a client reaches its gateway.
    fn ask(&mut self, client: usize) {
        let (n, s) = (self.clients[client].arrival, self.clients[client].gateway);
        let arrival = &self.arrivals[n];
        let workload = &self.script.workloads[arrival.workload];
        if self.schedulers[s].paused > self.now {
            return self.put(self.schedulers[s].paused, Ev::Again(client));
        }
        self.figures.calls += 1;
        self.clients[client].open = true;
        self.clients[client].turn += 1;
        let turn = self.clients[client].turn;
        if self.schedulers[s].desk.is_none() {
            self.clients[client].open = false;
            self.figures.no_answer += 1;
            return self.again(client, Duration::from_millis(50));
        }
        self.put(self.now + workload.limit + Duration::from_millis(500), Ev::ClientTimeout(client, turn));
        let scheduler = &mut self.schedulers[s];
        scheduler.taken.push(self.now);
        if let Some(ahead) = &mut scheduler.ahead {
            ahead.used(self.now, &arrival.function, Some(workload.load));
        }
        let new = NewJob {
            workload: arrival.workload as u32,
            customer: 0,
            function: Rc::from(arrival.function.as_str()),
            left: workload.limit,
            work_hint: None,
            memory_mb: Some(workload.memory_mb),
            lanes: Some(workload.lanes as f64),
            load_hint: Some(workload.load),
            is_retry: turn > 1,
            writes: false,
            payload: client,
        };
        if let Some(desk) = &mut scheduler.desk
            && let Ok(job) = desk.job(self.now, new)
            && self.clients[client].open
        {
            self.clients[client].job = Some((s, job));
        }
        self.outputs(s);
    }

    fn again(&mut self, client: usize, after: Duration) {
        let of = &mut self.clients[client];
        let workload = &self.script.workloads[self.arrivals[of.arrival].workload];
        let over = self.now + after + workload.limit;
        let knows = workload.effect != Effect::Fingerprinted || over < of.first + workload.window;
        if of.repeats < REPEATS_MOST && knows {
            of.repeats += 1;
            of.gateway = (of.gateway + 1) % self.schedulers.len();
            let at = self.now + after;
            let Client { arrival, repeats, gateway, first, turn, .. } = *of;
            self.clients.push(Client { arrival, repeats, gateway, first, turn, open: false, job: None });
            let again = self.clients.len() - 1;
            self.put(at, Ev::Again(again));
        }
    }

    fn client_timeout(&mut self, client: usize, turn: u32) {
        let of = &mut self.clients[client];
        if of.open && of.turn == turn {
            of.open = false;
            self.figures.no_answer += 1;
            if let Some((s, job)) = of.job {
                if let Some(desk) = &mut self.schedulers[s].desk {
                    desk.client_gone(self.now, job);
                }
                self.outputs(s);
            }
        }
    }

    fn answered(&mut self, client: usize, answer: FinalAnswer) {
        if !std::mem::take(&mut self.clients[client].open) {
            return;
        }
        let of = &self.clients[client];
        let arrival = &self.arrivals[of.arrival];
        let took = self.now - of.first;
        match answer {
            FinalAnswer::Finished => {
                self.figures.finished += 1;
                self.waits.push((took.as_secs_f64() * 1000.0 - arrival.work_us as f64 / 1000.0).max(0.0));
                if took <= self.script.workloads[arrival.workload].start_target {
                    self.in_time.insert(of.arrival);
                }
            }
            FinalAnswer::PushedBack { come_back, .. } => {
                self.figures.pushed_back += 1;
                self.figures.power_pushed_back += u64::from(self.deaths.power_off.is_some());
                let told = come_back.unwrap_or(Duration::from_millis(100));
                let wait = told.mul_f64(self.chance.random_range(1.0..2.0));
                self.again(client, wait);
            }
            FinalAnswer::Killed { .. } => self.figures.killed += 1,
            FinalAnswer::Expired => {}
        }
    }

    // --- Schedulers ---

    fn desk_due(&mut self, s: usize, life: u64) {
        if self.schedulers[s].life != life {
            return;
        }
        self.schedulers[s].planned = None;
        if self.variant.recovery {
            self.return_due(s);
            self.fleet_changed(s);
        }
        let (now, scheduler) = (self.now, &mut self.schedulers[s]);
        if let Some(desk) = &mut scheduler.desk {
            desk.due(now);
            let expected = scheduler.ahead.as_mut().map(|ahead| ahead.due(now)).unwrap_or_default();
            for of in expected {
                let Some((n, workload)) = self.script.workload_of(&of.function) else { continue };
                desk.expected(
                    now,
                    expectation(&of.function, n, workload, of.within, of.sure, of.jobs_per_second),
                );
            }
        }
        self.outputs(s);
    }

    fn foresee(&mut self, n: usize) {
        // All are told equally early, so that one event can follow the other.
        let loads = self.script.workloads.iter().map(|workload| workload.load);
        let early = loads.max().unwrap_or_default().mul_f64(1.5);
        if let Some(next) = self.arrivals.get(n + 1) {
            self.put((START + traffic::at(next)).saturating_sub(early), Ev::Foresee(n + 1));
        }
        let arrival = &self.arrivals[n];
        let s = arrival.gateway_of(self.schedulers.len());
        let workload = &self.script.workloads[arrival.workload];
        let within = early.max(self.script.keep / 2);
        if let Some(desk) = &mut self.schedulers[s].desk {
            desk.expected(
                self.now,
                expectation(&arrival.function, arrival.workload, workload, within, 1.0, None),
            );
        }
        self.outputs(s);
    }

    /// Carries out what a scheduler says, and plans its next turn.
    fn outputs(&mut self, s: usize) {
        loop {
            let Some(desk) = &mut self.schedulers[s].desk else { return };
            let outputs = desk.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.output(s, output);
            }
        }
        let scheduler = &self.schedulers[s];
        let Some(desk) = &scheduler.desk else { return };
        let ahead = scheduler.ahead.as_ref().and_then(Ahead::next_due);
        let returns = scheduler.returning.machine.as_ref().and_then(quartzdrift_recovery::Recovery::next_due);
        let Some(next) = [desk.next_due(), ahead, returns].into_iter().flatten().min() else { return };
        if scheduler.planned.is_none_or(|at| next < at) {
            let life = scheduler.life;
            self.schedulers[s].planned = Some(next);
            self.put(next, Ev::DeskDue(s, life));
        }
    }

    fn output(&mut self, s: usize, output: Output<usize>) {
        let life = self.schedulers[s].life;
        match output {
            Output::Execute { job, execution, worker, payload, .. } => {
                let worker = self.by_name[&*worker];
                self.figures.executions += 1;
                self.drawn += 1;
                let call = self.drawn;
                self.schedulers[s].sent.insert((job, execution), (worker, call));
                self.later(Ev::Came { worker, scheduler: s, life, job, execution, call, client: payload });
            }
            Output::Cancel { job, execution } => {
                if let Some((worker, call)) = self.schedulers[s].sent.remove(&(job, execution)) {
                    self.later(Ev::Cancel { worker, call });
                }
            }
            Output::Final { payload, answer, .. } => self.answered(payload, answer),
            Output::Load { order, worker, function, copies } => {
                self.figures.orders += 1;
                let worker = self.by_name[&*worker];
                let memory = self.script.workload_of(&function).map_or(0.0, |(_, w)| w.memory_mb);
                let now = self.now;
                let scheduler = &mut self.schedulers[s];
                scheduler.orders.insert(order, (now, function.clone()));
                scheduler.given.push(now);
                if let Some(ahead) = &mut scheduler.ahead {
                    ahead.ordered(now, &function, memory);
                }
                if self.variant.load_window_s > 0.0 {
                    let since = now.saturating_sub(Duration::from_secs_f64(self.variant.load_window_s));
                    let count =
                        |times: &[Duration]| times.iter().rev().take_while(|at| **at >= since).count() as f64;
                    let most = self.variant.load_free + self.variant.load_share * count(&scheduler.taken);
                    let share = count(&scheduler.given) / most.max(1e-9);
                    self.figures.ration_most = self.figures.ration_most.max(share);
                }
                self.later(Ev::Order { worker, scheduler: s, life, order, function, copies });
            }
            // Messages leave at once here: nothing waits unsent. Probes, lists and messages are not asked for.
            Output::Withdraw { .. }
            | Output::WithdrawOrder { .. }
            | Output::DropOrder { .. }
            | Output::Probe { .. }
            | Output::Unload { .. }
            | Output::CloseIdle { .. }
            | Output::Tell { .. }
            | Output::Watch { .. }
            | Output::AskList
            | Output::Log { .. } => {}
        }
    }

    fn back(&mut self, s: usize, life: u64, job: u64, execution: u32, ended: Ended) {
        let scheduler = &mut self.schedulers[s];
        if scheduler.life != life || scheduler.sent.remove(&(job, execution)).is_none() {
            return;
        }
        if ended.outcome == Outcome::Finished && ended.found != Told::Warm {
            self.figures.waited_for_load += 1;
        }
        if let Some(desk) = &mut scheduler.desk {
            desk.ended(self.now, job, execution, ended);
        }
        self.outputs(s);
    }

    fn order_back(&mut self, s: usize, life: u64, order: u64, outcome: Outcome, copies: u32) {
        let (now, scheduler) = (self.now, &mut self.schedulers[s]);
        if scheduler.life != life {
            return;
        }
        if let Some((at, function)) = scheduler.orders.remove(&order)
            && let Some(ahead) = &mut scheduler.ahead
        {
            ahead.loaded(now, &function, outcome == Outcome::Finished, now - at);
        }
        if let Some(desk) = &mut scheduler.desk {
            desk.order_ended(now, order, outcome, copies, Vec::new());
        }
        self.outputs(s);
    }

    // --- Workers ---

    fn came(&mut self, w: usize, from: (usize, u64, u64, u32), call: u64, client: usize) {
        let (scheduler, life, job, execution) = from;
        if self.cancelled.remove(&call) {
            return;
        }
        let back = |outcome| Ev::Back { scheduler, life, job, execution, ended: Ended::silent(outcome) };
        if !self.workers[w].up {
            return self.later(back(Outcome::ConnectFailed));
        }
        let worker = &mut self.workers[w];
        worker.calls.insert(call, from);
        if worker.faults.silent || worker.faults.hang {
            return;
        }
        if worker.faults.errors > 0.0 && self.chance.random_range(0.0..1.0) < worker.faults.errors {
            worker.calls.remove(&call);
            return self.later(back(Outcome::Error));
        }
        let arrival = &self.arrivals[self.clients[client].arrival];
        worker.model.call(self.now, call, &arrival.function, Duration::from_micros(arrival.work_us));
        self.act(w);
    }

    fn cancel(&mut self, w: usize, call: u64) {
        if self.workers[w].calls.remove(&call).is_some() {
            if !self.workers[w].faults.hang {
                self.workers[w].model.cancel(self.now, call);
            }
            self.act(w);
        } else {
            self.cancelled.insert(call);
        }
    }

    fn report(&mut self, w: usize) -> Vec<Option<f64>> {
        let (now, worker) = (self.now, &mut self.workers[w]);
        if worker.reports.last().is_none_or(|(at, _)| *at + REPORT_EVERY <= now) {
            let load = worker.model.load();
            worker.reports.push((now, vec![Some(load.held as f64), Some(load.memory_taken)]));
            let oldest = now.saturating_sub(worker.faults.late_reports + REPORT_EVERY * 4);
            worker.reports.retain(|(at, _)| *at >= oldest);
        }
        let told = now.saturating_sub(worker.faults.late_reports);
        let of = worker.reports.iter().rev().find(|(at, _)| *at <= told).or(worker.reports.first());
        of.map(|(_, report)| report.clone()).unwrap_or_default()
    }

    fn act(&mut self, w: usize) {
        for say in self.workers[w].model.says() {
            match say {
                Say::Ran { call, found, crowd, wanted } => {
                    self.say(w, call, Outcome::Finished, found, crowd, wanted)
                }
                Say::Full { call } => self.say(w, call, Outcome::Full, Found::Warm, 0, true),
                Say::Missed { call } => self.say(w, call, Outcome::Miss, Found::LoadFailed, 0, true),
                Say::Fetch { load, takes, .. } => {
                    self.drawn += 1;
                    let (fetch, life) = (self.drawn, self.workers[w].life);
                    self.fetches.insert(fetch, (w, life, load));
                    if !self.store.begin(self.now, fetch, takes) {
                        self.fetched(fetch, false);
                    }
                    self.plan_store();
                }
                Say::Stands { order, copies, enough } => {
                    if let Some((scheduler, life, order)) = self.workers[w].orders.remove(&order) {
                        let outcome = if enough { Outcome::Finished } else { Outcome::Full };
                        self.later(Ev::OrderBack { scheduler, life, order, outcome, copies: copies as u32 });
                    }
                }
                Say::Fell => {
                    self.figures.fell_over += 1;
                    return self.crash(w);
                }
            }
        }
        let worker = &self.workers[w];
        if !worker.up || worker.faults.hang {
            return;
        }
        if let Some(next) = worker.model.next_due()
            && worker.planned.is_none_or(|at| next < at)
        {
            self.workers[w].planned = Some(next);
            self.put(next, Ev::WorkerDue(w));
        }
    }

    fn say(&mut self, w: usize, call: u64, outcome: Outcome, found: Found, crowd: usize, wanted: bool) {
        let Some((scheduler, life, job, execution)) = self.workers[w].calls.remove(&call) else { return };
        if !wanted {
            return;
        }
        let faults = self.workers[w].faults.clone();
        if faults.silent {
            self.workers[w].calls.insert(call, (scheduler, life, job, execution));
            return;
        }
        let lost = faults.lost > 0.0 && self.chance.random_range(0.0..1.0) < faults.lost;
        let told = match found {
            Found::Warm => Told::Warm,
            Found::BeganLoad => Told::BeganLoad,
            Found::AwaitedLoad => Told::AwaitedLoad,
            Found::LoadFailed => Told::LoadFailed,
        };
        let ended = match lost {
            true => Ended::silent(Outcome::Reset),
            false => Ended { outcome, found: told, crowd: Some(crowd as u32), report: self.report(w) },
        };
        let at = self.now + faults.slow + Duration::from_secs_f64(self.chance.random_range(0.0002..0.0006));
        self.put(at, Ev::Back { scheduler, life, job, execution, ended });
    }

    fn order(&mut self, w: usize, scheduler: usize, life: u64, order: u64, function: &str, copies: u32) {
        let worker = &mut self.workers[w];
        if !worker.up {
            let outcome = Outcome::ConnectFailed;
            return self.later(Ev::OrderBack { scheduler, life, order, outcome, copies: 0 });
        }
        if worker.faults.silent || worker.faults.hang {
            return;
        }
        self.drawn += 1;
        worker.orders.insert(self.drawn, (scheduler, life, order));
        worker.model.order(self.now, self.drawn, function, copies as usize);
        self.act(w);
    }

    fn fetched(&mut self, fetch: u64, good: bool) {
        if let Some((w, life, load)) = self.fetches.remove(&fetch)
            && self.workers[w].life == life
        {
            self.workers[w].model.fetched(self.now, load, good);
            self.act(w);
        }
    }

    fn plan_store(&mut self) {
        if let Some(next) = self.store.next_due()
            && self.store_planned.is_none_or(|at| next < at)
        {
            self.store_planned = Some(next);
            self.put(next, Ev::StoreDue);
        }
    }

    fn crash(&mut self, w: usize) {
        let worker = &mut self.workers[w];
        worker.up = false;
        worker.life += 1;
        let calls = std::mem::take(&mut worker.calls);
        let orders = std::mem::take(&mut worker.orders);
        (worker.reports, worker.planned) = Default::default();
        for (scheduler, life, job, execution) in calls.into_values() {
            self.later(Ev::Back { scheduler, life, job, execution, ended: Ended::silent(Outcome::Reset) });
        }
        for (scheduler, life, order) in orders.into_values() {
            self.later(Ev::OrderBack { scheduler, life, order, outcome: Outcome::Reset, copies: 0 });
        }
    }

    // --- Troubles ---

    fn list(&mut self, worker: usize, state: State) {
        let started = (state == State::Up).then_some(self.now);
        self.roster[worker] = (state, started);
        if self.roster_stopped {
            return;
        }
        for scheduler in 0..self.schedulers.len() {
            let at = self.now + self.lag + Duration::from_secs_f64(self.chance.random_range(0.0005..0.02));
            self.put(at, Ev::List { scheduler, worker, state, started });
        }
    }

    fn trouble(&mut self, trouble: &Trouble, machine: &Machine, seed: u64) {
        match *trouble {
            Trouble::Crash(w) => {
                self.crash(w);
                self.list(w, State::Gone);
            }
            Trouble::Start(w) => {
                if self.workers[w].up {
                    self.crash(w);
                }
                self.cold_most = self.cold_most.max(self.workers[w].model.cold_most);
                let worker = &mut self.workers[w];
                worker.model = Worker::new(machine.clone(), badday::specs(self.script), self.now);
                (worker.up, worker.faults) = (true, Faults::default());
                self.list(w, State::Up);
            }
            Trouble::Drain(w) => {
                self.workers[w].model.draining = true;
                self.list(w, State::Draining);
            }
            Trouble::Silent(w) => self.workers[w].faults.silent = true,
            Trouble::Hang(w) => self.workers[w].faults.hang = true,
            Trouble::Well(w) => {
                self.workers[w].faults = Faults::default();
                if self.workers[w].up {
                    self.workers[w].model.due(self.now);
                }
                self.act(w);
            }
            Trouble::Errors(w, share) => self.workers[w].faults.errors = share,
            Trouble::Lose(w, share) => self.workers[w].faults.lost = share,
            Trouble::Slow(w, by) => self.workers[w].faults.slow = by,
            Trouble::Late(w, by) => self.workers[w].faults.late_reports = by,
            Trouble::RosterLag(lag) => self.lag = lag,
            Trouble::RosterStop(on) => {
                self.roster_stopped = on;
                if !on {
                    for scheduler in 0..self.schedulers.len() {
                        let life = self.schedulers[scheduler].life;
                        self.later(Ev::FullList { scheduler, life });
                    }
                }
            }
            Trouble::PauseGateway(s, length) => self.schedulers[s].paused = self.now + length,
            Trouble::Apart { first, last, one_way } => self.apart = Some((first..last + 1, one_way)),
            Trouble::Together => self.apart = None,
            Trouble::LoseDatagrams(share) => self.loss = share,
            Trouble::PowerOff { gateways } => {
                self.deaths.power_off.get_or_insert(self.now);
                let (first, last) = gateways.unwrap_or((0, self.schedulers.len().saturating_sub(1)));
                (first..=last).for_each(|s| self.trouble(&Trouble::KillGateway(s), machine, seed));
                if gateways.is_none() {
                    (0..self.workers.len()).for_each(|w| self.trouble(&Trouble::Crash(w), machine, seed));
                    self.trouble(&Trouble::RosterStop(true), machine, seed);
                }
            }
            Trouble::StopGateways(first, last) => {
                (first..=last).for_each(|s| self.trouble(&Trouble::KillGateway(s), machine, seed));
            }
            Trouble::PowerOnGateway(s) => self.trouble(&Trouble::StartGateway(s), machine, seed),
            // Here nothing is on disk, clocks are true, and datagrams keep their order: these have no counterpart.
            Trouble::DoubleDatagrams(_)
            | Trouble::LateDatagrams(_)
            | Trouble::Clock(..)
            | Trouble::CopyState(_)
            | Trouble::Spoil(..) => {}
            // Empty lists are doubted by the daemon's reading of lists, which is not part of this model.
            Trouble::RosterEmpty(_) => {}
            Trouble::StoreSlow(times) => {
                self.store.advance(self.now);
                self.store.slow = times;
                self.plan_store();
            }
            Trouble::StoreRefuse(on) => self.store.refuses = on,
            Trouble::KillGateway(s) => {
                if self.schedulers[s].desk.is_some() {
                    self.fleet_killed(s);
                }
                let scheduler = &mut self.schedulers[s];
                scheduler.desk = None;
                scheduler.life += 1;
                if let Some(ahead) = scheduler.ahead.take() {
                    let sums = ahead.ledger.sums();
                    self.sums.used += sums.used;
                    self.sums.unused += sums.unused;
                    self.standing.join(ahead.forecasts.standing);
                }
                scheduler.orders.clear();
                for (worker, call) in std::mem::take(&mut scheduler.sent).into_values() {
                    self.later(Ev::Cancel { worker, call });
                }
                let lost = self.clients.iter_mut().filter(|c| c.open && c.gateway == s);
                for client in lost {
                    client.open = false;
                    self.figures.no_answer += 1;
                }
            }
            Trouble::StartGateway(s) => {
                if self.schedulers[s].desk.is_none() {
                    self.fleet_restarted(s);
                    self.start_scheduler(s, seed);
                }
            }
        }
    }
}

/// The whole list as a roster tells it.
fn entries<'a>(names: &'a [String], roster: &[(State, Option<Duration>)]) -> Vec<Entry<'a>> {
    let there = names.iter().zip(roster).filter(|(_, (state, _))| *state != State::Gone);
    let entry = |(worker, &(state, started)): (&'a String, &(State, Option<Duration>))| Entry {
        worker,
        state,
        started,
        ..Entry::default()
    };
    there.map(entry).collect()
}

fn expectation<'a>(
    function: &'a str,
    workload: usize,
    of: &crate::script::Workload,
    within: Duration,
    sure: f64,
    jobs_per_second: Option<f64>,
) -> Expectation<'a> {
    Expectation {
        function,
        workload: workload as u32,
        within,
        sure,
        jobs_per_second,
        memory_mb: Some(of.memory_mb),
        lanes: Some(of.lanes as f64),
        load_hint: Some(of.load),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::script;

    fn day() -> Script {
        script::read(
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
        let answered = first.finished + first.pushed_back + first.killed + first.no_answer;
        assert_eq!(answered, first.calls, "{first:?}");
    }

    #[test]
    fn timers_are_loaded_ahead_and_the_ration_holds() {
        let script = day();
        let arrivals = traffic::arrivals(&script, 2);
        let off = run(&script, &arrivals, &Variant::default(), 2);
        let on = Variant { forecasting: Forecasting::On, ..Variant::default() };
        let with = run(&script, &arrivals, &on, 2);
        assert!((with.waited_for_load as f64) < 0.8 * off.waited_for_load as f64, "{off:?} {with:?}");
        let rationed = Variant { load_window_s: 5.0, load_free: 1.0, load_share: 0.01, ..on.clone() };
        let rationed = run(&script, &arrivals, &rationed, 2);
        assert!(rationed.orders > 0 && rationed.ration_most <= 1.0, "{rationed:?}");
        // A scheduler that is killed goes on from what it saved: its timers are not learnt anew.
        let saved = run(&script, &arrivals, &Variant { snapshot_s: 2.0, ..on.clone() }, 2);
        assert!(
            saved.gaps > with.gaps && saved.waited_for_load <= with.waited_for_load,
            "{with:?} {saved:?}"
        );
        let none = Variant { load_window_s: 5.0, forecasting: Forecasting::On, ..Variant::default() };
        assert_eq!(run(&script, &arrivals, &none, 2).orders, 0);
    }
}
