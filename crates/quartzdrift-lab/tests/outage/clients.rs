//! Clients that send requests to a scheduler at random times and record each request.
//!
//! The times do not depend on the outcome of earlier requests.
use quartzdrift_lab::cluster_harness::request_fields;
use quartzdrift_lab::platform::{Frontend, RequestFields};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Timeout of a request in milliseconds.
pub const TIMEOUT_MS: &str = "1500";
/// Number of functions that requests name. Those with low numbers are requested most.
const FUNCTION_COUNT: u32 = 12;
/// Requests per second of one connection, which has at most one request in flight.
const REQUESTS_PER_SECOND_PER_CONNECTION: f64 = 4.0;
/// Delay before a lost connection is replaced.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest sleep of a client, so that it notices the end of the run in time.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// A request as recorded by its client.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Status of the response; 0: the client received none.
    pub status: u16,
}

/// The client threads of one scheduler.
pub struct Clients {
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<RequestRecord>>>,
}

impl Clients {
    /// Starts clients that send `requests_per_second` requests to the scheduler at `address`. Their request
    /// ids are greater than `first_id`.
    pub fn start(address: SocketAddr, requests_per_second: f64, first_id: u64, seed: u64) -> Clients {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let connections = (requests_per_second / REQUESTS_PER_SECOND_PER_CONNECTION)
            .ceil()
            .max(1.0) as u64;
        let threads = (0..connections)
            .map(|n| {
                let client = Client {
                    address,
                    mean_interval_s: connections as f64 / requests_per_second,
                    next_id: first_id + n * 1_000_000,
                    random: StdRng::seed_from_u64(seed ^ first_id ^ n << 20),
                    stop_requested: stop_requested.clone(),
                    requests: Vec::new(),
                };
                thread::spawn(move || client.run())
            })
            .collect();
        Clients {
            stop_requested,
            threads,
        }
    }

    /// Stops the clients and returns the records of all requests.
    pub fn stop(self) -> Vec<RequestRecord> {
        self.stop_requested.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("a client thread must not panic"))
            .collect()
    }
}

struct Client {
    address: SocketAddr,
    /// Mean time between two requests, in seconds.
    mean_interval_s: f64,
    next_id: u64,
    random: StdRng,
    stop_requested: Arc<AtomicBool>,
    requests: Vec<RequestRecord>,
}

impl Client {
    fn run(mut self) -> Vec<RequestRecord> {
        let mut due_at = Instant::now();
        let mut frontend = None;
        while !self.stop_requested.load(Ordering::Relaxed) {
            let remaining = due_at.saturating_duration_since(Instant::now());
            if !remaining.is_zero() {
                thread::sleep(remaining.min(MAX_SLEEP));
                continue;
            }
            let seconds = -self.mean_interval_s * (1.0 - self.random.random::<f64>()).ln();
            due_at += Duration::from_secs_f64(seconds);
            if frontend.is_none() {
                frontend = Frontend::connect(self.address).ok();
            }
            let sent_at = Instant::now();
            let status = frontend
                .as_mut()
                .and_then(|frontend| self.send_and_receive(frontend));
            if status.is_none() {
                frontend = None;
                thread::sleep(RECONNECT_DELAY);
            }
            self.requests.push(RequestRecord {
                sent_at,
                ended_at: Instant::now(),
                status: status.unwrap_or(0),
            });
        }
        self.requests
    }

    /// Sends a request and returns the status of its response; `None`: the connection has ended, or the body
    /// of the response was wrong.
    fn send_and_receive(&mut self, frontend: &mut Frontend) -> Option<u16> {
        self.next_id += 1;
        let id = format!("{:016x}", self.next_id);
        let popularity = self.random.random::<f64>();
        let function = (popularity * popularity * f64::from(FUNCTION_COUNT)) as u32;
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
        let is_valid = reply.status != 200 || reply.body == self.next_id.to_be_bytes();
        is_valid.then_some(reply.status)
    }
}
