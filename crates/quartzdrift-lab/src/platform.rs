//! Fakes for the operators' platform: a frontend's connection, a worker and a coordinator. Each does only what its
//! test says, and tells through a channel what reached it: a test waits for events, never for time.
use quartzdrift_fastcgi::{self as fastcgi, RecordHeader, write_pair, write_record, write_stream};
use quartzdrift_platform::frame;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for any event; a test that meets it has failed.
const PATIENCE: Duration = Duration::from_secs(20);
const ALIVE: u8 = 70;

/// A front's connection to a scheduler.
pub struct Frontend {
    stream: TcpStream,
}

/// The answer to one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    pub fastcgi_id: u16,
    /// 0 where END_REQUEST came without a response.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Protocol status of END_REQUEST.
    pub protocol_status: u8,
}

/// Fields of a request that any scheduler takes.
#[derive(Clone, Copy, Debug)]
pub struct RequestFields<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub timeout_ms: &'a str,
    pub function: &'a str,
    pub spec: &'a str,
    /// None is sent where it is empty.
    pub idempotency_key: &'a str,
    /// None is sent where it is empty.
    pub tenant: &'a str,
    pub body: &'a [u8],
}

impl Frontend {
    /// Connects to a scheduler.
    ///
    /// # Errors
    /// Those of the system.
    pub fn connect(at: SocketAddr) -> io::Result<Frontend> {
        let stream = TcpStream::connect(at)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_nodelay(true)?;
        Ok(Frontend { stream })
    }

    /// The bytes of a request.
    pub fn encode_request(number: u16, asked: &RequestFields) -> Vec<u8> {
        let (mut out, mut pairs) = (Vec::new(), Vec::new());
        for (name, value) in [
            ("SCRIPT_NAME", asked.path),
            ("HTTP_X_REQUEST_ID", asked.id),
            ("HTTP_X_TIMEOUT_MS", asked.timeout_ms),
            ("HTTP_X_OBJECT", asked.function),
            ("HTTP_X_SPEC", asked.spec),
        ] {
            write_pair(&mut pairs, name.as_bytes(), value.as_bytes());
        }
        for (name, value) in [
            ("HTTP_IDEMPOTENCY_KEY", asked.idempotency_key),
            ("HTTP_X_TENANT", asked.tenant),
        ] {
            if !value.is_empty() {
                write_pair(&mut pairs, name.as_bytes(), value.as_bytes());
            }
        }
        write_record(
            &mut out,
            fastcgi::BEGIN_REQUEST,
            number,
            &[0, 1, 1, 0, 0, 0, 0, 0],
        );
        write_stream(&mut out, fastcgi::PARAMS, number, &pairs);
        write_record(&mut out, fastcgi::PARAMS, number, b"");
        write_stream(&mut out, fastcgi::STDIN, number, asked.body);
        write_record(&mut out, fastcgi::STDIN, number, b"");
        out
    }

    /// The bytes of a request after whose answer the client wants the connection closed.
    pub fn encode_last_request(number: u16, asked: &RequestFields) -> Vec<u8> {
        let mut out = Frontend::encode_request(number, asked);
        out[fastcgi::HEADER_LENGTH + 2] = 0;
        out
    }

    /// The bytes by which a client says that it waits no longer.
    pub fn encode_abort(number: u16) -> Vec<u8> {
        let mut out = Vec::new();
        write_record(&mut out, fastcgi::ABORT_REQUEST, number, b"");
        out
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends nothing more, and goes on reading.
    pub fn shutdown_write(&mut self) -> io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Write)
    }

    /// Takes a connection that the test has made in its own way.
    pub fn from_stream(stream: TcpStream) -> io::Result<Frontend> {
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Frontend { stream })
    }

    /// The next answer to end, whole; an error once the connection has ended.
    pub fn read_reply(&mut self) -> io::Result<Reply> {
        let mut replies: Vec<Reply> = Vec::new();
        loop {
            let mut head = [0; fastcgi::HEADER_LENGTH];
            self.stream.read_exact(&mut head)?;
            let head = RecordHeader::read(&head)
                .ok()
                .flatten()
                .ok_or_else(|| io::Error::other("no record"))?;
            let mut content = vec![0; head.content_length + head.padding_length];
            self.stream.read_exact(&mut content)?;
            content.truncate(head.content_length);
            let at = replies
                .iter()
                .position(|reply| reply.fastcgi_id == head.request_id)
                .unwrap_or_else(|| {
                    replies.push(Reply {
                        fastcgi_id: head.request_id,
                        ..Reply::default()
                    });
                    replies.len() - 1
                });
            if head.record_type != fastcgi::END_REQUEST {
                replies[at].body.append(&mut content);
                continue;
            }
            let mut reply = replies.swap_remove(at);
            reply.protocol_status = content.get(4).copied().unwrap_or(u8::MAX);
            let said = std::mem::take(&mut reply.body);
            if let Some(mid) = said.windows(4).position(|four| four == b"\r\n\r\n") {
                reply.head = String::from_utf8_lossy(&said[..mid]).into_owned();
                reply.body = said[mid + 4..].to_vec();
                let status = reply.head.strip_prefix("Status: ").and_then(|rest| rest.get(..3));
                reply.status = status.and_then(|digits| digits.parse().ok()).unwrap_or(0);
            }
            return Ok(reply);
        }
    }
}

/// A command as it reached a worker: its connection, code, id, fields and body.
pub type ReceivedCommand = (usize, u8, u64, String, Vec<u8>);

/// What reached a fake worker.
#[derive(Debug)]
pub enum WorkerEvent {
    Connected(usize),
    Command(ReceivedCommand),
    /// A ping asked whether this connection works.
    Ping(usize),
    Closed(usize),
}

/// A worker that answers no command on its own, only whether a connection works.
pub struct Worker {
    pub address: SocketAddr,
    reached: Receiver<(WorkerEvent, Option<TcpStream>)>,
    connections: Vec<TcpStream>,
    cut_idle: Arc<AtomicBool>,
    hold_proofs: Arc<AtomicBool>,
    /// Lanes that are open, as far as it was asked.
    open: usize,
}

fn command(stream: &mut TcpStream, connection: usize) -> io::Result<ReceivedCommand> {
    let mut head = [0; frame::HEADER_BYTES];
    stream.read_exact(&mut head)?;
    let [mark, code, f1, f0, b3, b2, b1, b0, id @ ..] = head;
    if mark != frame::FROM_SCHEDULER {
        return Err(io::Error::other("no frame of a scheduler"));
    }
    let fields = usize::from(u16::from_be_bytes([f1, f0]));
    let mut rest = vec![0; fields + u32::from_be_bytes([b3, b2, b1, b0]) as usize + frame::CHECKSUM_BYTES];
    stream.read_exact(&mut rest)?;
    let body = rest[fields..rest.len() - frame::CHECKSUM_BYTES].to_vec();
    let fields = String::from_utf8_lossy(&rest[..fields]).into_owned();
    Ok((connection, code, u64::from_be_bytes(id), fields, body))
}

/// An answer that carries a load report.
fn answer_frame(code: u8, id: u64, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    frame::write(&mut out, frame::FROM_WORKER, code, id, b"report=queue:0", body);
    out
}

impl Worker {
    /// A worker at an address of its own.
    ///
    /// # Errors
    /// The system grants no socket.
    pub fn start() -> io::Result<Worker> {
        Worker::from_listener(TcpListener::bind(("127.0.0.1", 0))?)
    }

    /// A worker that takes what waits at `listener`.
    pub fn from_listener(listener: TcpListener) -> io::Result<Worker> {
        let at = listener.local_addr()?;
        let (sender, reached) = channel();
        let (cut_idle, hold_proofs) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (cut, hold) = (cut_idle.clone(), hold_proofs.clone());
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(mut stream) = stream else { return };
                if sender
                    .send((WorkerEvent::Connected(connection), stream.try_clone().ok()))
                    .is_err()
                {
                    return;
                }
                let (sender, cut, hold) = (sender.clone(), cut.clone(), hold.clone());
                thread::spawn(move || {
                    while let Ok(received) = command(&mut stream, connection) {
                        let (_, code, id, ..) = received;
                        let asked = code == frame::PING;
                        let held = hold.load(Ordering::SeqCst);
                        // The test may have seen enough.
                        let said = if asked {
                            WorkerEvent::Ping(connection)
                        } else {
                            WorkerEvent::Command(received)
                        };
                        let _ = sender.send((said, None));
                        let mut alive = Vec::new();
                        frame::write(&mut alive, frame::FROM_WORKER, ALIVE, id, b"", b"");
                        if asked && !held && (cut.load(Ordering::SeqCst) || stream.write_all(&alive).is_err())
                        {
                            break;
                        }
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    let _ = sender.send((WorkerEvent::Closed(connection), None));
                });
            }
        });
        Ok(Worker {
            address: at,
            reached,
            connections: Vec::new(),
            cut_idle,
            hold_proofs,
            open: 0,
        })
    }

    /// Whether from now on nobody hears whether a connection works, but by [`Worker::prove`].
    pub fn hold_ping_answers(&self, hold: bool) {
        self.hold_proofs.store(hold, Ordering::SeqCst);
    }

    /// All commands that reached it and were not yet taken, once its scheduler is no more: none can follow.
    pub fn drain_commands(&mut self) -> Vec<ReceivedCommand> {
        // Connections are taken in turn: when this one is, all before it have been.
        let last = TcpStream::connect(self.address).expect("the worker takes connections");
        let from = last.local_addr().expect("an address");
        let (mut last, mut commands) = (Some(last), Vec::new());
        while last.is_some() || self.open > 0 {
            match self.next_event() {
                WorkerEvent::Connected(connection)
                    if self.connections[connection]
                        .peer_addr()
                        .is_ok_and(|peer| peer == from) =>
                {
                    last = None;
                }
                WorkerEvent::Command(received) => commands.push(received),
                WorkerEvent::Connected(_) | WorkerEvent::Ping(_) | WorkerEvent::Closed(_) => {}
            }
        }
        commands
    }

    /// Says that a connection works, under this id.
    pub fn answer_ping(&mut self, connection: usize, id: u64) {
        let mut alive = Vec::new();
        frame::write(&mut alive, frame::FROM_WORKER, ALIVE, id, b"", b"");
        self.send(connection, &alive);
    }

    /// The connection that is asked next whether it works.
    pub fn next_ping(&mut self) -> usize {
        loop {
            if let WorkerEvent::Ping(connection) = self.next_event() {
                return connection;
            }
        }
    }

    /// From now on a connection that is asked whether it works is cut, as one that was forgotten while idle.
    pub fn close_on_ping(&self) {
        self.cut_idle.store(true, Ordering::SeqCst);
    }

    /// The next thing that reaches it.
    pub fn next_event(&mut self) -> WorkerEvent {
        let reached = self
            .reached
            .recv_timeout(PATIENCE)
            .expect("something reaches the worker");
        self.take_note(reached)
    }

    fn take_note(&mut self, (reached, stream): (WorkerEvent, Option<TcpStream>)) -> WorkerEvent {
        self.connections.extend(stream);
        match reached {
            WorkerEvent::Connected(_) => self.open += 1,
            WorkerEvent::Closed(_) => self.open -= 1,
            WorkerEvent::Command(_) | WorkerEvent::Ping(_) => {}
        }
        reached
    }

    /// Whether nothing has reached it that was not yet taken.
    pub fn has_no_event(&mut self) -> bool {
        self.reached
            .try_recv()
            .map(|reached| self.take_note(reached))
            .is_err()
    }

    /// A command, if one has reached it by now.
    pub fn try_next_command(&mut self) -> Option<ReceivedCommand> {
        while let Ok(reached) = self.reached.try_recv() {
            if let WorkerEvent::Command(received) = self.take_note(reached) {
                return Some(received);
            }
        }
        None
    }

    /// The next command.
    pub fn next_command(&mut self) -> ReceivedCommand {
        loop {
            if let WorkerEvent::Command(received) = self.next_event() {
                return received;
            }
        }
    }

    /// Sends bytes as they are on one of its connections, by number.
    pub fn send(&mut self, connection: usize, bytes: &[u8]) {
        self.connections[connection]
            .write_all(bytes)
            .expect("the lane takes what the worker says");
    }

    /// Answers a command with a code and a body.
    pub fn answer(&mut self, connection: usize, code: u8, id: u64, body: &[u8]) {
        self.send(connection, &answer_frame(code, id, body));
    }

    /// Answers on a connection that may have ended.
    pub fn try_answer(&mut self, connection: usize, code: u8, id: u64, body: &[u8]) {
        let _ = self.connections[connection].write_all(&answer_frame(code, id, body));
    }

    /// Closes one of its connections.
    pub fn close(&mut self, connection: usize) {
        let _ = self.connections[connection].shutdown(std::net::Shutdown::Both);
    }
}

/// A coordinator: tells of each poll. Whoever takes a poll answers it; one that nobody takes is answered at the end of its wait
/// that there is nothing new, and one that asks for a known event again is answered with it at once.
pub struct Coordinator {
    pub address: SocketAddr,
    desk: Arc<Desk>,
}

/// How often a coordinator looks whether the caller of a poll is still there.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Desk {
    polls: Mutex<Polls>,
    changed: Condvar,
}

#[derive(Default)]
struct Polls {
    /// The first line of the poll that is out, unless it was taken.
    out: Option<String>,
    /// Answers to the next polls.
    answers: VecDeque<Vec<u8>>,
    /// Each event that the coordinator has, by its index.
    events: BTreeMap<u64, String>,
    /// Polls so far that asked for the last event again.
    repeated: u64,
}

impl Polls {
    /// Remembers the events of an answer.
    fn remember(&mut self, text: &str) {
        let read: Option<serde_json::Value> = serde_json::from_str(text).ok();
        let updates = read.as_ref().and_then(|answer| answer["updates"].as_array());
        for update in updates.into_iter().flatten() {
            let last = self.events.last_key_value().map_or(0, |(index, _)| *index);
            let is_whole = update["endpoints"]["all"] == true;
            match update["index"].as_u64() {
                Some(index) if index == last + 1 || is_whole && index > last => {
                    self.events.insert(index, update.to_string());
                }
                // One that it has, or one behind a gap: it would tell neither as its last one.
                _ => {}
            }
        }
    }

    /// The answer to a poll that asks for the last event again.
    fn repeated(&self, follow: u64) -> Option<String> {
        let (last, event) = self.events.last_key_value()?;
        (*last == follow + 1).then(|| format!(r#"{{"index":{last},"updates":[{event}]}}"#))
    }
}

impl Desk {
    fn polls(&self) -> MutexGuard<'_, Polls> {
        self.polls.lock().expect("no thread of the coordinator panics")
    }

    /// The answer to a poll, whole or what else the test wants sent; `None`: its caller has left.
    fn answer(&self, line: &str, stream: &TcpStream) -> Option<Vec<u8>> {
        let value = |name: &str| {
            let (_, after) = line.split_once(name)?;
            let digits = after.split(|c: char| !c.is_ascii_digit()).next()?;
            digits.parse::<u64>().ok()
        };
        let follow = value("follow=").unwrap_or(0);
        let wait = Duration::from_millis(value("wait_ms=").unwrap_or(0));
        let began = Instant::now();
        let mut polls = self.polls();
        if polls.answers.is_empty()
            && let Some(text) = polls.repeated(follow)
        {
            polls.repeated += 1;
            return Some(whole(&text));
        }
        polls.out = Some(line.to_owned());
        self.changed.notify_all();
        loop {
            if let Some(answer) = polls.answers.pop_front() {
                polls.out = None;
                self.changed.notify_all();
                return Some(answer);
            }
            if polls.out.is_some() && began.elapsed() >= wait {
                polls.out = None;
                return Some(whole(&format!(r#"{{"index":{follow},"updates":[]}}"#)));
            }
            if has_ended(stream) {
                polls.out = None;
                return None;
            }
            let waited = self.changed.wait_timeout(polls, LOOK);
            polls = waited.expect("no thread of the coordinator panics").0;
        }
    }
}

/// Whether the other side of a connection has ended it.
fn has_ended(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let seen = stream.peek(&mut [0]);
    let is_open = stream.set_nonblocking(false).is_ok();
    match seen {
        Ok(0) => true,
        Ok(_) => !is_open,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

fn whole(text: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
    (head + text).into_bytes()
}

impl Coordinator {
    /// A coordinator at an address of its own.
    ///
    /// # Errors
    /// The system grants no socket.
    pub fn start() -> io::Result<Coordinator> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let at = listener.local_addr()?;
        let desk = Arc::new(Desk::default());
        let answering = desk.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut lines = BufReader::new(stream).lines();
                while let Some(Ok(line)) = lines.next() {
                    if !line.starts_with("GET ") {
                        continue;
                    }
                    // The rest of its head has to be read before its end can be seen.
                    while lines
                        .next()
                        .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
                    {}
                    let Some(said) = answering.answer(&line, &writer) else {
                        break;
                    };
                    let whole = said.starts_with(b"HTTP");
                    if writer.write_all(&said).is_err() || !whole {
                        break;
                    }
                }
            }
        });
        Ok(Coordinator { address: at, desk })
    }

    /// A coordinator that has these events already, as a configuration states them.
    ///
    /// # Errors
    /// The system grants no socket.
    pub fn with_events(events: &str) -> io::Result<Coordinator> {
        let coordinator = Coordinator::start()?;
        coordinator.desk.polls().remember(events);
        Ok(coordinator)
    }

    /// Has these events from now on, as a configuration states them.
    pub fn add_events(&self, events: &str) {
        self.desk.polls().remember(events);
    }

    /// How many polls so far have asked for the last event again.
    pub fn repeated_polls(&self) -> u64 {
        self.desk.polls().repeated
    }

    /// Waits until more than so many polls have asked for the last event again, and one is out that waits for the next event:
    /// whoever follows the coordinator knows that its list is current.
    pub fn wait_until_followed(&self, repeated: u64) {
        let is_not = |polls: &mut Polls| polls.repeated <= repeated || polls.out.is_none();
        let waited = self
            .desk
            .changed
            .wait_timeout_while(self.desk.polls(), PATIENCE, is_not);
        let (polls, result) = waited.expect("no thread of the coordinator panics");
        drop(polls);
        assert!(!result.timed_out(), "nobody follows the coordinator");
    }

    /// The first line of the poll that is out, once all answers so far were sent.
    pub fn next_poll(&self) -> String {
        let is_none = |polls: &mut Polls| polls.out.is_none() || !polls.answers.is_empty();
        let waited = self
            .desk
            .changed
            .wait_timeout_while(self.desk.polls(), PATIENCE, is_none);
        let (mut polls, _) = waited.expect("no thread of the coordinator panics");
        polls.out.take().expect("a poll")
    }

    /// Answers a poll with events.
    pub fn answer_with_events(&self, news: &str) {
        self.desk.polls().remember(news);
        self.answer_raw(whole(news));
    }

    /// Answers a poll with these bytes; what does not begin as an answer ends the connection.
    pub fn answer_raw(&self, bytes: Vec<u8>) {
        self.desk.polls().answers.push_back(bytes);
        self.desk.changed.notify_all();
    }
}
