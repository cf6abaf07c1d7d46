//! Input and output types of a responder: limits, events, responses and errors.
use crate::params::Params;
use crate::record::PROTOCOL_VERSION;
use crate::responder::MAX_STRAY_RECORDS;
use thiserror::Error;

/// Bounds on the memory that a peer can make the responder use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum bytes of a request's parameters.
    pub max_params_bytes: usize,
    /// Maximum bytes of a request's body.
    pub max_body_bytes: usize,
    /// Maximum number of open requests. Further requests are rejected with the protocol status "overloaded".
    pub max_open_requests: usize,
}

/// Reason why a request cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequestReason {
    /// The request's parameters are malformed.
    MalformedParams,
    /// The request's parameters or body exceed the limit. The connection accepts no further request.
    TooLarge,
    /// The request exceeded the bytes that were available for partial requests. Its remaining records are
    /// skipped, and the connection accepts further requests.
    NoMemory,
}

/// An event on a connection, reported by [`Responder::read`](crate::Responder::read).
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// A complete request was received. It needs exactly one response.
    Request {
        /// Id of the request on this connection.
        request_id: u16,
        /// Parameters of the request.
        params: Params,
        /// Body of the request.
        body: Vec<u8>,
    },
    /// A request was received that cannot be served. It needs exactly one response, with an error status.
    InvalidRequest {
        /// Id of the request on this connection.
        request_id: u16,
        /// Reason why the request cannot be served.
        reason: InvalidRequestReason,
    },
    /// The client has aborted a request that was reported before. The record that ends the request is already
    /// written, so the request needs no response.
    Aborted {
        /// Id of the request on this connection.
        request_id: u16,
    },
}

/// A protocol violation. The connection has to be closed, which ends all requests that are open on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A record has this protocol version, which is not supported.
    #[error("FastCGI version {0} is not supported, expected {PROTOCOL_VERSION}")]
    UnsupportedVersion(u8),
    /// A request was begun with this id while another request with the same id is open.
    #[error("FastCGI request id {0} is already in use on the connection")]
    RequestIdInUse(u16),
    /// A record of this type has content that is invalid for the type.
    #[error("malformed content in a FastCGI record of type {0}")]
    MalformedContent(u8),
    /// Too many records since the last complete request belong to no open request.
    #[error("more than {MAX_STRAY_RECORDS} FastCGI records belong to no open request")]
    TooManyStrayRecords,
}

/// A response in the form of a CGI program's output.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Reason phrase of the HTTP status.
    pub reason: &'a str,
    /// Names and values of further header fields.
    pub fields: &'a [(&'a str, &'a str)],
    /// Body of the response.
    pub body: &'a [u8],
}

/// Outcome of [`Responder::respond`](crate::Responder::respond).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The response was written and the connection stays open.
    KeepConnection,
    /// The response was written. The connection has to be closed once the response has been sent, because it
    /// accepts no further request and no other request is unanswered.
    CloseConnection,
    /// No request with this id is unanswered. Nothing was written.
    UnknownRequest,
}
