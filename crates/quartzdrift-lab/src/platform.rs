//! Fakes of the platform that a scheduler runs on: a frontend's connection, a worker and a coordinator.
//!
//! A fake does only what its test commands, and reports through a channel what it received, so that tests
//! wait for events and not for fixed times.
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

/// Longest wait for an event; a test fails when it expires.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Code of a worker's answer to a ping, see [`frame::AnswerCode::Alive`].
const ALIVE: u8 = 70;

/// A frontend's FastCGI connection to a scheduler.
pub struct Frontend {
    stream: TcpStream,
}

/// A scheduler's reply to one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// FastCGI request id.
    pub fastcgi_id: u16,
    /// HTTP status, or 0 if the request ended without a response.
    pub status: u16,
    /// Header lines of the response.
    pub head: String,
    pub body: Vec<u8>,
    /// Protocol status in the FastCGI record END_REQUEST.
    pub protocol_status: u8,
}

/// Fields of a request, from which [`Frontend::encode_request`] makes FastCGI parameters.
#[derive(Clone, Copy, Debug)]
pub struct RequestFields<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub timeout_ms: &'a str,
    pub function: &'a str,
    pub spec: &'a str,
    /// Idempotency key; if empty, the parameter is left out.
    pub idempotency_key: &'a str,
    /// Tenant; if empty, the parameter is left out.
    pub tenant: &'a str,
    pub body: &'a [u8],
}

impl Frontend {
    /// Connects to a scheduler.
    ///
    /// # Errors
    /// Fails if the connection cannot be opened.
    pub fn connect(address: SocketAddr) -> io::Result<Frontend> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(EVENT_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Frontend { stream })
    }

    /// Encodes a request as FastCGI records.
    pub fn encode_request(fastcgi_id: u16, fields: &RequestFields) -> Vec<u8> {
        let (mut out, mut pairs) = (Vec::new(), Vec::new());
        for (name, value) in [
            ("SCRIPT_NAME", fields.path),
            ("HTTP_X_REQUEST_ID", fields.id),
            ("HTTP_X_TIMEOUT_MS", fields.timeout_ms),
            ("HTTP_X_OBJECT", fields.function),
            ("HTTP_X_SPEC", fields.spec),
        ] {
            write_pair(&mut pairs, name.as_bytes(), value.as_bytes());
        }
        for (name, value) in [
            ("HTTP_IDEMPOTENCY_KEY", fields.idempotency_key),
            ("HTTP_X_TENANT", fields.tenant),
        ] {
            if !value.is_empty() {
                write_pair(&mut pairs, name.as_bytes(), value.as_bytes());
            }
        }
        write_record(
            &mut out,
            fastcgi::BEGIN_REQUEST,
            fastcgi_id,
            &[0, 1, 1, 0, 0, 0, 0, 0],
        );
        write_stream(&mut out, fastcgi::PARAMS, fastcgi_id, &pairs);
        write_record(&mut out, fastcgi::PARAMS, fastcgi_id, b"");
        write_stream(&mut out, fastcgi::STDIN, fastcgi_id, fields.body);
        write_record(&mut out, fastcgi::STDIN, fastcgi_id, b"");
        out
    }

    /// Encodes a request whose reply shall be the last on its connection: the flag FCGI_KEEP_CONN is not set.
    pub fn encode_last_request(fastcgi_id: u16, fields: &RequestFields) -> Vec<u8> {
        let mut out = Frontend::encode_request(fastcgi_id, fields);
        out[fastcgi::HEADER_LENGTH + 2] = 0;
        out
    }

    /// Encodes the record by which a frontend withdraws a request.
    pub fn encode_abort(fastcgi_id: u16) -> Vec<u8> {
        let mut out = Vec::new();
        write_record(&mut out, fastcgi::ABORT_REQUEST, fastcgi_id, b"");
        out
    }

    /// Sends bytes unchanged.
    ///
    /// # Errors
    /// Fails if the connection has ended.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Closes the sending side of the connection; replies can still be read.
    ///
    /// # Errors
    /// Fails if the connection has ended.
    pub fn shutdown_write(&mut self) -> io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Write)
    }

    /// Wraps a connection that the test has opened.
    ///
    /// # Errors
    /// Fails if the system refuses the read timeout.
    pub fn from_stream(stream: TcpStream) -> io::Result<Frontend> {
        stream.set_read_timeout(Some(EVENT_TIMEOUT))?;
        Ok(Frontend { stream })
    }

    /// Reads until a reply is complete, and returns it.
    ///
    /// # Errors Fails if the connection ends, or sends bytes that are not a FastCGI record, or after
    /// [`EVENT_TIMEOUT`].
    pub fn read_reply(&mut self) -> io::Result<Reply> {
        let mut replies: Vec<Reply> = Vec::new();
        loop {
            let mut header = [0; fastcgi::HEADER_LENGTH];
            self.stream.read_exact(&mut header)?;
            let header = RecordHeader::read(&header)
                .ok()
                .flatten()
                .ok_or_else(|| io::Error::other("the received bytes are not a FastCGI record"))?;
            let mut content = vec![0; header.content_length + header.padding_length];
            self.stream.read_exact(&mut content)?;
            content.truncate(header.content_length);
            let index = replies
                .iter()
                .position(|reply| reply.fastcgi_id == header.request_id)
                .unwrap_or_else(|| {
                    replies.push(Reply {
                        fastcgi_id: header.request_id,
                        ..Reply::default()
                    });
                    replies.len() - 1
                });
            if header.record_type != fastcgi::END_REQUEST {
                replies[index].body.append(&mut content);
                continue;
            }
            let mut reply = replies.swap_remove(index);
            reply.protocol_status = content.get(4).copied().unwrap_or(u8::MAX);
            let response = std::mem::take(&mut reply.body);
            if let Some(head_length) = response.windows(4).position(|four| four == b"\r\n\r\n") {
                reply.head = String::from_utf8_lossy(&response[..head_length]).into_owned();
                reply.body = response[head_length + 4..].to_vec();
                let status = reply.head.strip_prefix("Status: ").and_then(|rest| rest.get(..3));
                reply.status = status.and_then(|digits| digits.parse().ok()).unwrap_or(0);
            }
            return Ok(reply);
        }
    }
}

/// A command that a worker received: number of the connection, code, request id, fields and body.
pub type ReceivedCommand = (usize, u8, u64, String, Vec<u8>);

/// An event at a fake worker. The number counts the worker's connections from 0.
#[derive(Debug)]
pub enum WorkerEvent {
    /// The scheduler opened this connection.
    Connected(usize),
    /// The scheduler sent a command other than a ping.
    Command(ReceivedCommand),
    /// The scheduler sent a ping on this connection.
    Ping(usize),
    /// This connection ended.
    Closed(usize),
}

/// A fake worker. It answers pings on its own, and commands when its test says so.
pub struct Worker {
    pub address: SocketAddr,
    events: Receiver<(WorkerEvent, Option<TcpStream>)>,
    connections: Vec<TcpStream>,
    closes_on_ping: Arc<AtomicBool>,
    holds_ping_answers: Arc<AtomicBool>,
    /// Open connections, by the events that the test has read.
    open_connections: usize,
}

fn read_command(stream: &mut TcpStream, connection: usize) -> io::Result<ReceivedCommand> {
    let mut header = [0; frame::HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let [magic, code, f1, f0, b3, b2, b1, b0, id @ ..] = header;
    if magic != frame::FROM_SCHEDULER {
        return Err(io::Error::other(format!(
            "the first byte of a frame is {magic}, a scheduler's is {}",
            frame::FROM_SCHEDULER
        )));
    }
    let fields = usize::from(u16::from_be_bytes([f1, f0]));
    let mut rest = vec![0; fields + u32::from_be_bytes([b3, b2, b1, b0]) as usize + frame::CHECKSUM_BYTES];
    stream.read_exact(&mut rest)?;
    let body = rest[fields..rest.len() - frame::CHECKSUM_BYTES].to_vec();
    let fields = String::from_utf8_lossy(&rest[..fields]).into_owned();
    Ok((connection, code, u64::from_be_bytes(id), fields, body))
}

/// Encodes an answer with a load report.
fn answer_frame(code: u8, id: u64, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    frame::write(&mut out, frame::FROM_WORKER, code, id, b"report=queue:0", body);
    out
}

impl Worker {
    /// Starts a worker at a free port.
    ///
    /// # Errors
    /// Fails if the system provides no socket.
    pub fn start() -> io::Result<Worker> {
        Worker::from_listener(TcpListener::bind(("127.0.0.1", 0))?)
    }

    /// Starts a worker that accepts the connections of `listener`.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn from_listener(listener: TcpListener) -> io::Result<Worker> {
        let address = listener.local_addr()?;
        let (sender, events) = channel();
        let (closes_on_ping, holds_ping_answers) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (closes, holds) = (closes_on_ping.clone(), holds_ping_answers.clone());
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(mut stream) = stream else { return };
                if sender
                    .send((WorkerEvent::Connected(connection), stream.try_clone().ok()))
                    .is_err()
                {
                    return;
                }
                let (sender, closes, holds) = (sender.clone(), closes.clone(), holds.clone());
                thread::spawn(move || {
                    while let Ok(command) = read_command(&mut stream, connection) {
                        let (_, code, id, ..) = command;
                        let is_ping = code == frame::PING;
                        let is_held = holds.load(Ordering::SeqCst);
                        let event = if is_ping {
                            WorkerEvent::Ping(connection)
                        } else {
                            WorkerEvent::Command(command)
                        };
                        // Fails if the test has dropped the worker.
                        let _ = sender.send((event, None));
                        let mut alive = Vec::new();
                        frame::write(&mut alive, frame::FROM_WORKER, ALIVE, id, b"", b"");
                        if is_ping
                            && !is_held
                            && (closes.load(Ordering::SeqCst) || stream.write_all(&alive).is_err())
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
            address,
            events,
            connections: Vec::new(),
            closes_on_ping,
            holds_ping_answers,
            open_connections: 0,
        })
    }

    /// With `hold`, pings stay unanswered until the test calls [`Worker::answer_ping`].
    pub fn hold_ping_answers(&self, hold: bool) {
        self.holds_ping_answers.store(hold, Ordering::SeqCst);
    }

    /// Waits until all connections have ended, and returns the commands that the test has not read yet. The
    /// scheduler must have been killed before, so that no command can follow.
    pub fn drain_commands(&mut self) -> Vec<ReceivedCommand> {
        // Connections are accepted in order: once this one is, all earlier ones have been.
        let last = TcpStream::connect(self.address).expect("the fake worker accepts connections");
        let from = last.local_addr().expect("a connection has a local address");
        let (mut last, mut commands) = (Some(last), Vec::new());
        while last.is_some() || self.open_connections > 0 {
            match self.next_event() {
                WorkerEvent::Connected(connection)
                    if self.connections[connection]
                        .peer_addr()
                        .is_ok_and(|peer| peer == from) =>
                {
                    last = None;
                }
                WorkerEvent::Command(command) => commands.push(command),
                WorkerEvent::Connected(_) | WorkerEvent::Ping(_) | WorkerEvent::Closed(_) => {}
            }
        }
        commands
    }

    /// Answers a ping on a connection, with the id of the ping.
    pub fn answer_ping(&mut self, connection: usize, id: u64) {
        let mut alive = Vec::new();
        frame::write(&mut alive, frame::FROM_WORKER, ALIVE, id, b"", b"");
        self.send(connection, &alive);
    }

    /// Waits for the next ping and returns its connection. Other events before it are dropped.
    pub fn next_ping(&mut self) -> usize {
        loop {
            if let WorkerEvent::Ping(connection) = self.next_event() {
                return connection;
            }
        }
    }

    /// From now on a ping closes its connection, as if a middlebox had dropped the idle connection.
    pub fn close_on_ping(&self) {
        self.closes_on_ping.store(true, Ordering::SeqCst);
    }

    /// Waits for the next event.
    pub fn next_event(&mut self) -> WorkerEvent {
        let received = self
            .events
            .recv_timeout(EVENT_TIMEOUT)
            .expect("the fake worker has an event in time");
        self.apply(received)
    }

    /// Updates the connections by an event that was read.
    fn apply(&mut self, (event, stream): (WorkerEvent, Option<TcpStream>)) -> WorkerEvent {
        self.connections.extend(stream);
        match event {
            WorkerEvent::Connected(_) => self.open_connections += 1,
            WorkerEvent::Closed(_) => self.open_connections -= 1,
            WorkerEvent::Command(_) | WorkerEvent::Ping(_) => {}
        }
        event
    }

    /// Whether no event is unread. An unread event is dropped.
    pub fn has_no_event(&mut self) -> bool {
        self.events
            .try_recv()
            .map(|received| self.apply(received))
            .is_err()
    }

    /// The next command, if one has been received by now. Other events before it are dropped.
    pub fn try_next_command(&mut self) -> Option<ReceivedCommand> {
        while let Ok(received) = self.events.try_recv() {
            if let WorkerEvent::Command(command) = self.apply(received) {
                return Some(command);
            }
        }
        None
    }

    /// Waits for the next command. Other events before it are dropped.
    pub fn next_command(&mut self) -> ReceivedCommand {
        loop {
            if let WorkerEvent::Command(command) = self.next_event() {
                return command;
            }
        }
    }

    /// Sends bytes unchanged on a connection.
    pub fn send(&mut self, connection: usize, bytes: &[u8]) {
        self.connections[connection]
            .write_all(bytes)
            .expect("the connection to the scheduler is open");
    }

    /// Answers a command with a code, a load report and a body.
    pub fn answer(&mut self, connection: usize, code: u8, id: u64, body: &[u8]) {
        self.send(connection, &answer_frame(code, id, body));
    }

    /// As [`Worker::answer`], on a connection that may have ended.
    pub fn try_answer(&mut self, connection: usize, code: u8, id: u64, body: &[u8]) {
        let _ = self.connections[connection].write_all(&answer_frame(code, id, body));
    }

    /// Closes a connection.
    pub fn close(&mut self, connection: usize) {
        let _ = self.connections[connection].shutdown(std::net::Shutdown::Both);
    }
}

/// A fake coordinator, whose events a scheduler follows by long polls.
///
/// A test takes a poll by [`Coordinator::next_poll`] and answers it. A poll that the test does not take is
/// answered without events when its wait ends. A poll for the last event, which the scheduler repeats, is
/// answered with that event at once.
pub struct Coordinator {
    pub address: SocketAddr,
    state: Arc<SharedPolls>,
}

/// Interval at which an open poll's connection is checked for its end.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// State of a coordinator that its connections and its test share.
#[derive(Default)]
struct SharedPolls {
    polls: Mutex<Polls>,
    changed: Condvar,
}

#[derive(Default)]
struct Polls {
    /// Request line of the open poll, unless the test has taken it.
    open: Option<String>,
    /// Answers that the test has given for the next polls.
    answers: VecDeque<Vec<u8>>,
    /// The coordinator's events, by index.
    events: BTreeMap<u64, String>,
    /// Number of polls that asked for the last event again.
    repeated: u64,
}

impl Polls {
    /// Adds the events of an answer.
    fn add_events(&mut self, text: &str) {
        let answer: Option<serde_json::Value> = serde_json::from_str(text).ok();
        let updates = answer.as_ref().and_then(|answer| answer["updates"].as_array());
        for update in updates.into_iter().flatten() {
            let last = self.events.last_key_value().map_or(0, |(index, _)| *index);
            let lists_all = update["endpoints"]["all"] == true;
            match update["index"].as_u64() {
                Some(index) if index == last + 1 || lists_all && index > last => {
                    self.events.insert(index, update.to_string());
                }
                // An event that is known already, or that follows a gap, cannot become the last event.
                _ => {}
            }
        }
    }

    /// The answer to a poll for the events after `follow`, if that is the last event alone.
    fn answer_with_last_event(&self, follow: u64) -> Option<String> {
        let (last, event) = self.events.last_key_value()?;
        (*last == follow + 1).then(|| format!(r#"{{"index":{last},"updates":[{event}]}}"#))
    }
}

impl SharedPolls {
    fn polls(&self) -> MutexGuard<'_, Polls> {
        self.polls
            .lock()
            .expect("no thread of the fake coordinator panics")
    }

    /// Waits for the bytes that answer a poll: an HTTP response, or any bytes that the test wants sent.
    /// `None` if the poll's connection has ended.
    fn answer(&self, line: &str, stream: &TcpStream) -> Option<Vec<u8>> {
        let value = |name: &str| {
            let (_, after) = line.split_once(name)?;
            let digits = after.split(|c: char| !c.is_ascii_digit()).next()?;
            digits.parse::<u64>().ok()
        };
        let follow = value("follow=").unwrap_or(0);
        let wait = Duration::from_millis(value("wait_ms=").unwrap_or(0));
        let start = Instant::now();
        let mut polls = self.polls();
        if polls.answers.is_empty()
            && let Some(text) = polls.answer_with_last_event(follow)
        {
            polls.repeated += 1;
            return Some(http_response(&text));
        }
        polls.open = Some(line.to_owned());
        self.changed.notify_all();
        loop {
            if let Some(answer) = polls.answers.pop_front() {
                polls.open = None;
                self.changed.notify_all();
                return Some(answer);
            }
            if polls.open.is_some() && start.elapsed() >= wait {
                polls.open = None;
                return Some(http_response(&format!(r#"{{"index":{follow},"updates":[]}}"#)));
            }
            if has_ended(stream) {
                polls.open = None;
                return None;
            }
            let waited = self.changed.wait_timeout(polls, DISCONNECT_CHECK_INTERVAL);
            polls = waited.expect("no thread of the fake coordinator panics").0;
        }
    }
}

/// Whether the peer has closed a connection.
fn has_ended(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_open = stream.set_nonblocking(false).is_ok();
    match peeked {
        Ok(0) => true,
        Ok(_) => !is_open,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// An HTTP response with this body.
fn http_response(text: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
    (head + text).into_bytes()
}

impl Coordinator {
    /// Starts a coordinator without events at a free port.
    ///
    /// # Errors
    /// Fails if the system provides no socket.
    pub fn start() -> io::Result<Coordinator> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(SharedPolls::default());
        let shared = state.clone();
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
                    // The other header lines are read first, as unread bytes would hide the connection's end.
                    while lines
                        .next()
                        .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
                    {}
                    let Some(answer) = shared.answer(&line, &writer) else {
                        break;
                    };
                    let is_response = answer.starts_with(b"HTTP");
                    if writer.write_all(&answer).is_err() || !is_response {
                        break;
                    }
                }
            }
        });
        Ok(Coordinator { address, state })
    }

    /// Starts a coordinator with events in the format of its answers.
    ///
    /// # Errors
    /// Fails if the system provides no socket.
    pub fn with_events(events: &str) -> io::Result<Coordinator> {
        let coordinator = Coordinator::start()?;
        coordinator.state.polls().add_events(events);
        Ok(coordinator)
    }

    /// Adds events in the format of the coordinator's answers, without answering a poll.
    pub fn add_events(&self, events: &str) {
        self.state.polls().add_events(events);
    }

    /// Number of polls so far that asked for the last event again.
    pub fn repeated_polls(&self) -> u64 {
        self.state.polls().repeated
    }

    /// Waits until more than `repeated` polls have asked for the last event again and a poll for the next
    /// event is open: the follower then knows that its endpoint list is current.
    pub fn wait_until_followed(&self, repeated: u64) {
        let is_behind = |polls: &mut Polls| polls.repeated <= repeated || polls.open.is_none();
        let waited = self
            .state
            .changed
            .wait_timeout_while(self.state.polls(), EVENT_TIMEOUT, is_behind);
        let (polls, result) = waited.expect("no thread of the fake coordinator panics");
        drop(polls);
        assert!(!result.timed_out(), "no scheduler follows the fake coordinator");
    }

    /// Waits until all answers so far were sent and a poll is open, and returns the request line of that
    /// poll.
    pub fn next_poll(&self) -> String {
        let is_missing = |polls: &mut Polls| polls.open.is_none() || !polls.answers.is_empty();
        let waited = self
            .state
            .changed
            .wait_timeout_while(self.state.polls(), EVENT_TIMEOUT, is_missing);
        let (mut polls, _) = waited.expect("no thread of the fake coordinator panics");
        polls.open.take().expect("a poll is open")
    }

    /// Answers the next poll with events, and adds them to the coordinator's.
    pub fn answer_with_events(&self, events: &str) {
        self.state.polls().add_events(events);
        self.answer_raw(http_response(events));
    }

    /// Answers the next poll with these bytes. If they do not start an HTTP response, the connection is
    /// closed after them.
    pub fn answer_raw(&self, bytes: Vec<u8>) {
        self.state.polls().answers.push_back(bytes);
        self.state.changed.notify_all();
    }
}
