//! What goes into and comes out of [`Http`](crate::Http): requests, responses, calls, events and errors.
use crate::head::{Headers, RequestHead};
use crate::sockets::SocketId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A client's request that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Exchange {
    pub(crate) socket: SocketId,
    /// The number of the exchange on its connection.
    pub(crate) number: u64,
}

/// A call to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A client's request.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// The client's address.
    pub client_address: Option<SocketAddr>,
    /// The address at which the client connected.
    pub local_address: Option<SocketAddr>,
}

/// A response, to a client or from a server.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

/// A request to a server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// The header fields; framing and `host` are added.
    pub headers: Headers,
    /// The body.
    pub body: Rc<[u8]>,
    /// A connection that is not established within this time counts as refused.
    pub connect_timeout: Duration,
    /// Whether the response's body is reported in parts ([`HttpEvent::ResponsePart`]) rather than with the response.
    pub streams_response: bool,
}

/// What a peer did.
#[derive(Debug)]
pub enum HttpEvent {
    /// A client has sent a request, or bytes that are none; either is to be answered.
    Request {
        /// To answer it with.
        exchange: Exchange,
        /// The request, or why it is none.
        request: Result<Request, RequestError>,
    },
    /// The client left before it was answered, or before a streamed response ended.
    ClientDisconnected {
        /// The exchange that is over.
        exchange: Exchange,
    },
    /// The complete response to a call; the head alone where the call streams.
    Response {
        /// The call.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// A part of a streamed response's body.
    ResponsePart {
        /// The call.
        call: CallId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A streamed response is complete.
    ResponseEnd {
        /// The call.
        call: CallId,
    },
    /// A call ended without a complete response.
    CallFailed {
        /// The call.
        call: CallId,
        /// How it ended.
        failure: CallFailure,
    },
}

/// Why bytes from a client are no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The head is over the limit.
    HeadTooLarge,
    /// The body is over the limit.
    BodyTooLarge,
    /// It is not HTTP/1.1.
    Malformed,
    /// A transfer coding other than chunked.
    UnsupportedTransferCoding,
    /// It was not complete in time.
    Timeout,
}

/// How a call to a server ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection was established: nothing was sent.
    Connect,
    /// As many connections to this server as the limits allow are in use: nothing was sent.
    ConnectionLimit,
    /// The connection ended after some of the request may have been sent.
    Reset,
    /// The response cannot be read.
    Malformed,
    /// The response is over the limit.
    TooLarge,
}
