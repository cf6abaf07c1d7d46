//! State of one connection, of either side. What to do with it is in `http.rs`.
use crate::body::BodyReader;
use crate::head::{Headers, ResponseHead};
use crate::http::{CallId, Outgoing};
use std::net::SocketAddr;

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
    /// Where that request begins in all that the link sends.
    pub from: u64,
    pub streams: bool,
}

#[derive(Debug)]
pub(crate) enum ClientState {
    Connecting,
    Head { scanned: usize },
    Body { head: ResponseHead, reader: BodyReader },
    Idle,
}

/// What HTTP knows of a link.
#[derive(Debug)]
pub(crate) struct Conn {
    /// Requests answered on it: guards against an answer that comes twice.
    pub turn: u64,
    pub side: Side,
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
    headers
        .iter()
        .filter(|(name, _)| !ours.contains(name))
        .for_each(|(name, value)| kept.push(name, value));
    kept
}
