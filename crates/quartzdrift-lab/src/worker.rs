//! A fake worker on sockets: the invoke API on the worker's side, load reports, orders and probes, and faults.
use crate::actor::Fake;
use crate::functions;
use crate::record::{Observation, Recorder};
use crate::worker_model::{CacheOutcome, FunctionSpec, WorkerModel, WorkerOutput, WorkerSpec};
use calloop::LoopHandle;
use quartzdrift_http::{
    CallId, Exchange, HasHttp, Headers, Http, HttpEvent, Limits, OutgoingRequest, Request, Response,
};
use quartzdrift_invoke::load_report::{self, LoadReport};
use quartzdrift_invoke::models::{self, ModelRequest};
use quartzdrift_invoke::request::{self, ApiRequest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// SharedIdempotencyKeys of requests with an idempotency key that a group of workers remembers, each with the time it was first met.
pub type SharedIdempotencyKeys = Arc<Mutex<HashMap<String, Instant>>>;

#[derive(Clone)]
pub struct Config {
    pub machine: WorkerSpec,
    pub specs: BTreeMap<String, FunctionSpec>,
    pub store: Option<SocketAddr>,
    /// Reports are made anew this often.
    pub report_interval: Duration,
    pub idempotency_keys: Option<SharedIdempotencyKeys>,
    pub deduplication_window: Duration,
    pub recorder: Option<Recorder>,
    pub seed: u64,
    /// Whether the first process is warm, as one that has run for long.
    pub starts_warm: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            machine: WorkerSpec::default(),
            specs: BTreeMap::new(),
            store: None,
            report_interval: Duration::from_millis(100),
            idempotency_keys: None,
            deduplication_window: Duration::from_secs(5),
            recorder: None,
            seed: 0,
            starts_warm: true,
        }
    }
}

/// What goes wrong, from now on until told otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Takes calls and answers none.
    pub silent: bool,
    /// Works on nothing and answers nothing.
    pub hang: bool,
    /// Share of calls that fail at once.
    pub error_share: f64,
    /// Share of answers that are lost: the connection is closed in their place.
    pub lost_response_share: f64,
    /// Answers are held back so long.
    pub response_delay: Duration,
    /// Reports are so much older than they should be.
    pub report_delay: Duration,
}

pub enum Command {
    SetFaults(Faults),
    /// As if killed outright.
    Crash,
    /// A new process at the same address.
    Start,
    Drain,
}

struct Open {
    exchange: Exchange,
    function: String,
    payload: Rc<[u8]>,
    mark: Option<String>,
}

pub struct FakeWorker {
    http: Http<FakeWorker>,
    address: SocketAddr,
    start: Instant,
    config: Config,
    model: WorkerModel,
    incarnation: u64,
    up: bool,
    faults: Faults,
    open: HashMap<u64, Open>,
    by_exchange: HashMap<Exchange, u64>,
    orders: HashMap<u64, Exchange>,
    fetches: HashMap<CallId, u64>,
    local_fetches: Vec<(Duration, u64)>,
    held_back: Vec<(Duration, u64, Exchange, Response)>,
    reports: Vec<(Duration, LoadReport)>,
    chance: StdRng,
    drawn: u64,
}

/// Which gateway sent this, as it says itself.
fn scheduler(headers: &Headers) -> u64 {
    headers
        .get("x-quartzdrift-scheduler")
        .and_then(|n| n.parse().ok())
        .unwrap_or(u64::MAX)
}

/// The client's name for a request; of a record for a destination, that of the request it tells of.
fn key(payload: &serde_json::Value) -> String {
    let own = payload.get("key").and_then(|k| k.as_str());
    let told = payload
        .get("requestPayload")
        .and_then(|p| p.get("key"))
        .and_then(|k| k.as_str());
    own.map(str::to_owned)
        .or(told.map(|key| format!("dead:{key}")))
        .unwrap_or_default()
}

impl HasHttp for FakeWorker {
    fn http(&mut self) -> &mut Http<FakeWorker> {
        &mut self.http
    }
}

impl FakeWorker {
    pub fn new(handle: LoopHandle<'static, FakeWorker>, address: SocketAddr, config: Config) -> FakeWorker {
        let limits = Limits {
            idle_timeout: Duration::from_secs(300),
            ..Limits::default()
        };
        let cold_for = if config.starts_warm {
            Duration::ZERO
        } else {
            config.machine.slow_start_duration
        };
        let machine = WorkerSpec {
            slow_start_duration: cold_for,
            ..config.machine.clone()
        };
        let mut worker = FakeWorker {
            http: Http::new(handle, limits),
            address,
            start: Instant::now(),
            model: WorkerModel::new(machine, config.specs.clone(), Duration::ZERO),
            incarnation: 0,
            up: true,
            faults: Faults::default(),
            open: HashMap::new(),
            by_exchange: HashMap::new(),
            orders: HashMap::new(),
            fetches: HashMap::new(),
            local_fetches: Vec::new(),
            held_back: Vec::new(),
            reports: Vec::new(),
            chance: StdRng::seed_from_u64(config.seed),
            drawn: 0,
            config,
        };
        worker.started(cold_for);
        worker
    }

    fn record(&self, observation: Observation) {
        if let Some(recorder) = &self.config.recorder {
            recorder.record(observation);
        }
    }

    fn started(&mut self, cold_for: Duration) {
        self.incarnation += 1;
        let WorkerSpec {
            cores,
            slow_start_min_capacity: cold_from,
            ..
        } = self.config.machine;
        let cold_us = cold_for.as_micros() as u64;
        self.record(Observation::WorkerStarted {
            worker: self.address.to_string(),
            incarnation: self.incarnation,
            cores,
            cold_from,
            cold_us,
        });
    }

    fn request(&mut self, exchange: Exchange, request: Request) {
        let Request { head, body, .. } = request;
        let path = head.target.split('?').next().unwrap_or("");
        if let Some(asked) = ModelRequest::parse(path) {
            let gateway = scheduler(&head.headers);
            return self.repository(exchange, asked, &body, gateway);
        }
        let asked = request::parse(&head.method, &head.target, |name| head.headers.get(name));
        let Ok(ApiRequest::Invoke(asked)) = asked else {
            return self.say(exchange, 404, Headers::new(), Vec::new());
        };
        let function = asked.function.qualified_name();
        self.drawn += 1;
        let id = self.drawn;
        let work =
            functions::requested_work(&body).unwrap_or(self.model.function_spec(&function).default_work);
        if self.config.recorder.is_some() {
            let told: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            self.record(Observation::AttemptReceived {
                worker: self.address.to_string(),
                incarnation: self.incarnation,
                call: id,
                gateway: scheduler(&head.headers),
                request: head.headers.get("x-amzn-requestid").unwrap_or("").to_owned(),
                attempt: head
                    .headers
                    .get("x-quartzdrift-execution")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0),
                key: key(&told),
                work_us: work.as_micros() as u64,
            });
        }
        let open = Open {
            exchange,
            function: function.clone(),
            payload: body.into(),
            mark: asked.idempotency_key,
        };
        self.open.insert(id, open);
        self.by_exchange.insert(exchange, id);
        if self.faults.silent || self.faults.hang {
            return;
        }
        if self.faults.error_share > 0.0 && self.chance.random_range(0.0..1.0) < self.faults.error_share {
            let headers = Headers::new().with("x-amzn-errortype", "ServiceException");
            return self.finish(id, 500, headers, b"{}".to_vec());
        }
        if self.repeats(id) {
            let headers = Headers::new().with("x-quartzdrift-repeat", "1");
            return self.finish(id, 200, headers, b"{\"repeat\":true}".to_vec());
        }
        let now = self.now();
        self.model.submit_call(now, id, &function, work);
        self.act();
    }

    /// Whether the group has met this mark within its window.
    fn repeats(&mut self, id: u64) -> bool {
        let (Some(marks), Some(mark)) = (
            &self.config.idempotency_keys,
            self.open.get(&id).and_then(|o| o.mark.clone()),
        ) else {
            return false;
        };
        let mut marks = marks.lock().unwrap_or_else(PoisonError::into_inner);
        let window = self.config.deduplication_window;
        marks.retain(|_, met| met.elapsed() < window);
        let met = marks.contains_key(&mark);
        marks.entry(mark).or_insert_with(Instant::now);
        met
    }

    fn not_taken(&mut self, id: u64) {
        self.record(Observation::AttemptRejected {
            worker: self.address.to_string(),
            incarnation: self.incarnation,
            call: id,
        });
        self.forget(id);
    }

    /// What did not run has no mark: it is met the next time.
    fn forget(&mut self, id: u64) {
        let mark = self.open.get(&id).and_then(|open| open.mark.as_ref());
        if let (Some(marks), Some(mark)) = (&self.config.idempotency_keys, mark) {
            marks.lock().unwrap_or_else(PoisonError::into_inner).remove(mark);
        }
    }

    fn repository(&mut self, exchange: Exchange, asked: ModelRequest, body: &[u8], gateway: u64) {
        if self.faults.silent || self.faults.hang {
            return;
        }
        let now = self.now();
        match asked {
            ModelRequest::ServerReady => {
                let headers = self.with_report(Headers::new(), None);
                self.say(
                    exchange,
                    if self.model.draining { 503 } else { 200 },
                    headers,
                    Vec::new(),
                );
            }
            ModelRequest::ModelReady(function) => {
                let there = self.model.ready_copies(&function) > 0;
                self.say(
                    exchange,
                    if there { 200 } else { 404 },
                    Headers::new(),
                    Vec::new(),
                );
            }
            ModelRequest::RepositoryIndex => self.say(exchange, 200, Headers::new(), b"[]".to_vec()),
            ModelRequest::Unload(function) => {
                self.model.unload_idle_copies(now, &function);
                self.say(exchange, 200, Headers::new(), Vec::new());
            }
            ModelRequest::Load(function) => {
                let copies = models::decode_replicas(body).unwrap_or(1);
                if copies > 0 {
                    self.record(Observation::LoadCommandReceived {
                        worker: self.address.to_string(),
                        gateway,
                    });
                }
                self.drawn += 1;
                self.orders.insert(self.drawn, exchange);
                self.model
                    .submit_load_command(now, self.drawn, &function, copies as usize);
                self.act();
            }
        }
    }

    fn with_report(&mut self, headers: Headers, call: Option<(CacheOutcome, usize)>) -> Headers {
        let now = self.now();
        let fresh = self
            .reports
            .last()
            .is_some_and(|(at, _)| *at + self.config.report_interval > now);
        if !fresh {
            let load = self.model.current_load();
            let mut report = LoadReport::default();
            report.push("cpu_utilization", load.cpu_utilization);
            report.push("mem_utilization", load.unreclaimable_memory);
            report.push("named_metrics.inflight", load.calls as f64);
            report.push("named_metrics.queue", load.queued as f64);
            report.push("named_metrics.loads", load.pending_loads as f64);
            self.reports.push((now, report));
            let oldest = now.saturating_sub(self.faults.report_delay + self.config.report_interval * 4);
            self.reports.retain(|(at, _)| *at >= oldest);
        }
        let told = now.saturating_sub(self.faults.report_delay);
        let report = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| *at <= told)
            .or(self.reports.first());
        let mut report = report.map(|(_, report)| report.clone()).unwrap_or_default();
        if let Some((cache_outcome, concurrency)) = call {
            report.push("named_metrics.found", f64::from(cache_outcome as u8));
            report.push("named_metrics.crowd", concurrency as f64);
        }
        headers.with(load_report::HEADER_NAME, &report.to_header_value())
    }

    fn act(&mut self) {
        for output in self.model.take_outputs() {
            match output {
                WorkerOutput::CallCompleted {
                    call,
                    cache_outcome,
                    concurrency,
                    awaited,
                } => self.call_completed(call, cache_outcome, concurrency, awaited),
                WorkerOutput::CallRejected { call } => {
                    self.not_taken(call);
                    let headers = Headers::new().with("x-amzn-errortype", "TooManyRequestsException");
                    let headers = self.with_report(headers, None);
                    self.finish(
                        call,
                        429,
                        headers,
                        b"{\"Type\":\"User\",\"message\":\"full\"}".to_vec(),
                    );
                }
                WorkerOutput::CacheMiss { call } => {
                    self.not_taken(call);
                    let headers = Headers::new().with("x-amzn-errortype", "ResourceNotFoundException");
                    let headers = self.with_report(headers, Some((CacheOutcome::LoadFailed, 0)));
                    self.finish(
                        call,
                        404,
                        headers,
                        b"{\"Type\":\"User\",\"message\":\"not loaded\"}".to_vec(),
                    );
                }
                WorkerOutput::FetchFunction {
                    load,
                    function,
                    fetch_time,
                } => self.fetch(load, &function, fetch_time),
                WorkerOutput::LoadCommandEnded {
                    command,
                    copies,
                    succeeded,
                } => {
                    if let Some(exchange) = self.orders.remove(&command) {
                        let status = if succeeded { 200 } else { 429 };
                        let headers = Headers::new().with("content-type", "application/json");
                        self.say(exchange, status, headers, models::encode_replicas(copies as u32));
                    }
                }
                WorkerOutput::CrashedByOverload => {
                    self.record(Observation::WorkerOverloaded {
                        worker: self.address.to_string(),
                    });
                    self.crash();
                    return;
                }
            }
        }
    }

    fn call_completed(&mut self, call: u64, cache_outcome: CacheOutcome, concurrency: usize, awaited: bool) {
        let (worker, incarnation, warm) = (
            self.address.to_string(),
            self.incarnation,
            cache_outcome == CacheOutcome::Warm,
        );
        self.record(Observation::AttemptExecuted {
            worker,
            incarnation,
            call,
            warm,
        });
        let Some(open) = self.open.get(&call) else { return };
        if !awaited {
            self.open.remove(&call);
            return;
        }
        let result = functions::run(&open.function, &open.payload, &self.address.to_string());
        let mut headers = Headers::new().with("content-type", "application/json");
        if result.is_error {
            headers.push("x-amz-function-error", "Unhandled");
        }
        let headers = self.with_report(headers, Some((cache_outcome, concurrency)));
        self.finish(call, 200, headers, result.body);
    }

    fn fetch(&mut self, load: u64, function: &str, takes: Duration) {
        self.record(Observation::FetchRequested {
            worker: self.address.to_string(),
        });
        let Some(store) = self.config.store else {
            let at = self.now() + takes;
            return self.local_fetches.push((at, load));
        };
        let request = OutgoingRequest {
            method: "GET",
            target: format!("/{function}?us={}", takes.as_micros()),
            headers: Headers::new(),
            body: Rc::from([]),
            connect_timeout: Duration::from_secs(2),
            streams_response: false,
        };
        let call = self.http.call(store, request);
        self.fetches.insert(call, load);
    }

    /// Answers a call that was taken, perhaps late or not at all.
    fn finish(&mut self, id: u64, status: u16, headers: Headers, body: Vec<u8>) {
        let Some(open) = self.open.remove(&id) else { return };
        let answer = Response {
            status,
            headers,
            body,
        };
        if self.faults.silent || self.faults.hang {
            self.open.insert(id, open);
            return;
        }
        if self.faults.lost_response_share > 0.0
            && self.chance.random_range(0.0..1.0) < self.faults.lost_response_share
        {
            self.http.abort(open.exchange);
            return self.over(id, open.exchange);
        }
        if self.faults.response_delay > Duration::ZERO {
            let at = self.now() + self.faults.response_delay;
            return self.held_back.push((at, id, open.exchange, answer));
        }
        self.http.respond(open.exchange, &answer);
        self.over(id, open.exchange);
    }

    fn over(&mut self, id: u64, exchange: Exchange) {
        if self.by_exchange.remove(&exchange).is_some() {
            self.record(Observation::AttemptEnded {
                worker: self.address.to_string(),
                incarnation: self.incarnation,
                call: id,
            });
        }
    }

    fn say(&mut self, exchange: Exchange, status: u16, headers: Headers, body: Vec<u8>) {
        self.http.respond(
            exchange,
            &Response {
                status,
                headers,
                body,
            },
        );
    }

    fn crash(&mut self) {
        self.up = false;
        let open: Vec<(Exchange, u64)> = self.by_exchange.drain().collect();
        for (_, id) in open {
            self.record(Observation::AttemptEnded {
                worker: self.address.to_string(),
                incarnation: self.incarnation,
                call: id,
            });
        }
        self.http.close_all();
        (self.open, self.orders, self.fetches) = Default::default();
        (self.local_fetches, self.held_back, self.reports) = Default::default();
        self.model = WorkerModel::new(self.config.machine.clone(), self.config.specs.clone(), self.now());
    }

    fn restart(&mut self) {
        if self.up {
            self.crash();
        }
        let now = self.now();
        self.model = WorkerModel::new(self.config.machine.clone(), self.config.specs.clone(), now);
        self.faults = Faults::default();
        self.started(self.config.machine.slow_start_duration);
        match quartzdrift_http::bind(self.address, false).and_then(|listener| self.http.listen(listener)) {
            Ok(()) => self.up = true,
            Err(e) => eprintln!("worker {} cannot start again: {e}", self.address),
        }
    }
}

impl Fake for FakeWorker {
    type Command = Command;

    fn handle_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Request {
                exchange,
                request: Ok(request),
            } => self.request(exchange, request),
            HttpEvent::Request {
                exchange,
                request: Err(_),
            } => self.say(exchange, 400, Headers::new(), Vec::new()),
            HttpEvent::ClientDisconnected { exchange } => {
                let Some(&id) = self.by_exchange.get(&exchange) else {
                    return;
                };
                self.over(id, exchange);
                self.held_back.retain(|(_, held, ..)| *held != id);
                if !self.faults.hang {
                    let now = self.now();
                    if self.model.cancel_call(now, id) {
                        self.forget(id);
                    }
                    self.act();
                }
            }
            HttpEvent::Response { call, response } => {
                if let Some(load) = self.fetches.remove(&call) {
                    let now = self.now();
                    if response.status != 200 {
                        self.record(Observation::FetchRefused {
                            worker: self.address.to_string(),
                        });
                    }
                    self.model.fetch_ended(now, load, response.status == 200);
                    self.act();
                }
            }
            HttpEvent::CallFailed { call, .. } => {
                if let Some(load) = self.fetches.remove(&call) {
                    let now = self.now();
                    self.model.fetch_ended(now, load, false);
                    self.act();
                }
            }
            HttpEvent::ResponsePart { .. } | HttpEvent::ResponseEnd { .. } => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::SetFaults(faults) => {
                let woke = self.faults.silent && !faults.silent || self.faults.hang && !faults.hang;
                self.faults = faults;
                // Calls that came meanwhile were never worked on and never will be; their callers time out.
                if woke {
                    let now = self.now();
                    self.model.due(now);
                    self.act();
                }
            }
            Command::Crash => self.crash(),
            Command::Start => self.restart(),
            Command::Drain => self.model.draining = true,
        }
    }

    fn next_due(&self) -> Option<Duration> {
        if !self.up {
            return None;
        }
        let model = self.model.next_due().filter(|_| !self.faults.hang);
        let fetches = self.local_fetches.iter().map(|(at, _)| *at).min();
        let held = self.held_back.iter().map(|(at, ..)| *at).min();
        [model, fetches, held].into_iter().flatten().min()
    }

    fn run_due(&mut self, now: Duration) {
        if !self.up {
            return;
        }
        if !self.faults.hang {
            let (over, left) = std::mem::take(&mut self.local_fetches)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.local_fetches = left;
            let over: Vec<(Duration, u64)> = over;
            over.into_iter()
                .for_each(|(_, load)| self.model.fetch_ended(now, load, true));
            self.model.due(now);
            self.act();
        }
        let (over, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held_back)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.held_back = left;
        for (_, id, exchange, answer) in over {
            self.http.respond(exchange, &answer);
            self.over(id, exchange);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
