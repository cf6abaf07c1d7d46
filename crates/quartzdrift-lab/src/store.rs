//! A fake for the store that workers fetch functions from: it slows down when crowded, turns fetches away past
//! a limit, and stops for a while when pushed far over its capacity. [`Model`] is without sockets.
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
    pub limit: usize,
    /// It stops for a while once this many are turned away within a second; 0: never.
    pub stops_at: usize,
    pub stops_for: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            capacity: 16.0,
            limit: 64,
            stops_at: 0,
            stops_for: Duration::from_secs(3),
        }
    }
}

/// What the store does, with the time told.
#[derive(Debug)]
pub struct Model {
    config: Config,
    /// Seconds of undisturbed fetching left, by fetch.
    fetches: Vec<(u64, f64)>,
    at: Duration,
    pub slow: f64,
    pub refuses: bool,
    turned_away: VecDeque<Duration>,
    stopped_until: Duration,
    pub served: u64,
}

impl Model {
    pub fn new(config: Config) -> Model {
        Model {
            config,
            fetches: Vec::new(),
            at: Duration::ZERO,
            slow: 1.0,
            refuses: false,
            turned_away: VecDeque::new(),
            stopped_until: Duration::ZERO,
            served: 0,
        }
    }

    fn speed(&self) -> f64 {
        let crowd = (self.fetches.len() as f64 / self.config.capacity).max(1.0);
        1.0 / (crowd * self.slow.max(0.001))
    }

    pub fn advance(&mut self, now: Duration) {
        let spent = now.saturating_sub(self.at).as_secs_f64() * self.speed();
        self.at = self.at.max(now);
        self.fetches.iter_mut().for_each(|fetch| fetch.1 -= spent);
    }

    /// `false`: turned away.
    pub fn begin(&mut self, now: Duration, fetch: u64, takes: Duration) -> bool {
        self.advance(now);
        if now < self.stopped_until {
            return false;
        }
        if self.refuses || self.fetches.len() >= self.config.limit {
            self.turned_away.push_back(now);
            self.turned_away.retain(|at| *at + SECOND > now);
            if self.config.stops_at > 0 && self.turned_away.len() >= self.config.stops_at {
                self.stopped_until = now + self.config.stops_for;
                self.turned_away.clear();
            }
            return false;
        }
        self.fetches.push((fetch, takes.as_secs_f64()));
        true
    }

    pub fn drop_fetch(&mut self, now: Duration, fetch: u64) {
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
        self.served += done.len() as u64;
        done
    }
}

pub enum Command {
    /// Every fetch takes this many times as long.
    Slow(f64),
    /// Answers nothing but refusals until told otherwise.
    Refuse(bool),
}

pub struct Store {
    http: Http<Store>,
    start: Instant,
    model: Model,
    open: HashMap<u64, Exchange>,
    drawn: u64,
}

impl HasHttp for Store {
    fn http(&mut self) -> &mut Http<Store> {
        &mut self.http
    }
}

impl Store {
    pub fn new(handle: LoopHandle<'static, Store>, config: Config) -> Store {
        Store {
            http: Http::new(
                handle,
                Limits {
                    idle_timeout: Duration::from_secs(300),
                    ..Limits::default()
                },
            ),
            start: Instant::now(),
            model: Model::new(config),
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

impl Fake for Store {
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
                    .begin(now, self.drawn, Duration::from_micros(told.unwrap_or(0)))
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
                    self.model.drop_fetch(now, fetch);
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
            Command::Slow(times) => self.model.slow = times,
            Command::Refuse(on) => self.model.refuses = on,
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
