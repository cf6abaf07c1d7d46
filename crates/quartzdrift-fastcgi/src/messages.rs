//! What goes into a responder and comes out of it: limits, events, responses and errors.
use crate::params::Params;
use thiserror::Error;

/// What a peer may make the responder hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum bytes of a request's parameters.
    pub max_params_bytes: usize,
    /// Maximum bytes of a request's body.
    pub max_body_bytes: usize,
    /// Maximum open requests; further ones are ended as overloaded.
    pub max_open_requests: usize,
}

/// Why a request cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequestReason {
    /// Its parameters are malformed.
    MalformedParams,
    /// Its parameters or its body are over the limit. The connection accepts no further request.
    TooLarge,
}

/// What was received on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// A complete request, to be answered once.
    Request {
        /// The request's id on this connection.
        request_id: u16,
        /// Its parameters.
        params: Params,
        /// Its body.
        body: Vec<u8>,
    },
    /// A request that cannot be served, to be answered with an error.
    InvalidRequest {
        /// The request's id on this connection.
        request_id: u16,
        /// Why it cannot be served.
        reason: InvalidRequestReason,
    },
    /// The client has aborted a request. Its end has been written; it is not to be answered.
    Aborted {
        /// The request's id on this connection.
        request_id: u16,
    },
}

/// The connection cannot be read any further: all requests open on it are over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A record of another protocol version.
    #[error("version {0} of the protocol is not supported")]
    UnsupportedVersion(u8),
    /// A second request under the id of an open one.
    #[error("request id {0} is already open")]
    RequestIdInUse(u16),
    /// A record whose content does not fit its type.
    #[error("the content of a record of type {0} is malformed")]
    MalformedContent(u8),
    /// Too many records that belong to no open request.
    #[error("too many records that belong to no open request")]
    TooManyStrayRecords,
}

/// A response as a CGI program gives it.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// The HTTP status code.
    pub status: u16,
    /// The reason phrase of the status.
    pub reason: &'a str,
    /// Further header fields, names and values.
    pub fields: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

/// What becomes of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// It stays open.
    KeepConnection,
    /// It is to be closed once the response has been sent: it accepts no further request, and nothing else is unanswered.
    CloseConnection,
    /// No such request is unanswered: nothing was written.
    UnknownRequest,
}
