//! A fake coordinator that many schedulers follow by long polls, with each of the faults that a scheduler
//! must tolerate.
use super::reserved_address::{self, ReservedAddress};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Delay between two bytes of a slowly sent response, and longest time between two checks of the state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a slow response beyond the requested wait.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(2_500);

/// State of the coordinator: [`CoordinatorHealth::Well`], or a fault in its handling of polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinatorHealth {
    /// Responds as the protocol requires.
    Well,
    /// Resets the connections with open polls and refuses new connections.
    Refuses,
    /// Accepts connections, reads polls and resets the connections.
    Resets,
    /// Reads polls and never responds.
    Silent,
    /// Sends a response byte by byte and never completes it.
    Drips,
    /// Closes the connection within a response.
    BreaksOff,
    /// Responds at once with this status and without events.
    Status(u16),
    /// Responds at once with an empty body.
    EmptyBody,
    /// Responds at once without events, under the index of the caller.
    EmptyAtOnce,
    /// Responds without events, under an index one past that of the caller.
    AheadWithoutEvents,
    /// Responds each time with an event under the index of the caller.
    Repeats,
    /// Responds without events, under an index one below that of the caller.
    GoesBack,
    /// Responds with invalid JSON.
    Garbage,
    /// Responds correctly, [`SLOW_RESPONSE_DELAY`] after the requested wait.
    Slow,
}

/// All faults of the coordinator.
pub const COORDINATOR_FAULTS: [CoordinatorHealth; 15] = [
    CoordinatorHealth::Refuses,
    CoordinatorHealth::Resets,
    CoordinatorHealth::Silent,
    CoordinatorHealth::Drips,
    CoordinatorHealth::BreaksOff,
    CoordinatorHealth::Status(429),
    CoordinatorHealth::Status(500),
    CoordinatorHealth::Status(503),
    CoordinatorHealth::EmptyBody,
    CoordinatorHealth::EmptyAtOnce,
    CoordinatorHealth::AheadWithoutEvents,
    CoordinatorHealth::Repeats,
    CoordinatorHealth::GoesBack,
    CoordinatorHealth::Garbage,
    CoordinatorHealth::Slow,
];

struct State {
    health: CoordinatorHealth,
    /// The JSON text of each event, from index 1 on.
    events: Vec<String>,
    stopped: bool,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread of the coordinator may panic")
    }
}

/// Handle to a running coordinator, which stops when the handle is dropped.
pub struct FakeCoordinator {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _reserved: ReservedAddress,
}

impl FakeCoordinator {
    /// Starts a coordinator whose first event lists these targets, each in the JSON form of an event.
    pub fn start(targets: &[String]) -> io::Result<FakeCoordinator> {
        let reserved = ReservedAddress::any()?;
        let address = reserved.address;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                health: CoordinatorHealth::Well,
                events: vec![event_json(1, true, targets)],
                stopped: false,
            }),
            changed: Condvar::new(),
        });
        let listener_state = shared.clone();
        thread::spawn(move || run_listener(address, &listener_state));
        Ok(FakeCoordinator {
            address,
            shared,
            _reserved: reserved,
        })
    }

    /// Adds an event, also during a fault.
    pub fn add_event(&self, targets: &[String]) {
        let mut state = self.shared.state();
        let index = state.events.len() + 1;
        state.events.push(event_json(index, false, targets));
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Switches the coordinator to this health at once.
    pub fn set_health(&self, health: CoordinatorHealth) {
        self.shared.state().health = health;
        self.shared.changed.notify_all();
    }

    /// Returns all events so far in the JSON form of a configuration.
    pub fn known_events(&self) -> String {
        response_json(&self.shared.state().events, 0)
    }
}

impl Drop for FakeCoordinator {
    fn drop(&mut self) {
        self.shared.state().stopped = true;
        self.shared.changed.notify_all();
    }
}

fn event_json(index: usize, all: bool, targets: &[String]) -> String {
    let targets = targets.join(",");
    format!(r#"{{"index":{index},"endpoints":{{"all":{all},"targets":[{targets}]}}}}"#)
}

/// Returns the response with all events after the index `follow`.
fn response_json(events: &[String], follow: usize) -> String {
    let later = events.get(follow..).unwrap_or_default().join(",");
    format!(r#"{{"index":{},"updates":[{later}]}}"#, events.len())
}

/// Listens except while the coordinator refuses connections, until the coordinator stops.
fn run_listener(address: SocketAddr, shared: &Arc<Shared>) {
    loop {
        {
            let refuses = |state: &mut State| state.health == CoordinatorHealth::Refuses && !state.stopped;
            let state = shared.changed.wait_while(shared.state(), refuses);
            if state.expect("no thread of the coordinator may panic").stopped {
                return;
            }
        }
        let Ok(listener) = reserved_address::listen(address) else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        accept_connections(&listener, shared);
        if shared.state().stopped {
            return;
        }
    }
}

/// Serves connections until the coordinator stops or refuses connections.
fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                thread::spawn(move || serve(stream, &shared));
            }
            Err(_) => {
                let state = shared.state();
                if state.stopped || state.health == CoordinatorHealth::Refuses {
                    return;
                }
                let waited = shared.changed.wait_timeout(state, POLL_INTERVAL);
                drop(waited.expect("no thread of the coordinator may panic"));
            }
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    // The call fails if the scheduler has already closed the connection.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn serve(stream: TcpStream, shared: &Shared) {
    stream
        .set_nonblocking(false)
        .expect("the stream must become blocking");
    let Ok(reader) = stream.try_clone() else {
        return;
    };
    let mut lines = BufReader::new(reader).lines();
    while let Some(Ok(line)) = lines.next() {
        let Some(poll) = Poll::parse(&line) else {
            continue;
        };
        if let Err(error) = poll.respond(&stream, shared) {
            if error.kind() == io::ErrorKind::ConnectionReset {
                reset(stream);
            }
            return;
        }
    }
}

/// A long poll of a scheduler.
struct Poll {
    /// Index of the last event that the scheduler knows.
    follow: usize,
    /// Longest time until a response without events.
    wait: Duration,
    received_at: Instant,
}

impl Poll {
    /// Parses a line as the request line of a poll; `None` for other lines.
    fn parse(line: &str) -> Option<Poll> {
        let target = line.strip_prefix("GET ")?.split(' ').next()?;
        let value = |name: &str| {
            let (_, after) = target.split_once(name)?;
            after.split('&').next()?.parse::<u64>().ok()
        };
        Some(Poll {
            follow: value("follow=")? as usize,
            wait: Duration::from_millis(value("wait_ms=")?),
            received_at: Instant::now(),
        })
    }

    /// Responds as the health of the coordinator requires, which may change while the poll waits. The caller
    /// closes the connection on an error.
    fn respond(&self, stream: &TcpStream, shared: &Shared) -> io::Result<()> {
        loop {
            let (health, text, has_events) = {
                let state = shared.state();
                if state.stopped {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                let has_events = state.events.len() > self.follow;
                (
                    state.health,
                    response_json(&state.events, self.follow),
                    has_events,
                )
            };
            let waited = self.received_at.elapsed();
            match health {
                CoordinatorHealth::Well if has_events || waited >= self.wait => {
                    return send(stream, 200, &text);
                }
                CoordinatorHealth::Slow if waited >= self.wait + SLOW_RESPONSE_DELAY => {
                    return send(stream, 200, &text);
                }
                CoordinatorHealth::Well | CoordinatorHealth::Slow => {}
                CoordinatorHealth::Refuses | CoordinatorHealth::Resets => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                // A poll that was open during the silence gets no response, also after the fault has ended.
                CoordinatorHealth::Silent => return read_until_closed(stream),
                CoordinatorHealth::Drips => return send_slowly(stream, shared, &text),
                CoordinatorHealth::BreaksOff => return send_half(stream, &text),
                CoordinatorHealth::Status(status) => {
                    return send(stream, status, &response_without_events(self.follow));
                }
                CoordinatorHealth::EmptyBody => return send(stream, 200, ""),
                CoordinatorHealth::EmptyAtOnce => {
                    return send(stream, 200, &response_without_events(self.follow));
                }
                CoordinatorHealth::AheadWithoutEvents if waited >= self.wait => {
                    let higher_index = format!(r#"{{"index":{},"updates":[]}}"#, self.follow + 1);
                    return send(stream, 200, &higher_index);
                }
                CoordinatorHealth::Repeats if waited >= self.wait => {
                    let repeated = event_json(self.follow, false, &[]);
                    let text = format!(r#"{{"index":{},"updates":[{repeated}]}}"#, self.follow);
                    return send(stream, 200, &text);
                }
                CoordinatorHealth::GoesBack if waited >= self.wait => {
                    let lower_index =
                        format!(r#"{{"index":{},"updates":[]}}"#, self.follow.saturating_sub(1));
                    return send(stream, 200, &lower_index);
                }
                CoordinatorHealth::Garbage if waited >= self.wait => {
                    return send(stream, 200, "{\"index\":]");
                }
                CoordinatorHealth::AheadWithoutEvents
                | CoordinatorHealth::Repeats
                | CoordinatorHealth::GoesBack
                | CoordinatorHealth::Garbage => {}
            }
            let remaining = if waited < self.wait {
                self.wait - waited
            } else {
                POLL_INTERVAL
            };
            let state = shared.state();
            let waited = shared.changed.wait_timeout(state, remaining.min(POLL_INTERVAL));
            drop(waited.expect("no thread of the coordinator may panic"));
        }
    }
}

/// Returns the response that there are no events after the index `follow`.
fn response_without_events(follow: usize) -> String {
    format!(r#"{{"index":{follow},"updates":[]}}"#)
}

fn response_head(status: u16, length: usize) -> String {
    format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n\r\n")
}

fn send(mut stream: &TcpStream, status: u16, text: &str) -> io::Result<()> {
    stream.write_all((response_head(status, text.len()) + text).as_bytes())
}

fn read_until_closed(mut stream: &TcpStream) -> io::Result<()> {
    let mut bytes = [0; 256];
    while stream.read(&mut bytes)? > 0 {}
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn send_slowly(mut stream: &TcpStream, shared: &Shared, text: &str) -> io::Result<()> {
    let response = response_head(200, text.len() + 1) + text;
    for byte in response.as_bytes() {
        stream.write_all(&[*byte])?;
        thread::sleep(POLL_INTERVAL);
        if shared.state().stopped {
            break;
        }
    }
    read_until_closed(stream)
}

fn send_half(mut stream: &TcpStream, text: &str) -> io::Result<()> {
    let response = response_head(200, text.len()) + text;
    stream.write_all(&response.as_bytes()[..response.len() / 2])?;
    Err(io::ErrorKind::UnexpectedEof.into())
}
