//! Every decision of the router. Make a [`Scheduler`] from the settings and a seed, give each event to
//! [`Scheduler::handle`] in the order it came, and carry out its actions in theirs. Types: `interface.rs`.
//!
//! Inside are a desk, which owns the requests, and one actor for each worker. They talk only by notes put into
//! inboxes; one loop empties them all before the next event. A request is a call for offers to every worker: set
//! aside those past the overload bound, rank the rest by cache status, then by fewest estimated requests.
use crate::interface::*;
use crate::mailbox::Post;
use crate::measure::{Histogram, Measurements, Peak, Shares, Window};
use crate::messages::*;
use crate::names::{Names, hash, place};
use crate::state::{Figures, OpenRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

// Constants, each with its unit and the reason for its size.
const FIRST_BIN: Duration = Duration::from_millis(4); // first bin's edge: no attempt is shorter
const BIN_RATIO: f64 = 1.4; // of one bin's edge to the next: finer than the spread between request classes
const BINS: usize = 34; // the last begins past 4 minutes, longer than time limits
const HALVE_AT: u32 = 200; // counts: some seconds of one scheduler's traffic
const ENOUGH: u32 = 8; // counts below which a histogram says nothing
const MIN_LEAN: usize = 4; // own requests out below which it says nothing how many wait for loads
const RATE_HALF: Duration = Duration::from_secs(4); // in which the mean rate forgets half: many attempts
const MIN_BOUND: f64 = 7.0; // estimated requests, the overload bound's least: a few cores' worth
const BOUND_RATIO: f64 = 2.0; // of the bound to the mean of all: twice the mean is far outside chance
const MAX_CLAIM: f64 = 2.0; // most by which a request's claim moves the bound: none is shut out
const BOUND_ALL: f64 = 6.5; // mean of estimated requests: the whole fleet holds several times a few cores' worth
const COPIES_FEW: f64 = 20.0; // copies that fit a worker of a few cores, the size that bounds in requests are of
const BUSY_ALL: f64 = 0.9; // mean share of busy cores as reported: below it some worker has room
const PATIENCE: f64 = 2.0; // of what nearly all attempts take: the rest are stragglers
const NEARLY_ALL: f64 = 0.95; // share of attempts that patience is measured on
const PATIENCE_BLIND: Duration = Duration::from_millis(1500); // before anything was measured: a long load
const SILENCE_ONE: u32 = 2; // times its patience: a single attempt that speaks for its worker's silence
const TICK: Duration = Duration::from_millis(100); // between looks for silence: short beside any patience
const SHUN_FIRST: Duration = Duration::from_millis(500); // first time apart after a symptom: a few attempts
const MAX_SHUNS: u32 = 3; // doublings of it: then it is as long as a restart takes
const MAX_FULLS: u32 = 2; // full answers to a request, then the fleet is full
const SHUN_REQUESTS: f64 = 2.0; // requests that we usually send a worker, time apart after silence: trials stay few
const SHUN_SILENT: Duration = Duration::from_secs(15); // most of it: as long as a machine takes to come back
const SHUN_FULL: Duration = Duration::from_millis(150); // apart after a full answer: a few requests end meanwhile
const ERRORS_ILL: f64 = 0.3; // share of recent attempts in error: chance errors are far rarer
const ERRORS_OVER: f64 = 8.0; // recent attempts that the share is taken over
const MAX_ILL: f64 = 0.4; // share of workers set aside as ill: with more, the trouble is not a worker's own
const REPORT_AGED: Duration = Duration::from_secs(6); // age of a report that is dropped: several refreshes
const DEFAULT_FALL: Duration = Duration::from_secs(1); // cold rule's window where untold: short, for bursts
const COLD_SAFETY: f64 = 0.7; // share of the cold rule's budget in use: three half windows make one whole
const USELESS: Duration = Duration::from_millis(30); // time left of no use: below almost any work
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200); // before anything was measured: a usual attempt
const RETRY_AFTER_PART: f64 = 0.3; // of a usual attempt: many run, one of them ends well before
const DEFAULT_KEEP: Duration = Duration::from_secs(8); // keep-alive where none is told: a short one
const ASK_AGAIN: Duration = Duration::from_secs(1); // after a call to the list failed: it is crowded
const HOMES: f64 = 3.0; // most homes of a function for each worker's worth of its requests: a third fills none
const HOME_REQUESTS: f64 = 0.5; // of a copy's lanes, requests of one function in progress at a home: half are free
const ASKED_HALF: Duration = Duration::from_secs(15); // in which a function's popularity forgets half
const AHEAD_SURE: f64 = 0.5; // chance of use for a load ahead: each that is used pays for one that is not
const RENEW_SURE: f64 = 0.2; // the same to keep a copy that stands, which costs no fetch
const MAX_MEMORY: f64 = 0.85; // share of memory taken past which a load ahead pushes out what is in use
const HOLD: Duration = Duration::from_secs(5); // without loads ahead after a failed or slow one: a recovery
const SWEEP: Duration = Duration::from_secs(60); // between sweeps of old marks and names: many keep-alives
const FORGET: Duration = Duration::from_secs(600); // after it left: no list brings a worker back later
const REQUEST_TABLE: usize = 0; // number of the request table's inbox; worker `ix` has inbox `ix + 1`

struct Kind {
    idempotency: Idempotency,
    deduplication_scope: DeduplicationScope,
    window: Duration,
    priority_weight: f64,
    latency_objective: Duration,
    /// Patience before anything was measured: no less than work may take, or it would never be measured.
    blind: Duration,
    /// What attempts took that found a copy, and those that had to load.
    quick: Histogram,
    slow: Histogram,
}

impl Kind {
    /// What a share of the attempts that found a copy take at most, or of those that had to load.
    fn takes(&self, share: f64, loading: bool) -> Option<Duration> {
        let times = if loading { &self.slow } else { &self.quick };
        (times.count() >= ENOUGH).then(|| times.quantile(share))
    }

    /// How long to wait for a sign of life; a load that others wait for too is given the time it takes.
    fn patience(&self, loading: bool) -> Duration {
        let of = |l| self.takes(NEARLY_ALL, l).map_or(self.blind, |t| t.mul_f64(PATIENCE));
        if loading { of(false).max(of(true)) } else { of(false) }
    }
}

#[derive(Clone, Copy, Default)]
struct Mark {
    /// An answer came since the function was first sent here: its copy stands.
    stands: bool,
    known: Duration,
    assumed: Duration,
}

/// How a worker does with one request class.
#[derive(Default)]
struct Health {
    shunned_until: Duration,
    /// Times set aside in a row; after the first it is on trial.
    shuns: u32,
    /// Share of recent attempts that ended in error.
    errors: f64,
}

impl Health {
    fn shun(&mut self, now: Duration, least: Duration) {
        if now >= self.shunned_until {
            self.shunned_until = now + (SHUN_FIRST * (1 << self.shuns.min(MAX_SHUNS))).max(least);
            self.shuns += 1;
        }
    }
}

#[derive(Default)]
struct Worker {
    ix: usize,
    home: u64,
    listing: Listing,
    /// Since when the list does not name it.
    gone_since: Duration,
    marks: BTreeMap<usize, Mark>,
    out: Vec<Attempt>,
    /// Attempts given up that may still be worked on, until when.
    ghosts: Vec<Duration>,
    others: Option<(f64, Duration)>,
    /// Share of its memory that cannot be freed, as last told.
    memory: f64,
    heard: Duration,
    cold_since: Option<Duration>,
    /// The half window of the cold rule that we are in, and the work sent in it.
    cold_sent: (u64, f64),
    full_until: Duration,
    /// Time apart at least after silence: a trial costs a request all its time.
    apart: Duration,
    /// Until when a tenant is sent elsewhere, since it alone was turned away.
    turned: BTreeMap<u32, Duration>,
    /// By request class, since a worker may fail one kind of request only.
    health: BTreeMap<usize, Health>,
}

impl Worker {
    fn take(&mut self, note: Note, now: Duration, figures: &Figures, post: &mut Post<Note>) {
        match note {
            Note::Listed(listing) => self.listed(listing, now),
            Note::Call(call) => post.put(REQUEST_TABLE, Note::Offer(self.offer(&call, now, figures))),
            Note::Execute(attempt) => {
                let mark = self.marks.entry(attempt.call.function).or_default();
                mark.stands &= mark.known.max(mark.assumed) > now;
                mark.assumed = now + figures.keep;
                self.cold_sent.1 += attempt.call.weight;
                self.out.push(attempt);
            }
            Note::Ended(ending) => self.ended(ending, now, figures),
            Note::Tick => self.silent(now, post),
            Note::Offer(_) | Note::Place(_) | Note::Silent(..) => {}
        }
    }

    fn listed(&mut self, listing: Listing, now: Duration) {
        if listing.state == EndpointState::Gone && self.listing.state != EndpointState::Gone {
            self.gone_since = now;
        }
        if listing.started > self.listing.started {
            // A new process: it is empty, and the old one's failings are not its own.
            self.cold_since = listing.started;
            self.marks.clear();
            self.health.clear();
        }
        self.listing = listing;
    }

    fn offer(&mut self, call: &Call, now: Duration, figures: &Figures) -> Option<Offer> {
        self.apart = Duration::from_secs_f64((SHUN_REQUESTS / call.fair_rate).min(SHUN_SILENT.as_secs_f64()));
        let strange = call.confined.is_some_and(|(deduplication_scope, may_have_executed)| {
            !self.listing.shares(deduplication_scope, &may_have_executed)
        });
        if self.listing.state != EndpointState::Up || strange {
            return None;
        }
        let (spent, cold) = (!self.cold_room(call, now, figures), self.cold_since.is_some());
        let mark = self.marks.get(&call.function).copied().unwrap_or_default();
        let ranks = [(mark.known, Status::Known), (mark.assumed, Status::Assumed)];
        let status = ranks.iter().find(|(until, _)| *until > now).map_or(Status::NotWarm, |r| r.1);
        let stands = mark.stands && status != Status::NotWarm;
        self.ghosts.retain(|&until| until > now);
        let others = self.others.filter(|(_, at)| now - *at < REPORT_AGED).map(|(others, _)| others);
        let ill = self.ill(call, now);
        let stood = |o: &&Attempt| self.marks.get(&o.call.function).is_some_and(|m| m.stands);
        let working = self.out.iter().filter(stood).count();
        let (worker, own, ghosts) = (self.ix, self.out.len(), self.ghosts.len());
        let turned = self.turned.get(&call.tenant).is_some_and(|&until| until > now);
        Some(Offer { worker, status, others, own, working, ghosts, stands, ill, turned, cold, spent })
    }

    /// Guards against a cold worker pushed over by all schedulers at once: each sends its share of what it
    /// surely can at most, less than a request rounded by chance anew each half window: one each would be many.
    fn cold_room(&mut self, call: &Call, now: Duration, figures: &Figures) -> bool {
        let Some(since) = self.cold_since else { return true };
        let (age, half) = (now.saturating_sub(since), figures.cold_half);
        if age >= figures.cold_for {
            self.cold_since = None;
            return true;
        }
        let phase = hash(&(figures.seed, self.ix)) % half.as_micros() as u64;
        let slot = (now.as_micros() as u64 + phase) / half.as_micros() as u64;
        if slot != self.cold_sent.0 {
            self.cold_sent = (slot, 0.0);
        }
        let warmed = age.as_secs_f64() / figures.cold_for.as_secs_f64();
        let least = figures.cold_from + (1.0 - figures.cold_from) * warmed;
        let budget = figures.cold_budget * least * call.fair_rate * half.as_secs_f64();
        let chance = hash(&(figures.seed, self.ix, slot)) as f64 / u64::MAX as f64;
        self.cold_sent.1 + call.weight * (1.0 - chance) <= budget
    }

    /// Guards against workers that answer nothing, fail quickly or refuse: they look idle and draw requests.
    fn ill(&mut self, call: &Call, now: Duration) -> bool {
        let health = self.health.entry(call.request_class).or_default();
        let out = self.out.iter().any(|out| out.call.request_class == call.request_class);
        now < health.shunned_until || now < self.full_until || health.shuns > 0 && (out || !call.risks)
    }

    /// Guards against workers that answer none: with several functions overdue it is not one long load.
    fn silent(&mut self, now: Duration, post: &mut Post<Note>) {
        let overdue = |out: &&Attempt| now.saturating_sub(out.sent.max(self.heard)) > out.patience;
        let mut late = self.out.iter().filter(overdue);
        let Some(first) = late.next() else { return };
        if late.any(|out| out.call.function != first.call.function)
            || now - first.sent > first.patience * SILENCE_ONE
        {
            self.health.values_mut().for_each(|health| health.shun(now, self.apart));
            for out in &self.out {
                post.put(REQUEST_TABLE, Note::Silent(out.request, out.attempt));
            }
        }
    }

    fn ended(&mut self, ending: Ending, now: Duration, figures: &Figures) {
        let own = self.out.len() as f64;
        let at = self.out.iter().position(|o| (o.request, o.attempt) == (ending.request, ending.attempt));
        let Some(attempt) = at.map(|at| self.out.swap_remove(at)) else { return };
        if let Some(held) = ending.held {
            self.others = Some((if figures.counts { (held - own).max(0.0) } else { held }, now));
        }
        let mark = self.marks.entry(attempt.call.function).or_default();
        let health = self.health.entry(attempt.call.request_class).or_default();
        match ending.outcome {
            Outcome::Succeeded => {
                mark.assumed = now + figures.keep;
                mark.stands = true;
                mark.known = if figures.reports_cache_status { now + figures.keep } else { mark.known };
                self.heard = now;
                health.errors *= 1.0 - 1.0 / ERRORS_OVER;
                if health.errors < ERRORS_ILL {
                    health.shuns = 0;
                }
            }
            // One connection cut is no sign of a restart, which cuts them all and then refuses new ones.
            Outcome::Error | Outcome::Reset => {
                self.heard = now;
                health.errors += (1.0 - health.errors) / ERRORS_OVER;
                if health.errors > ERRORS_ILL || health.shuns > 0 {
                    health.shun(now, Duration::ZERO);
                }
            }
            Outcome::AtCapacity => {
                // Guards against workers that turn one tenant away and have room for all others.
                self.heard = now;
                if ending.room {
                    self.turned.insert(attempt.call.tenant, now + figures.keep);
                } else {
                    self.full_until = now + SHUN_FULL;
                }
            }
            Outcome::ConnectFailed => {
                // Guards against a process that is down: it comes back empty and cold before the list tells.
                self.marks.clear();
                self.cold_since = Some(now);
                self.health.values_mut().for_each(|health| health.shun(now, Duration::ZERO));
            }
            Outcome::CacheMiss => *mark = Mark::default(),
            Outcome::Cancelled | Outcome::TimedOut => {
                // Guards against silent workers that are met rarely. Clients in a hurry prove nothing.
                let waited = (now - attempt.sent).mul_f64(PATIENCE) > attempt.patience;
                if ending.outcome == Outcome::TimedOut && self.heard < attempt.sent && waited {
                    health.shun(now, self.apart);
                }
                // Guards against estimates that fall when requests are given up, where no report tells the truth.
                if !figures.counts {
                    self.ghosts.push(now + attempt.patience);
                }
            }
            Outcome::NeverSent => {}
        }
    }
}

/// One instance of the router's decisions.
#[derive(Default)]
pub struct Scheduler {
    figures: Figures,
    kinds: Vec<Kind>,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// The request that offers are called for, how many workers are still to reply, and what they offered.
    calling: Option<(RequestId, Call)>,
    waiting: usize,
    offers: Vec<Offer>,
    /// Work that was finished, by tenant, and asked, by function; priority weight asked; the usual copy.
    succeeded: Shares,
    asked: Shares,
    asked_worth: Shares,
    copy_mb: f64,
    /// By kind of machine: attempts that found a copy, and their times against their request class's mean.
    done: Shares,
    duration: Shares,
    /// What workers surely do, in a jam too, of all and by kind: the most finished a second, by the most up.
    pub measured: Measurements,
    /// Each tenant's part of what all may ask.
    parts: Vec<f64>,
    drawn: u64,
    workers: Vec<Worker>,
    /// Those that the list names, who are called for offers: a replaced fleet leaves ever more of the others.
    listed: Vec<usize>,
    relist: bool,
    worker_names: Names,
    functions: Names,
    post: Post<Note>,
    now: Duration,
    swept: Duration,
    /// Requests taken and load orders given within the ration's window, and until when no load ahead is ordered.
    taken: Window,
    ordered: Window,
    hold_until: Duration,
    loads: Histogram,
    /// When to subscribe to the list of workers, where it must be asked for.
    watch_at: Option<Duration>,
    actions: Vec<Action>,
}

impl Scheduler {
    pub fn new(settings: &Settings, seed: u64) -> Scheduler {
        let (allowed, rules, copies) = (&settings.allowed, &settings.rules, &settings.copies);
        let field = |kind| settings.report_fields.iter().position(|&f| f == kind);
        // Requests waiting are the least that a worker holds.
        let counted = field(ReportField::Held).or(field(ReportField::Queued));
        let fall_window = rules.fall_window.filter(|window| !window.is_zero()).unwrap_or(DEFAULT_FALL);
        let load_quota_window = copies.load_quota_window.filter(|window| !window.is_zero());
        let histogram = Histogram::new(FIRST_BIN, BIN_RATIO, BINS, HALVE_AT);
        let kind = |w: &RequestClass| Kind {
            idempotency: w.idempotency,
            deduplication_scope: w.deduplication_scope,
            window: w.window.unwrap_or_default(),
            latency_objective: w.latency_objective.or(w.timeout).unwrap_or(PATIENCE_BLIND),
            blind: w.latency_objective.map_or(PATIENCE_BLIND, |target| PATIENCE_BLIND.max(target)),
            priority_weight: w.priority_weight.unwrap_or(1.0),
            quick: histogram.clone(),
            slow: histogram.clone(),
        };
        let figures = Figures {
            seed,
            keep: copies.keep.unwrap_or(DEFAULT_KEEP),
            cold_from: rules.cold_from.unwrap_or(0.0).clamp(0.0, 1.0),
            cold_for: rules.cold_for.unwrap_or_default(),
            cold_half: (fall_window / 2).max(Duration::from_micros(1)),
            cold_budget: rules.fall_multiple.unwrap_or(1.0) * COLD_SAFETY,
            max_attempts: allowed.max_attempts.unwrap_or(1),
            cancel: allowed.cancel,
            asks: settings.discovery == DiscoveryMode::Poll,
            ask_again: rules.ask_within.map_or(ASK_AGAIN, |within| ASK_AGAIN.min(within)),
            schedulers: f64::from(settings.schedulers.unwrap_or(1).max(1)),
            retry_after: allowed
                .retry_after
                .then_some(allowed.max_retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            held_field: counted.or(field(ReportField::Busy)),
            memory_field: field(ReportField::MemoryTaken),
            load_commands: copies.load_commands,
            load_quota_burst: load_quota_window
                .map_or(f64::INFINITY, |_| copies.load_quota_burst.unwrap_or(0.0)),
            load_quota_share: copies.load_quota_share.unwrap_or(0.0),
            fetch_price: settings.prices.origin,
            memory_price: copies.idle_memory_price.unwrap_or(0.0),
            memory_mb: copies.memory_mb_by_kind.clone(),
            counts: counted.is_some(),
            shared: counted.is_some() && settings.tenants.len() > 1,
            reports_cache_status: copies.reports_cache_status,
            by_work: settings.counted_by == CountedBy::Work,
        };
        let quota = |c: &Tenant| c.requests_per_second.unwrap_or(0.0).max(0.0);
        let all: f64 = settings.tenants.iter().map(quota).sum();
        Scheduler {
            figures,
            kinds: settings.request_classes.iter().map(kind).collect(),
            parts: settings.tenants.iter().map(|c| quota(c) / all).collect(),
            succeeded: Shares::new(RATE_HALF),
            asked: Shares::new(ASKED_HALF),
            asked_worth: Shares::new(ASKED_HALF),
            done: Shares::new(ASKED_HALF),
            duration: Shares::new(ASKED_HALF),
            loads: histogram,
            taken: Window::new(load_quota_window.unwrap_or_default().saturating_sub(Duration::from_nanos(1))),
            ordered: Window::new(load_quota_window.unwrap_or_default()),
            ..Scheduler::default()
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.now >= self.swept + SWEEP {
            self.swept = self.now;
            let fresh = |mark: &Mark| mark.known.max(mark.assumed) > self.now;
            self.workers.iter_mut().for_each(|worker| worker.marks.retain(|_, mark| fresh(mark)));
            // What is out may be out for longer than an idle name is kept.
            let out = self.workers.iter().flat_map(|worker| &worker.out).map(|out| out.call.function);
            let in_use: BTreeSet<usize> =
                self.requests.values().map(|request| request.function).chain(out).collect();
            self.functions.forget_before(self.now.saturating_sub(SWEEP + self.figures.keep * 2), &in_use);
            self.forget_gone();
        }
        match event {
            Event::EndpointList { form, entries } => self.list(form, &entries),
            Event::Request(asked) => self.request(&asked),
            Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome,
                duration,
                concluded,
                cache_result,
                concurrency: _,
                report,
            } => {
                let worker = self.worker(worker);
                let told = |field: Option<usize>| field.and_then(|at| report.get(at).copied().flatten());
                let held = told(self.figures.held_field);
                self.workers[worker].memory = told(self.figures.memory_field).unwrap_or(0.0);
                let room = self.figures.shared && held.is_some_and(|held| held < MIN_BOUND);
                let ending = Ending { request, attempt, outcome, cache_result, held, room };
                // What has finished is concluded, said or not: run again, its effect would come twice.
                let concluded = concluded || outcome == Outcome::Succeeded;
                self.judge(&ending, worker, duration, concluded);
                self.post.put(worker + 1, Note::Ended(ending));
                if !concluded && self.requests.contains_key(&request) {
                    self.post.put(REQUEST_TABLE, Note::Place(request));
                }
            }
            Event::RequestCancelled { request } => drop(self.requests.remove(&request)),
            Event::Timer { .. } => {
                let ticks = |w: &&Worker| w.listing.state != EndpointState::Gone || !w.out.is_empty();
                self.workers.iter().filter(ticks).for_each(|w| self.post.put(w.ix + 1, Note::Tick));
                self.actions.push(Action::SetTimer { delay: TICK, name: "tick" });
                if self.watch_at.take_if(|at| *at <= self.now).is_some() {
                    self.actions.push(Action::Watch { on: true });
                }
            }
            Event::UsageForecast(expected) => self.expected(&expected),
            Event::RestoredMeasurements(before) => self.measured = Measurements { lost: true, ..before },
            Event::SchedulerCount(count) => self.figures.schedulers = f64::from(count.max(1)),
            Event::LoadEnded { worker, function, outcome, duration, copies } => {
                self.loaded(worker, function, outcome, duration, copies);
            }
            Event::StreamingStarted { .. } | Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
        while let Some((part, note)) = self.post.next() {
            match part.checked_sub(1) {
                None => self.request_table_note(note),
                Some(ix) => self.workers[ix].take(note, self.now, &self.figures, &mut self.post),
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Places kept for workers and for functions, and requests open: what its memory grows with.
    pub fn places(&self) -> (usize, usize, usize) {
        (self.worker_names.len(), self.functions.len(), self.requests.len())
    }

    /// Gives up the places of workers that left long ago, unless a request still names them.
    fn forget_gone(&mut self) {
        let keep: BTreeSet<usize> =
            self.requests.values().flat_map(|request| &request.tried).copied().collect();
        let (workers, oldest) = (&mut self.workers, self.now.saturating_sub(FORGET + self.figures.cold_for));
        self.worker_names.forget(|ix| {
            let worker = &workers[ix];
            let gone = worker.listing.state == EndpointState::Gone && worker.gone_since < oldest;
            let forgets = gone && worker.out.is_empty() && !keep.contains(&ix);
            if forgets {
                workers[ix] = Worker { ix, ..Worker::default() };
            }
            forgets
        });
    }

    /// How many times a worker of a few cores the workers are, by the usual copies that they have memory for.
    fn size(&self) -> f64 {
        let mb = self.figures.memory_mb.iter().sum::<f64>() / self.figures.memory_mb.len() as f64;
        let size = mb / self.copy_mb / COPIES_FEW;
        if size.is_finite() { size.max(1.0) } else { 1.0 }
    }

    /// The work of a request of this request class against the usual one; a crowd that slows all changes no weight.
    fn weight(&self, request_class: usize) -> f64 {
        self.kinds[request_class].quick.mean().map_or(1.0, |mean| mean.as_secs_f64() / self.usual())
    }

    /// What the usual attempt takes, in seconds: the mean over request classes.
    fn usual(&self) -> f64 {
        let means = self.kinds.iter().filter_map(|kind| kind.quick.mean());
        let (count, sum) = means.fold((0, Duration::ZERO), |(n, sum), mean| (n + 1, sum + mean));
        sum.checked_div(count).or(self.measured.usual).map_or(1.0, |mean| mean.as_secs_f64())
    }

    /// Priority weight of a request class for each unit of work.
    fn worth(&self, request_class: usize) -> f64 {
        let priority_weight = self.kinds[request_class].priority_weight;
        if self.figures.by_work { priority_weight } else { priority_weight / self.weight(request_class) }
    }

    /// How much more a request's work is worth than the usual, and how far its tenant is from its part.
    fn claim(&self, call: &Call) -> f64 {
        let worth =
            self.worth(call.request_class) * self.asked.all(self.now) / self.asked_worth.all(self.now);
        let (tenant, all) = (call.tenant as usize, self.succeeded.all(self.now));
        let got = self.succeeded.part(tenant, self.now) + 1.0;
        let part = self.parts.get(tenant).map_or(1.0, |part| (part * all + 1.0) / got);
        let claim = (worth * part).sqrt();
        if claim.is_finite() { claim.clamp(1.0 / MAX_CLAIM, MAX_CLAIM) } else { 1.0 }
    }

    /// How fast the kind of a worker's machine is against the mean of all, as far as we have seen.
    fn pace(&self, worker: usize) -> f64 {
        let (kind, prior) = (self.workers[worker].listing.kind as usize, f64::from(ENOUGH));
        (self.done.part(kind, self.now) + prior) / (self.duration.part(kind, self.now) + prior)
    }

    fn worker(&mut self, name: &str) -> usize {
        let ix = self.worker_names.index(name, self.now);
        while self.workers.len() <= ix {
            self.workers.push(Worker { ix: self.workers.len(), ..Worker::default() });
        }
        self.workers[ix].home = place(name, 0);
        ix
    }

    fn list(&mut self, form: EndpointListKind, entries: &[Endpoint]) {
        if form == EndpointListKind::Snapshot {
            self.actions.push(Action::SetTimer { delay: TICK, name: "tick" });
            self.watch_at = self.figures.asks.then_some(self.now);
        }
        if form == EndpointListKind::Failed && self.figures.asks {
            self.watch_at = Some(self.now + self.figures.ask_again);
        }
        if matches!(form, EndpointListKind::Full | EndpointListKind::Snapshot) {
            for worker in &self.workers {
                self.post.put(
                    worker.ix + 1,
                    Note::Listed(Endpoint { state: EndpointState::Gone, ..worker.listing }),
                );
            }
        }
        self.relist = true;
        for entry in entries {
            let ix = self.worker(entry.worker);
            self.post.put(ix + 1, Note::Listed(Endpoint { worker: "", ..*entry }));
        }
    }

    fn request(&mut self, asked: &Request) {
        let request_class = asked.request_class as usize;
        if request_class >= self.kinds.len() {
            let retry_after = self.figures.retry_after.map(|most| most.min(DEFAULT_RETRY_AFTER));
            return self.actions.push(Action::Reject { request: asked.request, retry_after });
        }
        let function = self.functions.index(asked.function, self.now);
        let (weight, now) = (self.weight(request_class), self.now);
        self.taken.add(now);
        self.asked.add(function, weight, now);
        self.asked_worth.add(0, self.worth(request_class) * weight, now);
        let more = asked.memory_mb.map_or(0.0, |mb| mb - self.copy_mb);
        self.copy_mb += if self.copy_mb > 0.0 { more / f64::from(HALVE_AT) } else { more };
        let (give_up, concurrency_slots) =
            (now + asked.left, asked.concurrency_slots.unwrap_or(1.0).clamp(1.0, 2.0));
        let request = OpenRequest {
            request_class,
            tenant: asked.tenant,
            function,
            concurrency_slots,
            give_up,
            ..OpenRequest::default()
        };
        self.requests.insert(asked.request, request);
        self.post.put(REQUEST_TABLE, Note::Place(asked.request));
    }

    /// What the end of an attempt proves, and what is learned of its request class.
    fn judge(&mut self, ending: &Ending, worker: usize, duration: Duration, concluded: bool) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&ending.request) else { return };
        let (status, sent) = request.current.take().unwrap_or((Status::NotWarm, now));
        match ending.outcome {
            Outcome::Succeeded => {
                let kind = &mut self.kinds[request.request_class];
                let warm = match ending.cache_result {
                    CacheResult::Warm => true,
                    CacheResult::StartedLoad | CacheResult::AwaitedLoad | CacheResult::LoadFailed => false,
                    CacheResult::Unknown => status != Status::NotWarm,
                };
                if warm { &mut kind.quick } else { &mut kind.slow }.add(duration);
                if let Some(mean) = kind.quick.mean().filter(|mean| warm && !mean.is_zero()) {
                    let machine = self.workers[worker].listing.kind as usize;
                    self.done.add(machine, 1.0, now);
                    self.duration.add(machine, duration.as_secs_f64() / mean.as_secs_f64(), now);
                }
                let (request_class, tenant) = (request.request_class, request.tenant as usize);
                let (weight, machine) = (self.weight(request_class), self.workers[worker].listing.kind);
                self.succeeded.add(tenant, weight, now);
                self.measured.usual = Some(Duration::from_secs_f64(self.usual()));
                for of in [None, Some(machine)] {
                    let peak = self.measured.peaks.entry(of).or_insert(Peak::new(RATE_HALF, SWEEP));
                    peak.add(weight, now);
                }
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                request.may_have_run.get_or_insert((worker, sent));
            }
            Outcome::AtCapacity => request.fulls += u32::from(!ending.room),
            Outcome::CacheMiss if ending.cache_result == CacheResult::LoadFailed => request.fulls = MAX_FULLS, // all would
            Outcome::ConnectFailed | Outcome::NeverSent | Outcome::CacheMiss => {}
        }
        if concluded {
            self.requests.remove(&ending.request);
        }
    }

    fn request_table_note(&mut self, note: Note) {
        match note {
            Note::Place(request) => self.place(request),
            Note::Offer(offer) => {
                self.offers.extend(offer);
                self.waiting -= 1;
                if let Some((request, call)) = self.calling.take_if(|_| self.waiting == 0) {
                    self.choose(request, call);
                }
            }
            Note::Silent(request, attempt) => self.call_off(request, attempt),
            Note::Listed(_) | Note::Call(_) | Note::Execute(_) | Note::Ended(_) | Note::Tick => {}
        }
    }

    fn place(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let kind = &self.kinds[request.request_class];
        let may_send = request.may_have_run.is_none_or(|(_, sent)| match kind.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => self.now < sent + kind.window,
            Idempotency::NonIdempotent => false,
        });
        let spent = request.attempts >= self.figures.max_attempts || request.fulls >= MAX_FULLS;
        if std::mem::take(&mut self.relist) {
            let listed = self.workers.iter().filter(|w| w.listing.state != EndpointState::Gone);
            self.listed = listed.map(|w| w.ix).collect();
            let mut up = BTreeMap::new();
            for worker in self.workers.iter().filter(|w| w.listing.state == EndpointState::Up) {
                [None, Some(worker.listing.kind)].iter().for_each(|&of| *up.entry(of).or_insert(0) += 1);
            }
            for (of, count) in up {
                let most = self.measured.most_up.entry(of).or_insert(count);
                *most = count.max(*most);
            }
        }
        if !may_send || spent || request.give_up < self.now + USELESS || self.listed.is_empty() {
            return self.conclude(id);
        }
        let may_have_executed =
            request.may_have_run.filter(|_| kind.idempotency == Idempotency::IdempotentWithKey);
        let confined =
            may_have_executed.map(|(worker, _)| (kind.deduplication_scope, self.workers[worker].listing));
        let &OpenRequest { request_class, tenant, function, .. } = request;
        let (risks, weight) = (self.may_go_on(request, 1), self.weight(request_class));
        let fair_rate = self.can_do(None);
        let call = Call { request_class, tenant, function, confined, risks, weight, fair_rate };
        self.offers.clear();
        self.calling = Some((id, call));
        self.waiting = self.listed.len();
        for &ix in &self.listed {
            // Guards against a small cold worker pushed over by what the mean of larger ones takes.
            let own = Some(self.workers[ix].listing.kind).filter(|_| self.workers[ix].cold_since.is_some());
            let fair_rate = fair_rate.min(self.can_do(own));
            self.post.put(ix + 1, Note::Call(Call { fair_rate, ..call }));
        }
    }

    /// What each worker of a kind, or of all, surely takes a second; less after a loss, as all are filled at once.
    fn can_do(&self, of: Option<u32>) -> f64 {
        let peak = self.measured.peaks.get(&of).map_or(0.0, |peak| peak.now(self.now));
        let part = if self.measured.lost { COLD_SAFETY } else { 1.0 };
        part * peak / self.measured.most_up.get(&of).map_or(1.0, |&most| most as f64)
    }

    /// The ordinary path, and its exceptions: see docs/design.md.
    fn choose(&mut self, id: RequestId, call: Call) {
        let mut offers = std::mem::take(&mut self.offers);
        let Some(request) = self.requests.get(&id) else { return };
        let cold = self.measured.lost && offers.iter().filter(|o| o.cold).count() * 2 > offers.len();
        self.measured.lost = cold;
        offers.retain(|o| cold || !o.spent);
        let ill = offers.iter().filter(|o| o.ill).count();
        if ill as f64 <= MAX_ILL * offers.len() as f64 {
            offers.retain(|o| !o.ill);
        }
        offers.retain(|o| !request.tried.contains(&o.worker));
        let reported = offers.iter().filter(|o| o.others.is_some()).count();
        let average = offers.iter().filter_map(|o| o.others).sum::<f64>() / reported.max(1) as f64;
        // Lost answers swell our own count: where cores are reported idle, nothing given up is worked on.
        if reported == 0 || average >= BUSY_ALL {
            offers.iter_mut().for_each(|o| o.own += o.ghosts);
        }
        let own: usize = offers.iter().map(|o| o.own).sum();
        // Where no count is told the other schedulers are taken to send as we do, spread as the reports say.
        let sample = own as f64 - (own as f64).sqrt();
        let alike = (self.figures.schedulers - 1.0) * sample / offers.len() as f64;
        let counted = self.figures.counts && reported > 0;
        let (unreported, scale) = if counted { (average, 1.0) } else { (alike, alike / average) };
        let others = |o: &Offer| o.others.filter(|_| average > 0.0).map_or(unreported, |n| n * scale);
        let requests = |o: &Offer| others(o) + o.own as f64;
        let mean = offers.iter().map(requests).sum::<f64>() / offers.len() as f64;
        let working: usize = offers.iter().map(|o| o.working).sum();
        // Reports count others' requests that wait for loads and fill no core: ours tell how many do.
        let busy = if self.figures.counts { mean * working as f64 / own.max(1) as f64 } else { mean };
        let bound = (mean * BOUND_RATIO).max(MIN_BOUND * self.size());
        let lean = cold || own >= MIN_LEAN && working * 2 < own;
        offers.retain(|o| lean || requests(o) < bound);
        // Each scheduler sees its own marks only; homes in an order that all agree on count as warm for each
        // of them, as many as the function's share of the work needs. One request tells nothing of popularity.
        let homes = self.homes(request.function, request.concurrency_slots, call.weight, offers.len());
        let name = self.functions.name(request.function);
        offers.sort_by_cached_key(|o| (o.turned, std::cmp::Reverse(self.order(&name, o.worker))));
        for home in offers.iter_mut().take(homes) {
            home.status = if self.figures.reports_cache_status { Status::Known } else { Status::Assumed };
        }
        let bound_all = BOUND_ALL * self.size() * self.claim(&call);
        let bound = if busy > bound_all { bound.min(bound_all) } else { bound };
        if lean || busy > bound_all {
            // Guards against load storms: where all are busy, cold or loading, one more load only adds to it.
            offers.retain(|o| !o.spent && o.status != Status::NotWarm && requests(o) < bound);
        }
        let chance = |o: &Offer| hash(&(self.figures.seed, self.drawn, o.worker));
        let load = |o: &Offer| (requests(o) + 1.0) / self.pace(o.worker);
        let ranked = offers.iter().map(|o| ((o.turned, o.status), load(o), chance(o), *o));
        let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        self.drawn += 1;
        match best {
            Some((_, _, _, offer)) => self.execute(id, call, offer),
            None => self.conclude(id),
        }
    }

    /// How many homes a function has among so many workers, one request of `less` left out of its popularity.
    fn homes(&self, function: usize, concurrency_slots: f64, less: f64, workers: usize) -> usize {
        let share = (self.asked.part(function, self.now) - less).max(0.0) / self.asked.all(self.now);
        let rate = share * self.asked.per_second(self.now) * self.figures.schedulers;
        let most = rate * self.usual() / (HOME_REQUESTS * concurrency_slots);
        1 + (share * HOMES * workers as f64).min(most) as usize
    }

    /// A worker's place in the order that all agree on, greatest first; faster kinds come first more often.
    fn order(&self, function: &str, worker: usize) -> u64 {
        let drawn = place(function, self.workers[worker].home) as f64 / u64::MAX as f64;
        (drawn.powf(1.0 / self.pace(worker)) * u64::MAX as f64) as u64
    }

    /// Loads ahead of need at the homes of the ordinary path, where a use is likely enough for its price.
    fn expected(&mut self, e: &UsageForecast) {
        let (now, request_class) = (self.now, e.request_class as usize);
        if !self.figures.load_commands || request_class >= self.kinds.len() || now < self.hold_until {
            return;
        }
        let function = self.functions.index(e.function, now);
        let well = |w: &Worker| w.health.get(&request_class).is_none_or(|h| h.shuns == 0);
        let up = |w: &Worker| {
            w.listing.state == EndpointState::Up && w.cold_since.is_none() && w.full_until <= now
        };
        let mut fit: Vec<usize> = self.workers.iter().filter(|w| up(w) && well(w)).map(|w| w.ix).collect();
        let requests: usize = fit.iter().map(|&ix| self.workers[ix].out.len()).sum();
        if requests as f64 * self.figures.schedulers > BOUND_ALL * self.size() * fit.len() as f64 {
            return;
        }
        fit.sort_by_cached_key(|&ix| std::cmp::Reverse(self.order(e.function, ix)));
        let concurrency_slots = e.concurrency_slots.unwrap_or(1.0).clamp(1.0, 2.0);
        let wanted =
            e.requests_per_second.map_or(0.0, |n| n * self.usual() / (HOME_REQUESTS * concurrency_slots))
                as usize;
        let homes = self.homes(function, concurrency_slots, 0.0, fit.len()).max(wanted);
        for ix in fit.into_iter().take(homes) {
            let mark = self.workers[ix].marks.get(&function).copied().unwrap_or_default();
            let until = mark.known.max(mark.assumed);
            let stands = mark.stands && until > now;
            // A copy that stands for that long anyway, or is being loaded, needs no order.
            if until >= now + e.within || until > now && !stands || !self.worth_loading(e, ix, stands) {
                continue;
            }
            let most =
                self.figures.load_quota_burst + self.figures.load_quota_share * self.taken.count(now) as f64;
            if self.ordered.count(now) as f64 + 1.0 > most {
                return;
            }
            self.ordered.add(now);
            self.workers[ix].marks.entry(function).or_default().assumed = now + self.figures.keep;
            let (worker, function) = (self.worker_names.name(ix), self.functions.name(function));
            self.actions.push(Action::Load { worker, function, copies: 1 });
        }
    }

    /// Weighs the waiting that a load ahead saves against its fetch and the memory it holds, all in requests.
    fn worth_loading(&self, e: &UsageForecast, worker: usize, stands: bool) -> bool {
        let kind = &self.kinds[e.request_class as usize];
        let load = kind.takes(0.5, true).or(e.load_hint).unwrap_or(PATIENCE_BLIND);
        let saved = e.probability * (load.as_secs_f64() / kind.latency_objective.as_secs_f64()).min(1.0);
        let mb = |ix: usize| self.figures.memory_mb.get(self.workers[ix].listing.kind as usize);
        let all: f64 = self.listed.iter().filter_map(|&ix| mb(ix)).sum();
        let part = e.memory_mb.filter(|_| mb(worker).is_some()).map_or(0.0, |own| own / all);
        let requests = self.asked.per_second(self.now) * self.figures.schedulers * e.within.as_secs_f64();
        let memory = self.figures.memory_price * part * requests;
        match stands {
            true => e.probability >= RENEW_SURE && saved > memory,
            false if self.workers[worker].memory > MAX_MEMORY => false,
            false => e.probability >= AHEAD_SURE && saved > memory + self.figures.fetch_price,
        }
    }

    /// What a load order came to. Guards against a crowded or stopped store, which loads ahead make worse.
    fn loaded(&mut self, worker: &str, function: &str, outcome: Outcome, duration: Duration, copies: u32) {
        let (ix, function, now) = (self.worker(worker), self.functions.index(function, self.now), self.now);
        let mark = self.workers[ix].marks.entry(function).or_default();
        let (good, until) = (outcome == Outcome::Succeeded && copies > 0, now + self.figures.keep);
        *mark = if good { Mark { stands: true, known: until, assumed: until } } else { Mark::default() };
        let usual = self.loads.quantile(0.5).mul_f64(PATIENCE * PATIENCE);
        let slow = good && self.loads.count() >= ENOUGH && duration > usual;
        good.then(|| self.loads.add(duration));
        if slow || matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::CacheMiss) {
            self.hold_until = now + HOLD;
        }
    }

    /// Whether a request may run again with so many more attempts behind it.
    fn may_go_on(&self, request: &OpenRequest, more: u32) -> bool {
        let idempotency = self.kinds[request.request_class].idempotency;
        idempotency == Idempotency::Idempotent && request.attempts + more < self.figures.max_attempts
    }

    fn execute(&mut self, id: RequestId, call: Call, offer: Offer) {
        let now = self.now;
        let Some(request) = self.requests.get(&id) else { return };
        let kind = &self.kinds[request.request_class];
        let patience = kind.patience(!offer.stands);
        // Where attempts cannot be called off, their time is limited from the start.
        let limited = self.may_go_on(request, 1) && !self.figures.cancel;
        let attempt = Attempt { request: id, attempt: request.attempts, call, patience, sent: now };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts += 1;
        request.current = Some((offer.status, now));
        request.tried.push(offer.worker);
        self.post.put(offer.worker + 1, Note::Execute(attempt));
        let worker = self.worker_names.name(offer.worker);
        self.actions.push(Action::StartAttempt { request: id, worker, timeout: limited.then_some(patience) });
    }

    fn call_off(&mut self, id: RequestId, attempt: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        let out = request.current.is_some() && attempt + 1 == request.attempts;
        if out && self.may_go_on(request, 0) && self.figures.cancel {
            self.actions.push(Action::CancelAttempt { request: id, attempt });
        }
    }

    /// The final answer, at once: rejected where trying again is harmless, killed elsewhere.
    fn conclude(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let kind = &self.kinds[request.request_class];
        let repeats = kind.idempotency == Idempotency::IdempotentWithKey
            && kind.deduplication_scope == DeduplicationScope::All;
        let harmless =
            request.may_have_run.is_none() || kind.idempotency == Idempotency::Idempotent || repeats;
        let retry_after = kind.takes(0.5, false).unwrap_or(DEFAULT_RETRY_AFTER).mul_f64(RETRY_AFTER_PART);
        let retry_after = self.figures.retry_after.map(|most| retry_after.min(most));
        let push_back = Action::Reject { request: id, retry_after };
        self.actions.push(if harmless { push_back } else { Action::Fail { request: id } });
    }
}
