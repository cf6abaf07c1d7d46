//! The responder side of a FastCGI 1.0 connection, without I/O.
//!
//! Create one [`Responder`] per connection and pass the received bytes to [`Responder::read`]. Respond once
//! to each [`Event::Request`] and [`Event::InvalidRequest`] with [`Responder::respond`]. [`Limits`] bounds
//! the memory that a peer can make the responder use.
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
