//! A fake worker on sockets. It serves the invoke API, load commands and health checks, sends load reports
//! with its responses, and injects faults. [`crate::worker_model`] decides when calls complete.
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

/// Idempotency keys that a group of workers remembers, each with the time of its first request.
pub type SharedIdempotencyKeys = Arc<Mutex<HashMap<String, Instant>>>;

/// Configuration of a [`FakeWorker`].
#[derive(Clone)]
pub struct Config {
    pub spec: WorkerSpec,
    pub specs: BTreeMap<String, FunctionSpec>,
    /// Address of the store that functions are fetched from; without one, a fetch only takes its time.
    pub store: Option<SocketAddr>,
    /// Interval at which the load report is updated.
    pub report_interval: Duration,
    /// Keys shared with other workers; `None` turns deduplication off.
    pub idempotency_keys: Option<SharedIdempotencyKeys>,
    /// Period after a key's first request in which repeated requests are not executed.
    pub deduplication_window: Duration,
    pub recorder: Option<Recorder>,
    pub seed: u64,
    /// Whether the first start is at full speed, as after a long run. Later starts begin with the slow start.
    pub starts_warm: bool,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            spec: WorkerSpec::default(),
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

/// Faults that a worker injects until it gets the next [`Command::SetFaults`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Sends no responses. New calls are not executed; running ones go on.
    pub silent: bool,
    /// Sends no responses, and executes nothing: running calls stop too.
    pub hang: bool,
    /// Share of calls that get an error response at once.
    pub error_share: f64,
    /// Share of calls whose connection is closed in place of the response.
    pub lost_response_share: f64,
    /// Additional delay of each response.
    pub response_delay: Duration,
    /// Additional age of load reports.
    pub report_delay: Duration,
}

/// A command that a scenario or a test gives a worker.
pub enum Command {
    /// Replaces the injected faults.
    SetFaults(Faults),
    /// Closes all connections and drops all state, as when the process is killed.
    Crash,
    /// Starts again at the same address, without faults.
    Start,
    /// Drains the worker: from now on health checks fail and new calls are rejected.
    Drain,
}

/// A call without a response yet.
struct OpenCall {
    exchange: Exchange,
    function: String,
    payload: Rc<[u8]>,
    idempotency_key: Option<String>,
}

/// A fake worker, which runs on the event loop of [`crate::actor`].
pub struct FakeWorker {
    http: Http<FakeWorker>,
    address: SocketAddr,
    start: Instant,
    config: Config,
    model: WorkerModel,
    incarnation: u64,
    up: bool,
    faults: Faults,
    /// Calls without a response, by call id.
    open_calls: HashMap<u64, OpenCall>,
    /// Call ids by exchange.
    call_by_exchange: HashMap<Exchange, u64>,
    /// Load commands without a response, by command id.
    load_commands: HashMap<u64, Exchange>,
    /// Loads of the model whose fetch is a request to the store.
    store_fetches: HashMap<CallId, u64>,
    /// Loads of the model whose fetch needs no store, with the time at which it ends.
    local_fetches: Vec<(Duration, u64)>,
    /// Responses that a fault delays, with the time at which they are sent.
    delayed_responses: Vec<(Duration, u64, Exchange, Response)>,
    /// Load reports by the time at which they were made, oldest first.
    reports: Vec<(Duration, LoadReport)>,
    rng: StdRng,
    /// Last id given to a call or a load command.
    last_id: u64,
}

/// Index of the gateway that sent a request, from its header; `u64::MAX` without one.
fn gateway_index(headers: &Headers) -> u64 {
    headers
        .get("x-quartzdrift-scheduler")
        .and_then(|n| n.parse().ok())
        .unwrap_or(u64::MAX)
}

/// Key that the client put into the payload. For the record of an asynchronous request that is sent to a
/// destination, `dead:` and the key of that request.
fn client_key(payload: &serde_json::Value) -> String {
    let own = payload.get("key").and_then(|k| k.as_str());
    let of_recorded_request = payload
        .get("requestPayload")
        .and_then(|p| p.get("key"))
        .and_then(|k| k.as_str());
    own.map(str::to_owned)
        .or(of_recorded_request.map(|key| format!("dead:{key}")))
        .unwrap_or_default()
}

impl HasHttp for FakeWorker {
    fn http(&mut self) -> &mut Http<FakeWorker> {
        &mut self.http
    }
}

impl FakeWorker {
    /// Creates a worker that listens at `address` on the event loop of `handle`.
    pub fn new(handle: LoopHandle<'static, FakeWorker>, address: SocketAddr, config: Config) -> FakeWorker {
        let limits = Limits {
            idle_timeout: Duration::from_secs(300),
            ..Limits::default()
        };
        let cold_for = if config.starts_warm {
            Duration::ZERO
        } else {
            config.spec.slow_start_duration
        };
        let spec = WorkerSpec {
            slow_start_duration: cold_for,
            ..config.spec.clone()
        };
        let mut worker = FakeWorker {
            http: Http::new(handle, limits),
            address,
            start: Instant::now(),
            model: WorkerModel::new(spec, config.specs.clone(), Duration::ZERO),
            incarnation: 0,
            up: true,
            faults: Faults::default(),
            open_calls: HashMap::new(),
            call_by_exchange: HashMap::new(),
            load_commands: HashMap::new(),
            store_fetches: HashMap::new(),
            local_fetches: Vec::new(),
            delayed_responses: Vec::new(),
            reports: Vec::new(),
            rng: StdRng::seed_from_u64(config.seed),
            last_id: 0,
            config,
        };
        worker.record_start(cold_for);
        worker
    }

    fn record(&self, observation: Observation) {
        if let Some(recorder) = &self.config.recorder {
            recorder.record(observation);
        }
    }

    fn record_start(&mut self, cold_for: Duration) {
        self.incarnation += 1;
        let WorkerSpec {
            cores,
            slow_start_min_capacity: cold_from,
            ..
        } = self.config.spec;
        let cold_us = cold_for.as_micros() as u64;
        self.record(Observation::WorkerStarted {
            worker: self.address.to_string(),
            incarnation: self.incarnation,
            cores,
            cold_from,
            cold_us,
        });
    }

    fn handle_request(&mut self, exchange: Exchange, request: Request) {
        let Request { head, body, .. } = request;
        let path = head.target.split('?').next().unwrap_or("");
        if let Some(model_request) = ModelRequest::parse(path) {
            let gateway = gateway_index(&head.headers);
            return self.handle_model_request(exchange, model_request, &body, gateway);
        }
        let api_request = request::parse(&head.method, &head.target, |name| head.headers.get(name));
        let Ok(ApiRequest::Invoke(invoke)) = api_request else {
            return self.respond(exchange, 404, Headers::new(), Vec::new());
        };
        let function = invoke.function.qualified_name();
        self.last_id += 1;
        let id = self.last_id;
        let work =
            functions::requested_work(&body).unwrap_or(self.model.function_spec(&function).default_work);
        if self.config.recorder.is_some() {
            let payload: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            self.record(Observation::AttemptReceived {
                worker: self.address.to_string(),
                incarnation: self.incarnation,
                call: id,
                gateway: gateway_index(&head.headers),
                request: head.headers.get("x-amzn-requestid").unwrap_or("").to_owned(),
                attempt: head
                    .headers
                    .get("x-quartzdrift-execution")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0),
                key: client_key(&payload),
                work_us: work.as_micros() as u64,
            });
        }
        let call = OpenCall {
            exchange,
            function: function.clone(),
            payload: body.into(),
            idempotency_key: invoke.idempotency_key,
        };
        self.open_calls.insert(id, call);
        self.call_by_exchange.insert(exchange, id);
        if self.faults.silent || self.faults.hang {
            return;
        }
        if self.faults.error_share > 0.0 && self.rng.random_range(0.0..1.0) < self.faults.error_share {
            let headers = Headers::new().with("x-amzn-errortype", "ServiceException");
            return self.finish(id, 500, headers, b"{}".to_vec());
        }
        if self.is_repeated(id) {
            let headers = Headers::new().with("x-quartzdrift-repeat", "1");
            return self.finish(id, 200, headers, b"{\"repeat\":true}".to_vec());
        }
        let now = self.now();
        self.model.submit_call(now, id, &function, work);
        self.process_outputs();
    }

    /// Whether a worker of the group has received the call's idempotency key within the deduplication window.
    /// Remembers the key.
    fn is_repeated(&mut self, id: u64) -> bool {
        let (Some(keys), Some(key)) = (
            &self.config.idempotency_keys,
            self.open_calls
                .get(&id)
                .and_then(|call| call.idempotency_key.clone()),
        ) else {
            return false;
        };
        let mut keys = keys.lock().unwrap_or_else(PoisonError::into_inner);
        let window = self.config.deduplication_window;
        keys.retain(|_, first_received| first_received.elapsed() < window);
        let is_repeated = keys.contains_key(&key);
        keys.entry(key).or_insert_with(Instant::now);
        is_repeated
    }

    /// Records that a call was rejected, and forgets its idempotency key.
    fn record_rejection(&mut self, id: u64) {
        self.record(Observation::AttemptRejected {
            worker: self.address.to_string(),
            incarnation: self.incarnation,
            call: id,
        });
        self.forget_key(id);
    }

    /// Forgets the idempotency key of a call that was not executed, so that a retry is executed.
    fn forget_key(&mut self, id: u64) {
        let key = self
            .open_calls
            .get(&id)
            .and_then(|call| call.idempotency_key.as_ref());
        if let (Some(keys), Some(key)) = (&self.config.idempotency_keys, key) {
            keys.lock().unwrap_or_else(PoisonError::into_inner).remove(key);
        }
    }

    fn handle_model_request(&mut self, exchange: Exchange, request: ModelRequest, body: &[u8], gateway: u64) {
        if self.faults.silent || self.faults.hang {
            return;
        }
        let now = self.now();
        match request {
            ModelRequest::ServerReady => {
                let headers = self.with_report(Headers::new(), None);
                self.respond(
                    exchange,
                    if self.model.draining { 503 } else { 200 },
                    headers,
                    Vec::new(),
                );
            }
            ModelRequest::ModelReady(function) => {
                let is_ready = self.model.ready_copies(&function) > 0;
                self.respond(
                    exchange,
                    if is_ready { 200 } else { 404 },
                    Headers::new(),
                    Vec::new(),
                );
            }
            ModelRequest::RepositoryIndex => self.respond(exchange, 200, Headers::new(), b"[]".to_vec()),
            ModelRequest::Unload(function) => {
                self.model.unload_idle_copies(now, &function);
                self.respond(exchange, 200, Headers::new(), Vec::new());
            }
            ModelRequest::Load(function) => {
                let copies = models::decode_replicas(body).unwrap_or(1);
                if copies > 0 {
                    self.record(Observation::LoadCommandReceived {
                        worker: self.address.to_string(),
                        gateway,
                    });
                }
                self.last_id += 1;
                self.load_commands.insert(self.last_id, exchange);
                self.model
                    .submit_load_command(now, self.last_id, &function, copies as usize);
                self.process_outputs();
            }
        }
    }

    /// Adds the load report to the headers of a response. `call` gives the cache outcome and the concurrency
    /// of the call that the response is for.
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
        let newest = now.saturating_sub(self.faults.report_delay);
        let report = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| *at <= newest)
            .or(self.reports.first());
        let mut report = report.map(|(_, report)| report.clone()).unwrap_or_default();
        if let Some((cache_outcome, concurrency)) = call {
            report.push("named_metrics.found", f64::from(cache_outcome as u8));
            report.push("named_metrics.crowd", concurrency as f64);
        }
        headers.with(load_report::HEADER_NAME, &report.to_header_value())
    }

    /// Carries out the outputs of the worker model.
    fn process_outputs(&mut self) {
        for output in self.model.take_outputs() {
            match output {
                WorkerOutput::CallCompleted {
                    call,
                    cache_outcome,
                    concurrency,
                    awaited,
                } => self.call_completed(call, cache_outcome, concurrency, awaited),
                WorkerOutput::CallRejected { call } => {
                    self.record_rejection(call);
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
                    self.record_rejection(call);
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
                    if let Some(exchange) = self.load_commands.remove(&command) {
                        let status = if succeeded { 200 } else { 429 };
                        let headers = Headers::new().with("content-type", "application/json");
                        self.respond(exchange, status, headers, models::encode_replicas(copies as u32));
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
        let Some(open_call) = self.open_calls.get(&call) else {
            return;
        };
        if !awaited {
            self.open_calls.remove(&call);
            return;
        }
        let result = functions::run(&open_call.function, &open_call.payload, &self.address.to_string());
        let mut headers = Headers::new().with("content-type", "application/json");
        if result.is_error {
            headers.push("x-amz-function-error", "Unhandled");
        }
        let headers = self.with_report(headers, Some((cache_outcome, concurrency)));
        self.finish(call, 200, headers, result.body);
    }

    /// Fetches a function from the store; without a store, the fetch ends after `fetch_time`.
    fn fetch(&mut self, load: u64, function: &str, fetch_time: Duration) {
        self.record(Observation::FetchRequested {
            worker: self.address.to_string(),
        });
        let Some(store) = self.config.store else {
            let at = self.now() + fetch_time;
            return self.local_fetches.push((at, load));
        };
        let request = OutgoingRequest {
            method: "GET",
            target: format!("/{function}?us={}", fetch_time.as_micros()),
            headers: Headers::new(),
            body: Rc::from([]),
            connect_timeout: Duration::from_secs(2),
            streams_response: false,
        };
        let call = self.http.call(store, request);
        self.store_fetches.insert(call, load);
    }

    /// Ends a call with a response, which an injected fault may delay or drop.
    fn finish(&mut self, id: u64, status: u16, headers: Headers, body: Vec<u8>) {
        let Some(call) = self.open_calls.remove(&id) else {
            return;
        };
        let response = Response {
            status,
            headers,
            body,
        };
        if self.faults.silent || self.faults.hang {
            self.open_calls.insert(id, call);
            return;
        }
        if self.faults.lost_response_share > 0.0
            && self.rng.random_range(0.0..1.0) < self.faults.lost_response_share
        {
            self.http.abort(call.exchange);
            return self.record_end(id, call.exchange);
        }
        if self.faults.response_delay > Duration::ZERO {
            let at = self.now() + self.faults.response_delay;
            return self.delayed_responses.push((at, id, call.exchange, response));
        }
        self.http.respond(call.exchange, &response);
        self.record_end(id, call.exchange);
    }

    fn record_end(&mut self, id: u64, exchange: Exchange) {
        if self.call_by_exchange.remove(&exchange).is_some() {
            self.record(Observation::AttemptEnded {
                worker: self.address.to_string(),
                incarnation: self.incarnation,
                call: id,
            });
        }
    }

    fn respond(&mut self, exchange: Exchange, status: u16, headers: Headers, body: Vec<u8>) {
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
        let open_calls: Vec<(Exchange, u64)> = self.call_by_exchange.drain().collect();
        for (_, id) in open_calls {
            self.record(Observation::AttemptEnded {
                worker: self.address.to_string(),
                incarnation: self.incarnation,
                call: id,
            });
        }
        self.http.close_all();
        (self.open_calls, self.load_commands, self.store_fetches) = Default::default();
        (self.local_fetches, self.delayed_responses, self.reports) = Default::default();
        self.model = WorkerModel::new(self.config.spec.clone(), self.config.specs.clone(), self.now());
    }

    fn restart(&mut self) {
        if self.up {
            self.crash();
        }
        let now = self.now();
        self.model = WorkerModel::new(self.config.spec.clone(), self.config.specs.clone(), now);
        self.faults = Faults::default();
        self.record_start(self.config.spec.slow_start_duration);
        match quartzdrift_http::bind(self.address, false).and_then(|listener| self.http.listen(listener)) {
            Ok(()) => self.up = true,
            Err(e) => eprintln!("worker {} cannot listen again: {e}", self.address),
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
            } => self.handle_request(exchange, request),
            HttpEvent::Request {
                exchange,
                request: Err(_),
            } => self.respond(exchange, 400, Headers::new(), Vec::new()),
            HttpEvent::ClientDisconnected { exchange } => {
                let Some(&id) = self.call_by_exchange.get(&exchange) else {
                    return;
                };
                self.record_end(id, exchange);
                self.delayed_responses.retain(|(_, held, ..)| *held != id);
                if !self.faults.hang {
                    let now = self.now();
                    if self.model.cancel_call(now, id) {
                        self.forget_key(id);
                    }
                    self.process_outputs();
                }
            }
            HttpEvent::Response { call, response } => {
                if let Some(load) = self.store_fetches.remove(&call) {
                    let now = self.now();
                    if response.status != 200 {
                        self.record(Observation::FetchRefused {
                            worker: self.address.to_string(),
                        });
                    }
                    self.model.fetch_ended(now, load, response.status == 200);
                    self.process_outputs();
                }
            }
            HttpEvent::CallFailed { call, .. } => {
                if let Some(load) = self.store_fetches.remove(&call) {
                    let now = self.now();
                    self.model.fetch_ended(now, load, false);
                    self.process_outputs();
                }
            }
            HttpEvent::ResponsePart { .. } | HttpEvent::ResponseEnd { .. } => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::SetFaults(faults) => {
                let responds_again = self.faults.silent && !faults.silent || self.faults.hang && !faults.hang;
                self.faults = faults;
                // Calls that arrived during the fault are never executed; their callers time out.
                if responds_again {
                    let now = self.now();
                    self.model.due(now);
                    self.process_outputs();
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
        let local_fetch = self.local_fetches.iter().map(|(at, _)| *at).min();
        let delayed_response = self.delayed_responses.iter().map(|(at, ..)| *at).min();
        [model, local_fetch, delayed_response].into_iter().flatten().min()
    }

    fn run_due(&mut self, now: Duration) {
        if !self.up {
            return;
        }
        if !self.faults.hang {
            let (due, pending) = std::mem::take(&mut self.local_fetches)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.local_fetches = pending;
            let due: Vec<(Duration, u64)> = due;
            due.into_iter()
                .for_each(|(_, load)| self.model.fetch_ended(now, load, true));
            self.model.due(now);
            self.process_outputs();
        }
        let (due, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_responses)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.delayed_responses = pending;
        for (_, id, exchange, response) in due {
            self.http.respond(exchange, &response);
            self.record_end(id, exchange);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
