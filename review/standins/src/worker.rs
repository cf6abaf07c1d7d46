//! A sound worker: runs a bounded number of requests at once, queues a few more, and answers `full` beyond.
use crate::frames;
use crate::lock;
use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that run at once, and requests that wait.
const LANES: usize = 15;
const QUEUE: usize = 20;

/// One execution.
#[derive(Debug, Clone)]
pub struct Execution {
    pub worker: String,
    pub id: u64,
    pub began: Instant,
    pub fields: String,
}

/// What all workers ran.
pub type Executions = Arc<Mutex<Vec<Execution>>>;

pub struct Worker {
    pub uid: String,
    pub address: SocketAddr,
}

struct State {
    uid: String,
    held: AtomicUsize,
    running: Mutex<usize>,
    freed: Condvar,
    work: Duration,
    executions: Executions,
}

impl Worker {
    /// Starts a worker whose requests take `work`.
    pub fn start(uid: &str, work: Duration, executions: &Executions) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            uid: uid.to_owned(),
            held: AtomicUsize::new(0),
            running: Mutex::new(0),
            freed: Condvar::new(),
            work,
            executions: executions.clone(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || serve(stream, &state));
            }
        });
        Worker {
            uid: uid.to_owned(),
            address,
        }
    }
}

fn serve(stream: TcpStream, state: &Arc<State>) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let writer = Arc::new(Mutex::new(writer));
    let given_up: Arc<Mutex<HashSet<u64>>> = Arc::default();
    let mut reader = BufReader::new(stream);
    while let Ok(command) = frames::read_command(&mut reader) {
        let report = format!(
            "report=queue:{},x0:0.3,x1:0",
            state.held.load(Ordering::SeqCst).saturating_sub(LANES)
        );
        match command.code {
            frames::PING => {
                let _ = lock(&writer).write_all(&frames::answer(frames::ALIVE, command.id, "", b""));
            }
            frames::GIVE_UP => {
                lock(&given_up).insert(command.id);
            }
            frames::EXECUTE if state.held.load(Ordering::SeqCst) >= LANES + QUEUE => {
                let _ = lock(&writer).write_all(&frames::answer(frames::FULL, command.id, &report, b""));
            }
            frames::EXECUTE => {
                state.held.fetch_add(1, Ordering::SeqCst);
                let (state, writer, given_up) = (state.clone(), writer.clone(), given_up.clone());
                thread::spawn(move || execute(&state, &command, &report, &writer, &given_up));
            }
            _ => return,
        }
    }
}

fn execute(
    state: &State,
    command: &frames::Command,
    report: &str,
    writer: &Mutex<TcpStream>,
    given_up: &Mutex<HashSet<u64>>,
) {
    let mut running = lock(&state.running);
    while *running >= LANES {
        running = match state.freed.wait(running) {
            Ok(running) => running,
            Err(_) => return,
        };
    }
    *running += 1;
    drop(running);
    let is_given_up = lock(given_up).contains(&command.id);
    if !is_given_up {
        lock(&state.executions).push(Execution {
            worker: state.uid.clone(),
            id: command.id,
            began: Instant::now(),
            fields: command.fields.clone(),
        });
        thread::sleep(state.work);
    }
    *lock(&state.running) -= 1;
    state.freed.notify_one();
    state.held.fetch_sub(1, Ordering::SeqCst);
    if !lock(given_up).remove(&command.id) {
        let body = format!("{} ran {:016x}", state.uid, command.id);
        let _ = lock(writer).write_all(&frames::answer(frames::OK, command.id, report, body.as_bytes()));
    }
}
