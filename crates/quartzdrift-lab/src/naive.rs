//! A gateway that breaks the audited rules on purpose, to show that the audit finds violations. It keeps the
//! first endpoint list that it receives, sends to workers at random, and sends a request again whenever an
//! attempt failed or took long, even if that attempt may have run.
use crate::actor::{self, Fake};
use calloop::LoopHandle;
use quartzdrift::settings::Settings;
use quartzdrift_discovery::list;
use quartzdrift_http::{
    CallId, Exchange, HasHttp, Headers, Http, HttpEvent, Limits, OutgoingRequest, Request, Response,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which a request is sent again although its attempt is still running.
const RESEND_AFTER: Duration = Duration::from_millis(300);
/// Most attempts of a request.
const MAX_ATTEMPTS: u32 = 3;

/// A client's request that has no final response yet.
struct ClientRequest {
    exchange: Exchange,
    target: String,
    headers: Headers,
    body: Rc<[u8]>,
    attempts: u32,
    resend_at: Duration,
}

struct NaiveGateway {
    http: Http<NaiveGateway>,
    start: Instant,
    settings: Settings,
    workers: Vec<SocketAddr>,
    /// The call that fetches the endpoint list.
    list_call: Option<CallId>,
    requests: HashMap<u64, ClientRequest>,
    /// Open attempts, with the number of their request.
    calls: HashMap<CallId, u64>,
    random: StdRng,
    /// Number of the last request.
    last_request: u64,
}

impl HasHttp for NaiveGateway {
    fn http(&mut self) -> &mut Http<NaiveGateway> {
        &mut self.http
    }
}

impl NaiveGateway {
    fn outgoing(
        &self,
        method: &'static str,
        target: String,
        headers: Headers,
        body: Rc<[u8]>,
    ) -> OutgoingRequest {
        let connect_timeout = Duration::from_millis(250);
        OutgoingRequest {
            method,
            target,
            headers,
            body,
            connect_timeout,
            streams_response: false,
        }
    }

    fn send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        request.resend_at = self.start.elapsed() + RESEND_AFTER;
        let (target, headers, body) = (
            request.target.clone(),
            request.headers.clone(),
            request.body.clone(),
        );
        if self.workers.is_empty() {
            return;
        }
        let worker = self.workers[self.random.random_range(0..self.workers.len())];
        let outgoing = self.outgoing("POST", target, headers, body);
        let call = self.http.call(worker, outgoing);
        self.calls.insert(call, id);
    }

    /// Accepts a client's request and sends its first attempt.
    fn accept(&mut self, exchange: Exchange, request: Request) {
        self.last_request += 1;
        let scheduler = self.settings.scheduler.scheduler_number.unwrap_or(0);
        let mut headers = Headers::new()
            .with(
                "x-amzn-requestid",
                &format!("naive-{scheduler}-{}", self.last_request),
            )
            .with("x-quartzdrift-scheduler", &scheduler.to_string());
        if let Some(key) = request.head.headers.get("idempotency-key") {
            headers.push("idempotency-key", key);
        }
        if request.head.headers.get("x-amz-invocation-type") == Some("Event") {
            self.http.respond(
                exchange,
                &Response {
                    status: 202,
                    ..Response::default()
                },
            );
        }
        let (target, body) = (request.head.target, request.body.into());
        let request = ClientRequest {
            exchange,
            target,
            headers,
            body,
            attempts: 0,
            resend_at: Duration::ZERO,
        };
        self.requests.insert(self.last_request, request);
        self.send(self.last_request);
    }

    /// Forwards a successful or final response to the client, and sends the request again otherwise.
    fn finish_attempt(&mut self, call: CallId, response: Option<Response>) {
        let Some(id) = self.calls.remove(&call) else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match response {
            Some(response) if response.status == 200 || request.attempts >= MAX_ATTEMPTS => {
                if let Some(request) = self.requests.remove(&id) {
                    self.http.respond(request.exchange, &response);
                }
            }
            _ if request.attempts < MAX_ATTEMPTS => self.send(id),
            _ => {}
        }
    }
}

impl Fake for NaiveGateway {
    type Command = ();

    fn handle_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Request {
                exchange,
                request: Ok(request),
            } => self.accept(exchange, request),
            HttpEvent::Response { call, response } if self.list_call == Some(call) => {
                let list = list::read(&response.body, &self.settings.configured_names).unwrap_or_default();
                self.workers = list
                    .workers
                    .iter()
                    .filter_map(|endpoint| list::parse_address(&endpoint.worker).ok())
                    .collect();
            }
            HttpEvent::Response { call, response } => self.finish_attempt(call, Some(response)),
            HttpEvent::CallFailed { call, .. } => self.finish_attempt(call, None),
            HttpEvent::Request { .. }
            | HttpEvent::ClientDisconnected { .. }
            | HttpEvent::ResponsePart { .. }
            | HttpEvent::ResponseEnd { .. } => {}
        }
    }

    fn handle_command(&mut self, (): ()) {}

    fn next_due(&self) -> Option<Duration> {
        self.requests
            .values()
            .filter(|request| request.attempts < MAX_ATTEMPTS)
            .map(|request| request.resend_at)
            .min()
    }

    fn run_due(&mut self, now: Duration) {
        let is_due = |request: &ClientRequest| request.attempts < MAX_ATTEMPTS && request.resend_at <= now;
        let due: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| is_due(request))
            .map(|(id, _)| *id)
            .collect();
        due.into_iter().for_each(|id| self.send(id));
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Serves until the process is killed. `on_listening` is called with the listen address.
pub fn run(settings: Settings, on_listening: impl FnOnce(SocketAddr)) -> std::io::Result<()> {
    let address = settings
        .listen
        .first()
        .copied()
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = quartzdrift_http::bind(address, false)?;
    on_listening(listener.local_addr()?);
    actor::run(
        Some(listener),
        None,
        |handle: LoopHandle<'static, NaiveGateway>| {
            let mut gateway = NaiveGateway {
                http: Http::new(handle, Limits::default()),
                start: Instant::now(),
                workers: Vec::new(),
                list_call: None,
                requests: HashMap::new(),
                calls: HashMap::new(),
                random: StdRng::seed_from_u64(settings.seed.unwrap_or(0)),
                last_request: 0,
                settings,
            };
            if let Some(discovery) = gateway.settings.discovery.clone() {
                let outgoing = gateway.outgoing("GET", discovery.target, Headers::new(), Rc::from([]));
                gateway.list_call = Some(gateway.http.call(discovery.address, outgoing));
            }
            gateway
        },
    )
}
