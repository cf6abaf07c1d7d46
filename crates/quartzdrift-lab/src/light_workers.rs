//! Workers that respond without executing calls, many on one thread. They use so little time that the cost of
//! a gateway can be measured.
use crate::actor::Fake;
use calloop::LoopHandle;
use quartzdrift_http::{Exchange, HasHttp, Headers, Http, HttpEvent, Limits, Response};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Workers that answer every call with the same response, after a delay.
pub struct LightWorkers {
    http: Http<LightWorkers>,
    start: Instant,
    delay: Duration,
    /// Calls that wait for their response, with its time.
    delayed: VecDeque<(Duration, Exchange)>,
    response: Response,
}

impl HasHttp for LightWorkers {
    fn http(&mut self) -> &mut Http<LightWorkers> {
        &mut self.http
    }
}

impl LightWorkers {
    /// Workers on all of `listeners`, which answer each call after `delay`.
    pub fn new(
        handle: LoopHandle<'static, LightWorkers>,
        listeners: Vec<TcpListener>,
        delay: Duration,
    ) -> LightWorkers {
        let limits = Limits {
            idle_timeout: Duration::from_secs(600),
            connections: 100_000,
            ..Limits::default()
        };
        let mut http = Http::new(handle, limits);
        for listener in listeners {
            if let Err(e) = http.listen(listener) {
                eprintln!("a light worker failed to accept connections on its listener: {e}");
            }
        }
        let headers = Headers::new().with("content-type", "application/json").with(
            "endpoint-load-metrics",
            "TEXT named_metrics.inflight=1,named_metrics.found=1",
        );
        let response = Response {
            status: 200,
            headers,
            body: b"{\"ok\":true}".to_vec(),
        };
        LightWorkers {
            http,
            start: Instant::now(),
            delay,
            delayed: VecDeque::new(),
            response,
        }
    }
}

/// Opens `count` listeners at free ports of loopback, and returns them with their addresses.
pub fn listeners(count: usize) -> std::io::Result<(Vec<TcpListener>, Vec<SocketAddr>)> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listeners = (0..count)
        .map(|_| quartzdrift_http::bind(any_port, false))
        .collect::<Result<Vec<_>, _>>()?;
    let addresses = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<Vec<_>, _>>()?;
    Ok((listeners, addresses))
}

impl Fake for LightWorkers {
    type Command = ();

    fn handle_event(&mut self, event: HttpEvent) {
        if let HttpEvent::Request {
            exchange,
            request: Ok(_),
        } = event
        {
            if self.delay.is_zero() {
                self.http.respond(exchange, &self.response);
            } else {
                self.delayed.push_back((self.now() + self.delay, exchange));
            }
        }
    }

    fn handle_command(&mut self, (): ()) {}

    fn next_due(&self) -> Option<Duration> {
        self.delayed.front().map(|(at, _)| *at)
    }

    fn run_due(&mut self, now: Duration) {
        while let Some((_, exchange)) = self.delayed.pop_front_if(|(at, _)| *at <= now) {
            self.http.respond(exchange, &self.response);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
