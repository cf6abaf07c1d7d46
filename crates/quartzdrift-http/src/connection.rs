//! HTTP state of one connection. `server.rs` and `client.rs` contain the transitions.
use crate::body::BodyReader;
use crate::head::{Headers, RequestHead, ResponseHead};
use crate::messages::{CallId, OutgoingRequest};
use std::net::SocketAddr;

/// Header fields of one connection or of its framing. They are generated for each message and not copied from
/// the caller's headers.
const FRAMING_HEADERS: [&str; 4] = ["content-length", "transfer-encoding", "connection", "keep-alive"];

/// HTTP state attached to a socket.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Number of completed responses. An [`Exchange`](crate::Exchange) with a lower number is over and cannot
    /// be answered again.
    pub(crate) exchange_number: u64,
    pub(crate) role: Role,
}

/// Whether this process is the server or the client of a connection.
#[derive(Debug)]
pub(crate) enum Role {
    Server(ServerState),
    Client(ClientConnection),
}

/// Properties of a request that determine how its response is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseMode {
    pub(crate) keep_alive: bool,
    /// The method is HEAD, so the response has no body.
    pub(crate) is_head: bool,
    pub(crate) is_http_1_0: bool,
}

/// State of a connection from a client.
#[derive(Debug)]
pub(crate) enum ServerState {
    /// Waiting for or receiving a request's head; `scanned` bytes were searched for its end.
    Head { scanned: usize },
    /// Receiving a request's body.
    Body { head: RequestHead, reader: BodyReader },
    /// The request was reported; the owner has not responded yet.
    AwaitsResponse(ResponseMode),
    /// The owner is sending a response of unknown length.
    Streaming(ResponseMode),
    /// The last response is written. Further input is read and discarded: closing with unread input would
    /// send a reset, and the client could lose the response.
    Lingering,
}

/// State of a connection to a server.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    pub(crate) server: SocketAddr,
    pub(crate) call: Option<CallId>,
    pub(crate) state: ClientState,
    /// The request until its first byte is sent; if the connection turns out to be closed, it is sent on
    /// another one.
    pub(crate) request: Option<OutgoingRequest>,
    /// Stream position of the request's first byte; see
    /// [`Socket::write_position`](crate::sockets::Socket::write_position).
    pub(crate) request_position: u64,
    /// See [`OutgoingRequest::streams_response`].
    pub(crate) streams_response: bool,
}

/// Progress of a connection to a server.
#[derive(Debug)]
pub(crate) enum ClientState {
    /// The connection is not established yet.
    Connecting,
    /// Waiting for or receiving a response's head; `scanned` bytes were searched for its end.
    Head { scanned: usize },
    /// Receiving a response's body.
    Body { head: ResponseHead, reader: BodyReader },
    /// In the pool, without a call.
    Idle,
}

/// Appends one chunk of a chunked body; an empty chunk ends the body.
pub(crate) fn write_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Copies the headers without [`FRAMING_HEADERS`].
pub(crate) fn without_framing(headers: &Headers) -> Headers {
    let mut copied = Headers::new();
    for (name, value) in headers.iter() {
        if !FRAMING_HEADERS.contains(&name) {
            copied.push(name, value);
        }
    }
    copied
}
