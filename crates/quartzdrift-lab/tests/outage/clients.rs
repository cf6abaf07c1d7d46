//! Clients of a scheduler: requests at drawn times whatever became of the earlier ones, each recorded.
use quartzdrift_lab::cluster_harness::request_fields;
use quartzdrift_lab::platform::{Frontend, RequestFields};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long clients wait for an answer, in milliseconds.
pub const TIMEOUT_MS: &str = "1500";
/// Functions that are asked for, the first ones most.
const FUNCTIONS: u32 = 12;
/// Requests a second of one connection: its requests wait for each other.
const RATE_OF_CONNECTION: f64 = 4.0;
/// Before a connection that was lost is made anew.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest sleep of a client that waits for its next request.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// A request as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub sent: Instant,
    pub ended: Instant,
    /// Status of its answer; 0: none came.
    pub status: u16,
}

/// The clients of one scheduler.
pub struct Clients {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Request>>>,
}

impl Clients {
    /// Sends `rate` requests a second to a scheduler. Ids begin behind `first_id`.
    pub fn start(at: SocketAddr, rate: f64, first_id: u64, seed: u64) -> Clients {
        let over = Arc::new(AtomicBool::new(false));
        let connections = (rate / RATE_OF_CONNECTION).ceil().max(1.0) as u64;
        let threads = (0..connections)
            .map(|n| {
                let client = Client {
                    at,
                    interval: connections as f64 / rate,
                    next_id: first_id + n * 1_000_000,
                    random: StdRng::seed_from_u64(seed ^ first_id ^ n << 20),
                    over: over.clone(),
                    requests: Vec::new(),
                };
                thread::spawn(move || client.run())
            })
            .collect();
        Clients { over, threads }
    }

    /// Ends them, and returns all requests.
    pub fn stop(self) -> Vec<Request> {
        self.over.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("a client does not panic"))
            .collect()
    }
}

struct Client {
    at: SocketAddr,
    /// Mean seconds between two requests.
    interval: f64,
    next_id: u64,
    random: StdRng,
    over: Arc<AtomicBool>,
    requests: Vec<Request>,
}

impl Client {
    fn run(mut self) -> Vec<Request> {
        let mut due = Instant::now();
        let mut frontend = None;
        while !self.over.load(Ordering::Relaxed) {
            let left = due.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                thread::sleep(left.min(MAX_SLEEP));
                continue;
            }
            let seconds = -self.interval * (1.0 - self.random.random::<f64>()).ln();
            due += Duration::from_secs_f64(seconds);
            if frontend.is_none() {
                frontend = Frontend::connect(self.at).ok();
            }
            let sent = Instant::now();
            let status = frontend.as_mut().and_then(|frontend| self.ask(frontend));
            if status.is_none() {
                frontend = None;
                thread::sleep(RECONNECT_DELAY);
            }
            self.requests.push(Request {
                sent,
                ended: Instant::now(),
                status: status.unwrap_or(0),
            });
        }
        self.requests
    }

    /// Sends a request and takes its answer's status; `None`: the connection has ended, or brought something else.
    fn ask(&mut self, frontend: &mut Frontend) -> Option<u16> {
        self.next_id += 1;
        let id = format!("{:016x}", self.next_id);
        let popularity = self.random.random::<f64>();
        let function = (popularity * popularity * f64::from(FUNCTIONS)) as u32;
        let function = format!("7f3a9c21e0b4d6{function:02x}");
        let path = if self.random.random_bool(0.2) {
            "/do/once"
        } else {
            "/do/again"
        };
        let request = RequestFields {
            timeout_ms: TIMEOUT_MS,
            function: &function,
            ..request_fields(path, &id)
        };
        frontend.send(&Frontend::encode_request(1, &request)).ok()?;
        let reply = frontend.read_reply().ok()?;
        let is_right = reply.status != 200 || reply.body == self.next_id.to_be_bytes();
        is_right.then_some(reply.status)
    }
}
