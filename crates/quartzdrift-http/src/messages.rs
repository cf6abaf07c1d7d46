//! Types that [`Http`](crate::Http) takes and returns: requests, responses, calls, events and errors.
use crate::head::{Headers, RequestHead};
use crate::sockets::SocketId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Identifies a client's request whose response is not complete yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Exchange {
    pub(crate) socket: SocketId,
    /// Ordinal of the request on its connection, from 0.
    pub(crate) number: u64,
}

/// Identifies a call, which is a request sent to a server; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A complete request received from a client.
#[derive(Debug)]
pub struct Request {
    /// Method, target and header fields.
    pub head: RequestHead,
    /// The decoded body, without chunk framing; empty if the request has none.
    pub body: Vec<u8>,
    /// Remote address of the connection; `None` if the system no longer knows it.
    pub client_address: Option<SocketAddr>,
    /// Local address that the client connected to; `None` if the system no longer knows it.
    pub local_address: Option<SocketAddr>,
}

/// A complete response, sent to a client or received from a server.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields. In a response that is sent, `content-length`, `transfer-encoding` and `keep-alive` are
    /// ignored; `connection: close` closes the connection after the response.
    pub headers: Headers,
    /// The decoded body, without chunk framing.
    pub body: Vec<u8>,
}

/// A request to send to a server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header fields. Framing fields are replaced; `host` is added if absent.
    pub headers: Headers,
    /// The body; must be empty for GET, which is sent without `content-length`.
    pub body: Rc<[u8]>,
    /// Maximum time to establish a new connection; after it the call fails with [`CallFailure::Connect`].
    pub connect_timeout: Duration,
    /// Whether the response's body is reported as it arrives ([`HttpEvent::ResponsePart`]) instead of with
    /// the response.
    pub streams_response: bool,
}

/// An event on a connection to a client or to a server.
#[derive(Debug)]
pub enum HttpEvent {
    /// A client has sent a request, valid or not. The owner must respond in either case.
    Request {
        /// Identifies the request in [`Http::respond`](crate::Http::respond).
        exchange: Exchange,
        /// The request, or the reason for rejecting it.
        request: Result<Request, RequestError>,
    },
    /// The client disconnected before its response was complete, or it stopped reading the response.
    ClientDisconnected {
        /// The request that no longer needs a response.
        exchange: Exchange,
    },
    /// A server has responded to a call.
    Response {
        /// The call that the server responded to.
        call: CallId,
        /// The complete response; status and header fields only if the call streams its response.
        response: Response,
    },
    /// Part of the body of a streamed response has arrived.
    ResponsePart {
        /// The call that the server responds to.
        call: CallId,
        /// Body bytes since the previous part.
        bytes: Vec<u8>,
    },
    /// A streamed response is complete.
    ResponseEnd {
        /// The call that is complete.
        call: CallId,
    },
    /// A call failed before its response was complete.
    CallFailed {
        /// The call that failed.
        call: CallId,
        /// Reason for the failure.
        failure: CallFailure,
    },
}

/// Reason for rejecting a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The head exceeds [`Limits::head_bytes`](crate::Limits::head_bytes) or has too many fields.
    HeadTooLarge,
    /// The body exceeds [`Limits::request_body_bytes`](crate::Limits::request_body_bytes).
    BodyTooLarge,
    /// The bytes are not HTTP/1.x, or their framing is ambiguous.
    Malformed,
    /// The request has a transfer coding other than chunked.
    UnsupportedTransferCoding,
    /// The request was not complete within [`Limits::receive_timeout`](crate::Limits::receive_timeout).
    Timeout,
}

/// Reason why a call to a server has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection was established, so nothing was sent.
    Connect,
    /// All [`Limits::connections_per_server`](crate::Limits::connections_per_server) connections to the
    /// server are in use; nothing was sent.
    ConnectionLimit,
    /// The connection closed after at least one byte of the request was sent, so the server may have executed
    /// it.
    Reset,
    /// The response is not valid HTTP.
    Malformed,
    /// The response exceeds [`Limits::head_bytes`](crate::Limits::head_bytes) or
    /// [`Limits::response_body_bytes`](crate::Limits::response_body_bytes).
    TooLarge,
}
