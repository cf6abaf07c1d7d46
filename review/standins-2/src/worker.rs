//! A worker: accepts frames, runs requests on a number of lanes, and answers. A worker that has just started is
//! cold: it does a part of its work, and falls over if it is sent too much (the operators' rule).
use crate::coordinator::Target;
use crate::judge::Budget;
use crate::record::Record;
use crate::wire::{self, Command};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What a worker does with a command.
pub enum Action {
    /// It runs, and is answered when its work is done.
    Run,
    /// It runs for this time, whatever the lanes do, and is answered then.
    RunFor(Duration),
    /// It runs, and after this time the connection is reset without an answer.
    ResetAfter(Duration),
    /// It runs, and its answer declares a body of so many bytes and stops short of the last ones. The connection
    /// stays open and silent.
    StopShort(usize),
    /// It is refused unseen.
    Full,
}

/// Decides what is done with a command.
pub type Script = dyn Fn(&Command) -> Action + Send + Sync;

/// How a worker works.
#[derive(Clone)]
pub struct Options {
    pub lanes: usize,
    /// Work of a request on one lane of a warm worker.
    pub work: Duration,
    /// Requests that may wait; more are refused.
    pub queue: usize,
    /// The budget of a cold worker; `None`: it has been running for long.
    pub budget: Option<Budget>,
    pub script: Option<Arc<Script>>,
    /// The group of workers that know each other's keys.
    pub group: u32,
}

/// A request that a worker received whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: u64,
    pub key: String,
}

enum Job {
    Answer { connection: u64, id: u64, code: u8 },
    Reset { connection: u64 },
    StopShort { connection: u64, id: u64, bytes: usize },
}

#[derive(Default)]
struct State {
    streams: HashMap<u64, TcpStream>,
    lanes: BinaryHeap<Reverse<Instant>>,
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    jobs: HashMap<u64, Job>,
    next_job: u64,
    waiting: VecDeque<Instant>,
    given_up: HashSet<u64>,
    arrivals: Vec<Arrival>,
    recent: VecDeque<Duration>,
    fallen: Option<String>,
    most: (f64, f64),
    /// When the schedulers were told of the start.
    told: Option<Duration>,
}

/// A running worker.
pub struct Worker {
    pub uid: String,
    pub address: SocketAddr,
    /// By the record's clock.
    pub started: Duration,
    options: Options,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    is_stopped: AtomicBool,
    is_draining: AtomicBool,
    is_fallen: AtomicBool,
    is_closed: AtomicBool,
    boot_ms: AtomicU64,
    /// Time from a ping to its answer, in milliseconds.
    pub ping_ms: AtomicU64,
}

impl Worker {
    /// Starts a worker at a free port, or at the address of one that has ended.
    pub fn start(uid: &str, at: Option<SocketAddr>, options: Options, record: &Arc<Record>) -> Arc<Worker> {
        Worker::start_booted(uid, at, options, record, Duration::ZERO)
    }

    /// Starts a worker whose process began `boot` ago, and accepts connections from now on.
    pub fn start_booted(
        uid: &str,
        at: Option<SocketAddr>,
        options: Options,
        record: &Arc<Record>,
        boot: Duration,
    ) -> Arc<Worker> {
        let at = at.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = TcpListener::bind(at).expect("the address is free");
        let worker = Arc::new(Worker {
            uid: uid.to_owned(),
            address: listener.local_addr().expect("an address"),
            started: record.now().saturating_sub(boot),
            record: record.clone(),
            state: Mutex::default(),
            changed: Condvar::new(),
            is_stopped: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_fallen: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            boot_ms: AtomicU64::new(0),
            ping_ms: AtomicU64::new(0),
            options,
        });
        worker.state.lock().unwrap().lanes = (0..worker.options.lanes)
            .map(|_| Reverse(Instant::now()))
            .collect();
        record.line(format!("worker {uid} starts at {}", worker.address));
        let accepting = worker.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                if accepting.is_stopped.load(Ordering::SeqCst) {
                    break;
                }
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(connection as u64, stream));
            }
            drop(listener);
            accepting.is_closed.store(true, Ordering::SeqCst);
        });
        let answering = worker.clone();
        std::thread::spawn(move || answering.answer_due());
        worker
    }

    /// The worker's entry in an event.
    pub fn target(&self, state: &'static str, boot_ms: u64) -> Target {
        Target {
            uid: self.uid.clone(),
            address: self.address,
            zone: "athens-room".to_owned(),
            group: self.options.group,
            state,
            boot_ms,
        }
    }

    /// The process ends: its connections are reset or closed, and new ones are refused.
    pub fn stop(&self) {
        if self.is_stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.line(format!("worker {} ends", self.uid));
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        while !self.is_closed.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let state = self.state.lock().unwrap();
        for stream in state.streams.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// From now on new requests are refused; open ones are completed.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Records the start time in the event of the worker's start.
    pub fn set_boot_ms(&self, boot_ms: u64) {
        self.boot_ms.store(boot_ms, Ordering::SeqCst);
    }

    /// The start time in the event of the worker's start; 0 for one that runs for long.
    pub fn boot_ms(&self) -> u64 {
        self.boot_ms.load(Ordering::SeqCst)
    }

    /// Records that the event of the worker's start is in the coordinator now.
    pub fn set_told(&self) {
        self.state.lock().unwrap().told = Some(self.record.now());
    }

    /// Why the worker fell over, if it did, and over two thirds of what it was sent in that window came from
    /// schedulers that had been told of its start.
    pub fn fallen(&self) -> Option<String> {
        self.state.lock().unwrap().fallen.clone()
    }

    /// The most requests of a window beside what was allowed then.
    pub fn most(&self) -> (f64, f64) {
        self.state.lock().unwrap().most
    }

    /// The requests that arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    fn serve(&self, connection: u64, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        self.state.lock().unwrap().streams.insert(connection, copy);
        if self.is_stopped.load(Ordering::SeqCst) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        while let Ok(command) = wire::read_command(&mut stream) {
            match command.code {
                wire::PING => {
                    std::thread::sleep(Duration::from_millis(self.ping_ms.load(Ordering::SeqCst)));
                    let alive = wire::answer(wire::ALIVE, command.id, "", b"");
                    let _ = stream.write_all(&alive);
                }
                wire::GIVE_UP => {
                    self.record
                        .line(format!("worker {} {:016x} given up", self.uid, command.id));
                    self.state.lock().unwrap().given_up.insert(command.id);
                }
                wire::EXECUTE => self.execute(connection, &command),
                _ => break,
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        self.state.lock().unwrap().streams.remove(&connection);
    }

    fn execute(&self, connection: u64, command: &Command) {
        let action = match &self.options.script {
            Some(script) => script(command),
            None => Action::Run,
        };
        let at = self.record.now();
        let mut state = self.state.lock().unwrap();
        state.arrivals.push(Arrival {
            at,
            id: command.id,
            key: command.field("replay").unwrap_or("").to_owned(),
        });
        self.record.line(format!(
            "worker {} {:016x} arrives ({})",
            self.uid, command.id, command.fields
        ));
        self.check_budget(&mut state, at);
        let now = Instant::now();
        while state.waiting.front().is_some_and(|start| *start <= now) {
            state.waiting.pop_front();
        }
        let is_full = state.waiting.len() >= self.options.queue;
        let (after, job) = match action {
            Action::Full => (now, self.full(connection, command.id)),
            _ if self.is_draining.load(Ordering::SeqCst) => (now, self.full(connection, command.id)),
            Action::Run if is_full => (now, self.full(connection, command.id)),
            Action::Run => {
                let Reverse(free) = state.lanes.pop().unwrap_or(Reverse(now));
                let start = free.max(now);
                let age = at.saturating_sub(self.started);
                let capacity = self
                    .options
                    .budget
                    .as_ref()
                    .map_or(1.0, |budget| budget.capacity(age));
                let end = start + self.options.work.div_f64(capacity);
                state.lanes.push(Reverse(end));
                if start > now {
                    state.waiting.push_back(start);
                }
                let (id, code) = (command.id, wire::OK);
                (end, Job::Answer { connection, id, code })
            }
            Action::RunFor(time) => {
                let (id, code) = (command.id, wire::OK);
                (now + time, Job::Answer { connection, id, code })
            }
            Action::StopShort(bytes) => {
                let id = command.id;
                (
                    now + self.options.work,
                    Job::StopShort {
                        connection,
                        id,
                        bytes,
                    },
                )
            }
            Action::ResetAfter(time) => (now + time, Job::Reset { connection }),
        };
        let number = state.next_job;
        state.next_job += 1;
        state.jobs.insert(number, job);
        state.due.push(Reverse((after, number)));
        self.changed.notify_all();
    }

    fn full(&self, connection: u64, id: u64) -> Job {
        let code = wire::FULL;
        self.record.line(format!("worker {} {id:016x} full", self.uid));
        Job::Answer { connection, id, code }
    }

    /// Counts a request in the window of the rule; the worker falls over beyond its budget.
    fn check_budget(&self, state: &mut State, at: Duration) {
        let Some(budget) = &self.options.budget else {
            return;
        };
        state.recent.push_back(at);
        while state
            .recent
            .front()
            .is_some_and(|first| *first + budget.window < at)
        {
            state.recent.pop_front();
        }
        let age = at.saturating_sub(self.started);
        if age >= budget.cold {
            return;
        }
        let (count, limit) = (state.recent.len() as f64, budget.limit(age));
        if count / limit > state.most.0 / state.most.1.max(1e-9) {
            state.most = (count, limit);
        }
        if count > limit && !self.is_fallen.load(Ordering::SeqCst) {
            // With the slack of the protocol page.
            let told = state
                .told
                .map_or(Duration::MAX, |told| told + Duration::from_millis(50));
            let from_told = state.recent.iter().filter(|at| **at > told).count() as f64;
            let why = format!(
                "worker {} falls: {count} requests in {:?} ({from_told} of them from schedulers that were told), \
                 at most {limit:.1} allowed at the age of {age:?}",
                self.uid, budget.window
            );
            self.record.say(&why);
            if from_told > count * 2.0 / 3.0 {
                state.fallen = Some(why);
            }
            self.is_fallen.store(true, Ordering::SeqCst);
            self.changed.notify_all();
        }
    }

    fn answer_due(&self) {
        let mut state = self.state.lock().unwrap();
        loop {
            if self.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            if self.is_fallen.load(Ordering::SeqCst) {
                // It stays down.
                drop(state);
                return self.stop();
            }
            let now = Instant::now();
            let Some(&Reverse((at, number))) = state.due.peek() else {
                state = self
                    .changed
                    .wait_timeout(state, Duration::from_millis(200))
                    .unwrap()
                    .0;
                continue;
            };
            if at > now {
                state = self.changed.wait_timeout(state, at - now).unwrap().0;
                continue;
            }
            state.due.pop();
            match state.jobs.remove(&number) {
                Some(Job::Answer { connection, id, code }) => {
                    if state.given_up.remove(&id) {
                        continue;
                    }
                    let waits = state.waiting.iter().filter(|start| **start > now).count();
                    let body = if code == wire::OK {
                        body_of(&self.uid, id)
                    } else {
                        String::new()
                    };
                    let frame = wire::answer(code, id, &format!("report=queue:{waits}"), body.as_bytes());
                    if code == wire::OK {
                        self.record.line(format!("worker {} {id:016x} done", self.uid));
                    }
                    if let Some(stream) = state.streams.get_mut(&connection) {
                        let _ = stream.write_all(&frame);
                    }
                }
                Some(Job::StopShort {
                    connection,
                    id,
                    bytes,
                }) => {
                    self.record
                        .line(format!("worker {} {id:016x} stops short", self.uid));
                    let frame = wire::answer(wire::OK, id, "report=queue:0", &vec![b'y'; bytes]);
                    if let Some(stream) = state.streams.get_mut(&connection) {
                        let _ = stream.write_all(&frame[..frame.len() - 2]);
                    }
                }
                Some(Job::Reset { connection }) => {
                    self.record
                        .line(format!("worker {} closes connection {connection}", self.uid));
                    if let Some(stream) = state.streams.remove(&connection) {
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                }
                None => {}
            }
        }
    }
}

/// The body that a worker gives for a request.
pub fn body_of(uid: &str, id: u64) -> String {
    format!("{uid} did {id:016x}")
}
