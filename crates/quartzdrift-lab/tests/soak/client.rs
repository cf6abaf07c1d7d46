//! A client that sends requests until the scheduler refuses connections, and records the outcome of each
//! request.
use quartzdrift_lab::cluster_harness::request_fields;
use quartzdrift_lab::platform::{Frontend, Reply, RequestFields};
use rand::RngExt;
use rand::rngs::StdRng;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Lowest request id of a flood. The ids of all other clients are below it.
pub const FLOOD_ID: u64 = 1 << 63;

/// Settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Number of requests in a batch, which is sent in one write.
    pub batch: u16,
    /// Longest pause between two batches.
    pub pause: Duration,
    /// Timeout of each request.
    pub timeout: Duration,
    /// Share of batches that the client aborts, or whose connection it closes, before their responses.
    pub leaves: f64,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client received a response with this status.
    Answered { status: u16, body_matches: bool },
    /// The client aborted the request, and the scheduler confirmed the abort.
    Aborted,
    /// The client closed the connection before the response.
    ClientClosed,
    /// The scheduler closed the connection before the response. `raced_close`: no request of the batch
    /// received a response, so the batch may have raced the close, and a client would send the request again.
    ConnectionLost { raced_close: bool },
    /// The write failed because the connection was already closed.
    NotSent,
}

/// A request as recorded by its client.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    pub id: u64,
    /// Time just before the write.
    pub sent_at: Instant,
    /// Timeout of the request.
    pub timeout: Duration,
    /// Time of the response or of the loss of the connection, or of the abort or close by the client.
    pub ended_at: Instant,
    pub outcome: RequestOutcome,
    /// Whether the request follows a batch on an earlier connection that raced a close.
    pub follows_raced_close: bool,
}

/// A client with its own connections, request ids and records.
pub struct Client {
    pub address: SocketAddr,
    pub manner: Manner,
    pub random: StdRng,
    /// Lower bound of the request ids of this client.
    pub first_id: u64,
    pub requests: Vec<RequestRecord>,
}

impl Client {
    /// Sends batches until a connection is refused, and returns the records of all requests.
    pub fn run(mut self) -> Vec<RequestRecord> {
        let mut follows_raced_close = false;
        while let Ok(mut frontend) = Frontend::connect(self.address) {
            follows_raced_close = self.use_connection(&mut frontend, follows_raced_close);
        }
        self.requests
    }

    /// Sends batches on a connection until it ends; returns whether the last batch raced the close.
    /// `follows_raced_close`: the last batch on the previous connection raced its close.
    fn use_connection(&mut self, frontend: &mut Frontend, mut follows_raced_close: bool) -> bool {
        loop {
            let first = self.requests.len();
            match self.send_batch(frontend, follows_raced_close) {
                Ok(true) => follows_raced_close = false,
                Ok(false) => return false,
                Err(_) => {
                    let raced_close = |request: &RequestRecord| {
                        request.outcome == RequestOutcome::ConnectionLost { raced_close: true }
                    };
                    return self.requests[first..].iter().any(raced_close);
                }
            }
            if !self.manner.pause.is_zero() {
                let pause = self.random.random_range(Duration::ZERO..=self.manner.pause);
                std::thread::sleep(pause);
            }
        }
    }

    /// Sends a batch and receives its responses; returns `false` if the client closes the connection itself.
    fn send_batch(&mut self, frontend: &mut Frontend, follows_raced_close: bool) -> io::Result<bool> {
        let first = self.requests.len();
        let numbers = 1..=self.manner.batch;
        let ids: Vec<u64> = numbers
            .clone()
            .map(|n| self.first_id + first as u64 + u64::from(n))
            .collect();
        let bytes: Vec<u8> = numbers
            .clone()
            .zip(&ids)
            .flat_map(|(n, id)| self.encode_request(n, *id))
            .collect();
        let sent_at = Instant::now();
        let sent = frontend.send(&bytes);
        let outcome = if sent.is_ok() {
            RequestOutcome::ConnectionLost { raced_close: true }
        } else {
            RequestOutcome::NotSent
        };
        let timeout = self.manner.timeout;
        let new_record = |id: &u64| RequestRecord {
            id: *id,
            sent_at,
            timeout,
            ended_at: sent_at,
            outcome,
            follows_raced_close,
        };
        self.requests.extend(ids.iter().map(new_record));
        let received = match sent {
            Ok(()) => self.receive_batch(frontend, first),
            Err(error) => Err(error),
        };
        if received.is_err() {
            self.record_connection_lost(first);
        }
        received
    }

    fn encode_request(&self, number: u16, id: u64) -> Vec<u8> {
        let path = if id.is_multiple_of(3) {
            "/do/once"
        } else {
            "/do/again"
        };
        let (id, timeout_ms) = (format!("{id:016x}"), self.manner.timeout.as_millis().to_string());
        let request = RequestFields {
            timeout_ms: &timeout_ms,
            ..request_fields(path, &id)
        };
        Frontend::encode_request(number, &request)
    }

    /// Receives the responses of the batch whose first record has the index `first`, or aborts the batch or
    /// closes the connection at random. Returns `false` if the client closes the connection itself.
    fn receive_batch(&mut self, frontend: &mut Frontend, first: usize) -> io::Result<bool> {
        let leaves = self.random.random_bool(self.manner.leaves);
        if leaves {
            std::thread::sleep(
                self.random
                    .random_range(Duration::ZERO..=Duration::from_millis(20)),
            );
            if self.random.random_bool(0.5) {
                for request in &mut self.requests[first..] {
                    (request.outcome, request.ended_at) = (RequestOutcome::ClientClosed, Instant::now());
                }
                return Ok(false);
            }
            let aborts: Vec<u8> = (1..=self.manner.batch).flat_map(Frontend::encode_abort).collect();
            let aborted_at = Instant::now();
            frontend.send(&aborts)?;
            for request in &mut self.requests[first..] {
                request.ended_at = aborted_at;
            }
        }
        for _ in 0..self.manner.batch {
            let reply = frontend.read_reply()?;
            self.record_reply(first, &reply, leaves);
        }
        Ok(true)
    }

    /// Records a reply. The end of an aborted request remains the time of the abort.
    fn record_reply(&mut self, first: usize, reply: &Reply, aborted: bool) {
        let request = &mut self.requests[first + usize::from(reply.fastcgi_id) - 1];
        if !aborted {
            request.ended_at = Instant::now();
        }
        request.outcome = if reply.status == 0 {
            RequestOutcome::Aborted
        } else {
            RequestOutcome::Answered {
                status: reply.status,
                body_matches: reply.status != 200 || reply.body == request.id.to_be_bytes(),
            }
        };
    }

    /// Records the loss of the connection for the requests of a batch that are still open.
    fn record_connection_lost(&mut self, first: usize) {
        let batch = &mut self.requests[first..];
        let raced_close = batch.iter().all(|request| {
            matches!(
                request.outcome,
                RequestOutcome::ConnectionLost { .. } | RequestOutcome::NotSent
            )
        });
        for request in batch {
            request.ended_at = Instant::now();
            if let RequestOutcome::ConnectionLost { .. } = request.outcome {
                request.outcome = RequestOutcome::ConnectionLost { raced_close };
            }
        }
    }
}
