//! A worker that answers by itself, drains, goes and comes back, and records each request that reached it.
use super::reserved::{self, Reserved};
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

/// Codes of answers.
const DONE: u8 = 64;
const AT_CAPACITY: u8 = 67;
const ALIVE: u8 = 70;
/// Requests that a worker holds at a time; further ones are turned away.
const MAX_HELD: usize = 32;
/// Requests that it runs without making others wait.
const CONCURRENCY: usize = 12;
/// Bounds of the time that a request runs.
const RUNS: std::ops::Range<Duration> = Duration::from_millis(8)..Duration::from_millis(90);
/// Longest sleep of a worker: it heeds its phase so often.
const MAX_SLEEP: Duration = Duration::from_millis(5);

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Up,
    /// It ends what it has and turns away what is new.
    Draining,
    /// It has gone: nobody listens at its address.
    Down,
    /// It has ended for good.
    Over,
}

const PHASES: [Phase; 4] = [Phase::Up, Phase::Draining, Phase::Down, Phase::Over];

/// A request as it reached a worker.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    /// When its first bytes were read.
    pub came: Instant,
    /// Whether the worker ran it.
    pub ran: bool,
}

/// A worker at work.
pub struct Worker {
    pub at: SocketAddr,
    phase: Arc<AtomicU8>,
    taken: Arc<Mutex<Vec<Taken>>>,
    thread: Option<JoinHandle<()>>,
    _address: Reserved,
}

impl Worker {
    /// A worker at an address of its own, which takes work.
    pub fn start(seed: u64) -> io::Result<Worker> {
        let address = Reserved::any()?;
        let at = address.at;
        let phase = Arc::new(AtomicU8::new(0));
        let taken = Arc::new(Mutex::new(Vec::new()));
        let mut serving = Serving {
            at,
            phase: phase.clone(),
            taken: taken.clone(),
            listener: Some(reserved::listen(at)?),
            connections: BTreeMap::new(),
            last_connection: 0,
            due: BTreeMap::new(),
            answers: 0,
            random: StdRng::seed_from_u64(seed),
        };
        let thread = thread::spawn(move || while serving.turn() {});
        Ok(Worker {
            at,
            phase,
            taken,
            thread: Some(thread),
            _address: address,
        })
    }

    /// Enters a phase; returns when.
    pub fn enter(&self, phase: Phase) -> Instant {
        let at = PHASES.iter().position(|other| *other == phase);
        self.phase
            .store(at.expect("each phase has a number") as u8, Ordering::SeqCst);
        Instant::now()
    }

    /// How many requests it has run so far.
    pub fn ran(&self) -> usize {
        let taken = self.taken.lock().expect("the worker's thread does not panic");
        taken.iter().filter(|taken| taken.ran).count()
    }

    /// Ends it, and returns what has reached it.
    pub fn stop(mut self) -> Vec<Taken> {
        self.enter(Phase::Over);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the worker's thread does not panic");
        }
        std::mem::take(&mut self.taken.lock().expect("the worker's thread does not panic"))
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.enter(Phase::Over);
    }
}

struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
    /// When the bytes that wait in `input` began to come.
    since: Option<Instant>,
}

struct Serving {
    at: SocketAddr,
    phase: Arc<AtomicU8>,
    taken: Arc<Mutex<Vec<Taken>>>,
    listener: Option<TcpListener>,
    connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    /// Answers that are due: a connection and an id.
    due: BTreeMap<(Instant, u64), (u64, u64)>,
    answers: u64,
    random: StdRng,
}

impl Serving {
    fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::SeqCst))]
    }

    /// Works what has come; returns whether it goes on.
    fn turn(&mut self) -> bool {
        match self.phase() {
            Phase::Over => return false,
            Phase::Down => {
                self.listener = None;
                self.connections.clear();
                self.due.clear();
                thread::sleep(MAX_SLEEP);
                return true;
            }
            Phase::Up | Phase::Draining => {}
        }
        if self.listener.is_none() {
            self.listener = reserved::listen(self.at).ok();
        }
        for id in self.wait() {
            self.read(id);
        }
        self.accept();
        self.answer_due();
        true
    }

    /// Waits until something comes or is due; returns the connections with something to read.
    fn wait(&mut self) -> Vec<u64> {
        let due = self.due.first_key_value().map(|((at, _), _)| *at);
        let until_due = due.map_or(MAX_SLEEP, |at| at.saturating_duration_since(Instant::now()));
        let sleep = until_due.min(MAX_SLEEP);
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: sleep.subsec_nanos().into(),
        };
        let ids: Vec<u64> = self.connections.keys().copied().collect();
        let streams = self.connections.values().map(|connection| &connection.stream);
        let mut waiting: Vec<PollFd> = streams.map(|stream| PollFd::new(stream, PollFlags::IN)).collect();
        waiting.extend(
            self.listener
                .iter()
                .map(|listener| PollFd::new(listener, PollFlags::IN)),
        );
        // A wait that a signal ends early is only shorter.
        let _ = poll(&mut waiting, Some(&timeout));
        let ready = ids.iter().zip(&waiting);
        ready
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
                since: None,
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
                    connection.since.get_or_insert_with(Instant::now);
                    connection.input.extend_from_slice(&bytes[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => break drop(self.connections.remove(&id)),
            }
        }
        while let Some((code, request)) = self.next_command(id) {
            self.command(id, code, request);
        }
    }

    /// The next whole command of a connection: its code and id.
    fn next_command(&mut self, id: u64) -> Option<(u8, u64)> {
        let connection = self.connections.get_mut(&id)?;
        let input = &mut connection.input;
        let head: [u8; frame::HEADER_BYTES] = input.get(..frame::HEADER_BYTES)?.try_into().ok()?;
        let [_, code, f1, f0, b3, b2, b1, b0, request @ ..] = head;
        let fields = usize::from(u16::from_be_bytes([f1, f0]));
        let body = u32::from_be_bytes([b3, b2, b1, b0]) as usize;
        let length = frame::HEADER_BYTES + fields + body + frame::CHECKSUM_BYTES;
        if input.len() < length {
            return None;
        }
        input.drain(..length);
        Some((code, u64::from_be_bytes(request)))
    }

    fn command(&mut self, connection: u64, code: u8, id: u64) {
        match code {
            frame::EXECUTE => self.execute(connection, id),
            frame::PING => self.answer(connection, ALIVE, id),
            _ => self.due.retain(|_, due| *due != (connection, id)),
        }
        if let Some(connection) = self.connections.get_mut(&connection)
            && connection.input.is_empty()
        {
            connection.since = None;
        }
    }

    fn execute(&mut self, connection: u64, id: u64) {
        let since = self.connections.get(&connection).and_then(|c| c.since);
        let came = since.unwrap_or_else(Instant::now);
        let ran = self.phase() == Phase::Up && self.due.len() < MAX_HELD;
        let mut taken = self.taken.lock().expect("no test thread panics with it");
        taken.push(Taken { came, ran });
        drop(taken);
        if !ran {
            return self.answer(connection, AT_CAPACITY, id);
        }
        let runs = self.random.random_range(RUNS);
        self.answers += 1;
        self.due
            .insert((Instant::now() + runs, self.answers), (connection, id));
    }

    fn answer_due(&mut self) {
        while let Some((&at, &(connection, id))) = self.due.first_key_value()
            && at.0 <= Instant::now()
        {
            self.due.remove(&at);
            self.answer(connection, DONE, id);
        }
    }

    fn answer(&mut self, connection: u64, code: u8, id: u64) {
        let Some(connection) = self.connections.get_mut(&connection) else {
            return;
        };
        let queued = self.due.len().saturating_sub(CONCURRENCY);
        let report = format!("report=queue:{queued}");
        let body = if code == DONE {
            id.to_be_bytes().to_vec()
        } else {
            Vec::new()
        };
        let mut out = Vec::new();
        frame::write(&mut out, frame::FROM_WORKER, code, id, report.as_bytes(), &body);
        // Answers are small beside a socket's buffer; the connection may have ended.
        let _ = connection.stream.write_all(&out);
    }
}
