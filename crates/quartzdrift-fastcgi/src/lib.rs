//! FastCGI 1.0 as published, on the side of a responder. No I/O.
//!
//! Make one [`Responder`] for each connection, give it what came ([`Responder::read`]), and answer each request
//! that it tells of once ([`Responder::answer`]). Everything that a peer can make us hold has a bound in
//! [`Limits`].
mod params;
mod record;
mod responder;

pub use params::{BadParams, Params, write_pair};
pub use record::{
    ABORT, BEGIN, END, GET_VALUES, GET_VALUES_RESULT, HEAD, Head, PARAMS, STDIN, STDOUT, UNKNOWN,
};
pub use record::{Version, write_record, write_stream};
pub use responder::{Answer, Bad, Broken, Ended, Limits, Responder, Told};
