//! A fake worker on a thread of its own that responds to requests, drains, can be down and up again, and
//! records each request that reached it.
use super::reserved_address::{self, ReservedAddress};
use quartzdrift_platform::frame;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Response code of a finished request.
const SUCCEEDED: u8 = 64;
/// Response code of a request that the worker rejects.
const AT_CAPACITY: u8 = 67;
/// Response code to a ping.
const PONG: u8 = 70;
/// Requests that a worker holds at a time; it rejects further ones.
const MAX_HELD_REQUESTS: usize = 32;
/// Requests that a worker runs at the same time; it reports the others as queued.
const CONCURRENCY: usize = 12;
/// Range of the run time of a request.
const RUN_TIME: std::ops::Range<Duration> = Duration::from_millis(8)..Duration::from_millis(90);
/// Longest sleep of a worker, and so the delay until it notices a new phase.
const MAX_SLEEP: Duration = Duration::from_millis(5);

/// The lifecycle phase of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Up,
    /// Finishes the requests that it holds and rejects new ones.
    Draining,
    /// Has closed its connections and does not listen.
    Down,
    /// Ends the thread of the worker.
    Stopped,
}

const PHASES: [Phase; 4] = [Phase::Up, Phase::Draining, Phase::Down, Phase::Stopped];

/// A request as recorded by the worker that received it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedRequest {
    /// Time at which the worker read the first bytes of the request.
    pub received_at: Instant,
    /// Whether the worker ran the request; otherwise it rejected it.
    pub accepted: bool,
}

/// Handle to a running worker.
pub struct Worker {
    pub address: SocketAddr,
    phase: Arc<AtomicU8>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    thread: Option<JoinHandle<()>>,
    _reserved: ReservedAddress,
}

impl Worker {
    /// Starts a worker at a new address, in [`Phase::Up`].
    pub fn start(seed: u64) -> io::Result<Worker> {
        let reserved = ReservedAddress::any()?;
        let address = reserved.address;
        let phase = Arc::new(AtomicU8::new(0));
        let received = Arc::new(Mutex::new(Vec::new()));
        let mut server = Server {
            address,
            phase: phase.clone(),
            received: received.clone(),
            listener: Some(reserved_address::listen(address)?),
            connections: BTreeMap::new(),
            last_connection: 0,
            responses_due: BTreeMap::new(),
            last_response: 0,
            random: StdRng::seed_from_u64(seed),
        };
        let thread = thread::spawn(move || while server.run_once() {});
        Ok(Worker {
            address,
            phase,
            received,
            thread: Some(thread),
            _reserved: reserved,
        })
    }

    /// Enters a phase and returns the time of the change.
    pub fn enter(&self, phase: Phase) -> Instant {
        let index = PHASES.iter().position(|other| *other == phase);
        self.phase.store(
            index.expect("PHASES must list each phase") as u8,
            Ordering::SeqCst,
        );
        Instant::now()
    }

    /// Returns the number of requests that the worker has accepted so far.
    pub fn accepted_count(&self) -> usize {
        let received = self.received.lock().expect("the worker thread must not panic");
        received.iter().filter(|request| request.accepted).count()
    }

    /// Stops the worker and returns the requests that reached it.
    pub fn stop(mut self) -> Vec<ReceivedRequest> {
        self.enter(Phase::Stopped);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the worker thread must not panic");
        }
        std::mem::take(&mut self.received.lock().expect("the worker thread must not panic"))
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.enter(Phase::Stopped);
    }
}

struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
    /// Time of the first read since `input` was last empty; `None`: `input` is empty.
    input_since: Option<Instant>,
}

/// The state of the worker thread.
struct Server {
    address: SocketAddr,
    phase: Arc<AtomicU8>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    listener: Option<TcpListener>,
    connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    /// Connection and request id of each response to be sent, by due time and sequence number.
    responses_due: BTreeMap<(Instant, u64), (u64, u64)>,
    /// Sequence number of the last entry of `responses_due`.
    last_response: u64,
    random: StdRng,
}

impl Server {
    fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::SeqCst))]
    }

    /// Handles the input and the responses that are due; returns whether the worker continues.
    fn run_once(&mut self) -> bool {
        match self.phase() {
            Phase::Stopped => return false,
            Phase::Down => {
                self.listener = None;
                self.connections.clear();
                self.responses_due.clear();
                thread::sleep(MAX_SLEEP);
                return true;
            }
            Phase::Up | Phase::Draining => {}
        }
        if self.listener.is_none() {
            self.listener = reserved_address::listen(self.address).ok();
        }
        for id in self.wait_for_input() {
            self.read(id);
        }
        self.accept();
        self.send_due_responses();
        true
    }

    /// Waits for input, a due response or [`MAX_SLEEP`]; returns the connections that have input.
    fn wait_for_input(&mut self) -> Vec<u64> {
        let due_at = self.responses_due.first_key_value().map(|((at, _), _)| *at);
        let until_due = due_at.map_or(MAX_SLEEP, |at| at.saturating_duration_since(Instant::now()));
        let sleep = until_due.min(MAX_SLEEP);
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: sleep.subsec_nanos().into(),
        };
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        let streams = self.connections.values().map(|connection| &connection.stream);
        let mut poll_fds: Vec<PollFd> = streams.map(|stream| PollFd::new(stream, PollFlags::IN)).collect();
        poll_fds.extend(
            self.listener
                .iter()
                .map(|listener| PollFd::new(listener, PollFlags::IN)),
        );
        // A signal that interrupts the wait only makes it shorter.
        let _ = poll(&mut poll_fds, Some(&timeout));
        let polled = ids.iter().zip(&poll_fds);
        polled
            .filter(|(_, fd)| !fd.revents().is_empty())
            .map(|(id, _)| *id)
            .collect()
    }

    fn accept(&mut self) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(TcpListener::accept) {
            if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
                continue;
            }
            self.last_connection += 1;
            let connection = Connection {
                stream,
                input: Vec::new(),
                input_since: None,
            };
            self.connections.insert(self.last_connection, connection);
        }
    }

    fn read(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let mut bytes = [0; 16 << 10];
        loop {
            match connection.stream.read(&mut bytes) {
                Ok(0) => break drop(self.connections.remove(&id)),
                Ok(count) => {
                    connection.input_since.get_or_insert_with(Instant::now);
                    connection.input.extend_from_slice(&bytes[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => break drop(self.connections.remove(&id)),
            }
        }
        while let Some((code, request)) = self.next_command(id) {
            self.handle_command(id, code, request);
        }
    }

    /// Removes the next complete command from the input of a connection; returns its code and request id.
    fn next_command(&mut self, id: u64) -> Option<(u8, u64)> {
        let connection = self.connections.get_mut(&id)?;
        let input = &mut connection.input;
        let header: [u8; frame::HEADER_BYTES] = input.get(..frame::HEADER_BYTES)?.try_into().ok()?;
        let [_, code, f1, f0, b3, b2, b1, b0, request @ ..] = header;
        let fields = usize::from(u16::from_be_bytes([f1, f0]));
        let body = u32::from_be_bytes([b3, b2, b1, b0]) as usize;
        let length = frame::HEADER_BYTES + fields + body + frame::CHECKSUM_BYTES;
        if input.len() < length {
            return None;
        }
        input.drain(..length);
        Some((code, u64::from_be_bytes(request)))
    }

    fn handle_command(&mut self, connection: u64, code: u8, id: u64) {
        match code {
            frame::EXECUTE => self.execute(connection, id),
            frame::PING => self.respond(connection, PONG, id),
            _ => self.responses_due.retain(|_, due| *due != (connection, id)),
        }
        if let Some(connection) = self.connections.get_mut(&connection)
            && connection.input.is_empty()
        {
            connection.input_since = None;
        }
    }

    fn execute(&mut self, connection: u64, id: u64) {
        let input_since = self.connections.get(&connection).and_then(|c| c.input_since);
        let received_at = input_since.unwrap_or_else(Instant::now);
        let accepted = self.phase() == Phase::Up && self.responses_due.len() < MAX_HELD_REQUESTS;
        let mut received = self
            .received
            .lock()
            .expect("no test thread may panic while it holds the lock");
        received.push(ReceivedRequest {
            received_at,
            accepted,
        });
        drop(received);
        if !accepted {
            return self.respond(connection, AT_CAPACITY, id);
        }
        let run_time = self.random.random_range(RUN_TIME);
        self.last_response += 1;
        self.responses_due
            .insert((Instant::now() + run_time, self.last_response), (connection, id));
    }

    fn send_due_responses(&mut self) {
        while let Some((&due, &(connection, id))) = self.responses_due.first_key_value()
            && due.0 <= Instant::now()
        {
            self.responses_due.remove(&due);
            self.respond(connection, SUCCEEDED, id);
        }
    }

    fn respond(&mut self, connection: u64, code: u8, id: u64) {
        let Some(connection) = self.connections.get_mut(&connection) else {
            return;
        };
        let queued = self.responses_due.len().saturating_sub(CONCURRENCY);
        let report = format!("report=queue:{queued}");
        let body = if code == SUCCEEDED {
            id.to_be_bytes().to_vec()
        } else {
            Vec::new()
        };
        let mut out = Vec::new();
        frame::write(&mut out, frame::FROM_WORKER, code, id, report.as_bytes(), &body);
        // Responses are much smaller than a socket buffer, so the write does not block. It fails if the
        // scheduler has closed the connection.
        let _ = connection.stream.write_all(&out);
    }
}
