//! Open-loop load on the invoke API. Calls are sent at their scheduled times, whether or not earlier calls
//! have been answered, and each latency counts from the scheduled time. A slow response therefore does not
//! hide the latency of the calls behind it (coordinated omission).
use crate::actor::{self, Fake};
use crate::traffic::{self, Arrival};
use calloop::LoopHandle;
use hdrhistogram::Histogram;
use quartzdrift_http::{CallId, HasHttp, Headers, Http, HttpEvent, Limits, OutgoingRequest, Response};
use quartzdrift_invoke::request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest latency that is recorded, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits to which latencies are recorded.
const LATENCY_DIGITS: u8 = 3;

/// The calls of a load run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses that calls are sent to, in rotation.
    pub addresses: Vec<SocketAddr>,
    /// Functions, each with its weight.
    pub mix: Vec<(String, f64)>,
    /// Mean rate of calls.
    pub requests_per_s: f64,
    /// Period in which calls are sent; responses may take longer.
    pub duration: Duration,
    pub payload: String,
    pub asynchronous: bool,
    /// Largest number of calls in flight; a call that is due beyond it is not sent, and counted.
    pub max_in_flight: usize,
    /// Deadline of a call, counted from its scheduled time. Checked only after the last call was sent.
    pub timeout: Duration,
    /// Calls are sent at equal intervals in place of random ones.
    pub evenly_spaced: bool,
    /// Arrivals of a trace to send in place of `mix`, `requests_per_s` and `duration`.
    pub trace: Option<Vec<Arrival>>,
    /// Seed of the random functions and intervals.
    pub seed: u64,
}

/// Latencies of a load run by outcome.
pub struct Report {
    /// Outcomes are `finished`, `failed`, `taken`, `pushed-back`, `other` and `no-answer`.
    pub latencies_us: BTreeMap<&'static str, Histogram<u64>>,
    /// Calls not sent because too many were in flight.
    pub not_sent: u64,
    /// Planned duration of the run, over which the rate of responses is computed.
    pub duration: Duration,
}

impl Report {
    /// Number of calls that were sent and have ended.
    pub fn count(&self) -> u64 {
        self.latencies_us.values().map(Histogram::len).sum()
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        writeln!(
            f,
            "{:<12} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "outcome", "calls", "p50 ms", "p90", "p99", "p99.9", "max"
        )?;
        for (outcome, latencies) in &self.latencies_us {
            let ms = |share| latencies.value_at_quantile(share) as f64 / 1000.0;
            writeln!(
                f,
                "{outcome:<12} {:>9} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3}",
                latencies.len(),
                ms(0.5),
                ms(0.9),
                ms(0.99),
                ms(0.999),
                latencies.max() as f64 / 1000.0
            )?;
        }
        let rate = self.count() as f64 / self.duration.as_secs_f64();
        write!(
            f,
            "{rate:.0} responses/s; {} calls not sent, because too many were in flight",
            self.not_sent
        )
    }
}

struct Load {
    http: Http<Load>,
    start: Instant,
    plan: Plan,
    /// Request targets of the functions, each with the cumulative share of calls up to it.
    targets: Vec<(String, f64)>,
    payload: Rc<[u8]>,
    /// Scheduled time of the next call; `None` after the last.
    next_arrival: Option<Duration>,
    /// Number of arrivals of the trace that have been due.
    trace_position: usize,
    sent: usize,
    /// Scheduled time and deadline of each call in flight.
    in_flight: HashMap<CallId, (Duration, Duration)>,
    report: Report,
    rng: StdRng,
}

impl HasHttp for Load {
    fn http(&mut self) -> &mut Http<Load> {
        &mut self.http
    }
}

impl Load {
    fn new(handle: LoopHandle<'static, Load>, plan: Plan) -> Load {
        let total: f64 = plan.mix.iter().map(|(_, share)| share).sum();
        let mut cumulative = 0.0;
        let targets = plan.mix.iter().map(|(function, share)| {
            cumulative += share / total;
            (request::invoke_target(function), cumulative)
        });
        Load {
            http: Http::new(
                handle,
                Limits {
                    connections_per_server: plan.max_in_flight,
                    ..Limits::default()
                },
            ),
            start: Instant::now(),
            targets: targets.collect(),
            payload: Rc::from(plan.payload.as_bytes()),
            next_arrival: match &plan.trace {
                Some(trace) => trace.first().map(traffic::arrival_time),
                None => Some(Duration::ZERO),
            },
            trace_position: 0,
            sent: 0,
            in_flight: HashMap::new(),
            report: Report {
                latencies_us: BTreeMap::new(),
                not_sent: 0,
                duration: plan.duration,
            },
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
        }
    }

    /// The request target of the call due at `at`, and the scheduled time of the next call.
    fn draw_call(&mut self, at: Duration) -> (String, Option<Duration>) {
        if let Some(trace) = &self.plan.trace {
            let target = trace
                .get(self.trace_position)
                .map(|arrival| request::invoke_target(&arrival.function));
            self.trace_position += 1;
            return (
                target.unwrap_or_default(),
                trace.get(self.trace_position).map(traffic::arrival_time),
            );
        }
        let interval_s = match self.plan.evenly_spaced {
            true => 1.0 / self.plan.requests_per_s,
            false => traffic::interarrival_s(&mut self.rng, self.plan.requests_per_s),
        };
        let next = Some(at + Duration::from_secs_f64(interval_s)).filter(|next| *next < self.plan.duration);
        let position = self.rng.random_range(0.0..1.0);
        let target = self
            .targets
            .iter()
            .find(|(_, cumulative)| position < *cumulative)
            .or(self.targets.last());
        (target.map(|(target, _)| target.clone()).unwrap_or_default(), next)
    }

    fn send(&mut self, at: Duration, target: String) {
        if self.in_flight.len() >= self.plan.max_in_flight {
            self.report.not_sent += 1;
            return;
        }
        let mut headers = Headers::new().with("content-type", "application/json");
        if self.plan.asynchronous {
            headers.push("x-amz-invocation-type", "Event");
        }
        let request = OutgoingRequest {
            method: "POST",
            target,
            headers,
            body: self.payload.clone(),
            connect_timeout: self.plan.timeout,
            streams_response: false,
        };
        let to = self.plan.addresses[self.sent % self.plan.addresses.len()];
        self.sent += 1;
        let call = self.http.call(to, request);
        self.in_flight.insert(call, (at, at + self.plan.timeout));
    }

    fn record_outcome(&mut self, call: CallId, outcome: &'static str) {
        let Some((scheduled, _)) = self.in_flight.remove(&call) else {
            return;
        };
        let latency_us = (self.now().saturating_sub(scheduled).as_micros() as u64).clamp(1, MAX_LATENCY_US);
        let latencies = self.report.latencies_us.entry(outcome).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
                .unwrap_or_else(|_| unreachable!("the histogram's bounds are valid constants"))
        });
        latencies.saturating_record(latency_us);
    }
}

fn outcome(response: &Response) -> &'static str {
    match (response.status, response.headers.get("x-amz-function-error")) {
        (200, None) => "finished",
        (200, Some(_)) => "failed",
        (202, _) => "taken",
        (429, _) => "pushed-back",
        _ => "other",
    }
}

impl Fake for Load {
    type Command = ();

    fn handle_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Response { call, response } => self.record_outcome(call, outcome(&response)),
            HttpEvent::CallFailed { call, .. } => self.record_outcome(call, "no-answer"),
            HttpEvent::Request { .. }
            | HttpEvent::ClientDisconnected { .. }
            | HttpEvent::ResponsePart { .. }
            | HttpEvent::ResponseEnd { .. } => {}
        }
    }

    fn handle_command(&mut self, (): ()) {}

    fn next_due(&self) -> Option<Duration> {
        // After the last arrival, the earliest deadline of a call in flight is due.
        self.next_arrival
            .or_else(|| self.in_flight.values().map(|(_, deadline)| *deadline).min())
    }

    fn run_due(&mut self, now: Duration) {
        while let Some(at) = self.next_arrival.filter(|at| *at <= now) {
            let (target, next) = self.draw_call(at);
            self.send(at, target);
            self.next_arrival = next;
        }
        if self.next_arrival.is_none() {
            let expired: Vec<CallId> = self
                .in_flight
                .iter()
                .filter(|(_, (_, deadline))| *deadline <= now)
                .map(|(call, _)| *call)
                .collect();
            for call in expired {
                self.http.cancel(call);
                self.record_outcome(call, "no-answer");
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn stopped(&self) -> bool {
        self.next_arrival.is_none() && self.in_flight.is_empty()
    }
}

/// Sends the calls of a plan on this thread, and returns their latencies once all have ended.
///
/// # Errors
/// Fails if the event loop cannot be set up.
pub fn run(plan: Plan) -> std::io::Result<Report> {
    let report = std::rc::Rc::new(std::cell::RefCell::new(None));
    let finished_report = report.clone();
    actor::run_and_finish(
        None,
        None,
        |handle| Load::new(handle, plan),
        |load: Load| {
            *finished_report.borrow_mut() = Some(load.report);
        },
    )?;
    let report = report.borrow_mut().take();
    report.ok_or_else(|| std::io::Error::other("the load run ended without a report"))
}
