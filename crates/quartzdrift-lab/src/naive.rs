//! A gateway that breaks the rules on purpose: it keeps the first list of workers that it sees, sends at random, and
//! sends again whatever failed or took long, whether or not it may have run. Auditors are proved against it.
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

/// After this an attempt is taken to have failed, and sent again while the first still runs.
const IMPATIENT: Duration = Duration::from_millis(300);
const MAX_SENDS: u32 = 3;

struct ClientRequest {
    exchange: Exchange,
    target: String,
    headers: Headers,
    body: Rc<[u8]>,
    sends: u32,
    again_at: Duration,
}

struct Naive {
    http: Http<Naive>,
    start: Instant,
    settings: Settings,
    workers: Vec<SocketAddr>,
    list: Option<CallId>,
    requests: HashMap<u64, ClientRequest>,
    calls: HashMap<CallId, u64>,
    chance: StdRng,
    drawn: u64,
}

impl HasHttp for Naive {
    fn http(&mut self) -> &mut Http<Naive> {
        &mut self.http
    }
}

impl Naive {
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
        request.sends += 1;
        request.again_at = self.start.elapsed() + IMPATIENT;
        let (target, headers, body) = (
            request.target.clone(),
            request.headers.clone(),
            request.body.clone(),
        );
        if self.workers.is_empty() {
            return;
        }
        let to = self.workers[self.chance.random_range(0..self.workers.len())];
        let outgoing = self.outgoing("POST", target, headers, body);
        let call = self.http.call(to, outgoing);
        self.calls.insert(call, id);
    }

    fn request(&mut self, exchange: Exchange, request: Request) {
        self.drawn += 1;
        let me = self.settings.scheduler.scheduler_number.unwrap_or(0);
        let mut headers = Headers::new()
            .with("x-amzn-requestid", &format!("naive-{me}-{}", self.drawn))
            .with("x-quartzdrift-scheduler", &me.to_string());
        if let Some(mark) = request.head.headers.get("idempotency-key") {
            headers.push("idempotency-key", mark);
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
            sends: 0,
            again_at: Duration::ZERO,
        };
        self.requests.insert(self.drawn, request);
        self.send(self.drawn);
    }

    fn ended(&mut self, call: CallId, answer: Option<Response>) {
        let Some(id) = self.calls.remove(&call) else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match answer {
            Some(answer) if answer.status == 200 || request.sends >= MAX_SENDS => {
                if let Some(request) = self.requests.remove(&id) {
                    self.http.respond(request.exchange, &answer);
                }
            }
            _ if request.sends < MAX_SENDS => self.send(id),
            _ => {}
        }
    }
}

impl Fake for Naive {
    type Command = ();

    fn handle_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Request {
                exchange,
                request: Ok(request),
            } => self.request(exchange, request),
            HttpEvent::Response { call, response } if self.list == Some(call) => {
                let list = list::read(&response.body, &self.settings.configured_names).unwrap_or_default();
                self.workers = list
                    .workers
                    .iter()
                    .filter_map(|w| list::parse_address(&w.worker).ok())
                    .collect();
            }
            HttpEvent::Response { call, response } => self.ended(call, Some(response)),
            HttpEvent::CallFailed { call, .. } => self.ended(call, None),
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
            .filter(|request| request.sends < MAX_SENDS)
            .map(|request| request.again_at)
            .min()
    }

    fn run_due(&mut self, now: Duration) {
        let late = |request: &ClientRequest| request.sends < MAX_SENDS && request.again_at <= now;
        let again: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| late(request))
            .map(|(id, _)| *id)
            .collect();
        again.into_iter().for_each(|id| self.send(id));
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Serves until it is killed.
pub fn run(settings: Settings, ready: impl FnOnce(SocketAddr)) -> std::io::Result<()> {
    let at = settings
        .listen
        .first()
        .copied()
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = quartzdrift_http::bind(at, false)?;
    ready(listener.local_addr()?);
    actor::run(Some(listener), None, |handle: LoopHandle<'static, Naive>| {
        let mut naive = Naive {
            http: Http::new(handle, Limits::default()),
            start: Instant::now(),
            workers: Vec::new(),
            list: None,
            requests: HashMap::new(),
            calls: HashMap::new(),
            chance: StdRng::seed_from_u64(settings.seed.unwrap_or(0)),
            drawn: 0,
            settings,
        };
        if let Some(discovery) = naive.settings.discovery.clone() {
            let outgoing = naive.outgoing("GET", discovery.target, Headers::new(), Rc::from([]));
            naive.list = Some(naive.http.call(discovery.address, outgoing));
        }
        naive
    })
}
