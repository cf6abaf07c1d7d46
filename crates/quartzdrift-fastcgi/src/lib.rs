//! FastCGI 1.0, the responder's side of a connection, without I/O.
//!
//! Create one [`Responder`] per connection, pass it the bytes received ([`Responder::read`]), and answer each
//! [`Event::Request`] and [`Event::InvalidRequest`] once with [`Responder::respond`]. Everything that a peer can make the
//! responder hold is bounded by [`Limits`].
//!
//! Source: FastCGI Specification 1.0, Open Market, 1996.
mod messages;
mod params;
mod record;
mod responder;

pub use messages::{Event, InvalidRequestReason, Limits, ProtocolError, Response, ResponseOutcome};
pub use params::{InvalidParams, Params, write_pair};
pub use record::{
    ABORT_REQUEST, BEGIN_REQUEST, END_REQUEST, GET_VALUES, GET_VALUES_RESULT, HEADER_LENGTH, PARAMS,
    RecordHeader, STDIN, STDOUT, UNKNOWN_TYPE, UnsupportedVersion, write_record, write_stream,
};
pub use responder::Responder;
