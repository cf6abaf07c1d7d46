//! All connections of one event loop.
use crate::Limits;
use crate::body::{BodyError, BodyReader};
use crate::conn::*;
use crate::head::{self, Framing, HeadError, Headers, RequestHead, ResponseHead};
use crate::links::connect;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness};
use slab::Slab;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections taken in one turn of the loop, so that a flood of them leaves room for the work.
const ACCEPT_MOST: usize = 64;
/// After the process ran out of descriptors: one may be free again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Connections that the system queues until they are taken.
const BACKLOG: i32 = 1024;
/// How long bytes after an early answer are still read and thrown away.
const LINGER: Duration = Duration::from_secs(1);

/// What the loop's state is: it lends its [`Http`].
pub trait HasHttp: Sized + 'static {
    fn http(&mut self) -> &mut Http<Self>;
}

/// A client's request that waits for our answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Exchange {
    conn: usize,
    serial: u64,
    turn: u64,
}

/// A call of ours to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

#[derive(Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub from: Option<SocketAddr>,
    pub at: Option<SocketAddr>,
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Outgoing {
    pub method: &'static str,
    pub target: String,
    pub headers: Headers,
    pub body: Rc<[u8]>,
    /// Connections not there by then count as refused.
    pub connect_timeout: Duration,
    /// The answer's body comes as [`HttpEvent::Part`], not with the answer.
    pub streams: bool,
}

#[derive(Debug)]
pub enum HttpEvent {
    Request {
        exchange: Exchange,
        request: Result<Request, BadRequest>,
    },
    /// The client left before it was answered, or before a streamed answer ended.
    Gone {
        exchange: Exchange,
    },
    /// The whole answer; of a streamed one the head.
    Answer {
        call: CallId,
        answer: Response,
    },
    Part {
        call: CallId,
        bytes: Vec<u8>,
    },
    /// A streamed answer is whole.
    End {
        call: CallId,
    },
    Failed {
        call: CallId,
        how: Failure,
    },
}

#[derive(Default)]
struct Servers {
    idle: Vec<usize>,
    open: usize,
}

pub struct Http<S: HasHttp> {
    handle: LoopHandle<'static, S>,
    limits: Limits,
    conns: Slab<Conn>,
    listeners: Vec<(Rc<TcpListener>, calloop::RegistrationToken)>,
    servers: HashMap<SocketAddr, Servers>,
    calls: HashMap<CallId, usize>,
    deadlines: BTreeSet<(Instant, usize)>,
    events: VecDeque<HttpEvent>,
    scratch: Vec<u8>,
    clients: usize,
    serial: u64,
    accept_again: Option<Instant>,
    opened: u64,
}

impl<S: HasHttp> Http<S> {
    pub fn new(handle: LoopHandle<'static, S>, limits: Limits) -> Http<S> {
        Http {
            handle,
            limits,
            conns: Slab::new(),
            listeners: Vec::new(),
            servers: HashMap::new(),
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
            events: VecDeque::new(),
            scratch: vec![0; READ_STEP],
            clients: 0,
            serial: 0,
            accept_again: None,
            opened: 0,
        }
    }

    /// Takes connections from `listener` from now on.
    pub fn listen(&mut self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let at = self.listeners.len();
        let accept = move |_: Readiness, _: &mut _, state: &mut S| {
            state.http().accept(at);
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, accept).map_err(|e| io::Error::other(e.to_string()))?;
        self.listeners.push((listener, token));
        Ok(())
    }

    /// Takes no more connections. Those that are there go on.
    pub fn stop_listening(&mut self) {
        // Those that wait to be taken would be cut off with the listener.
        (0..self.listeners.len()).for_each(|at| self.accept(at));
        for (_, token) in self.listeners.drain(..) {
            self.handle.remove(token);
        }
    }

    /// Whether bytes wait to be written to clients.
    pub fn unsent(&self) -> bool {
        let waits = |conn: &Conn| matches!(conn.side, Side::Server(_)) && !conn.output.is_empty();
        self.conns.iter().any(|(_, conn)| waits(conn))
    }

    /// Whether not a byte of a call has left; then taking it back proves that it never ran.
    pub fn unsent_call(&self, call: CallId) -> bool {
        let conn = self.calls.get(&call).and_then(|&key| self.conns.get(key));
        conn.is_some_and(|conn| matches!(&conn.side, Side::Client(client) if client.request.is_some()))
    }

    /// Closes every connection and takes no more, as a process does that is killed.
    pub fn close_all(&mut self) {
        self.stop_listening();
        let keys: Vec<usize> = self.conns.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.close(key));
        self.events.clear();
    }

    /// Client connections that are open.
    pub fn clients(&self) -> usize {
        self.clients
    }

    /// Connections opened to servers so far.
    pub fn opened(&self) -> u64 {
        self.opened
    }

    pub fn take_events(&mut self) -> VecDeque<HttpEvent> {
        std::mem::take(&mut self.events)
    }

    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// When [`Http::expire`] has something to do.
    pub fn next_deadline(&self) -> Option<Instant> {
        let first = self.deadlines.first().map(|(at, _)| *at);
        [first, self.accept_again].into_iter().flatten().min()
    }

    /// Closes what is overdue.
    pub fn expire(&mut self, now: Instant) {
        if self.accept_again.take_if(|at| *at <= now).is_some() {
            for (_, token) in &self.listeners {
                // An error here means that the loop itself is broken; the next turn will show it.
                let _ = self.handle.enable(token);
            }
        }
        while let Some(&(at, key)) = self.deadlines.first() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            let Some(conn) = self.conns.get_mut(key) else { continue };
            conn.deadline = None;
            match &mut conn.side {
                Side::Server(ServerState::Head { .. }) if conn.input.is_empty() => self.close(key),
                Side::Server(ServerState::Head { .. } | ServerState::Body { .. }) => {
                    self.bad(key, BadRequest::TooSlow)
                }
                Side::Server(_) => self.lost(key),
                Side::Client(client) => match client.state {
                    ClientState::Connecting => self.fail(key, Failure::Connect),
                    ClientState::Idle => self.close(key),
                    // Calls are ended by their owner.
                    ClientState::Head { .. } | ClientState::Body { .. } => {}
                },
            }
        }
    }

    fn set_deadline(&mut self, key: usize, after: Option<Duration>) {
        let conn = &mut self.conns[key];
        if let Some(at) = conn.deadline.take() {
            self.deadlines.remove(&(at, key));
        }
        if let Some(after) = after {
            let at = Instant::now() + after;
            conn.deadline = Some(at);
            self.deadlines.insert((at, key));
        }
    }

    fn insert(&mut self, stream: TcpStream, side: Side) -> io::Result<usize> {
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        self.serial += 1;
        let key = self.conns.insert(Conn::new(stream.clone(), self.serial, side));
        let serial = self.serial;
        let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
        let ready = move |ready: Readiness, _: &mut _, state: &mut S| {
            state.http().ready(key, serial, ready);
            Ok(PostAction::Continue)
        };
        match self.handle.insert_source(source, ready) {
            Ok(token) => {
                self.conns[key].token = Some(token);
                Ok(key)
            }
            Err(e) => {
                self.conns.remove(key);
                Err(io::Error::other(e.to_string()))
            }
        }
    }

    fn accept(&mut self, at: usize) {
        for _ in 0..ACCEPT_MOST {
            let Some((listener, _)) = self.listeners.get(at) else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    if self.clients >= self.limits.connections && !self.evict() {
                        // Closed unread: a client may try again elsewhere.
                        continue;
                    }
                    let taken = stream.set_nonblocking(true);
                    let side = Side::Server(ServerState::Head { scanned: 0 });
                    if let Ok(key) = taken.and_then(|()| self.insert(stream, side)) {
                        self.clients += 1;
                        self.set_deadline(key, Some(self.limits.idle));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => {
                    // Out of descriptors or memory: a level-triggered listener would spin.
                    self.evict();
                    for (_, token) in &self.listeners {
                        let _ = self.handle.disable(token);
                    }
                    self.accept_again = Some(Instant::now() + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    /// Makes room: closes the client that has sent nothing for longest. `false` where none is idle.
    fn evict(&mut self) -> bool {
        let idle = self.deadlines.iter().find(|(_, key)| {
            let conn = &self.conns[*key];
            matches!(conn.side, Side::Server(ServerState::Head { .. })) && conn.input.is_empty()
        });
        let Some(&(_, key)) = idle else { return false };
        self.close(key);
        true
    }

    fn close(&mut self, key: usize) {
        self.set_deadline(key, None);
        let conn = self.conns.remove(key);
        if let Some(token) = conn.token {
            self.handle.remove(token);
        }
        match conn.side {
            Side::Server(_) => self.clients -= 1,
            Side::Client(client) => {
                if let Some(call) = client.call {
                    self.calls.remove(&call);
                }
                if let Some(servers) = self.servers.get_mut(&client.to) {
                    servers.open -= 1;
                    servers.idle.retain(|&k| k != key);
                    if servers.open == 0 {
                        self.servers.remove(&client.to);
                    }
                }
            }
        }
        // The socket closes with the last reference, which `remove` and this drop.
        let _ = conn.stream.shutdown(std::net::Shutdown::Both);
    }

    fn ready(&mut self, key: usize, serial: u64, ready: Readiness) {
        let Some(conn) = self.conns.get_mut(key).filter(|c| c.serial == serial) else { return };
        conn.readable |= ready.readable || ready.error;
        match &conn.side {
            Side::Server(_) => self.drive_server(key),
            Side::Client(_) => self.drive_client(key),
        }
    }

    // --- Server side ---

    /// A client that left, or takes nothing of its answer.
    fn lost(&mut self, key: usize) {
        let conn = &self.conns[key];
        let owed =
            matches!(conn.side, Side::Server(ServerState::Waiting { .. } | ServerState::Streaming { .. }));
        if owed {
            let exchange = Exchange { conn: key, serial: conn.serial, turn: conn.turn };
            self.events.push_back(HttpEvent::Gone { exchange });
        }
        self.close(key);
    }

    fn bad(&mut self, key: usize, why: BadRequest) {
        self.set_deadline(key, None);
        let conn = &mut self.conns[key];
        // Where its next request begins is not known: the connection ends with this answer.
        conn.side = Side::Server(ServerState::Waiting { keep_alive: false, bodiless: false, old: false });
        conn.input.clear();
        let exchange = Exchange { conn: key, serial: conn.serial, turn: conn.turn };
        self.events.push_back(HttpEvent::Request { exchange, request: Err(why) });
    }

    fn drive_server(&mut self, key: usize) {
        loop {
            let Some(conn) = self.conns.get_mut(key) else { return };
            if !conn.output.is_empty() {
                match conn.flush() {
                    Flushed::All => {
                        if matches!(conn.side, Side::Server(ServerState::Lingering)) {
                            let _ = conn.stream.shutdown(std::net::Shutdown::Write);
                            self.set_deadline(key, Some(LINGER));
                        } else if matches!(conn.side, Side::Server(ServerState::Head { .. })) {
                            self.set_deadline(key, Some(self.limits.idle));
                        } else if matches!(conn.side, Side::Server(ServerState::Streaming { .. })) {
                            self.set_deadline(key, None);
                        }
                    }
                    Flushed::Some => return,
                    Flushed::Broken => return self.lost(key),
                }
            }
            if !self.parse_request(key) {
                return;
            }
            let Some(conn) = self.conns.get_mut(key) else { return };
            let waits = matches!(
                conn.side,
                Side::Server(ServerState::Waiting { .. } | ServerState::Streaming { .. })
            );
            if waits && conn.input.len() >= READ_STEP {
                return;
            }
            let more = conn.readable && conn.read_once(&mut self.scratch);
            if matches!(conn.side, Side::Server(ServerState::Lingering)) {
                conn.input.clear();
            }
            if !more {
                // The end of what it sends is the end of a client: nobody reads an answer any more.
                if conn.ended {
                    self.lost(key);
                }
                return;
            }
        }
    }

    /// Reads on in what came; `false` once the connection is closed or its request is bad.
    fn parse_request(&mut self, key: usize) -> bool {
        loop {
            let conn = &mut self.conns[key];
            let Side::Server(state) = &mut conn.side else { return false };
            match state {
                ServerState::Waiting { .. } | ServerState::Streaming { .. } | ServerState::Lingering => {
                    return true;
                }
                ServerState::Head { scanned } => {
                    if conn.input.is_empty() {
                        return true;
                    }
                    let first = *scanned == 0;
                    let end = head::head_end(&conn.input, scanned);
                    if end.unwrap_or(conn.input.len()) > self.limits.head {
                        self.bad(key, BadRequest::HeadTooLarge);
                        return true;
                    }
                    let Some(end) = end else {
                        // The clock runs from the first byte, however slowly more of them come.
                        if first {
                            self.set_deadline(key, Some(self.limits.receive));
                        }
                        return true;
                    };
                    let head = match head::request(&conn.input[..end]) {
                        Ok(head) => head,
                        Err(e) => {
                            self.bad(key, bad_head(e));
                            return true;
                        }
                    };
                    conn.consume(end);
                    match BodyReader::new(head.framing, self.limits.request_body) {
                        Ok(reader) => {
                            if head.expects_continue && !reader.done() && conn.input.is_empty() {
                                conn.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                                if let Flushed::Broken = conn.flush() {
                                    self.lost(key);
                                    return false;
                                }
                            }
                            let conn = &mut self.conns[key];
                            conn.side = Side::Server(ServerState::Body { head, reader });
                            self.set_deadline(key, Some(self.limits.receive));
                        }
                        Err(e) => {
                            self.bad(key, bad_body(e));
                            return true;
                        }
                    }
                }
                ServerState::Body { head, reader } => {
                    let used = match reader.feed(&conn.input) {
                        Ok(used) => used,
                        Err(e) => {
                            self.bad(key, bad_body(e));
                            return true;
                        }
                    };
                    let whole = reader.done();
                    if whole {
                        let (keep_alive, bodiless, old) = (head.keep_alive, head.method == "HEAD", head.old);
                        let waiting = Side::Server(ServerState::Waiting { keep_alive, bodiless, old });
                        let request = std::mem::replace(&mut conn.side, waiting);
                        if let Side::Server(ServerState::Body { head, reader }) = request {
                            let exchange = Exchange { conn: key, serial: conn.serial, turn: conn.turn };
                            let (from, at) = (conn.stream.peer_addr().ok(), conn.stream.local_addr().ok());
                            let request = Ok(Request { head, body: reader.bytes, from, at });
                            self.events.push_back(HttpEvent::Request { exchange, request });
                        }
                    }
                    conn.consume(used);
                    if whole {
                        self.set_deadline(key, None);
                    }
                    return true;
                }
            }
        }
    }

    /// Answers a request; of one that is gone nothing is sent.
    pub fn answer(&mut self, exchange: Exchange, answer: &Response) {
        let Some(conn) = self.waiting(exchange) else { return };
        let Side::Server(ServerState::Waiting { keep_alive, bodiless, .. }) = conn.side else { return };
        let closes = answer.headers.get("connection").is_some_and(|told| told.eq_ignore_ascii_case("close"));
        let keep_alive = keep_alive && !closes;
        let headers = without_framing(&answer.headers);
        let framing = match answer.status {
            204 => Framing::None,
            _ => Framing::Length(answer.body.len() as u64),
        };
        head::write_response(&mut conn.output, answer.status, &headers, framing, keep_alive);
        if !bodiless && answer.status != 204 {
            conn.output.extend_from_slice(&answer.body);
        }
        self.next_request(exchange.conn, keep_alive);
    }

    /// Begins an answer whose length is not known yet; its parts follow by [`Http::push`].
    pub fn begin(&mut self, exchange: Exchange, status: u16, headers: &Headers) {
        let Some(conn) = self.waiting(exchange) else { return };
        let Side::Server(ServerState::Waiting { keep_alive, old, .. }) = conn.side else { return };
        let framing = if old { Framing::UntilClose } else { Framing::Chunked };
        head::write_response(
            &mut conn.output,
            status,
            &without_framing(headers),
            framing,
            keep_alive && !old,
        );
        conn.side = Side::Server(ServerState::Streaming { keep_alive, old });
        self.drive_server(exchange.conn);
    }

    /// A part of a begun answer. `false` once the client is gone or more than `most` bytes wait for it.
    pub fn push(&mut self, exchange: Exchange, bytes: &[u8], most: usize) -> bool {
        let send = self.limits.send;
        let Some(conn) = self.waiting(exchange) else { return false };
        let Side::Server(ServerState::Streaming { old, .. }) = conn.side else { return false };
        if conn.output.len() - conn.written + bytes.len() > most {
            return false;
        }
        if old {
            conn.output.extend_from_slice(bytes);
        } else if !bytes.is_empty() {
            chunk(&mut conn.output, bytes);
        }
        if conn.deadline.is_none() {
            self.set_deadline(exchange.conn, Some(send));
        }
        self.drive_server(exchange.conn);
        self.waiting(exchange).is_some()
    }

    /// Ends a begun answer.
    pub fn finish(&mut self, exchange: Exchange) {
        let Some(conn) = self.waiting(exchange) else { return };
        let Side::Server(ServerState::Streaming { keep_alive, old }) = conn.side else { return };
        if !old {
            chunk(&mut conn.output, b"");
        }
        self.next_request(exchange.conn, keep_alive && !old);
    }

    /// Cuts a client off without an answer.
    pub fn cut(&mut self, exchange: Exchange) {
        if self.waiting(exchange).is_some() {
            self.close(exchange.conn);
        }
    }

    fn waiting(&mut self, exchange: Exchange) -> Option<&mut Conn> {
        let Exchange { conn, serial, turn } = exchange;
        self.conns.get_mut(conn).filter(|c| c.serial == serial && c.turn == turn)
    }

    fn next_request(&mut self, key: usize, keep_alive: bool) {
        let conn = &mut self.conns[key];
        // An answer given twice must not reach the connection's next request.
        conn.turn += 1;
        conn.side = Side::Server(match keep_alive {
            true => ServerState::Head { scanned: 0 },
            false => ServerState::Lingering,
        });
        self.set_deadline(key, Some(self.limits.send));
        self.drive_server(key);
    }

    // --- Client side ---

    /// Sends a request over a pooled or a new connection. What comes of it comes as an event, never sooner.
    pub fn call(&mut self, to: SocketAddr, request: Outgoing) -> CallId {
        self.serial += 1;
        let call = CallId(self.serial);
        self.start(to, call, request);
        call
    }

    fn start(&mut self, to: SocketAddr, call: CallId, request: Outgoing) {
        while let Some(key) = self.servers.get_mut(&to).and_then(|servers| servers.idle.pop()) {
            // One that the server has closed meanwhile looks writable: what is sent there is lost without proof.
            let conn = &mut self.conns[key];
            if conn.read_once(&mut self.scratch) || conn.ended {
                self.close(key);
                continue;
            }
            self.set_deadline(key, None);
            let conn = &mut self.conns[key];
            if let Side::Client(client) = &mut conn.side {
                (client.call, client.streams) = (Some(call), request.streams);
                client.state = ClientState::Head { scanned: 0 };
                write_call(&mut conn.output, to, &request);
                client.request = Some(request);
            }
            self.calls.insert(call, key);
            return self.drive_client(key);
        }
        if self.servers.get(&to).is_some_and(|servers| servers.open >= self.limits.connections_each) {
            return self.events.push_back(HttpEvent::Failed { call, how: Failure::NoRoom });
        }
        let timeout = request.connect_timeout;
        let client = Client {
            to,
            call: Some(call),
            state: ClientState::Connecting,
            streams: request.streams,
            request: Some(request),
        };
        let key = connect(to).and_then(|stream| self.insert(stream, Side::Client(client)));
        let Ok(key) = key else {
            return self.events.push_back(HttpEvent::Failed { call, how: Failure::Connect });
        };
        self.opened += 1;
        self.servers.entry(to).or_default().open += 1;
        self.calls.insert(call, key);
        self.set_deadline(key, Some(timeout));
    }

    /// Gives a call up by closing its connection. Nothing more comes of it.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(&key) = self.calls.get(&call) {
            self.close(key);
        }
        // It may have failed a moment ago, with the news still in the queue.
        self.events.retain(|event| match event {
            HttpEvent::Answer { call: of, .. }
            | HttpEvent::Part { call: of, .. }
            | HttpEvent::End { call: of }
            | HttpEvent::Failed { call: of, .. } => *of != call,
            HttpEvent::Request { .. } | HttpEvent::Gone { .. } => true,
        });
    }

    pub fn close_idle(&mut self, to: SocketAddr) {
        let idle = self.servers.get(&to).map(|servers| servers.idle.clone()).unwrap_or_default();
        idle.into_iter().for_each(|key| self.close(key));
    }

    fn fail(&mut self, key: usize, how: Failure) {
        if let Side::Client(Client { call: Some(call), .. }) = &self.conns[key].side {
            let call = *call;
            self.events.push_back(HttpEvent::Failed { call, how });
        }
        self.close(key);
    }

    fn drive_client(&mut self, key: usize) {
        let conn = &mut self.conns[key];
        let Side::Client(client) = &mut conn.side else { return };
        if matches!(client.state, ClientState::Connecting) {
            if let Ok(Some(_)) | Err(_) = conn.stream.take_error() {
                return self.fail(key, Failure::Connect);
            }
            if conn.stream.peer_addr().is_err() {
                return;
            }
            if let Some(request) = &client.request {
                write_call(&mut conn.output, client.to, request);
            }
            client.state = ClientState::Head { scanned: 0 };
            self.set_deadline(key, None);
        }
        let conn = &mut self.conns[key];
        if !conn.output.is_empty() {
            let flushed = conn.flush();
            let Side::Client(client) = &mut conn.side else { return };
            // From the first byte on the request may be worked on.
            if conn.written > 0 || matches!(flushed, Flushed::All) {
                client.request = None;
            }
            if let Flushed::Broken = flushed {
                // What the server said before it closed is still worth reading, below.
                conn.output.clear();
                conn.written = 0;
                conn.ended |= client.request.is_some();
            }
        }
        loop {
            let conn = &mut self.conns[key];
            let more = conn.readable && !conn.ended && conn.read_once(&mut self.scratch);
            if !self.parse_answer(key) {
                return;
            }
            if !more {
                if self.conns[key].ended {
                    self.ended(key);
                }
                return;
            }
        }
    }

    /// The server closed its side.
    fn ended(&mut self, key: usize) {
        let conn = &mut self.conns[key];
        let Side::Client(client) = &mut conn.side else { return };
        if client.request.is_some()
            && let (Some(request), Some(call)) = (client.request.take(), client.call.take())
        {
            // An idle connection that was closed while it lay there: not a byte left, so another one may be
            // used. `close` must not take the call from the table.
            let to = client.to;
            self.close(key);
            self.calls.remove(&call);
            return self.start(to, call, request);
        }
        match &client.state {
            ClientState::Body { reader, .. } if reader.whole_at_close() => self.whole(key),
            ClientState::Idle => self.close(key),
            ClientState::Connecting => self.fail(key, Failure::Connect),
            ClientState::Head { .. } | ClientState::Body { .. } => self.fail(key, Failure::Reset),
        }
    }

    /// Reads on in an answer; `false` once the connection is closed.
    fn parse_answer(&mut self, key: usize) -> bool {
        loop {
            let conn = &mut self.conns[key];
            let Side::Client(client) = &mut conn.side else { return false };
            match &mut client.state {
                ClientState::Connecting => return true,
                ClientState::Idle => {
                    // Bytes that nobody asked for: the next answer on it could not be told from them.
                    if !conn.input.is_empty() {
                        self.close(key);
                        return false;
                    }
                    return true;
                }
                ClientState::Head { scanned } => {
                    let end = head::head_end(&conn.input, scanned);
                    if end.unwrap_or(conn.input.len()) > self.limits.head {
                        self.fail(key, Failure::TooLarge);
                        return false;
                    }
                    let Some(end) = end else { return true };
                    let Ok(head) = head::response(&conn.input[..end]) else {
                        self.fail(key, Failure::Malformed);
                        return false;
                    };
                    conn.input.drain(..end);
                    if (100..200).contains(&head.status) {
                        client.state = ClientState::Head { scanned: 0 };
                        continue;
                    }
                    let Ok(reader) = BodyReader::new(head.framing, self.limits.answer_body) else {
                        self.fail(key, Failure::TooLarge);
                        return false;
                    };
                    if let (true, Some(call)) = (client.streams, client.call) {
                        let (status, headers) = (head.status, head.headers.clone());
                        let answer = Response { status, headers, body: Vec::new() };
                        self.events.push_back(HttpEvent::Answer { call, answer });
                    }
                    client.state = ClientState::Body { head, reader };
                }
                ClientState::Body { reader, .. } => {
                    let used = match reader.feed(&conn.input) {
                        Ok(used) => used,
                        Err(e) => {
                            let too_large = e == BodyError::TooLarge;
                            self.fail(key, if too_large { Failure::TooLarge } else { Failure::Malformed });
                            return false;
                        }
                    };
                    if let (true, Some(call)) = (client.streams, client.call)
                        && !reader.bytes.is_empty()
                    {
                        let bytes = std::mem::take(&mut reader.bytes);
                        self.events.push_back(HttpEvent::Part { call, bytes });
                    }
                    let done = reader.done();
                    conn.consume(used);
                    if !done {
                        return true;
                    }
                    self.whole(key);
                    return self.conns.contains(key);
                }
            }
        }
    }

    /// An answer is whole: hand it over, and keep the connection if it can serve again.
    fn whole(&mut self, key: usize) {
        let conn = &mut self.conns[key];
        let unsent = !conn.output.is_empty();
        let Side::Client(client) = &mut conn.side else { return };
        let Some(call) = client.call.take() else { return self.close(key) };
        self.calls.remove(&call);
        let state = std::mem::replace(&mut client.state, ClientState::Idle);
        let ClientState::Body { head, reader } = state else { return self.close(key) };
        let ResponseHead { status, headers, keep_alive, .. } = head;
        self.events.push_back(match client.streams {
            true => HttpEvent::End { call },
            false => HttpEvent::Answer { call, answer: Response { status, headers, body: reader.bytes } },
        });
        // A server that answered before it had read all leaves bytes behind that spoil the connection.
        if !keep_alive || unsent || conn.ended || !conn.input.is_empty() {
            return self.close(key);
        }
        let to = client.to;
        self.set_deadline(key, Some(self.limits.keepalive));
        self.servers.entry(to).or_default().idle.push(key);
    }
}

fn write_call(out: &mut Vec<u8>, to: SocketAddr, request: &Outgoing) {
    let mut headers = without_framing(&request.headers);
    if headers.get("host").is_none() {
        headers.push("host", &to.to_string());
    }
    let framing = match request.method {
        "GET" => Framing::None,
        _ => Framing::Length(request.body.len() as u64),
    };
    head::write_request(out, request.method, &request.target, &headers, framing);
    out.extend_from_slice(&request.body);
}

/// A listener whose queue of connections not yet taken is long enough for a flood of them.
/// `shared`: other processes of the same user may listen there too, and the system spreads connections over them.
pub fn bind(at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn bad_head(error: HeadError) -> BadRequest {
    match error {
        HeadError::TooLarge => BadRequest::HeadTooLarge,
        HeadError::Malformed => BadRequest::Malformed,
        HeadError::Coding => BadRequest::Coding,
    }
}

fn bad_body(error: BodyError) -> BadRequest {
    match error {
        BodyError::TooLarge => BadRequest::BodyTooLarge,
        BodyError::Malformed => BadRequest::Malformed,
    }
}
