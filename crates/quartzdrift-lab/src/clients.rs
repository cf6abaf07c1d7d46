//! Simulated clients: they call gateways at the times of the arrivals, wait for the response until the time
//! limit, sometimes disconnect early, and retry rejected calls and failed connections.
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

/// Time beyond its time limit that a client waits, so that late responses are recorded.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(500);

/// Commands to running clients.
pub enum Command {
    /// Send no new calls; retries of earlier ones continue.
    StopArrivals,
}

/// The calls that clients send, and how they retry.
pub struct Plan {
    pub request_classes: Vec<RequestClass>,
    pub arrivals: Vec<Arrival>,
    /// Seed for early disconnects and for the waits before retries.
    pub seed: u64,
    /// Most retries of a call that was rejected or could not connect.
    pub max_retries: u32,
    /// A client waits between 1 and 2 times this share of the retry time that the gateway stated.
    pub retry_wait_factor: f64,
}

/// Number of calls by outcome; each retry counts as a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub sent: u64,
    /// Responses with the function's result or its error.
    pub finished: u64,
    pub rejected: u64,
    /// Responses that report that the gateway ended the request.
    pub killed: u64,
    /// Asynchronous requests that a gateway accepted.
    pub accepted: u64,
    /// All other responses.
    pub other: u64,
    /// Calls that ended without a response.
    pub no_answer: u64,
}

/// A call that is open or waits for its retry. Times are since the recorder's start.
struct ClientCall {
    key: String,
    request_class: usize,
    function: String,
    retries: u32,
    gateway: usize,
    /// Time at which the client stops waiting for the response.
    deadline: Duration,
    disconnects_early: bool,
    /// Number of the call in the record.
    number: u64,
    first_sent: Duration,
    work_us: u64,
}

/// All clients of a scenario, on one event loop.
pub struct Clients {
    http: Http<Clients>,
    recorder: Recorder,
    gateways: Vec<SocketAddr>,
    request_classes: Vec<RequestClass>,
    arrivals: Vec<Arrival>,
    next_arrival: usize,
    start: Duration,
    open: HashMap<CallId, ClientCall>,
    /// Calls that wait for their retry, with its time.
    retries: Vec<(Duration, ClientCall)>,
    random: StdRng,
    /// Last number assigned to an idempotency key or a call.
    last_number: u64,
    max_retries: u32,
    retry_wait_factor: f64,
    /// Number of calls that are open or wait for a retry, shared with the runner.
    open_calls: Arc<AtomicU64>,
    call_counts: Arc<Mutex<CallCounts>>,
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
        open_calls: Arc<AtomicU64>,
        call_counts: Arc<Mutex<CallCounts>>,
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
            next_arrival: 0,
            start: recorder.now(),
            arrivals,
            recorder,
            gateways,
            request_classes,
            open: HashMap::new(),
            retries: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            last_number: 0,
            max_retries,
            retry_wait_factor,
            open_calls,
            call_counts,
        }
    }

    fn count(&self, update: impl FnOnce(&mut CallCounts)) {
        update(&mut self.call_counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn send_arrival(&mut self, arrival: &Arrival, now: Duration) {
        let &Arrival {
            request_class,
            work_us,
            ..
        } = arrival;
        let class = &self.request_classes[request_class];
        let function = arrival.function.clone();
        let disconnects_early = self.random.random_range(0.0..1.0) < class.early_disconnect_share;
        self.last_number += 1;
        let key = format!("{}-{}", class.name, self.last_number);
        let gateway = arrival.gateway_index(self.gateways.len());
        let (retries, deadline, number, first_sent) = (0, Duration::ZERO, 0, now);
        self.send(
            ClientCall {
                key,
                request_class,
                function,
                retries,
                gateway,
                deadline,
                disconnects_early,
                number,
                first_sent,
                work_us,
            },
            now,
        );
    }

    fn send(&mut self, mut call: ClientCall, now: Duration) {
        let request_class = &self.request_classes[call.request_class];
        let work_ms = call.work_us as f64 / 1000.0;
        let payload = format!("{{\"key\":\"{}\",\"work_ms\":{work_ms:.3}}}", call.key);
        let mut headers = Headers::new().with("content-type", "application/json");
        if request_class.asynchronous {
            headers.push("x-amz-invocation-type", "Event");
        }
        if request_class.idempotency == Idempotency::IdempotentWithKey {
            headers.push("idempotency-key", &call.key);
        }
        let request = OutgoingRequest {
            method: "POST",
            target: request::invoke_target(&call.function),
            headers,
            body: payload.into_bytes().into(),
            connect_timeout: Duration::from_secs(1),
            streams_response: false,
        };
        self.last_number += 1;
        call.number = self.last_number;
        call.deadline = match call.disconnects_early {
            true => {
                now + request_class
                    .time_limit
                    .mul_f64(self.random.random_range(0.0..0.2))
            }
            false => now + request_class.time_limit + LATE_RESPONSE_WAIT,
        };
        self.recorder.record(Observation::CallSent {
            call: call.number,
            gateway: call.gateway as u64,
            key: call.key.clone(),
            request_class: request_class.name.clone(),
            asynchronous: request_class.asynchronous,
            limit_us: request_class.time_limit.as_micros() as u64,
        });
        self.count(|counts| counts.sent += 1);
        let id = self.http.call(self.gateways[call.gateway], request);
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        self.open.insert(id, call);
    }

    /// Plans a retry at the next gateway, unless the call has used up its retries.
    fn retry(&mut self, mut call: ClientCall, after: Duration) {
        // Workers recognise an idempotency key only within the deduplication window: a retry that could run
        // after the window is not sent.
        let request_class = &self.request_classes[call.request_class];
        let latest_end = self.recorder.now() + after + request_class.time_limit;
        let is_safe = request_class.idempotency != Idempotency::IdempotentWithKey
            || latest_end < call.first_sent + request_class.deduplication_window;
        if call.retries < self.max_retries && is_safe {
            call.retries += 1;
            call.gateway = (call.gateway + 1) % self.gateways.len();
            self.open_calls.fetch_add(1, Ordering::Relaxed);
            self.retries.push((self.recorder.now() + after, call));
        }
    }

    fn handle_response(&mut self, call: ClientCall, response: &Response) {
        let function_error = response.headers.get("x-amz-function-error").is_some();
        let killed = function_error && response.body.windows(11).any(|part| part == b"Quartzdrift");
        let status = response.status;
        self.recorder.record(Observation::ResponseReceived {
            call: call.number,
            status,
            killed,
            function_error,
        });
        self.count(|counts| match status {
            200 if killed => counts.killed += 1,
            200 => counts.finished += 1,
            202 => counts.accepted += 1,
            429 => counts.rejected += 1,
            _ => counts.other += 1,
        });
        if status == 429 {
            let retry_after_ms = response
                .headers
                .get("x-quartzdrift-come-back-ms")
                .and_then(|ms| ms.parse().ok());
            let retry_after = Duration::from_millis(retry_after_ms.unwrap_or(100));
            let factor = self.retry_wait_factor * self.random.random_range(1.0..2.0);
            self.retry(call, retry_after.mul_f64(factor));
        }
    }
}

impl Fake for Clients {
    type Command = Command;

    fn handle_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Response { call, response } => {
                let Some(client_call) = self.open.remove(&call) else {
                    return;
                };
                self.handle_response(client_call, &response);
                self.open_calls.fetch_sub(1, Ordering::Relaxed);
            }
            HttpEvent::CallFailed { call, failure } => {
                let Some(client_call) = self.open.remove(&call) else {
                    return;
                };
                self.recorder.record(Observation::ConnectionLost {
                    call: client_call.number,
                });
                self.count(|counts| counts.no_answer += 1);
                // The call never reached a gateway: a retry at another one cannot repeat its effect.
                if failure == CallFailure::Connect {
                    self.retry(client_call, Duration::from_millis(50));
                }
                self.open_calls.fetch_sub(1, Ordering::Relaxed);
            }
            HttpEvent::Request { .. }
            | HttpEvent::ClientDisconnected { .. }
            | HttpEvent::ResponsePart { .. }
            | HttpEvent::ResponseEnd { .. } => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::StopArrivals => self.next_arrival = self.arrivals.len(),
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let arrivals = self
            .arrivals
            .get(self.next_arrival)
            .map(|arrival| self.start + traffic::arrival_time(arrival))
            .into_iter();
        let retries = self.retries.iter().map(|(at, _)| *at);
        let deadlines = self.open.values().map(|call| call.deadline);
        arrivals.chain(retries).chain(deadlines).min()
    }

    fn run_due(&mut self, now: Duration) {
        while let Some(arrival) = self
            .arrivals
            .get(self.next_arrival)
            .filter(|arrival| self.start + traffic::arrival_time(arrival) <= now)
        {
            let arrival = arrival.clone();
            self.next_arrival += 1;
            self.send_arrival(&arrival, now);
        }
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.retries = waiting;
        for (_, call) in due {
            self.send(call, now);
            self.open_calls.fetch_sub(1, Ordering::Relaxed);
        }
        let expired: Vec<CallId> = self
            .open
            .iter()
            .filter(|(_, call)| call.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(call) = self.open.remove(&id) {
                self.http.cancel(id);
                self.recorder
                    .record(Observation::ClientDisconnected { call: call.number });
                self.count(|counts| counts.no_answer += 1);
                self.open_calls.fetch_sub(1, Ordering::Relaxed);
            }
        }
    }

    fn now(&self) -> Duration {
        self.recorder.now()
    }
}
