//! A fake service discovery. It serves the endpoint list as JSON over HTTP at `/workers/GATEWAY`, and pushes
//! changes, after a configurable delay, as server-sent events to gateways that accept them.
use crate::actor::Fake;
use crate::record::{Observation, Recorder};
use calloop::LoopHandle;
use quartzdrift_discovery::{ConfiguredNames, DiscoveredEndpoint, event_stream, list};
use quartzdrift_http::{Exchange, HasHttp, Headers, Http, HttpEvent, Limits, Response};
use quartzdrift_scheduler::interface::EndpointState;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Most bytes buffered for a slow reader of a stream.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// Commands to the fake discovery.
pub enum Command {
    /// Changes an endpoint; gateways see the change after the lag.
    UpdateEndpoint(DiscoveredEndpoint),
    /// Sets the delay until gateways see a change.
    SetLag(Duration),
    /// Sets whether discovery closes every connection without a response, its open streams included.
    SetStopped(bool),
    /// Sets whether discovery returns an empty list in place of the endpoints.
    SetEmpty(bool),
    /// Sets whether discovery stops sending to a gateway while it leaves the connections open.
    SetStalled(u64, bool),
    /// Addresses of relays, by gateway and worker: these gateways are given the relay's address for the
    /// worker.
    SetRelays(BTreeMap<(u64, String), String>),
}

/// The fake service discovery and its streams.
pub struct FakeDiscovery {
    http: Http<FakeDiscovery>,
    start: Instant,
    recorder: Option<Recorder>,
    lag: Duration,
    /// Changes that gateways do not see yet, each with the time at which they become visible.
    pending_changes: VecDeque<(Duration, DiscoveredEndpoint)>,
    /// The endpoints that gateways see, by address.
    endpoints: BTreeMap<String, DiscoveredEndpoint>,
    /// Open streams, each with its gateway.
    streams: Vec<(Exchange, u64)>,
    /// Whether a worker was up when its state was last sent to a gateway.
    last_sent_up: BTreeMap<(u64, String), bool>,
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
            pending_changes: VecDeque::new(),
            endpoints: workers
                .into_iter()
                .map(|endpoint| (endpoint.worker.clone(), endpoint))
                .collect(),
            streams: Vec::new(),
            last_sent_up: BTreeMap::new(),
            stopped: false,
            empty: false,
            stalled: BTreeSet::new(),
            relays: BTreeMap::new(),
        }
    }

    /// Records the changes that a gateway learns from the endpoints sent to it now.
    fn record_sent(&mut self, gateway: u64, endpoints: &[DiscoveredEndpoint]) {
        for endpoint in endpoints {
            let up = endpoint.state == EndpointState::Up;
            let was_up = self.last_sent_up.insert((gateway, endpoint.worker.clone()), up);
            let Some(recorder) = &self.recorder else { continue };
            let worker = endpoint.worker.clone();
            match (was_up, up) {
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

    /// The endpoint with the address at which the gateway reaches it.
    fn relayed(&self, gateway: u64, endpoint: &DiscoveredEndpoint) -> DiscoveredEndpoint {
        let relay = self.relays.get(&(gateway, endpoint.worker.clone()));
        DiscoveredEndpoint {
            worker: relay.unwrap_or(&endpoint.worker).clone(),
            ..endpoint.clone()
        }
    }

    /// The endpoint list: all endpoints but those that are gone.
    fn endpoint_list(&self) -> Vec<DiscoveredEndpoint> {
        if self.empty {
            return Vec::new();
        }
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.state != EndpointState::Gone)
            .cloned()
            .collect()
    }

    /// Answers a request for the list, or opens a stream that begins with it.
    fn serve_list(&mut self, exchange: Exchange, target: &str, as_stream: bool) {
        let gateway = target
            .rsplit('/')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        if self.stalled.contains(&gateway) {
            return;
        }
        if as_stream {
            // A process that opens a stream has received no list yet.
            self.last_sent_up.retain(|(sent_to, _), _| *sent_to != gateway);
        }
        let workers: Vec<DiscoveredEndpoint> = self
            .endpoint_list()
            .iter()
            .map(|endpoint| self.relayed(gateway, endpoint))
            .collect();
        let text = list::write(&workers, &ConfiguredNames::default());
        if !self.empty {
            let endpoints: Vec<DiscoveredEndpoint> = self.endpoints.values().cloned().collect();
            self.record_sent(gateway, &endpoints);
        }
        if as_stream {
            self.http.begin_response(
                exchange,
                200,
                &Headers::new().with("content-type", "text/event-stream"),
            );
            let full = event_stream::write_event("full", &String::from_utf8_lossy(&text));
            if self.http.send_part(exchange, &full, MAX_BUFFERED_BYTES) {
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
                    let as_stream = request.head.headers.get("accept") == Some("text/event-stream");
                    self.serve_list(exchange, &request.head.target, as_stream);
                }
                Err(_) => self.http.respond(
                    exchange,
                    &Response {
                        status: 400,
                        ..Response::default()
                    },
                ),
            },
            HttpEvent::ClientDisconnected { exchange } => {
                self.streams.retain(|(stream, _)| *stream != exchange)
            }
            HttpEvent::Response { .. }
            | HttpEvent::ResponsePart { .. }
            | HttpEvent::ResponseEnd { .. }
            | HttpEvent::CallFailed { .. } => {}
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::UpdateEndpoint(endpoint) => {
                self.pending_changes.push_back((self.now() + self.lag, endpoint));
            }
            Command::SetLag(lag) => self.lag = lag,
            Command::SetStopped(on) => {
                self.stopped = on;
                if on {
                    std::mem::take(&mut self.streams)
                        .into_iter()
                        .for_each(|(exchange, _)| self.http.abort(exchange));
                }
            }
            Command::SetEmpty(on) => self.empty = on,
            Command::SetStalled(gateway, on) if on => drop(self.stalled.insert(gateway)),
            Command::SetStalled(gateway, _) => {
                // Closing the gateway's streams makes it connect again and receive the changes that it
                // missed.
                self.stalled.remove(&gateway);
                let (of_gateway, others) = std::mem::take(&mut self.streams)
                    .into_iter()
                    .partition(|(_, stream_gateway)| *stream_gateway == gateway);
                self.streams = others;
                let of_gateway: Vec<(Exchange, u64)> = of_gateway;
                of_gateway
                    .into_iter()
                    .for_each(|(exchange, _)| self.http.abort(exchange));
            }
            Command::SetRelays(relays) => self.relays = relays,
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.pending_changes.iter().map(|(at, _)| *at).min()
    }

    fn run_due(&mut self, now: Duration) {
        while let Some((_, endpoint)) = self.pending_changes.pop_front_if(|(at, _)| *at <= now) {
            self.endpoints.insert(endpoint.worker.clone(), endpoint.clone());
            if self.stopped || self.empty {
                continue;
            }
            for (exchange, gateway) in self.streams.clone() {
                if self.stalled.contains(&gateway) {
                    continue;
                }
                let change = list::write(&[self.relayed(gateway, &endpoint)], &ConfiguredNames::default());
                let change = event_stream::write_event("changes", &String::from_utf8_lossy(&change));
                self.record_sent(gateway, std::slice::from_ref(&endpoint));
                self.http.send_part(exchange, &change, MAX_BUFFERED_BYTES);
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
