//! The state of one connection, as a server or as a client. What is done with it is in `server.rs` and `client.rs`.
use crate::body::BodyReader;
use crate::head::{Headers, RequestHead, ResponseHead};
use crate::messages::{CallId, OutgoingRequest};
use std::net::SocketAddr;

/// Headers that are set here and never passed on.
const FRAMING_HEADERS: [&str; 4] = ["content-length", "transfer-encoding", "connection", "keep-alive"];

/// What HTTP knows of a socket.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Requests answered on it: guards against a second response to the same request.
    pub(crate) exchange_number: u64,
    pub(crate) role: Role,
}

/// On which side of a connection the process is.
#[derive(Debug)]
pub(crate) enum Role {
    Server(ServerState),
    Client(ClientConnection),
}

/// How a response may be sent, by what its request said.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseMode {
    pub(crate) keep_alive: bool,
    /// The response has no body: the method was HEAD.
    pub(crate) is_head: bool,
    pub(crate) is_http_1_0: bool,
}

/// How far a client's connection is.
#[derive(Debug)]
pub(crate) enum ServerState {
    /// Receives a head, of which these bytes were searched for its end.
    Head { scanned: usize },
    /// Receives a body.
    Body { head: RequestHead, reader: BodyReader },
    /// The owner has the request.
    AwaitsResponse(ResponseMode),
    /// A response of unknown length is being sent.
    Streaming(ResponseMode),
    /// The last response is written. What is still received is discarded, so that the response is not lost to a reset.
    Lingering,
}

/// A connection to a server.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    pub(crate) server: SocketAddr,
    pub(crate) call: Option<CallId>,
    pub(crate) state: ClientState,
    /// Kept until its first byte was sent, for another connection if this one turns out to be closed.
    pub(crate) request: Option<OutgoingRequest>,
    /// The position of the request's first byte in all that the socket sends.
    pub(crate) request_position: u64,
    pub(crate) streams: bool,
}

/// How far a connection to a server is.
#[derive(Debug)]
pub(crate) enum ClientState {
    Connecting,
    /// Receives a head, of which these bytes were searched for its end.
    Head {
        scanned: usize,
    },
    Body {
        head: ResponseHead,
        reader: BodyReader,
    },
    Idle,
}

/// Writes a chunk of a streamed response.
pub(crate) fn write_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The headers without those that are set here.
pub(crate) fn without_framing(headers: &Headers) -> Headers {
    let mut others = Headers::new();
    for (name, value) in headers.iter() {
        if !FRAMING_HEADERS.contains(&name) {
            others.push(name, value);
        }
    }
    others
}
