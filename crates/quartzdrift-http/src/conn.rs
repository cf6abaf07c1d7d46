//! State of one connection, of either side. What to do with it is in `http.rs`.
use crate::body::BodyReader;
use crate::head::{Headers, ResponseHead};
use crate::http::{CallId, Outgoing};
use calloop::RegistrationToken;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Bytes read at once; also how much is read ahead of an answer on a connection, then reading stops.
pub(crate) const READ_STEP: usize = 64 << 10;

/// Why bytes from a client are no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadRequest {
    HeadTooLarge,
    BodyTooLarge,
    Malformed,
    /// A transfer coding that we do not know.
    Coding,
    /// Not whole in time.
    TooSlow,
}

/// How a call to a server ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about: nothing was sent.
    Connect,
    /// As many connections to this server as the limits allow are in use: nothing was sent.
    NoRoom,
    /// The connection ended after some of the request may have left.
    Reset,
    /// The answer cannot be read.
    Malformed,
    /// The answer is over the limit.
    TooLarge,
}

#[derive(Debug)]
pub(crate) enum Side {
    Server(ServerState),
    Client(Client),
}

#[derive(Debug)]
pub(crate) enum ServerState {
    Head {
        scanned: usize,
    },
    Body {
        head: crate::head::RequestHead,
        reader: BodyReader,
    },
    /// A request is out with the owner.
    Waiting {
        keep_alive: bool,
        bodiless: bool,
        old: bool,
    },
    /// An answer of unknown length is under way.
    Streaming {
        keep_alive: bool,
        old: bool,
    },
    /// All is said; bytes still coming are thrown away, so that the answer is not lost to a reset.
    Lingering,
}

#[derive(Debug)]
pub(crate) struct Client {
    pub to: SocketAddr,
    pub call: Option<CallId>,
    pub state: ClientState,
    /// Kept until the first byte left, to be sent on another connection if this one had been closed.
    pub request: Option<Outgoing>,
    pub streams: bool,
}

#[derive(Debug)]
pub(crate) enum ClientState {
    Connecting,
    Head { scanned: usize },
    Body { head: ResponseHead, reader: BodyReader },
    Idle,
}

#[derive(Debug)]
pub(crate) struct Conn {
    pub stream: Rc<TcpStream>,
    pub token: Option<RegistrationToken>,
    /// Guards a place used again against news for its last user.
    pub serial: u64,
    /// Requests answered on it: guards against an answer that comes twice.
    pub turn: u64,
    pub readable: bool,
    pub ended: bool,
    pub input: Vec<u8>,
    pub output: Vec<u8>,
    pub written: usize,
    pub deadline: Option<Instant>,
    pub side: Side,
}

pub(crate) enum Flushed {
    All,
    Some,
    Broken,
}

impl Conn {
    pub fn new(stream: Rc<TcpStream>, serial: u64, side: Side) -> Conn {
        Conn {
            stream,
            token: None,
            serial,
            turn: 0,
            readable: false,
            ended: false,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            deadline: None,
            side,
        }
    }

    /// Writes what waits, as far as the socket takes it.
    pub fn flush(&mut self) -> Flushed {
        while self.written < self.output.len() {
            match (&*self.stream).write(&self.output[self.written..]) {
                Ok(0) => return Flushed::Broken,
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Flushed::Some,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Flushed::Broken,
            }
        }
        self.output.clear();
        self.written = 0;
        // A connection that once carried a large answer does not hold its memory for good.
        self.output.shrink_to(READ_STEP);
        Flushed::All
    }

    /// Reads once into `scratch` and appends; `false` once nothing more is there for now.
    pub fn read_once(&mut self, scratch: &mut [u8]) -> bool {
        loop {
            match (&*self.stream).read(scratch) {
                Ok(0) => {
                    self.ended = true;
                    self.readable = false;
                    return false;
                }
                Ok(n) => {
                    self.input.extend_from_slice(&scratch[..n]);
                    return true;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.readable = false;
                    return false;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.ended = true;
                    self.readable = false;
                    return false;
                }
            }
        }
    }

    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes);
        if self.input.is_empty() {
            self.input.shrink_to(READ_STEP);
        }
    }
}

/// A chunk as sent in a streamed answer.
pub(crate) fn chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Fields that we set ourselves and never pass on.
pub(crate) fn without_framing(headers: &Headers) -> Headers {
    let ours = ["content-length", "transfer-encoding", "connection", "keep-alive"];
    let mut kept = Headers::new();
    headers.iter().filter(|(name, _)| !ours.contains(name)).for_each(|(name, value)| kept.push(name, value));
    kept
}
