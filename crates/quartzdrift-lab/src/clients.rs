//! Clients of a day: they call gateways at random moments, wait no longer than their limit, sometimes hang up, and
//! come back where they were rejected or found nobody, as client libraries do.
use crate::actor::Fake;
use crate::record::{Observation, Recorder};
use crate::scenario::RequestClass;
use crate::traffic::{self, Arrival};
use calloop::LoopHandle;
use quartzdrift_http::{
    CallFailure, CallId, HasHttp, Headers, Http, HttpEvent, Limits, OutgoingRequest, Response,
};
use quartzdrift_invoke::request;
use quartzdrift_scheduler::interface::Idempotency;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How much longer than its limit a client listens, to see an answer that comes late.
const LISTEN_ON: Duration = Duration::from_millis(500);

pub enum Command {
    /// No new calls from now on; repeats go on.
    StopArrivals,
}

/// What clients ask for.
pub struct Plan {
    pub request_classes: Vec<RequestClass>,
    pub arrivals: Vec<Arrival>,
    /// Draws who hangs up and how long is waited.
    pub seed: u64,
    /// Repeats of a call that was rejected or found nobody, and the least part of the time told after which it comes again.
    pub max_retries: u32,
    pub retry_wait_factor: f64,
}

/// What came of all calls, for the last word.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub sent: u64,
    pub finished: u64,
    pub rejected: u64,
    pub killed: u64,
    pub accepted: u64,
    pub other: u64,
    pub no_answer: u64,
}

struct Try {
    key: String,
    request_class: usize,
    function: String,
    repeats: u32,
    gateway: usize,
    until: Duration,
    hangs_up: bool,
    call: u64,
    /// When its first try left.
    first: Duration,
    work_us: u64,
}

pub struct Clients {
    http: Http<Clients>,
    recorder: Recorder,
    gateways: Vec<SocketAddr>,
    request_classes: Vec<RequestClass>,
    arrivals: Vec<Arrival>,
    next: usize,
    start: Duration,
    out: HashMap<CallId, Try>,
    later: Vec<(Duration, Try)>,
    chance: StdRng,
    drawn: u64,
    max_retries: u32,
    retry_wait_factor: f64,
    open: Arc<AtomicU64>,
    tally: Arc<Mutex<CallCounts>>,
}

impl HasHttp for Clients {
    fn http(&mut self) -> &mut Http<Clients> {
        &mut self.http
    }
}

impl Clients {
    pub fn new(
        handle: LoopHandle<'static, Clients>,
        recorder: Recorder,
        gateways: Vec<SocketAddr>,
        plan: Plan,
        open: Arc<AtomicU64>,
        tally: Arc<Mutex<CallCounts>>,
    ) -> Clients {
        let Plan {
            request_classes,
            arrivals,
            seed,
            max_retries,
            retry_wait_factor,
        } = plan;
        Clients {
            http: Http::new(
                handle,
                Limits {
                    keep_alive_timeout: Duration::from_secs(5),
                    ..Limits::default()
                },
            ),
            next: 0,
            start: recorder.now(),
            arrivals,
            recorder,
            gateways,
            request_classes,
            out: HashMap::new(),
            later: Vec::new(),
            chance: StdRng::seed_from_u64(seed),
            drawn: 0,
            max_retries,
            retry_wait_factor,
            open,
            tally,
        }
    }

    fn count(&self, of: impl FnOnce(&mut CallCounts)) {
        of(&mut self.tally.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn arrive(&mut self, arrival: &Arrival, now: Duration) {
        let &Arrival {
            request_class,
            work_us,
            ..
        } = arrival;
        let of = &self.request_classes[request_class];
        let function = arrival.function.clone();
        let hangs_up = self.chance.random_range(0.0..1.0) < of.hang_up_share;
        self.drawn += 1;
        let key = format!("{}-{}", of.name, self.drawn);
        let gateway = arrival.gateway_index(self.gateways.len());
        let (repeats, until, call, first) = (0, Duration::ZERO, 0, now);
        self.send(
            Try {
                key,
                request_class,
                function,
                repeats,
                gateway,
                until,
                hangs_up,
                call,
                first,
                work_us,
            },
            now,
        );
    }

    fn send(&mut self, mut of: Try, now: Duration) {
        let request_class = &self.request_classes[of.request_class];
        let work_ms = of.work_us as f64 / 1000.0;
        let payload = format!("{{\"key\":\"{}\",\"work_ms\":{work_ms:.3}}}", of.key);
        let mut headers = Headers::new().with("content-type", "application/json");
        if request_class.asynchronous {
            headers.push("x-amz-invocation-type", "Event");
        }
        if request_class.idempotency == Idempotency::IdempotentWithKey {
            headers.push("idempotency-key", &of.key);
        }
        let request = OutgoingRequest {
            method: "POST",
            target: request::invoke_target(&of.function),
            headers,
            body: payload.into_bytes().into(),
            connect_timeout: Duration::from_secs(1),
            streams_response: false,
        };
        self.drawn += 1;
        of.call = self.drawn;
        of.until = match of.hangs_up {
            true => {
                now + request_class
                    .time_limit
                    .mul_f64(self.chance.random_range(0.0..0.2))
            }
            false => now + request_class.time_limit + LISTEN_ON,
        };
        self.recorder.record(Observation::CallSent {
            call: of.call,
            gateway: of.gateway as u64,
            key: of.key.clone(),
            request_class: request_class.name.clone(),
            asynchronous: request_class.asynchronous,
            limit_us: request_class.time_limit.as_micros() as u64,
        });
        self.count(|tally| tally.sent += 1);
        let call = self.http.call(self.gateways[of.gateway], request);
        self.open.fetch_add(1, Ordering::Relaxed);
        self.out.insert(call, of);
    }

    fn again(&mut self, mut of: Try, after: Duration) {
        // Workers know a repeat for a while only: a try that could run later than that is not made.
        let request_class = &self.request_classes[of.request_class];
        let over = self.recorder.now() + after + request_class.time_limit;
        let knows = request_class.idempotency != Idempotency::IdempotentWithKey
            || over < of.first + request_class.deduplication_window;
        if of.repeats < self.max_retries && knows {
            of.repeats += 1;
            of.gateway = (of.gateway + 1) % self.gateways.len();
            self.open.fetch_add(1, Ordering::Relaxed);
            self.later.push((self.recorder.now() + after, of));
        }
    }

    fn answered(&mut self, of: Try, answer: &Response) {
        let function_error = answer.headers.get("x-amz-function-error").is_some();
        let killed = function_error && answer.body.windows(11).any(|part| part == b"Quartzdrift");
        let status = answer.status;
        self.recorder.record(Observation::ResponseReceived {
            call: of.call,
            status,
            killed,
            function_error,
        });
        self.count(|tally| match status {
            200 if killed => tally.killed += 1,
            200 => tally.finished += 1,
            202 => tally.accepted += 1,
            429 => tally.rejected += 1,
            _ => tally.other += 1,
        });
        if status == 429 {
            let told = answer
                .headers
                .get("x-quartzdrift-come-back-ms")
                .and_then(|ms| ms.parse().ok());
            let told = Duration::from_millis(told.unwrap_or(100));
            let wait = told.mul_f64(self.retry_wait_factor * self.chance.random_range(1.0..2.0));
            self.again(of, wait);
        }
    }
}

impl Fake for Clients {
    type Command = Command;

    fn handle_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Response { call, response } => {
                let Some(of) = self.out.remove(&call) else { return };
                self.answered(of, &response);
                self.open.fetch_sub(1, Ordering::Relaxed);
            }
            HttpEvent::CallFailed { call, failure } => {
                let Some(of) = self.out.remove(&call) else { return };
                self.recorder
                    .record(Observation::ConnectionLost { call: of.call });
                self.count(|tally| tally.no_answer += 1);
                // Nobody was there: the call never reached a gateway, so that trying another is harmless.
                if failure == CallFailure::Connect {
                    self.again(of, Duration::from_millis(50));
                }
                self.open.fetch_sub(1, Ordering::Relaxed);
            }
            HttpEvent::Request { .. }
            | HttpEvent::ClientDisconnected { .. }
            | HttpEvent::ResponsePart { .. }
            | HttpEvent::ResponseEnd { .. } => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::StopArrivals => self.next = self.arrivals.len(),
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let arrivals = self
            .arrivals
            .get(self.next)
            .map(|arrival| self.start + traffic::arrival_time(arrival))
            .into_iter();
        let later = self.later.iter().map(|(at, _)| *at);
        let until = self.out.values().map(|of| of.until);
        arrivals.chain(later).chain(until).min()
    }

    fn run_due(&mut self, now: Duration) {
        while let Some(arrival) = self
            .arrivals
            .get(self.next)
            .filter(|a| self.start + traffic::arrival_time(a) <= now)
        {
            let arrival = arrival.clone();
            self.next += 1;
            self.arrive(&arrival, now);
        }
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|l| l.0 <= now);
        self.later = left;
        for (_, of) in due {
            self.send(of, now);
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
        let over: Vec<CallId> = self
            .out
            .iter()
            .filter(|(_, of)| of.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for call in over {
            if let Some(of) = self.out.remove(&call) {
                self.http.cancel(call);
                self.recorder
                    .record(Observation::ClientDisconnected { call: of.call });
                self.count(|tally| tally.no_answer += 1);
                self.open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    fn now(&self) -> Duration {
        self.recorder.now()
    }
}
