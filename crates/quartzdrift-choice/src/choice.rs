//! Every decision of the router. Make a [`Scheduler`] from the settings and a seed, give each event to
//! [`Scheduler::handle`] in the order it came, and carry out the actions it returns in their order.
//! The types of events, actions and settings are in `interface.rs`.
//!
//! Inside are a desk, which owns the jobs, and one actor for each worker. They talk only by notes put into
//! inboxes; one loop empties them all before the next event. A job is a call for offers to every worker: set
//! aside those past the overload bound, rank the rest by cache status, then by fewest estimated jobs.
use crate::interface::*;
use crate::names::Names;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Edge of a histogram's first bin: shorter than any execution worth telling apart.
const FIRST_BIN: Duration = Duration::from_millis(4);
/// Ratio of one bin's edge to the next: coarse, yet finer than the spread between workloads.
const BIN_RATIO: f64 = 1.4;
/// Bins: the last begins past 20 s, longer than any time limit.
const BINS: usize = 26;
/// Counts at which a histogram is halved: some seconds of one scheduler's traffic.
const HALVE_AT: u32 = 200;
/// Counts below which a histogram says nothing.
const ENOUGH: u32 = 8;
/// Time in which finished work loses half its say in the mean rate: several executions long.
const RATE_HALF: Duration = Duration::from_secs(4);
/// A worker is past the overload bound at this many estimated jobs at the least: a few cores' worth.
const BOUND_LEAST: f64 = 4.0;
/// And at this multiple of the mean of all: twice is far outside chance.
const BOUND_RATIO: f64 = 2.0;
/// Mean of estimated jobs past which the fleet as a whole is overloaded: several times a few cores' worth.
const BOUND_ALL: f64 = 9.0;
/// Patience: this multiple of what nearly all such executions take.
const PATIENCE: f64 = 2.0;
/// Share of executions that patience is measured on; above it lie the stragglers.
const NEARLY_ALL: f64 = 0.95;
/// Patience before anything was measured.
const PATIENCE_BLIND: Duration = Duration::from_millis(1500);
/// Times its patience after which a single execution that nothing followed speaks for its worker's silence.
const SILENCE_ONE: u32 = 2;
/// Workers are looked at for silence this often: short beside any patience.
const TICK: Duration = Duration::from_millis(100);
/// First span for which a worker that shows a symptom is left alone: a few executions.
const SHUN_FIRST: Duration = Duration::from_millis(500);
/// Longest such span: as long as a worker takes to restart.
const SHUN_LONGEST: Duration = Duration::from_secs(4);
/// Span for which a full worker is left alone: a few of its jobs end meanwhile.
const SHUN_FULL: Duration = Duration::from_millis(150);
/// Share of recent executions ending in error past which a worker is ill; chance errors are far rarer.
const ERRORS_ILL: f64 = 0.3;
/// Recent executions that the error share is taken over.
const ERRORS_OVER: f64 = 8.0;
/// Connections refused in a row after which a worker counts as down; one may be a full connection table.
const REFUSED_DOWN: u32 = 2;
/// Share of the workers that may be set aside as ill: with more, the trouble is not a worker's own.
const ILL_MOST: f64 = 0.4;
/// A report older than this speaks for the worker no more: several refresh periods.
const REPORT_AGED: Duration = Duration::from_secs(2);
/// Share of the cold rule's budget that all schedulers together use, since work comes in lumps.
const COLD_SAFETY: f64 = 0.6;
/// Time left below which another execution is of no use: shorter than almost any work.
const USELESS: Duration = Duration::from_millis(30);
/// Time to come back before anything was measured.
const COME_BACK: Duration = Duration::from_millis(200);
/// Told keep-alive missing: copies are taken to stay this long.
const KEEP_UNTOLD: Duration = Duration::from_secs(8);
/// Marks and names are swept this often: long beside a keep-alive, short beside the memory at hand.
const SWEEP: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Status {
    Known,
    Assumed,
    NotWarm,
}

/// What desk and workers tell each other.
enum Note {
    Listed(Listing),
    Call(Call),
    Offer(Offer),
    Decline,
    Execute(Execution),
    Ended(Ending),
    Place(JobId),
    Tick,
    /// This execution is out at a worker that answers nothing.
    Silent(JobId, u32),
}

#[derive(Clone, Copy)]
struct Listing {
    state: State,
    zone: u32,
    cell: u32,
    started: Option<Duration>,
}

/// A call for offers for one job.
#[derive(Clone, Copy)]
struct Call {
    function: usize,
    /// Where executions that may have run confine further ones.
    confined: Option<(Group, u32)>,
    /// Restartable with executions left: may be risked on a worker of doubtful health.
    risks: bool,
    weight: f64,
    /// Our own finished work a second for each worker: the part of a worker's capacity that is surely there.
    fair_rate: f64,
}

#[derive(Clone, Copy)]
struct Offer {
    worker: usize,
    status: Status,
    others: Option<f64>,
    own: usize,
    ill: bool,
}

#[derive(Clone, Copy)]
struct Execution {
    job: JobId,
    execution: u32,
    function: usize,
    weight: f64,
    patience: Duration,
    sent: Duration,
}

struct Ending {
    job: JobId,
    execution: u32,
    outcome: Outcome,
    found: Found,
    report: Report,
}

#[derive(Clone, Copy, Default)]
struct Report {
    held: Option<f64>,
    queued: Option<f64>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    Desk,
    Worker(usize),
}

/// The inboxes, and whose turn it is: each note put in is one turn, so notes are worked in order of arrival.
#[derive(Default)]
struct Post {
    desk: VecDeque<Note>,
    workers: Vec<VecDeque<Note>>,
    turns: VecDeque<Part>,
}

impl Post {
    fn put(&mut self, part: Part, note: Note) {
        match part {
            Part::Desk => self.desk.push_back(note),
            Part::Worker(ix) => self.workers[ix].push_back(note),
        }
        self.turns.push_back(part);
    }

    fn next(&mut self) -> Option<(Part, Note)> {
        let part = self.turns.pop_front()?;
        let note = match part {
            Part::Desk => self.desk.pop_front(),
            Part::Worker(ix) => self.workers[ix].pop_front(),
        };
        note.map(|note| (part, note))
    }
}

/// A histogram of times in few bins, halved from time to time.
#[derive(Clone, Default)]
struct Histogram {
    bins: [u32; BINS],
    count: u32,
}

impl Histogram {
    fn add(&mut self, took: Duration) {
        let ratio = took.as_secs_f64() / FIRST_BIN.as_secs_f64();
        let bin = if ratio <= 1.0 { 0.0 } else { ratio.ln() / BIN_RATIO.ln() };
        self.bins[(bin as usize).min(BINS - 1)] += 1;
        self.count += 1;
        if self.count >= HALVE_AT {
            self.bins.iter_mut().for_each(|n| *n /= 2);
            self.count = self.bins.iter().sum();
        }
    }

    /// Upper edge of the bin that holds this share; `None` while too little was seen.
    fn quantile(&self, share: f64) -> Option<Duration> {
        if self.count < ENOUGH {
            return None;
        }
        let mut rest = share * f64::from(self.count);
        let bin = self.bins.iter().position(|&n| {
            rest -= f64::from(n);
            rest <= 0.0
        });
        let edge = BIN_RATIO.powi(bin.unwrap_or(BINS - 1) as i32 + 1);
        Some(FIRST_BIN.mul_f64(edge))
    }
}

/// A sum that loses half its say every `RATE_HALF`.
#[derive(Clone, Copy, Default)]
struct Fading {
    sum: f64,
    at: Duration,
}

impl Fading {
    fn now(&self, now: Duration) -> f64 {
        let halves = now.saturating_sub(self.at).as_secs_f64() / RATE_HALF.as_secs_f64();
        self.sum * 0.5f64.powf(halves)
    }

    fn add(&mut self, amount: f64, now: Duration) {
        *self = Fading { sum: self.now(now) + amount, at: now };
    }

    fn per_second(&self, now: Duration) -> f64 {
        self.now(now) * std::f64::consts::LN_2 / RATE_HALF.as_secs_f64()
    }
}

/// The few derived figures that decisions use.
#[derive(Clone)]
struct Figures {
    keep: Duration,
    cold_from: f64,
    cold_for: Duration,
    fall_window: Duration,
    /// Work that a worker may be sent in a window, in multiples of what it can do in it.
    cold_budget: f64,
    max_executions: u32,
    cancel: bool,
    schedulers: f64,
    retry_after: Option<Duration>,
    held_field: Option<usize>,
    queued_field: Option<usize>,
    tells_warm: bool,
}

#[derive(Clone)]
struct Kind {
    effect: Effect,
    group: Group,
    window: Duration,
    /// What executions took that found a copy, and those that had to load.
    quick: Histogram,
    slow: Histogram,
    /// Sum and number of the quick ones: their mean weighs a job.
    quick_sum: f64,
    quick_count: f64,
}

impl Kind {
    fn weight(&self) -> f64 {
        if self.quick_count > 0.0 { self.quick_sum / self.quick_count } else { 1.0 }
    }

    fn patience(&self, status: Status) -> Duration {
        let quick = self.quick.quantile(NEARLY_ALL);
        let slow = self.slow.quantile(NEARLY_ALL);
        let nearly = match status {
            Status::Known | Status::Assumed => quick,
            Status::NotWarm => slow.max(quick),
        };
        nearly.map_or(PATIENCE_BLIND, |t| t.mul_f64(PATIENCE))
    }
}

#[derive(Clone, Copy, Default)]
struct Mark {
    known: Duration,
    assumed: Duration,
}

struct Worker {
    ix: usize,
    listing: Listing,
    marks: BTreeMap<usize, Mark>,
    out: Vec<Execution>,
    others: Option<(f64, Duration)>,
    heard: Duration,
    cold_since: Option<Duration>,
    cold_sent: VecDeque<(Duration, f64)>,
    shunned_until: Duration,
    shun: Duration,
    on_trial: bool,
    errors: f64,
    /// Connections refused in a row.
    refused: u32,
}

impl Worker {
    fn new(ix: usize) -> Worker {
        Worker {
            ix,
            listing: Listing { state: State::Gone, zone: 0, cell: 0, started: None },
            marks: BTreeMap::new(),
            out: Vec::new(),
            others: None,
            heard: Duration::ZERO,
            cold_since: None,
            cold_sent: VecDeque::new(),
            shunned_until: Duration::ZERO,
            shun: SHUN_FIRST,
            on_trial: false,
            errors: 0.0,
            refused: 0,
        }
    }

    fn take(&mut self, note: Note, now: Duration, figures: &Figures, post: &mut Post) {
        match note {
            Note::Listed(listing) => self.listed(listing),
            Note::Call(call) => {
                let answer = match self.offer(&call, now, figures) {
                    Some(offer) => Note::Offer(offer),
                    None => Note::Decline,
                };
                post.put(Part::Desk, answer);
            }
            Note::Execute(execution) => {
                let mark = self.marks.entry(execution.function).or_default();
                mark.assumed = now + figures.keep;
                if self.cold_since.is_some() {
                    self.cold_sent.push_back((now, execution.weight));
                }
                self.out.push(execution);
            }
            Note::Ended(ending) => self.ended(ending, now, figures),
            Note::Tick => self.silent(now, post),
            Note::Offer(_) | Note::Decline | Note::Place(_) | Note::Silent(..) => {}
        }
    }

    fn listed(&mut self, listing: Listing) {
        if listing.started > self.listing.started {
            // A new process: it is empty, and the old one's failings are not its own.
            self.marks.clear();
            self.cold_since = listing.started;
            self.cold_sent.clear();
            (self.shunned_until, self.shun, self.on_trial) = (Duration::ZERO, SHUN_FIRST, false);
            (self.errors, self.refused) = (0.0, 0);
        }
        self.listing = listing;
    }

    fn offer(&mut self, call: &Call, now: Duration, figures: &Figures) -> Option<Offer> {
        if self.listing.state != State::Up {
            return None;
        }
        let here = |group: Group| match group {
            Group::All => 0,
            Group::Zone => self.listing.zone,
            Group::Cell => self.listing.cell,
        };
        if call.confined.is_some_and(|(group, place)| here(group) != place) {
            return None;
        }
        if !self.cold_room(call, now, figures) {
            return None;
        }
        let mark = self.marks.get(&call.function).copied().unwrap_or_default();
        let status = if mark.known > now {
            Status::Known
        } else if mark.assumed > now {
            Status::Assumed
        } else {
            Status::NotWarm
        };
        let others = self.others.filter(|(_, at)| now - *at < REPORT_AGED).map(|(others, _)| others);
        let ill = self.ill(call, now);
        Some(Offer { worker: self.ix, status, others, own: self.out.len(), ill })
    }

    /// Guards against a cold worker pushed over by all schedulers at once: each sends it at most its own
    /// fair share of what a cold worker can surely do, so that the sum is safe however traffic is split.
    fn cold_room(&mut self, call: &Call, now: Duration, figures: &Figures) -> bool {
        let Some(since) = self.cold_since else { return true };
        let age = now.saturating_sub(since);
        if age >= figures.cold_for {
            self.cold_since = None;
            self.cold_sent.clear();
            return true;
        }
        let oldest = now.saturating_sub(figures.fall_window);
        while self.cold_sent.front().is_some_and(|&(at, _)| at < oldest) {
            self.cold_sent.pop_front();
        }
        let sent: f64 = self.cold_sent.iter().map(|&(_, weight)| weight).sum();
        let warmed = age.as_secs_f64() / figures.cold_for.as_secs_f64();
        let least = figures.cold_from + (1.0 - figures.cold_from) * warmed;
        let budget = figures.cold_budget * least * call.fair_rate * figures.fall_window.as_secs_f64();
        self.cold_sent.is_empty() || sent + call.weight <= budget
    }

    /// Guards against workers that answer nothing, fail quickly or refuse: they look idle and draw jobs.
    fn ill(&mut self, call: &Call, now: Duration) -> bool {
        if now < self.shunned_until {
            return true;
        }
        self.on_trial && (!self.out.is_empty() || !call.risks)
    }

    /// Guards against workers that take jobs and answer none: with several functions overdue and no answer since,
    /// it is not one long load, and what may run again is called off to be run elsewhere.
    fn silent(&mut self, now: Duration, post: &mut Post) {
        let overdue = |out: &&Execution| now.saturating_sub(out.sent.max(self.heard)) > out.patience;
        let mut late = self.out.iter().filter(overdue);
        let Some(first) = late.next() else { return };
        if late.any(|out| out.function != first.function) || now - first.sent > first.patience * SILENCE_ONE {
            if now >= self.shunned_until {
                self.shun(now);
            }
            for out in &self.out {
                post.put(Part::Desk, Note::Silent(out.job, out.execution));
            }
        }
    }

    fn shun(&mut self, now: Duration) {
        self.shunned_until = now + self.shun;
        self.shun = (self.shun * 2).min(SHUN_LONGEST);
        self.on_trial = true;
    }

    fn ended(&mut self, ending: Ending, now: Duration, figures: &Figures) {
        let own = self.out.len() as f64;
        let at = self.out.iter().position(|o| (o.job, o.execution) == (ending.job, ending.execution));
        let Some(execution) = at.map(|at| self.out.swap_remove(at)) else { return };
        if let Some(held) = ending.report.held {
            self.others = Some(((held - own).max(0.0), now));
        } else if let Some(queued) = ending.report.queued {
            self.others = Some(((queued - own).max(0.0), now));
        }
        let mark = self.marks.entry(execution.function).or_default();
        match ending.outcome {
            Outcome::Finished => {
                mark.assumed = now + figures.keep;
                if figures.tells_warm {
                    mark.known = now + figures.keep;
                }
                self.heard = now;
                if self.refused >= REFUSED_DOWN && self.cold_since.is_none() {
                    self.cold_since = Some(now);
                }
                self.refused = 0;
                self.errors *= 1.0 - 1.0 / ERRORS_OVER;
                if self.errors < ERRORS_ILL {
                    (self.on_trial, self.shun) = (false, SHUN_FIRST);
                }
            }
            // One connection cut is no sign of a restart, which cuts them all and then refuses new ones.
            Outcome::Error | Outcome::Reset => {
                self.heard = now;
                self.errors += (1.0 - self.errors) / ERRORS_OVER;
                if self.errors > ERRORS_ILL || self.on_trial {
                    self.shun(now);
                }
            }
            Outcome::Full => {
                self.heard = now;
                self.shunned_until = self.shunned_until.max(now + SHUN_FULL);
            }
            Outcome::TimedOut => {
                if now.saturating_sub(self.heard.max(execution.sent)) >= execution.patience {
                    self.shun(now);
                }
            }
            Outcome::ConnectFailed => {
                // Guards against a process that is down: it comes back empty, and cold before the list says so.
                self.refused += 1;
                if self.refused >= REFUSED_DOWN {
                    self.marks.clear();
                    self.others = None;
                }
                if now >= self.shunned_until {
                    self.shun(now);
                }
            }
            Outcome::Miss => *mark = Mark::default(),
            Outcome::Cancelled | Outcome::Moot => {}
        }
    }
}

struct Job {
    workload: usize,
    function: usize,
    give_up: Duration,
    executions: u32,
    /// The worker of the first execution that may have run, and when it was sent.
    may_have_run: Option<(usize, Duration)>,
    /// Worker, cache status and time of the execution that is out.
    current: Option<(usize, Status, Duration)>,
    tried: Vec<usize>,
}

struct Desk {
    jobs: BTreeMap<JobId, Job>,
    kinds: Vec<Kind>,
    finished: Fading,
    calling: Option<JobId>,
    waiting: usize,
    offers: Vec<Offer>,
    places: Vec<(u32, u32)>,
    homes: Vec<u64>,
    seed: u64,
    drawn: u64,
}

impl Desk {
    fn chance(&mut self) -> u64 {
        self.drawn += 1;
        hash(&(self.seed, self.drawn))
    }

    fn kind(&mut self, job: &Job) -> &mut Kind {
        &mut self.kinds[job.workload]
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// One instance of the router's decisions.
pub struct Scheduler {
    figures: Figures,
    desk: Desk,
    workers: Vec<Worker>,
    worker_names: Names,
    functions: Names,
    post: Post,
    now: Duration,
    swept: Duration,
    ticking: bool,
    actions: Vec<Action>,
}

impl Scheduler {
    pub fn new(settings: &Settings, seed: u64) -> Scheduler {
        let (rules, copies) = (&settings.rules, &settings.copies);
        let field = |kind| settings.report_fields.iter().position(|&f| f == kind);
        let kind = |w: &Workload| Kind {
            effect: w.effect,
            group: w.group,
            window: w.window.unwrap_or_default(),
            quick: Histogram::default(),
            slow: Histogram::default(),
            quick_sum: 0.0,
            quick_count: 0.0,
        };
        let retry_after = settings.allowed.max_retry_after.unwrap_or(COME_BACK);
        let figures = Figures {
            keep: copies.keep.unwrap_or(KEEP_UNTOLD),
            cold_from: rules.cold_from.unwrap_or(1.0).clamp(0.0, 1.0),
            cold_for: rules.cold_for.unwrap_or_default(),
            fall_window: rules.fall_window.unwrap_or_default(),
            cold_budget: rules.fall_multiple.unwrap_or(1.0) * COLD_SAFETY,
            max_executions: settings.allowed.max_executions.unwrap_or(1),
            cancel: settings.allowed.cancel,
            schedulers: f64::from(settings.schedulers.unwrap_or(1)),
            retry_after: settings.allowed.retry_after.then_some(retry_after),
            held_field: field(ReportField::Held),
            queued_field: field(ReportField::Queued),
            tells_warm: copies.tells_warm,
        };
        let desk = Desk {
            jobs: BTreeMap::new(),
            kinds: settings.workloads.iter().map(kind).collect(),
            finished: Fading::default(),
            calling: None,
            waiting: 0,
            offers: Vec::new(),
            places: Vec::new(),
            homes: Vec::new(),
            seed,
            drawn: 0,
        };
        Scheduler {
            figures,
            desk,
            workers: Vec::new(),
            worker_names: Names::default(),
            functions: Names::default(),
            post: Post::default(),
            now: Duration::ZERO,
            swept: Duration::ZERO,
            ticking: false,
            actions: Vec::new(),
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.sweep();
        match event {
            Event::List { form, entries } => self.list(form, &entries),
            Event::Job(asked) => self.job(&asked),
            Event::Ended { job, execution, worker, outcome, took, over, found, crowd: _, report } => {
                let worker = self.worker(worker);
                let field = |at: Option<usize>| report.get(at?).copied().flatten();
                let report =
                    Report { held: field(self.figures.held_field), queued: field(self.figures.queued_field) };
                let ending = Ending { job, execution, outcome, found, report };
                self.judge(&ending, worker, took, over);
                self.post.put(Part::Worker(worker), Note::Ended(ending));
                if !over && self.desk.jobs.contains_key(&job) {
                    self.post.put(Part::Desk, Note::Place(job));
                }
            }
            Event::Expired { job } => {
                self.desk.jobs.remove(&job);
            }
            Event::Timer { .. } => {
                for ix in 0..self.workers.len() {
                    self.post.put(Part::Worker(ix), Note::Tick);
                }
                self.ticking = !self.desk.jobs.is_empty();
                if self.ticking {
                    self.actions.push(Action::Timer { delay: TICK, mark: "tick" });
                }
            }
            Event::Streaming { .. } | Event::Probed { .. } | Event::Heard { .. } | Event::Loaded { .. } => {}
        }
        while let Some((part, note)) = self.post.next() {
            match part {
                Part::Desk => self.desk_note(note),
                Part::Worker(ix) => self.workers[ix].take(note, self.now, &self.figures, &mut self.post),
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn sweep(&mut self) {
        if self.now < self.swept + SWEEP {
            return;
        }
        self.swept = self.now;
        for worker in &mut self.workers {
            worker.marks.retain(|_, mark| mark.known.max(mark.assumed) > self.now);
        }
        self.functions.forget_before(self.now.saturating_sub(SWEEP + self.figures.keep * 2));
    }

    fn worker(&mut self, name: &str) -> usize {
        let ix = self.worker_names.index(name, self.now);
        while self.workers.len() <= ix {
            self.workers.push(Worker::new(self.workers.len()));
            self.post.workers.push(VecDeque::new());
            self.desk.homes.push(0);
            self.desk.places.push((0, 0));
        }
        self.desk.homes[ix] = hash(&name);
        ix
    }

    fn list(&mut self, form: ListForm, entries: &[Entry]) {
        if matches!(form, ListForm::Full | ListForm::Saved) {
            for ix in 0..self.workers.len() {
                let listing = Listing { state: State::Gone, ..self.workers[ix].listing };
                self.post.put(Part::Worker(ix), Note::Listed(listing));
            }
        }
        for entry in entries {
            let ix = self.worker(entry.worker);
            let &Entry { state, zone, cell, started, .. } = entry;
            self.desk.places[ix] = (zone, cell);
            self.post.put(Part::Worker(ix), Note::Listed(Listing { state, zone, cell, started }));
        }
    }

    fn job(&mut self, asked: &JobAsked) {
        let workload = asked.workload as usize;
        if workload >= self.desk.kinds.len() {
            self.actions.push(Action::Kill { job: asked.job });
            return;
        }
        let job = Job {
            workload,
            function: self.functions.index(asked.function, self.now),
            give_up: self.now + asked.left,
            executions: 0,
            may_have_run: None,
            current: None,
            tried: Vec::new(),
        };
        self.desk.jobs.insert(asked.job, job);
        if !self.ticking {
            self.ticking = true;
            self.actions.push(Action::Timer { delay: TICK, mark: "tick" });
        }
        self.post.put(Part::Desk, Note::Place(asked.job));
    }

    /// What the end of an execution proves, and what is learned of its workload.
    fn judge(&mut self, ending: &Ending, worker: usize, took: Duration, over: bool) {
        let now = self.now;
        let Some(job) = self.desk.jobs.get_mut(&ending.job) else { return };
        let (_, status, sent) = job.current.take().unwrap_or((worker, Status::NotWarm, now));
        match ending.outcome {
            Outcome::Finished => {
                let kind = &mut self.desk.kinds[job.workload];
                let warm = match ending.found {
                    Found::Warm => true,
                    Found::BeganLoad | Found::AwaitedLoad | Found::LoadFailed => false,
                    Found::Untold => status != Status::NotWarm,
                };
                if warm {
                    kind.quick.add(took);
                    kind.quick_sum += took.as_secs_f64();
                    kind.quick_count += 1.0;
                    if kind.quick_count >= f64::from(HALVE_AT) {
                        kind.quick_sum /= 2.0;
                        kind.quick_count /= 2.0;
                    }
                } else {
                    kind.slow.add(took);
                }
                let weight = kind.weight();
                self.desk.finished.add(weight, now);
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                job.may_have_run.get_or_insert((worker, sent));
            }
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss => {}
        }
        if over {
            self.desk.jobs.remove(&ending.job);
        }
    }

    fn desk_note(&mut self, note: Note) {
        match note {
            Note::Place(job) => self.place(job),
            Note::Offer(offer) => {
                self.desk.offers.push(offer);
                self.replied();
            }
            Note::Decline => self.replied(),
            Note::Silent(job, execution) => self.call_off(job, execution),
            Note::Listed(_) | Note::Call(_) | Note::Execute(_) | Note::Ended(_) | Note::Tick => {}
        }
    }

    fn replied(&mut self) {
        self.desk.waiting -= 1;
        if self.desk.waiting == 0
            && let Some(job) = self.desk.calling.take()
        {
            self.choose(job);
        }
    }

    fn place(&mut self, id: JobId) {
        let Some(job) = self.desk.jobs.get(&id) else { return };
        let kind = &self.desk.kinds[job.workload];
        let may_send = match (job.may_have_run, kind.effect) {
            (None, _) | (Some(_), Effect::Restartable) => true,
            (Some((_, sent)), Effect::Fingerprinted) => self.now < sent + kind.window,
            (Some(_), Effect::RunOnce) => false,
        };
        let left = job.give_up.saturating_sub(self.now);
        if !may_send || job.executions >= self.figures.max_executions || left < USELESS {
            return self.conclude(id);
        }
        let confined = match (job.may_have_run, kind.effect, kind.group) {
            (Some(_), Effect::Fingerprinted, Group::All) => None,
            (Some((worker, _)), Effect::Fingerprinted, Group::Zone) => {
                Some((Group::Zone, self.desk.places[worker].0))
            }
            (Some((worker, _)), Effect::Fingerprinted, Group::Cell) => {
                Some((Group::Cell, self.desk.places[worker].1))
            }
            _ => None,
        };
        let listed = self.workers.iter().filter(|w| w.listing.state == State::Up).count().max(1);
        let call = Call {
            function: job.function,
            confined,
            risks: kind.effect == Effect::Restartable && job.executions + 1 < self.figures.max_executions,
            weight: kind.weight(),
            fair_rate: self.desk.finished.per_second(self.now) / listed as f64,
        };
        self.desk.offers.clear();
        self.desk.calling = Some(id);
        self.desk.waiting = self.workers.len();
        for ix in 0..self.workers.len() {
            self.post.put(Part::Worker(ix), Note::Call(call));
        }
        if self.workers.is_empty() {
            self.desk.calling = None;
            self.conclude(id);
        }
    }

    /// The ordinary path, and its exceptions: see docs/design.md.
    fn choose(&mut self, id: JobId) {
        let mut offers = std::mem::take(&mut self.desk.offers);
        let Some(job) = self.desk.jobs.get(&id) else { return };
        let function = job.function;
        let ill = offers.iter().filter(|o| o.ill).count();
        if ill as f64 <= ILL_MOST * offers.len() as f64 {
            offers.retain(|o| !o.ill);
        }
        offers.retain(|o| !job.tried.contains(&o.worker));
        if offers.is_empty() {
            return self.conclude(id);
        }
        let reported: Vec<f64> = offers.iter().filter_map(|o| o.others).collect();
        let average = reported.iter().sum::<f64>() / reported.len().max(1) as f64;
        let blind = reported.is_empty();
        let alike = self.figures.schedulers;
        let jobs = |o: &Offer| {
            if blind { o.own as f64 * alike } else { o.others.unwrap_or(average) + o.own as f64 }
        };
        let mean = offers.iter().map(jobs).sum::<f64>() / offers.len() as f64;
        if mean > BOUND_ALL {
            // Guards against load storms: a job sent to load where all are busy only makes them busier.
            return self.conclude(id);
        }
        let bound = (mean * BOUND_RATIO).max(BOUND_LEAST);
        let unmarked = offers.iter().all(|o| o.status == Status::NotWarm);
        offers.retain(|o| jobs(o) < bound);
        if unmarked {
            // No mark anywhere, as after our own restart: all schedulers try the workers in one common order.
            let name = self.functions.name(function);
            let order = |o: &Offer| hash(&(&name, self.desk.homes[o.worker]));
            if let Some(at) = (0..offers.len()).max_by_key(|&at| order(&offers[at])) {
                offers[at].status = Status::Assumed;
            }
        }
        let mut ranked: Vec<(Status, f64, u64, Offer)> =
            offers.iter().map(|&o| (o.status, jobs(&o), self.desk.chance(), o)).collect();
        ranked.sort_by(|a, b| {
            let load = a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal);
            a.0.cmp(&b.0).then(load).then(a.2.cmp(&b.2))
        });
        match ranked.first() {
            Some(&(_, _, _, offer)) => self.execute(id, offer),
            None => self.conclude(id),
        }
    }

    fn execute(&mut self, id: JobId, offer: Offer) {
        let now = self.now;
        let Some(job) = self.desk.jobs.get_mut(&id) else { return };
        let kind = &self.desk.kinds[job.workload];
        let patience = kind.patience(offer.status);
        let left = job.give_up.saturating_sub(now);
        let again = kind.effect == Effect::Restartable && job.executions + 1 < self.figures.max_executions;
        let typical = kind.quick.quantile(0.5).unwrap_or(USELESS);
        let limited = again && !self.figures.cancel && left > patience + typical;
        let time_limit = limited.then_some(patience);
        let execution = Execution {
            job: id,
            execution: job.executions,
            function: job.function,
            weight: kind.weight(),
            patience,
            sent: now,
        };
        job.executions += 1;
        job.current = Some((offer.worker, offer.status, now));
        job.tried.push(offer.worker);
        self.post.put(Part::Worker(offer.worker), Note::Execute(execution));
        let worker: Rc<str> = self.worker_names.name(offer.worker);
        self.actions.push(Action::Execute { job: id, worker, time_limit });
    }

    fn call_off(&mut self, id: JobId, execution: u32) {
        let Some(job) = self.desk.jobs.get(&id) else { return };
        let again = self.desk.kinds[job.workload].effect == Effect::Restartable
            && job.executions < self.figures.max_executions;
        if again && self.figures.cancel && job.current.is_some() && execution + 1 == job.executions {
            self.actions.push(Action::Cancel { job: id, execution });
        }
    }

    /// The final answer, at once: pushed back where trying again is harmless, killed elsewhere.
    fn conclude(&mut self, id: JobId) {
        let Some(job) = self.desk.jobs.remove(&id) else { return };
        let kind = self.desk.kind(&job);
        let harmless = match (job.may_have_run, kind.effect) {
            (None, _) | (Some(_), Effect::Restartable) => true,
            (Some(_), Effect::Fingerprinted) => kind.group == Group::All,
            (Some(_), Effect::RunOnce) => false,
        };
        let come_back = kind.quick.quantile(0.5).unwrap_or(COME_BACK);
        let come_back = self.figures.retry_after.map(|most| come_back.min(most));
        self.actions.push(if harmless {
            Action::PushBack { job: id, come_back }
        } else {
            Action::Kill { job: id }
        });
    }
}
