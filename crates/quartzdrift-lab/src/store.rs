//! A fake for the store that workers fetch functions from: it slows down when crowded, turns fetches away past
//! a limit, and stops for a while when pushed far over its capacity. [`StoreModel`] is without sockets.
use crate::actor::Fake;
use calloop::LoopHandle;
use quartzdrift_http::{Exchange, HasHttp, Http, HttpEvent, Limits, Response};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub struct Config {
    /// Fetches at a time that are as fast as one.
    pub capacity: f64,
    /// Fetches at a time past which more are turned away.
    pub max_concurrent_fetches: usize,
    /// It stops for a while once this many are turned away within a second; 0: never.
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

/// What the store does, with the time told.
#[derive(Debug)]
pub struct StoreModel {
    config: Config,
    /// Seconds of undisturbed fetching left, by fetch.
    fetches: Vec<(u64, f64)>,
    at: Duration,
    pub slowdown: f64,
    pub rejecting: bool,
    turned_away: VecDeque<Duration>,
    stopped_until: Duration,
    pub completed_fetches: u64,
}

impl StoreModel {
    pub fn new(config: Config) -> StoreModel {
        StoreModel {
            config,
            fetches: Vec::new(),
            at: Duration::ZERO,
            slowdown: 1.0,
            rejecting: false,
            turned_away: VecDeque::new(),
            stopped_until: Duration::ZERO,
            completed_fetches: 0,
        }
    }

    fn speed(&self) -> f64 {
        let crowd = (self.fetches.len() as f64 / self.config.capacity).max(1.0);
        1.0 / (crowd * self.slowdown.max(0.001))
    }

    pub fn advance(&mut self, now: Duration) {
        let spent = now.saturating_sub(self.at).as_secs_f64() * self.speed();
        self.at = self.at.max(now);
        self.fetches.iter_mut().for_each(|fetch| fetch.1 -= spent);
    }

    /// `false`: turned away.
    pub fn start_fetch(&mut self, now: Duration, fetch: u64, takes: Duration) -> bool {
        self.advance(now);
        if now < self.stopped_until {
            return false;
        }
        if self.rejecting || self.fetches.len() >= self.config.max_concurrent_fetches {
            self.turned_away.push_back(now);
            self.turned_away.retain(|at| *at + SECOND > now);
            if self.config.outage_threshold > 0 && self.turned_away.len() >= self.config.outage_threshold {
                self.stopped_until = now + self.config.outage_duration;
                self.turned_away.clear();
            }
            return false;
        }
        self.fetches.push((fetch, takes.as_secs_f64()));
        true
    }

    pub fn cancel_fetch(&mut self, now: Duration, fetch: u64) {
        self.advance(now);
        self.fetches.retain(|(of, _)| *of != fetch);
    }

    pub fn next_due(&self) -> Option<Duration> {
        let first = self
            .fetches
            .iter()
            .map(|fetch| fetch.1.max(0.0))
            .min_by(f64::total_cmp)?;
        Some(self.at + Duration::from_secs_f64(first / self.speed()) + Duration::from_micros(1))
    }

    /// Fetches that are done.
    pub fn due(&mut self, now: Duration) -> Vec<u64> {
        self.advance(now);
        let done: Vec<u64> = self
            .fetches
            .iter()
            .filter(|fetch| fetch.1 <= 1e-7)
            .map(|fetch| fetch.0)
            .collect();
        self.fetches.retain(|fetch| fetch.1 > 1e-7);
        self.completed_fetches += done.len() as u64;
        done
    }
}

pub enum Command {
    /// Every fetch takes this many times as long.
    SetSlowdown(f64),
    /// Answers nothing but refusals until told otherwise.
    SetRejecting(bool),
}

pub struct FakeStore {
    http: Http<FakeStore>,
    start: Instant,
    model: StoreModel,
    open: HashMap<u64, Exchange>,
    drawn: u64,
}

impl HasHttp for FakeStore {
    fn http(&mut self) -> &mut Http<FakeStore> {
        &mut self.http
    }
}

impl FakeStore {
    pub fn new(handle: LoopHandle<'static, FakeStore>, config: Config) -> FakeStore {
        FakeStore {
            http: Http::new(
                handle,
                Limits {
                    idle_timeout: Duration::from_secs(300),
                    ..Limits::default()
                },
            ),
            start: Instant::now(),
            model: StoreModel::new(config),
            open: HashMap::new(),
            drawn: 0,
        }
    }

    fn say(&mut self, exchange: Exchange, status: u16) {
        self.http.respond(
            exchange,
            &Response {
                status,
                ..Response::default()
            },
        );
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
                let told = request
                    .head
                    .target
                    .split_once("?us=")
                    .and_then(|(_, us)| us.parse::<u64>().ok());
                self.drawn += 1;
                if self
                    .model
                    .start_fetch(now, self.drawn, Duration::from_micros(told.unwrap_or(0)))
                {
                    self.open.insert(self.drawn, exchange);
                } else {
                    self.say(exchange, 503);
                }
            }
            HttpEvent::Request {
                exchange,
                request: Err(_),
            } => self.say(exchange, 400),
            HttpEvent::ClientDisconnected { exchange } => {
                let of = self
                    .open
                    .iter()
                    .find(|(_, open)| **open == exchange)
                    .map(|(fetch, _)| *fetch);
                if let Some(fetch) = of {
                    self.open.remove(&fetch);
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
            Command::SetSlowdown(times) => self.model.slowdown = times,
            Command::SetRejecting(on) => self.model.rejecting = on,
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.model.next_due()
    }

    fn run_due(&mut self, now: Duration) {
        for fetch in self.model.due(now) {
            if let Some(exchange) = self.open.remove(&fetch) {
                self.say(exchange, 200);
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
