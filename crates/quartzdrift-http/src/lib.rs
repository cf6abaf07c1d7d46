//! HTTP/1.1 on a calloop event loop: server connections, pooled client connections, and limits on the memory
//! and the time that a peer can consume ([`Limits`]).
//!
//! Create one [`Http`] per event loop and give the loop's state a [`HasHttp`] implementation. After each
//! iteration of the loop, process the events ([`Http::take_events`]) and handle expired connections
//! ([`Http::expire_connections`]). The API has no callbacks: requests, responses and disconnections are
//! reported as [`HttpEvent`]s in the order in which they occur.
//!
//! Framing follows RFC 9112. [`head`] and [`body`] parse bytes and do no I/O. [`sockets`] manages TCP
//! connections and is independent of HTTP; connections of other protocols use it too.
pub mod body;
mod client;
mod connection;
pub mod head;
mod http;
mod limits;
mod listener;
mod messages;
mod server;
mod socket;
pub mod sockets;

pub use head::{Headers, RequestHead, ResponseHead};
pub use http::{HasHttp, Http};
pub use limits::Limits;
pub use listener::bind;
pub use messages::{
    CallFailure, CallId, Exchange, HttpEvent, OutgoingRequest, Request, RequestError, Response,
};
