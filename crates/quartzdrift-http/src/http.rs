//! All connections of one event loop.
use crate::Limits;
use crate::body::{BodyError, BodyReader};
use crate::conn::*;
use crate::head::{self, Framing, HeadError, Headers, RequestHead, ResponseHead};
use crate::links::{Link, LinkId, Links, READ_STEP};
use calloop::LoopHandle;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

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
    conn: LinkId,
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
    idle: Vec<LinkId>,
    open: usize,
}

pub struct Http<S: HasHttp> {
    limits: Limits,
    links: Links<S, Conn>,
    servers: HashMap<SocketAddr, Servers>,
    calls: HashMap<CallId, LinkId>,
    events: VecDeque<HttpEvent>,
    clients: usize,
    serial: u64,
    opened: u64,
}

impl<S: HasHttp> Http<S> {
    pub fn new(handle: LoopHandle<'static, S>, limits: Limits) -> Http<S> {
        Http {
            limits,
            links: Links::new(handle, |state| &mut state.http().links),
            servers: HashMap::new(),
            calls: HashMap::new(),
            events: VecDeque::new(),
            clients: 0,
            serial: 0,
            opened: 0,
        }
    }

    /// Takes connections from `listener` from now on.
    pub fn listen(&mut self, listener: TcpListener) -> io::Result<()> {
        self.links.listen(listener)
    }

    /// Takes no more connections. Those that are there go on.
    pub fn stop_listening(&mut self) {
        // Those that wait to be taken would be cut off with the listener.
        self.links.look_for_connections();
        self.accept();
        self.links.stop_listening();
    }

    /// Whether bytes wait to be written to clients.
    pub fn unsent(&self) -> bool {
        self.links
            .iter()
            .any(|(_, link)| matches!(link.state.side, Side::Server(_)) && link.waiting() > 0)
    }

    /// Whether not a byte of a call has left; then taking it back proves that it never ran.
    pub fn unsent_call(&self, call: CallId) -> bool {
        let link = self.calls.get(&call).and_then(|&id| self.links.get(id));
        link.is_some_and(|link| matches!(&link.state.side, Side::Client(client) if client.request.is_some()))
    }

    /// Closes every connection and takes no more, as a process does that is killed.
    pub fn close_all(&mut self) {
        self.stop_listening();
        let all: Vec<LinkId> = self.links.iter().map(|(id, _)| id).collect();
        all.into_iter().for_each(|id| self.close(id));
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

    /// What happened, in the order in which it was seen; to be taken after every turn of the loop.
    pub fn take_events(&mut self) -> VecDeque<HttpEvent> {
        self.work();
        std::mem::take(&mut self.events)
    }

    pub fn has_events(&self) -> bool {
        !self.events.is_empty() || self.links.is_ready()
    }

    /// Works what the last turn of the loop brought.
    fn work(&mut self) {
        self.accept();
        for id in self.links.take_ready() {
            match self.links.get(id).map(|link| &link.state.side) {
                Some(Side::Server(_)) => self.drive_server(id),
                Some(Side::Client(_)) => self.drive_client(id),
                None => {}
            }
        }
        self.links.flush();
    }

    /// When [`Http::expire`] has something to do.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.links.next_due()
    }

    /// Closes what is overdue, after all that came in time.
    pub fn expire(&mut self, now: Instant) {
        self.work();
        for id in self.links.take_overdue(now) {
            let Some(link) = self.links.get(id) else { continue };
            match &link.state.side {
                Side::Server(ServerState::Head { .. }) if link.input.is_empty() => self.close(id),
                Side::Server(ServerState::Head { .. } | ServerState::Body { .. }) => {
                    self.bad(id, BadRequest::TooSlow)
                }
                Side::Server(_) => self.lost(id),
                Side::Client(client) => match client.state {
                    ClientState::Connecting => self.fail(id, Failure::Connect),
                    ClientState::Idle => self.close(id),
                    // Calls are ended by their owner.
                    ClientState::Head { .. } | ClientState::Body { .. } => {}
                },
            }
        }
    }

    fn accept(&mut self) {
        for stream in self.links.accept(is_idle) {
            if self.clients >= self.limits.connections {
                // Makes room; where none is idle the newcomer is closed unread: it may try again elsewhere.
                let Some(idle) = self.links.longest_silent(is_idle) else {
                    continue;
                };
                self.close(idle);
            }
            let side = Side::Server(ServerState::Head { scanned: 0 });
            if let Ok(id) = self.links.insert(stream, Conn { turn: 0, side }) {
                self.clients += 1;
                self.links.set_deadline(id, Some(self.limits.idle));
            }
        }
    }

    fn close(&mut self, id: LinkId) {
        match self.links.close(id).map(|conn| conn.side) {
            Some(Side::Server(_)) => self.clients -= 1,
            Some(Side::Client(client)) => {
                if let Some(call) = client.call {
                    self.calls.remove(&call);
                }
                if let Some(servers) = self.servers.get_mut(&client.to) {
                    servers.open -= 1;
                    servers.idle.retain(|&of| of != id);
                    if servers.open == 0 {
                        self.servers.remove(&client.to);
                    }
                }
            }
            None => {}
        }
    }

    /// Writes at the end of what waits on a link.
    fn write(&mut self, id: LinkId, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(output) = self.links.output(id) {
            write(output);
        }
    }

    // --- Server side ---

    /// A client that left, or takes nothing of its answer.
    fn lost(&mut self, id: LinkId) {
        let Some(link) = self.links.get(id) else { return };
        let Conn { turn, side } = &link.state;
        if matches!(
            side,
            Side::Server(ServerState::Waiting { .. } | ServerState::Streaming { .. })
        ) {
            self.events.push_back(HttpEvent::Gone {
                exchange: Exchange {
                    conn: id,
                    turn: *turn,
                },
            });
        }
        self.close(id);
    }

    fn bad(&mut self, id: LinkId, why: BadRequest) {
        self.links.set_deadline(id, None);
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        // Where its next request begins is not known: the connection ends with this answer.
        link.state.side = Side::Server(ServerState::Waiting {
            keep_alive: false,
            bodiless: false,
            old: false,
        });
        link.input.clear();
        let exchange = Exchange {
            conn: id,
            turn: link.state.turn,
        };
        self.events.push_back(HttpEvent::Request {
            exchange,
            request: Err(why),
        });
    }

    /// Writes what waits for a client; `false` where more of it waits than the system takes, or it is gone.
    fn flush_server(&mut self, id: LinkId) -> bool {
        let Some(waited) = self.links.get(id).map(|link| link.waiting() > 0) else {
            return false;
        };
        if !waited {
            return true;
        }
        self.links.flush_one(id);
        let Some(link) = self.links.get(id) else {
            return false;
        };
        if link.is_broken() {
            self.lost(id);
            return false;
        }
        if link.waiting() > 0 {
            return false;
        }
        match &link.state.side {
            Side::Server(ServerState::Lingering) => {
                link.finish();
                self.links.set_deadline(id, Some(LINGER));
            }
            Side::Server(ServerState::Head { .. }) => self.links.set_deadline(id, Some(self.limits.idle)),
            Side::Server(ServerState::Streaming { .. }) => self.links.set_deadline(id, None),
            Side::Server(_) | Side::Client(_) => {}
        }
        true
    }

    /// Writes, reads a bounded piece, and works what has come; what is left keeps the link ready.
    fn drive_server(&mut self, id: LinkId) {
        let mut read = false;
        while self.flush_server(id) && self.parse_request(id) {
            let Some(link) = self.links.get_mut(id) else {
                return;
            };
            let Side::Server(state) = &link.state.side else {
                return;
            };
            let waits = matches!(state, ServerState::Waiting { .. } | ServerState::Streaming { .. });
            if waits && link.input.len() >= READ_STEP {
                return;
            }
            if matches!(state, ServerState::Lingering) {
                link.input.clear();
            }
            if link.ended() {
                // The end of what it sends is the end of a client: nobody reads an answer any more.
                return self.lost(id);
            }
            if std::mem::replace(&mut read, true) {
                return;
            }
            self.links.read(id);
        }
    }

    /// Reads on in what came; `false` once the connection is closed.
    fn parse_request(&mut self, id: LinkId) -> bool {
        loop {
            let Some(link) = self.links.get_mut(id) else {
                return false;
            };
            let Conn {
                side: Side::Server(state),
                turn,
            } = &mut link.state
            else {
                return false;
            };
            match state {
                ServerState::Waiting { .. } | ServerState::Streaming { .. } | ServerState::Lingering => {
                    return true;
                }
                ServerState::Head { scanned } => {
                    if link.input.is_empty() {
                        return true;
                    }
                    let first = *scanned == 0;
                    let end = head::head_end(&link.input, scanned);
                    if end.unwrap_or(link.input.len()) > self.limits.head {
                        self.bad(id, BadRequest::HeadTooLarge);
                        return true;
                    }
                    let Some(end) = end else {
                        // The clock runs from the first byte, however slowly more of them come.
                        if first {
                            self.links.set_deadline(id, Some(self.limits.receive));
                        }
                        return true;
                    };
                    let head = match head::request(&link.input[..end]) {
                        Ok(head) => head,
                        Err(e) => {
                            self.bad(id, bad_head(e));
                            return true;
                        }
                    };
                    link.consume(end);
                    let reader = match BodyReader::new(head.framing, self.limits.request_body) {
                        Ok(reader) => reader,
                        Err(e) => {
                            self.bad(id, bad_body(e));
                            return true;
                        }
                    };
                    let expected = head.expects_continue && !reader.done() && link.input.is_empty();
                    link.state.side = Side::Server(ServerState::Body { head, reader });
                    self.links.set_deadline(id, Some(self.limits.receive));
                    if expected {
                        self.write(id, |out| out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n"));
                        self.links.flush_one(id);
                    }
                }
                ServerState::Body { head, reader } => {
                    let used = match reader.feed(&link.input) {
                        Ok(used) => used,
                        Err(e) => {
                            self.bad(id, bad_body(e));
                            return true;
                        }
                    };
                    if !reader.done() {
                        link.consume(used);
                        return true;
                    }
                    let (keep_alive, bodiless, old) = (head.keep_alive, head.method == "HEAD", head.old);
                    let exchange = Exchange {
                        conn: id,
                        turn: *turn,
                    };
                    let waiting = Side::Server(ServerState::Waiting {
                        keep_alive,
                        bodiless,
                        old,
                    });
                    let request = std::mem::replace(&mut link.state.side, waiting);
                    let (from, at) = (link.peer(), link.local());
                    link.consume(used);
                    if let Side::Server(ServerState::Body { head, reader }) = request {
                        let request = Ok(Request {
                            head,
                            body: reader.bytes,
                            from,
                            at,
                        });
                        self.events.push_back(HttpEvent::Request { exchange, request });
                    }
                    self.links.set_deadline(id, None);
                    return true;
                }
            }
        }
    }

    /// Answers a request; of one that is gone nothing is sent.
    pub fn answer(&mut self, exchange: Exchange, answer: &Response) {
        let Some(link) = self.waiting(exchange) else {
            return;
        };
        let Side::Server(ServerState::Waiting {
            keep_alive, bodiless, ..
        }) = link.state.side
        else {
            return;
        };
        let closes = answer
            .headers
            .get("connection")
            .is_some_and(|told| told.eq_ignore_ascii_case("close"));
        let keep_alive = keep_alive && !closes;
        let headers = without_framing(&answer.headers);
        let framing = match answer.status {
            204 => Framing::None,
            _ => Framing::Length(answer.body.len() as u64),
        };
        self.write(exchange.conn, |out| {
            head::write_response(out, answer.status, &headers, framing, keep_alive);
            if !bodiless && answer.status != 204 {
                out.extend_from_slice(&answer.body);
            }
        });
        self.next_request(exchange.conn, keep_alive);
    }

    /// Begins an answer whose length is not known yet; its parts follow by [`Http::push`].
    pub fn begin(&mut self, exchange: Exchange, status: u16, headers: &Headers) {
        let Some(link) = self.waiting(exchange) else {
            return;
        };
        let Side::Server(ServerState::Waiting { keep_alive, old, .. }) = link.state.side else {
            return;
        };
        link.state.side = Side::Server(ServerState::Streaming { keep_alive, old });
        let framing = if old {
            Framing::UntilClose
        } else {
            Framing::Chunked
        };
        let (headers, keep_alive) = (without_framing(headers), keep_alive && !old);
        self.write(exchange.conn, |out| {
            head::write_response(out, status, &headers, framing, keep_alive)
        });
        self.drive_server(exchange.conn);
    }

    /// A part of a begun answer. `false` once the client is gone or more than `most` bytes wait for it.
    pub fn push(&mut self, exchange: Exchange, bytes: &[u8], most: usize) -> bool {
        let Some(link) = self.waiting(exchange) else {
            return false;
        };
        let Side::Server(ServerState::Streaming { old, .. }) = link.state.side else {
            return false;
        };
        if link.waiting() + bytes.len() > most {
            return false;
        }
        self.write(exchange.conn, |out| match old {
            true => out.extend_from_slice(bytes),
            false if bytes.is_empty() => {}
            false => chunk(out, bytes),
        });
        if self.links.deadline(exchange.conn).is_none() {
            self.links.set_deadline(exchange.conn, Some(self.limits.send));
        }
        self.drive_server(exchange.conn);
        self.waiting(exchange).is_some()
    }

    /// Ends a begun answer.
    pub fn finish(&mut self, exchange: Exchange) {
        let Some(link) = self.waiting(exchange) else {
            return;
        };
        let Side::Server(ServerState::Streaming { keep_alive, old }) = link.state.side else {
            return;
        };
        if !old {
            self.write(exchange.conn, |out| chunk(out, b""));
        }
        self.next_request(exchange.conn, keep_alive && !old);
    }

    /// Cuts a client off without an answer.
    pub fn cut(&mut self, exchange: Exchange) {
        if self.waiting(exchange).is_some() {
            self.close(exchange.conn);
        }
    }

    fn waiting(&mut self, exchange: Exchange) -> Option<&mut Link<Conn>> {
        self.links
            .get_mut(exchange.conn)
            .filter(|link| link.state.turn == exchange.turn)
    }

    fn next_request(&mut self, id: LinkId, keep_alive: bool) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        // An answer given twice must not reach the connection's next request.
        link.state.turn += 1;
        link.state.side = Side::Server(match keep_alive {
            true => ServerState::Head { scanned: 0 },
            false => ServerState::Lingering,
        });
        self.links.set_deadline(id, Some(self.limits.send));
        self.drive_server(id);
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
        while let Some(id) = self.servers.get_mut(&to).and_then(|servers| servers.idle.pop()) {
            // One that the server has closed meanwhile looks writable: what is sent there is lost without proof.
            self.links.look(id);
            let Some(link) = self.links.get_mut(id) else {
                continue;
            };
            if link.ended() || !link.input.is_empty() {
                self.close(id);
                continue;
            }
            let from = link.end();
            if let Side::Client(client) = &mut link.state.side {
                (client.call, client.streams, client.from) = (Some(call), request.streams, from);
                client.state = ClientState::Head { scanned: 0 };
            }
            self.links.set_deadline(id, None);
            self.write(id, |out| write_call(out, to, &request));
            if let Some(Side::Client(client)) = self.links.get_mut(id).map(|link| &mut link.state.side) {
                client.request = Some(request);
            }
            self.calls.insert(call, id);
            return self.drive_client(id);
        }
        if self
            .servers
            .get(&to)
            .is_some_and(|servers| servers.open >= self.limits.connections_each)
        {
            return self.events.push_back(HttpEvent::Failed {
                call,
                how: Failure::NoRoom,
            });
        }
        let timeout = request.connect_timeout;
        let client = Client {
            to,
            call: Some(call),
            state: ClientState::Connecting,
            streams: request.streams,
            request: Some(request),
            from: 0,
        };
        let Ok(id) = self.links.connect(
            to,
            Conn {
                turn: 0,
                side: Side::Client(client),
            },
        ) else {
            return self.events.push_back(HttpEvent::Failed {
                call,
                how: Failure::Connect,
            });
        };
        self.opened += 1;
        self.servers.entry(to).or_default().open += 1;
        self.calls.insert(call, id);
        self.links.set_deadline(id, Some(timeout));
    }

    /// Gives a call up by closing its connection. Nothing more comes of it.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(&id) = self.calls.get(&call) {
            self.close(id);
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
        let idle = self
            .servers
            .get(&to)
            .map(|servers| servers.idle.clone())
            .unwrap_or_default();
        idle.into_iter().for_each(|id| self.close(id));
    }

    fn fail(&mut self, id: LinkId, how: Failure) {
        let side = self.links.get(id).map(|link| &link.state.side);
        if let Some(Side::Client(Client { call: Some(call), .. })) = side {
            let call = *call;
            self.events.push_back(HttpEvent::Failed { call, how });
        }
        self.close(id);
    }

    fn drive_client(&mut self, id: LinkId) {
        let Some(Side::Client(client)) = self.links.get(id).map(|link| &link.state.side) else {
            return;
        };
        if matches!(client.state, ClientState::Connecting) {
            match self.links.connected(id) {
                Some(Ok(())) => self.begin_call(id),
                Some(Err(_)) => return self.fail(id, Failure::Connect),
                None => return,
            }
        }
        self.links.flush_one(id);
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let (left, broken) = (link.left(), link.is_broken());
        let Side::Client(client) = &mut link.state.side else {
            return;
        };
        // From the first byte on the request may be worked on.
        if left > client.from {
            client.request = None;
        }
        if broken && client.request.is_some() {
            return self.ended(id);
        }
        self.links.read(id);
        if self.parse_answer(id) && self.links.get(id).is_some_and(Link::ended) {
            self.ended(id);
        }
    }

    /// A connection has come up: its call is written.
    fn begin_call(&mut self, id: LinkId) {
        self.links.set_deadline(id, None);
        let Some(Side::Client(client)) = self.links.get_mut(id).map(|link| &mut link.state.side) else {
            return;
        };
        client.state = ClientState::Head { scanned: 0 };
        let (to, request) = (client.to, client.request.clone());
        if let Some(request) = request {
            self.write(id, |out| write_call(out, to, &request));
        }
    }

    /// The server closed its side.
    fn ended(&mut self, id: LinkId) {
        let Some(Side::Client(client)) = self.links.get_mut(id).map(|link| &mut link.state.side) else {
            return;
        };
        if client.request.is_some()
            && let (Some(request), Some(call)) = (client.request.take(), client.call.take())
        {
            // An idle connection that was closed while it lay there: not a byte left, so another one may be
            // used. `close` must not take the call from the table.
            let to = client.to;
            self.close(id);
            self.calls.remove(&call);
            return self.start(to, call, request);
        }
        match &client.state {
            ClientState::Body { reader, .. } if reader.whole_at_close() => self.whole(id),
            ClientState::Idle => self.close(id),
            ClientState::Connecting => self.fail(id, Failure::Connect),
            ClientState::Head { .. } | ClientState::Body { .. } => self.fail(id, Failure::Reset),
        }
    }

    /// Reads on in an answer; `false` once the connection is closed.
    fn parse_answer(&mut self, id: LinkId) -> bool {
        loop {
            let Some(link) = self.links.get_mut(id) else {
                return false;
            };
            let Side::Client(client) = &mut link.state.side else {
                return false;
            };
            match &mut client.state {
                ClientState::Connecting => return true,
                ClientState::Idle => {
                    // Bytes that nobody asked for: the next answer on it could not be told from them.
                    if !link.input.is_empty() {
                        self.close(id);
                        return false;
                    }
                    return true;
                }
                ClientState::Head { scanned } => {
                    let end = head::head_end(&link.input, scanned);
                    if end.unwrap_or(link.input.len()) > self.limits.head {
                        self.fail(id, Failure::TooLarge);
                        return false;
                    }
                    let Some(end) = end else { return true };
                    let Ok(head) = head::response(&link.input[..end]) else {
                        self.fail(id, Failure::Malformed);
                        return false;
                    };
                    link.input.drain(..end);
                    if (100..200).contains(&head.status) {
                        client.state = ClientState::Head { scanned: 0 };
                        continue;
                    }
                    let Ok(reader) = BodyReader::new(head.framing, self.limits.answer_body) else {
                        self.fail(id, Failure::TooLarge);
                        return false;
                    };
                    if let (true, Some(call)) = (client.streams, client.call) {
                        let (status, headers) = (head.status, head.headers.clone());
                        let answer = Response {
                            status,
                            headers,
                            body: Vec::new(),
                        };
                        self.events.push_back(HttpEvent::Answer { call, answer });
                    }
                    client.state = ClientState::Body { head, reader };
                }
                ClientState::Body { reader, .. } => {
                    let used = match reader.feed(&link.input) {
                        Ok(used) => used,
                        Err(e) => {
                            let too_large = e == BodyError::TooLarge;
                            self.fail(
                                id,
                                if too_large {
                                    Failure::TooLarge
                                } else {
                                    Failure::Malformed
                                },
                            );
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
                    link.consume(used);
                    if !done {
                        return true;
                    }
                    self.whole(id);
                    return self.links.get(id).is_some();
                }
            }
        }
    }

    /// An answer is whole: hand it over, and keep the connection if it can serve again.
    fn whole(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let spoilt = link.waiting() > 0 || link.ended() || !link.input.is_empty();
        let Side::Client(client) = &mut link.state.side else {
            return;
        };
        let Some(call) = client.call.take() else {
            return self.close(id);
        };
        self.calls.remove(&call);
        let (to, streams) = (client.to, client.streams);
        let state = std::mem::replace(&mut client.state, ClientState::Idle);
        let ClientState::Body { head, reader } = state else {
            return self.close(id);
        };
        let ResponseHead {
            status,
            headers,
            keep_alive,
            ..
        } = head;
        self.events.push_back(match streams {
            true => HttpEvent::End { call },
            false => HttpEvent::Answer {
                call,
                answer: Response {
                    status,
                    headers,
                    body: reader.bytes,
                },
            },
        });
        // A server that answered before it had read all leaves bytes behind that spoil the connection.
        if !keep_alive || spoilt {
            return self.close(id);
        }
        self.links.set_deadline(id, Some(self.limits.keepalive));
        self.servers.entry(to).or_default().idle.push(id);
    }
}

/// A client that owes and is owed nothing.
fn is_idle(link: &Link<Conn>) -> bool {
    matches!(link.state.side, Side::Server(ServerState::Head { .. })) && link.input.is_empty()
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
