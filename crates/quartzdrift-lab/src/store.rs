//! A stand-in for the store that workers fetch functions from: it slows down when crowded, turns fetches away past
//! a limit, and stops for a while when pushed far over its capacity.
use crate::actor::StandIn;
use calloop::LoopHandle;
use quartzdrift_http::{Exchange, HasHttp, Http, HttpEvent, Limits, Response};
use std::collections::VecDeque;
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
        Config { capacity: 16.0, limit: 64, stops_at: 0, stops_for: Duration::from_secs(3) }
    }
}

pub enum Command {
    /// Every fetch takes this many times as long.
    Slow(f64),
    /// Answers nothing but refusals until told otherwise.
    Refuse(bool),
}

struct Fetch {
    exchange: Exchange,
    /// Seconds of undisturbed fetching left.
    left: f64,
}

pub struct Store {
    http: Http<Store>,
    start: Instant,
    config: Config,
    fetches: Vec<Fetch>,
    at: Duration,
    slow: f64,
    refuses: bool,
    turned_away: VecDeque<Duration>,
    stopped_until: Duration,
    pub served: u64,
}

impl HasHttp for Store {
    fn http(&mut self) -> &mut Http<Store> {
        &mut self.http
    }
}

impl Store {
    pub fn new(handle: LoopHandle<'static, Store>, config: Config) -> Store {
        Store {
            http: Http::new(handle, Limits { idle: Duration::from_secs(300), ..Limits::default() }),
            start: Instant::now(),
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
        1.0 / (crowd * self.slow)
    }

    fn advance(&mut self, now: Duration) {
        let spent = now.saturating_sub(self.at).as_secs_f64() * self.speed();
        self.at = now;
        self.fetches.iter_mut().for_each(|fetch| fetch.left -= spent);
    }

    fn say(&mut self, exchange: Exchange, status: u16) {
        self.http.answer(exchange, &Response { status, ..Response::default() });
    }
}

impl StandIn for Store {
    type Command = Command;

    fn event(&mut self, event: HttpEvent) {
        let now = self.now();
        self.advance(now);
        match event {
            HttpEvent::Request { exchange, request: Ok(request) } => {
                let told = request.head.target.split_once("?us=").and_then(|(_, us)| us.parse::<u64>().ok());
                let full = self.fetches.len() >= self.config.limit;
                if now < self.stopped_until {
                    return self.say(exchange, 503);
                }
                if self.refuses || full {
                    self.turned_away.push_back(now);
                    self.turned_away.retain(|at| *at + SECOND > now);
                    if self.config.stops_at > 0 && self.turned_away.len() >= self.config.stops_at {
                        self.stopped_until = now + self.config.stops_for;
                        self.turned_away.clear();
                    }
                    return self.say(exchange, 503);
                }
                let left = Duration::from_micros(told.unwrap_or(0)).as_secs_f64();
                self.fetches.push(Fetch { exchange, left });
            }
            HttpEvent::Request { exchange, request: Err(_) } => self.say(exchange, 400),
            HttpEvent::Gone { exchange } => self.fetches.retain(|fetch| fetch.exchange != exchange),
            HttpEvent::Answer { .. }
            | HttpEvent::Part { .. }
            | HttpEvent::End { .. }
            | HttpEvent::Failed { .. } => {}
        }
    }

    fn command(&mut self, command: Command) {
        let now = self.now();
        self.advance(now);
        match command {
            Command::Slow(times) => self.slow = times.max(0.001),
            Command::Refuse(on) => self.refuses = on,
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let first = self.fetches.iter().map(|fetch| fetch.left.max(0.0)).min_by(f64::total_cmp)?;
        Some(self.at + Duration::from_secs_f64(first / self.speed()) + Duration::from_micros(1))
    }

    fn due(&mut self, now: Duration) {
        self.advance(now);
        let (over, left) = std::mem::take(&mut self.fetches).into_iter().partition(|f| f.left <= 1e-7);
        self.fetches = left;
        let over: Vec<Fetch> = over;
        for fetch in over {
            self.served += 1;
            self.say(fetch.exchange, 200);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
