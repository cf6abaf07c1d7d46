//! A fake of the store that workers fetch functions from.
//!
//! Fetches beyond its capacity share it and take longer. Fetches beyond its limit are rejected, and too many
//! rejections within a second cause an outage. [`StoreModel`] is the state machine without sockets.
use crate::actor::Fake;
use calloop::LoopHandle;
use quartzdrift_http::{Exchange, HasHttp, Http, HttpEvent, Limits, Response};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Window over which rejected fetches are counted for the outage threshold.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Remaining fetch time, in seconds, that counts as completed: less than the resolution of the clock.
const FETCH_EPSILON_S: f64 = 1e-7;
/// Smallest factor by which fetches are slowed down.
const MIN_SLOWDOWN: f64 = 0.001;
/// Time after which an idle connection of a worker is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

#[derive(Clone, Debug)]
pub struct Config {
    /// Number of concurrent fetches that run at full speed.
    pub capacity: f64,
    /// Number of concurrent fetches beyond which further ones are rejected.
    pub max_concurrent_fetches: usize,
    /// Number of fetches rejected within a second that causes an outage; 0 disables outages.
    pub outage_threshold: usize,
    pub outage_duration: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            capacity: 16.0,
            max_concurrent_fetches: 64,
            outage_threshold: 0,
            outage_duration: Duration::from_secs(3),
        }
    }
}

#[derive(Debug)]
struct Fetch {
    id: u64,
    /// Remaining time in seconds at full speed.
    remaining_s: f64,
}

/// State machine of the store; the caller passes the time with each input.
#[derive(Debug)]
pub struct StoreModel {
    config: Config,
    fetches: Vec<Fetch>,
    now: Duration,
    /// Factor by which every fetch takes longer.
    pub slowdown: f64,
    /// Whether every fetch is rejected.
    pub rejecting: bool,
    rejected_at: VecDeque<Duration>,
    outage_until: Duration,
    pub completed_fetches: u64,
}

impl StoreModel {
    pub fn new(config: Config) -> StoreModel {
        StoreModel {
            config,
            fetches: Vec::new(),
            now: Duration::ZERO,
            slowdown: 1.0,
            rejecting: false,
            rejected_at: VecDeque::new(),
            outage_until: Duration::ZERO,
            completed_fetches: 0,
        }
    }

    /// Seconds of fetch time per second that each fetch gets.
    fn speed(&self) -> f64 {
        let contention = (self.fetches.len() as f64 / self.config.capacity).max(1.0);
        1.0 / (contention * self.slowdown.max(MIN_SLOWDOWN))
    }

    /// Advances the fetches in progress to `now`.
    pub fn advance(&mut self, now: Duration) {
        let done_s = now.saturating_sub(self.now).as_secs_f64() * self.speed();
        self.now = self.now.max(now);
        for fetch in &mut self.fetches {
            fetch.remaining_s -= done_s;
        }
    }

    /// Starts a fetch that takes `fetch_time` at full speed; returns `false` if the store rejects it.
    pub fn start_fetch(&mut self, now: Duration, id: u64, fetch_time: Duration) -> bool {
        self.advance(now);
        if now < self.outage_until {
            return false;
        }
        if self.rejecting || self.fetches.len() >= self.config.max_concurrent_fetches {
            self.record_rejection(now);
            return false;
        }
        self.fetches.push(Fetch {
            id,
            remaining_s: fetch_time.as_secs_f64(),
        });
        true
    }

    /// Counts a rejected fetch and starts an outage at the threshold.
    fn record_rejection(&mut self, now: Duration) {
        self.rejected_at.push_back(now);
        self.rejected_at.retain(|at| *at + REJECTION_WINDOW > now);
        let threshold = self.config.outage_threshold;
        if threshold > 0 && self.rejected_at.len() >= threshold {
            self.outage_until = now + self.config.outage_duration;
            self.rejected_at.clear();
        }
    }

    pub fn cancel_fetch(&mut self, now: Duration, id: u64) {
        self.advance(now);
        self.fetches.retain(|fetch| fetch.id != id);
    }

    /// Time at which [`StoreModel::due`] has to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        let least_remaining_s = self
            .fetches
            .iter()
            .map(|fetch| fetch.remaining_s.max(0.0))
            .min_by(f64::total_cmp)?;
        let wait = Duration::from_secs_f64(least_remaining_s / self.speed());
        Some(self.now + wait + Duration::from_micros(1))
    }

    /// Removes the fetches that have completed by `now` and returns their numbers.
    pub fn due(&mut self, now: Duration) -> Vec<u64> {
        self.advance(now);
        let completed: Vec<u64> = self
            .fetches
            .iter()
            .filter(|fetch| fetch.remaining_s <= FETCH_EPSILON_S)
            .map(|fetch| fetch.id)
            .collect();
        self.fetches.retain(|fetch| fetch.remaining_s > FETCH_EPSILON_S);
        self.completed_fetches += completed.len() as u64;
        completed
    }
}

/// Command that sets a fault of a running store.
pub enum Command {
    /// Sets the factor by which every fetch takes longer.
    SetSlowdown(f64),
    /// Sets whether every fetch is rejected.
    SetRejecting(bool),
}

/// The store on sockets: workers fetch with `GET /FUNCTION?us=FETCH_TIME`.
pub struct FakeStore {
    http: Http<FakeStore>,
    start: Instant,
    model: StoreModel,
    /// Exchanges of the fetches in progress.
    open_fetches: HashMap<u64, Exchange>,
    last_fetch_id: u64,
}

impl HasHttp for FakeStore {
    fn http(&mut self) -> &mut Http<FakeStore> {
        &mut self.http
    }
}

impl FakeStore {
    pub fn new(handle: LoopHandle<'static, FakeStore>, config: Config) -> FakeStore {
        let limits = Limits {
            idle_timeout: IDLE_TIMEOUT,
            ..Limits::default()
        };
        FakeStore {
            http: Http::new(handle, limits),
            start: Instant::now(),
            model: StoreModel::new(config),
            open_fetches: HashMap::new(),
            last_fetch_id: 0,
        }
    }

    fn respond(&mut self, exchange: Exchange, status: u16) {
        let response = Response {
            status,
            ..Response::default()
        };
        self.http.respond(exchange, &response);
    }
}

impl Fake for FakeStore {
    type Command = Command;

    fn handle_event(&mut self, event: HttpEvent) {
        let now = self.now();
        match event {
            HttpEvent::Request {
                exchange,
                request: Ok(request),
            } => {
                let fetch_time_us = request
                    .head
                    .target
                    .split_once("?us=")
                    .and_then(|(_, us)| us.parse::<u64>().ok());
                self.last_fetch_id += 1;
                let fetch_time = Duration::from_micros(fetch_time_us.unwrap_or(0));
                if self.model.start_fetch(now, self.last_fetch_id, fetch_time) {
                    self.open_fetches.insert(self.last_fetch_id, exchange);
                } else {
                    self.respond(exchange, 503);
                }
            }
            HttpEvent::Request {
                exchange,
                request: Err(_),
            } => self.respond(exchange, 400),
            HttpEvent::ClientDisconnected { exchange } => {
                let disconnected = self
                    .open_fetches
                    .iter()
                    .find(|(_, open)| **open == exchange)
                    .map(|(fetch, _)| *fetch);
                if let Some(fetch) = disconnected {
                    self.open_fetches.remove(&fetch);
                    self.model.cancel_fetch(now, fetch);
                }
            }
            HttpEvent::Response { .. }
            | HttpEvent::ResponsePart { .. }
            | HttpEvent::ResponseEnd { .. }
            | HttpEvent::CallFailed { .. } => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.now();
        self.model.advance(now);
        match command {
            Command::SetSlowdown(slowdown) => self.model.slowdown = slowdown,
            Command::SetRejecting(rejecting) => self.model.rejecting = rejecting,
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.model.next_due()
    }

    fn run_due(&mut self, now: Duration) {
        for fetch in self.model.due(now) {
            if let Some(exchange) = self.open_fetches.remove(&fetch) {
                self.respond(exchange, 200);
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
