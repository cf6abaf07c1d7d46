//! A client that sends on without pause until nobody listens any more, and records what became of each request.
use quartzdrift_lab::cluster_harness::request_fields;
use quartzdrift_lab::platform::{Frontend, Reply, RequestFields};
use rand::RngExt;
use rand::rngs::StdRng;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How a client behaves.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Requests in one write.
    pub batch: u16,
    /// Longest pause between an answer and the next request.
    pub pause: Duration,
    /// How long it waits for an answer.
    pub timeout: Duration,
    /// Share of batches that are withdrawn, or whose connection is closed under them.
    pub leaves: f64,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered with this status, after which the body was right.
    Answered { status: u16, whole: bool },
    /// Withdrawn, and its end was told.
    Withdrawn,
    /// The client closed its connection under it.
    Left,
    /// Its connection ended under it. `crossed`: nothing else was open on it before, so that it may be sent again.
    Cut { crossed: bool },
    /// It could not be written: the connection had ended.
    Unwritten,
}

/// A request as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub id: u64,
    /// Just before it was written.
    pub written: Instant,
    /// How long its client waits for the answer.
    pub timeout: Duration,
    /// When its end was seen, or the client left.
    pub ended: Instant,
    pub end: End,
    /// Whether it was sent because another one had crossed a close.
    pub again: bool,
}

pub struct Client {
    pub at: SocketAddr,
    pub manner: Manner,
    pub random: StdRng,
    /// First id of its own.
    pub first_id: u64,
    pub requests: Vec<Request>,
}

impl Client {
    /// Sends until a connection is refused, and returns what became of each request.
    pub fn run(mut self) -> Vec<Request> {
        let mut again = false;
        while let Ok(mut frontend) = Frontend::connect(self.at) {
            again = self.use_connection(&mut frontend, again);
        }
        self.requests
    }

    /// Uses a connection until it ends; returns whether the last requests crossed its end. `again`: the first ones did so
    /// before.
    fn use_connection(&mut self, frontend: &mut Frontend, mut again: bool) -> bool {
        loop {
            let first = self.requests.len();
            match self.batch(frontend, again) {
                Ok(true) => again = false,
                Ok(false) => return false,
                Err(_) => {
                    let crossed = |request: &Request| request.end == End::Cut { crossed: true };
                    return self.requests[first..].iter().any(crossed);
                }
            }
            if !self.manner.pause.is_zero() {
                let pause = self.random.random_range(Duration::ZERO..=self.manner.pause);
                std::thread::sleep(pause);
            }
        }
    }

    /// Sends a batch and takes its answers; `false` where the client has closed the connection itself.
    fn batch(&mut self, frontend: &mut Frontend, again: bool) -> io::Result<bool> {
        let first = self.requests.len();
        let numbers = 1..=self.manner.batch;
        let ids: Vec<u64> = numbers
            .clone()
            .map(|n| self.first_id + first as u64 + u64::from(n))
            .collect();
        let bytes: Vec<u8> = numbers
            .clone()
            .zip(&ids)
            .flat_map(|(n, id)| self.bytes(n, *id))
            .collect();
        let written = Instant::now();
        let sent = frontend.send(&bytes);
        let end = if sent.is_ok() {
            End::Cut { crossed: true }
        } else {
            End::Unwritten
        };
        let timeout = self.manner.timeout;
        let open = |id: &u64| Request {
            id: *id,
            written,
            timeout,
            ended: written,
            end,
            again,
        };
        self.requests.extend(ids.iter().map(open));
        let taken = match sent {
            Ok(()) => self.take(frontend, first),
            Err(error) => Err(error),
        };
        if taken.is_err() {
            self.cut(first);
        }
        taken
    }

    fn bytes(&self, number: u16, id: u64) -> Vec<u8> {
        let path = if id.is_multiple_of(3) {
            "/do/once"
        } else {
            "/do/again"
        };
        let (id, time) = (format!("{id:016x}"), self.manner.timeout.as_millis().to_string());
        let request = RequestFields {
            timeout_ms: &time,
            ..request_fields(path, &id)
        };
        Frontend::encode_request(number, &request)
    }

    fn take(&mut self, frontend: &mut Frontend, first: usize) -> io::Result<bool> {
        let withdraws = self.random.random_bool(self.manner.leaves);
        if withdraws {
            std::thread::sleep(
                self.random
                    .random_range(Duration::ZERO..=Duration::from_millis(20)),
            );
            if self.random.random_bool(0.5) {
                for request in &mut self.requests[first..] {
                    (request.end, request.ended) = (End::Left, Instant::now());
                }
                return Ok(false);
            }
            let aborts: Vec<u8> = (1..=self.manner.batch).flat_map(Frontend::encode_abort).collect();
            let left = Instant::now();
            frontend.send(&aborts)?;
            for request in &mut self.requests[first..] {
                request.ended = left;
            }
        }
        for _ in 0..self.manner.batch {
            let reply = frontend.read_reply()?;
            self.answered(first, &reply, withdraws);
        }
        Ok(true)
    }

    fn answered(&mut self, first: usize, reply: &Reply, withdrawn: bool) {
        let request = &mut self.requests[first + usize::from(reply.fastcgi_id) - 1];
        if !withdrawn {
            request.ended = Instant::now();
        }
        request.end = if reply.status == 0 {
            End::Withdrawn
        } else {
            End::Answered {
                status: reply.status,
                whole: reply.status != 200 || reply.body == request.id.to_be_bytes(),
            }
        };
    }

    /// The connection has ended under what is open of a batch.
    fn cut(&mut self, first: usize) {
        let batch = &mut self.requests[first..];
        let crossed = batch
            .iter()
            .all(|request| matches!(request.end, End::Cut { .. } | End::Unwritten));
        for request in batch {
            request.ended = Instant::now();
            if let End::Cut { .. } = request.end {
                request.end = End::Cut { crossed };
            }
        }
    }
}
