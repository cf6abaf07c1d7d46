//! A coordinator that many schedulers follow by long polls, and that can fall ill in each of the ways a scheduler must bear.
use super::reserved::{self, Reserved};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Between two bytes of an answer that drips, and between two looks of a call at what has changed.
const STEP: Duration = Duration::from_millis(10);
/// How much later than it should a slow answer comes.
const SLOWNESS: Duration = Duration::from_millis(2_500);

/// What the coordinator does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Answers as the protocol says.
    Well,
    /// Resets open calls and refuses connections.
    Refuses,
    /// Accepts connections, reads calls and resets them.
    Resets,
    /// Reads calls and never answers them.
    Silent,
    /// Sends an answer byte by byte and never ends it.
    Drips,
    /// Breaks off within an answer.
    BreaksOff,
    /// Answers at once with this status and the list that it had at the beginning.
    Status(u16),
    /// Answers at once with an empty body.
    EmptyBody,
    /// Answers at once that there is nothing new.
    EmptyAtOnce,
    /// Answers without an event, under the index that the caller has not reached.
    AheadWithoutEvents,
    /// Answers with the event that the caller already has, again and again.
    Repeats,
    /// Answers under an index that has gone back.
    GoesBack,
    /// Answers with what cannot be read.
    Garbage,
    /// Answers rightly, and far later than it was asked to.
    Slow,
}

/// Every way of being ill.
pub const ILLNESSES: [Health; 15] = [
    Health::Refuses,
    Health::Resets,
    Health::Silent,
    Health::Drips,
    Health::BreaksOff,
    Health::Status(429),
    Health::Status(500),
    Health::Status(503),
    Health::EmptyBody,
    Health::EmptyAtOnce,
    Health::AheadWithoutEvents,
    Health::Repeats,
    Health::GoesBack,
    Health::Garbage,
    Health::Slow,
];

struct State {
    health: Health,
    /// The updates of each event, from index 1 on.
    events: Vec<String>,
    over: bool,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread of the coordinator panics")
    }
}

/// The coordinator; it ends with this.
pub struct Discovery {
    pub at: SocketAddr,
    shared: Arc<Shared>,
    _address: Reserved,
}

impl Discovery {
    /// A coordinator whose first event names these targets, each as an event states it.
    pub fn start(targets: &[String]) -> io::Result<Discovery> {
        let address = Reserved::any()?;
        let at = address.at;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                health: Health::Well,
                events: vec![update(1, true, targets)],
                over: false,
            }),
            changed: Condvar::new(),
        });
        let listening = shared.clone();
        thread::spawn(move || listen(at, &listening));
        Ok(Discovery {
            at,
            shared,
            _address: address,
        })
    }

    /// Adds an event, whether or not anybody can be told of it.
    pub fn event(&self, targets: &[String]) {
        let mut state = self.shared.state();
        let index = state.events.len() + 1;
        state.events.push(update(index, false, targets));
        drop(state);
        self.shared.changed.notify_all();
    }

    /// From now on the coordinator is in this state of health.
    pub fn set_health(&self, health: Health) {
        self.shared.state().health = health;
        self.shared.changed.notify_all();
    }

    /// All events so far, as a configuration states them.
    pub fn known(&self) -> String {
        answer_text(&self.shared.state().events, 0)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.shared.state().over = true;
        self.shared.changed.notify_all();
    }
}

fn update(index: usize, all: bool, targets: &[String]) -> String {
    let targets = targets.join(",");
    format!(r#"{{"index":{index},"endpoints":{{"all":{all},"targets":[{targets}]}}}}"#)
}

/// The answer with all events after the one numbered `follow`.
fn answer_text(events: &[String], follow: usize) -> String {
    let later = events.get(follow..).unwrap_or_default().join(",");
    format!(r#"{{"index":{},"updates":[{later}]}}"#, events.len())
}

/// Listens while the coordinator takes connections; between two such times nobody does.
fn listen(at: SocketAddr, shared: &Arc<Shared>) {
    loop {
        {
            let refuses = |state: &mut State| state.health == Health::Refuses && !state.over;
            let state = shared.changed.wait_while(shared.state(), refuses);
            if state.expect("no thread of the coordinator panics").over {
                return;
            }
        }
        let Ok(listener) = reserved::listen(at) else {
            thread::sleep(STEP);
            continue;
        };
        accept(&listener, shared);
        if shared.state().over {
            return;
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                thread::spawn(move || serve(stream, &shared));
            }
            Err(_) => {
                let state = shared.state();
                if state.over || state.health == Health::Refuses {
                    return;
                }
                let waited = shared.changed.wait_timeout(state, STEP);
                drop(waited.expect("no thread of the coordinator panics"));
            }
        }
    }
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    // The other side may have ended it.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn serve(stream: TcpStream, shared: &Shared) {
    stream.set_nonblocking(false).expect("the stream blocks");
    let Ok(reader) = stream.try_clone() else {
        return;
    };
    let mut lines = BufReader::new(reader).lines();
    while let Some(Ok(line)) = lines.next() {
        let Some(call) = Call::read(&line) else {
            continue;
        };
        if let Err(ended) = call.answer(&stream, shared) {
            if ended.kind() == io::ErrorKind::ConnectionReset {
                reset(stream);
            }
            return;
        }
    }
}

/// A long poll.
struct Call {
    follow: usize,
    wait: Duration,
    began: Instant,
}

impl Call {
    /// The call that a line begins, if one does.
    fn read(line: &str) -> Option<Call> {
        let target = line.strip_prefix("GET ")?.split(' ').next()?;
        let value = |name: &str| {
            let (_, after) = target.split_once(name)?;
            after.split('&').next()?.parse::<u64>().ok()
        };
        Some(Call {
            follow: value("follow=")? as usize,
            wait: Duration::from_millis(value("wait_ms=")?),
            began: Instant::now(),
        })
    }

    /// Answers by the coordinator's health, which may change while the call waits. An error ends the connection.
    fn answer(&self, stream: &TcpStream, shared: &Shared) -> io::Result<()> {
        loop {
            let (health, text, has_news) = {
                let state = shared.state();
                if state.over {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                let has_news = state.events.len() > self.follow;
                (state.health, answer_text(&state.events, self.follow), has_news)
            };
            let waited = self.began.elapsed();
            match health {
                Health::Well if has_news || waited >= self.wait => return send(stream, 200, &text),
                Health::Slow if waited >= self.wait + SLOWNESS => return send(stream, 200, &text),
                Health::Well | Health::Slow => {}
                Health::Refuses | Health::Resets => return Err(io::ErrorKind::ConnectionReset.into()),
                // A call that met the silence stays unanswered when it is over.
                Health::Silent => return until_closed(stream),
                Health::Drips => return drip(stream, shared, &text),
                Health::BreaksOff => return break_off(stream, &text),
                Health::Status(status) => return send(stream, status, &old_answer(self.follow)),
                Health::EmptyBody => return send(stream, 200, ""),
                Health::EmptyAtOnce => return send(stream, 200, &old_answer(self.follow)),
                Health::AheadWithoutEvents if waited >= self.wait => {
                    let ahead = format!(r#"{{"index":{},"updates":[]}}"#, self.follow + 1);
                    return send(stream, 200, &ahead);
                }
                Health::Repeats if waited >= self.wait => {
                    let again = update(self.follow, false, &[]);
                    let text = format!(r#"{{"index":{},"updates":[{again}]}}"#, self.follow);
                    return send(stream, 200, &text);
                }
                Health::GoesBack if waited >= self.wait => {
                    let back = format!(r#"{{"index":{},"updates":[]}}"#, self.follow.saturating_sub(1));
                    return send(stream, 200, &back);
                }
                Health::Garbage if waited >= self.wait => return send(stream, 200, "{\"index\":]"),
                Health::AheadWithoutEvents | Health::Repeats | Health::GoesBack | Health::Garbage => {}
            }
            let left = if waited < self.wait {
                self.wait - waited
            } else {
                STEP
            };
            let state = shared.state();
            let waited = shared.changed.wait_timeout(state, left.min(STEP));
            drop(waited.expect("no thread of the coordinator panics"));
        }
    }
}

/// What a coordinator that knows of nothing later would answer.
fn old_answer(follow: usize) -> String {
    format!(r#"{{"index":{follow},"updates":[]}}"#)
}

fn head(status: u16, length: usize) -> String {
    format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n\r\n")
}

fn send(mut stream: &TcpStream, status: u16, text: &str) -> io::Result<()> {
    stream.write_all((head(status, text.len()) + text).as_bytes())
}

fn until_closed(mut stream: &TcpStream) -> io::Result<()> {
    let mut bytes = [0; 256];
    while stream.read(&mut bytes)? > 0 {}
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn drip(mut stream: &TcpStream, shared: &Shared, text: &str) -> io::Result<()> {
    let whole = head(200, text.len() + 1) + text;
    for byte in whole.as_bytes() {
        stream.write_all(&[*byte])?;
        thread::sleep(STEP);
        if shared.state().over {
            break;
        }
    }
    until_closed(stream)
}

fn break_off(mut stream: &TcpStream, text: &str) -> io::Result<()> {
    let whole = head(200, text.len()) + text;
    stream.write_all(&whole.as_bytes()[..whole.len() / 2])?;
    Err(io::ErrorKind::UnexpectedEof.into())
}
