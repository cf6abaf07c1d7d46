//! Drives the invoke API open-loop: calls leave at their moments whether or not earlier ones were answered, and
//! each is timed from the moment it should have left, so that a slow answer does not hide the ones behind it.
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

/// Times are kept from a microsecond to ten minutes, to three digits.
const LONGEST_US: u64 = 600_000_000;
const DIGITS: u8 = 3;

#[derive(Clone, Debug)]
pub struct Plan {
    pub addresses: Vec<SocketAddr>,
    /// Functions and how often each is called against the others.
    pub mix: Vec<(String, f64)>,
    pub requests_per_s: f64,
    pub duration: Duration,
    pub payload: String,
    pub asynchronous: bool,
    /// Calls out at a time at most; those that should leave meanwhile are counted as not sent.
    pub max_in_flight: usize,
    pub timeout: Duration,
    /// Evenly spaced in place of random arrivals.
    pub evenly_spaced: bool,
    /// Calls of a trace, each at its moment, in place of mix, rate and length.
    pub trace: Option<Vec<Arrival>>,
    pub seed: u64,
}

/// What came of a plan, by outcome.
pub struct Report {
    pub latencies_us: BTreeMap<&'static str, Histogram<u64>>,
    pub not_sent: u64,
    pub duration: Duration,
}

impl Report {
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
        for (outcome, times) in &self.latencies_us {
            let ms = |share| times.value_at_quantile(share) as f64 / 1000.0;
            writeln!(
                f,
                "{outcome:<12} {:>9} {:>9.3} {:>9.3} {:>9.3} {:>9.3} {:>9.3}",
                times.len(),
                ms(0.5),
                ms(0.9),
                ms(0.99),
                ms(0.999),
                times.max() as f64 / 1000.0
            )?;
        }
        let rate = self.count() as f64 / self.duration.as_secs_f64();
        write!(
            f,
            "{rate:.0} answers a second; {} calls not sent, as too many were out",
            self.not_sent
        )
    }
}

struct Load {
    http: Http<Load>,
    start: Instant,
    plan: Plan,
    targets: Vec<(String, f64)>,
    payload: Rc<[u8]>,
    next: Option<Duration>,
    /// Calls of the trace that have left.
    left: usize,
    sent: usize,
    out: HashMap<CallId, (Duration, Duration)>,
    report: Report,
    chance: StdRng,
}

impl HasHttp for Load {
    fn http(&mut self) -> &mut Http<Load> {
        &mut self.http
    }
}

impl Load {
    fn new(handle: LoopHandle<'static, Load>, plan: Plan) -> Load {
        let all: f64 = plan.mix.iter().map(|(_, share)| share).sum();
        let mut sum = 0.0;
        let targets = plan.mix.iter().map(|(function, share)| {
            sum += share / all;
            (request::invoke_target(function), sum)
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
            next: match &plan.trace {
                Some(trace) => trace.first().map(traffic::arrival_time),
                None => Some(Duration::ZERO),
            },
            left: 0,
            sent: 0,
            out: HashMap::new(),
            report: Report {
                latencies_us: BTreeMap::new(),
                not_sent: 0,
                duration: plan.duration,
            },
            chance: StdRng::seed_from_u64(plan.seed),
            plan,
        }
    }

    /// The target of the call that leaves now, and when the next one does.
    fn leaves(&mut self, at: Duration) -> (String, Option<Duration>) {
        if let Some(trace) = &self.plan.trace {
            let target = trace
                .get(self.left)
                .map(|arrival| request::invoke_target(&arrival.function));
            self.left += 1;
            return (
                target.unwrap_or_default(),
                trace.get(self.left).map(traffic::arrival_time),
            );
        }
        let gap = match self.plan.evenly_spaced {
            true => 1.0 / self.plan.requests_per_s,
            false => traffic::interarrival_s(&mut self.chance, self.plan.requests_per_s),
        };
        let next = Some(at + Duration::from_secs_f64(gap)).filter(|next| *next < self.plan.duration);
        let drawn = self.chance.random_range(0.0..1.0);
        let target = self
            .targets
            .iter()
            .find(|(_, sum)| drawn < *sum)
            .or(self.targets.last());
        (target.map(|(target, _)| target.clone()).unwrap_or_default(), next)
    }

    fn send(&mut self, at: Duration, target: String) {
        if self.out.len() >= self.plan.max_in_flight {
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
        self.out.insert(call, (at, at + self.plan.timeout));
    }

    fn over(&mut self, call: CallId, outcome: &'static str) {
        let Some((at, _)) = self.out.remove(&call) else {
            return;
        };
        let took = (self.now().saturating_sub(at).as_micros() as u64).clamp(1, LONGEST_US);
        let times = self.report.latencies_us.entry(outcome).or_insert_with(|| {
            // The bounds are constants that the library takes.
            Histogram::new_with_bounds(1, LONGEST_US, DIGITS).unwrap_or_else(|_| unreachable!("good bounds"))
        });
        times.saturating_record(took);
    }
}

fn outcome(answer: &Response) -> &'static str {
    match (answer.status, answer.headers.get("x-amz-function-error")) {
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
            HttpEvent::Response { call, response } => self.over(call, outcome(&response)),
            HttpEvent::CallFailed { call, .. } => self.over(call, "no-answer"),
            HttpEvent::Request { .. }
            | HttpEvent::ClientDisconnected { .. }
            | HttpEvent::ResponsePart { .. }
            | HttpEvent::ResponseEnd { .. } => {}
        }
    }

    fn handle_command(&mut self, (): ()) {}

    fn next_due(&self) -> Option<Duration> {
        // Time-outs are looked at with the arrivals, and once a while after the last.
        self.next
            .or_else(|| self.out.values().map(|(_, until)| *until).min())
    }

    fn run_due(&mut self, now: Duration) {
        while let Some(at) = self.next.filter(|at| *at <= now) {
            let (target, next) = self.leaves(at);
            self.send(at, target);
            self.next = next;
        }
        if self.next.is_none() {
            let over: Vec<CallId> = self
                .out
                .iter()
                .filter(|(_, (_, until))| *until <= now)
                .map(|o| *o.0)
                .collect();
            for call in over {
                self.http.cancel(call);
                self.over(call, "no-answer");
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn stopped(&self) -> bool {
        self.next.is_none() && self.out.is_empty()
    }
}

/// Carries out a plan on this thread.
pub fn run(plan: Plan) -> std::io::Result<Report> {
    let report = std::rc::Rc::new(std::cell::RefCell::new(None));
    let of = report.clone();
    actor::run_and_finish(
        None,
        None,
        |handle| Load::new(handle, plan),
        |load: Load| {
            *of.borrow_mut() = Some(load.report);
        },
    )?;
    let report = report.borrow_mut().take();
    report.ok_or_else(|| std::io::Error::other("the load ended without a report"))
}
