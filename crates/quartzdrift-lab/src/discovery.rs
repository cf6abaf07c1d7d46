//! A fake for the roster: HTTP service discovery JSON at `/workers/GATEWAY`, with changes pushed over
//! server-sent events to those who accept them, as late as told.
use crate::actor::Fake;
use crate::record::{Observation, Recorder};
use calloop::LoopHandle;
use quartzdrift_discovery::{ConfiguredNames, DiscoveredEndpoint, event_stream, list};
use quartzdrift_http::{Exchange, HasHttp, Headers, Http, HttpEvent, Limits, Response};
use quartzdrift_scheduler::interface::EndpointState;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Bytes that wait for a slow reader at most.
const MAX_WAITING: usize = 8 << 20;

pub enum Command {
    /// What is so from now on; told as late as the lag says.
    UpdateEndpoint(DiscoveredEndpoint),
    SetLag(Duration),
    /// Answers nothing and cuts its streams.
    SetStopped(bool),
    /// Answers with an empty list, whatever is so.
    SetEmpty(bool),
    /// Says nothing more to one gateway, and ends nothing.
    SetStalled(u64, bool),
    /// Where a gateway reaches workers, by their own addresses, if not there.
    SetRelays(BTreeMap<(u64, String), String>),
}

pub struct FakeDiscovery {
    http: Http<FakeDiscovery>,
    start: Instant,
    recorder: Option<Recorder>,
    lag: Duration,
    late: VecDeque<(Duration, DiscoveredEndpoint)>,
    told: BTreeMap<String, DiscoveredEndpoint>,
    streams: Vec<(Exchange, u64)>,
    /// What each gateway was told last of each worker: whether it is up.
    heard: BTreeMap<(u64, String), bool>,
    stopped: bool,
    empty: bool,
    stalled: BTreeSet<u64>,
    relays: BTreeMap<(u64, String), String>,
}

impl HasHttp for FakeDiscovery {
    fn http(&mut self) -> &mut Http<FakeDiscovery> {
        &mut self.http
    }
}

impl FakeDiscovery {
    pub fn new(
        handle: LoopHandle<'static, FakeDiscovery>,
        workers: Vec<DiscoveredEndpoint>,
        lag: Duration,
        recorder: Option<Recorder>,
    ) -> FakeDiscovery {
        FakeDiscovery {
            http: Http::new(
                handle,
                Limits {
                    idle_timeout: Duration::from_secs(300),
                    ..Limits::default()
                },
            ),
            start: Instant::now(),
            recorder,
            lag,
            late: VecDeque::new(),
            told: workers.into_iter().map(|one| (one.worker.clone(), one)).collect(),
            streams: Vec::new(),
            heard: BTreeMap::new(),
            stopped: false,
            empty: false,
            stalled: BTreeSet::new(),
            relays: BTreeMap::new(),
        }
    }

    /// Notes what a gateway learns by what is sent to it now.
    fn note(&mut self, gateway: u64, workers: &[DiscoveredEndpoint]) {
        for one in workers {
            let up = one.state == EndpointState::Up;
            let before = self.heard.insert((gateway, one.worker.clone()), up);
            let Some(recorder) = &self.recorder else { continue };
            let worker = one.worker.clone();
            match (before, up) {
                (Some(true) | None, false) => {
                    recorder.record(Observation::EndpointDownSent { gateway, worker })
                }
                (Some(false) | None, true) => {
                    recorder.record(Observation::EndpointUpSent { gateway, worker })
                }
                (Some(true), true) | (Some(false), false) => {}
            }
        }
    }

    /// A worker as a gateway reaches it.
    fn reached(&self, gateway: u64, one: &DiscoveredEndpoint) -> DiscoveredEndpoint {
        let relay = self.relays.get(&(gateway, one.worker.clone()));
        DiscoveredEndpoint {
            worker: relay.unwrap_or(&one.worker).clone(),
            ..one.clone()
        }
    }

    fn listed(&self) -> Vec<DiscoveredEndpoint> {
        if self.empty {
            return Vec::new();
        }
        self.told
            .values()
            .filter(|one| one.state != EndpointState::Gone)
            .cloned()
            .collect()
    }

    fn asked(&mut self, exchange: Exchange, target: &str, events: bool) {
        let gateway = target
            .rsplit('/')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        if self.stalled.contains(&gateway) {
            return;
        }
        if events {
            // A process that asks for the stream knows nothing yet.
            self.heard.retain(|(of, _), _| *of != gateway);
        }
        let workers: Vec<DiscoveredEndpoint> = self
            .listed()
            .iter()
            .map(|one| self.reached(gateway, one))
            .collect();
        let text = list::write(&workers, &ConfiguredNames::default());
        if !self.empty {
            let all: Vec<DiscoveredEndpoint> = self.told.values().cloned().collect();
            self.note(gateway, &all);
        }
        if events {
            self.http.begin_response(
                exchange,
                200,
                &Headers::new().with("content-type", "text/event-stream"),
            );
            let full = event_stream::write_event("full", &String::from_utf8_lossy(&text));
            if self.http.send_part(exchange, &full, MAX_WAITING) {
                self.streams.push((exchange, gateway));
            }
        } else {
            let headers = Headers::new().with("content-type", "application/json");
            self.http.respond(
                exchange,
                &Response {
                    status: 200,
                    headers,
                    body: text,
                },
            );
        }
    }
}

impl Fake for FakeDiscovery {
    type Command = Command;

    fn handle_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Request { exchange, request } => match request {
                Ok(_) if self.stopped => self.http.abort(exchange),
                Ok(request) => {
                    let events = request.head.headers.get("accept") == Some("text/event-stream");
                    self.asked(exchange, &request.head.target, events);
                }
                Err(_) => self.http.respond(
                    exchange,
                    &Response {
                        status: 400,
                        ..Response::default()
                    },
                ),
            },
            HttpEvent::ClientDisconnected { exchange } => self.streams.retain(|(of, _)| *of != exchange),
            HttpEvent::Response { .. }
            | HttpEvent::ResponsePart { .. }
            | HttpEvent::ResponseEnd { .. }
            | HttpEvent::CallFailed { .. } => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::UpdateEndpoint(listed) => self.late.push_back((self.now() + self.lag, listed)),
            Command::SetLag(lag) => self.lag = lag,
            Command::SetStopped(on) => {
                self.stopped = on;
                if on {
                    std::mem::take(&mut self.streams)
                        .into_iter()
                        .for_each(|(of, _)| self.http.abort(of));
                }
            }
            Command::SetEmpty(on) => self.empty = on,
            Command::SetStalled(gateway, on) if on => drop(self.stalled.insert(gateway)),
            Command::SetStalled(gateway, _) => {
                // What it missed it hears when it asks again, over a connection that lives.
                self.stalled.remove(&gateway);
                let (its, others) = std::mem::take(&mut self.streams)
                    .into_iter()
                    .partition(|(_, of)| *of == gateway);
                self.streams = others;
                let its: Vec<(Exchange, u64)> = its;
                its.into_iter().for_each(|(of, _)| self.http.abort(of));
            }
            Command::SetRelays(relays) => self.relays = relays,
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.late.iter().map(|(at, _)| *at).min()
    }

    fn run_due(&mut self, now: Duration) {
        while let Some((_, listed)) = self.late.pop_front_if(|(at, _)| *at <= now) {
            self.told.insert(listed.worker.clone(), listed.clone());
            if self.stopped || self.empty {
                continue;
            }
            for (exchange, gateway) in self.streams.clone() {
                if self.stalled.contains(&gateway) {
                    continue;
                }
                let change = list::write(&[self.reached(gateway, &listed)], &ConfiguredNames::default());
                let change = event_stream::write_event("changes", &String::from_utf8_lossy(&change));
                self.note(gateway, std::slice::from_ref(&listed));
                self.http.send_part(exchange, &change, MAX_WAITING);
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
