//! HTTP/1.1 on a calloop event loop: server connections, pooled client connections, and limits on everything that a peer can
//! make the process hold or wait for.
//!
//! Create one [`Http`] for an event loop and let the loop's state lend it ([`HasHttp`]). After each turn of the loop take the
//! events ([`Http::take_events`]) and close what is overdue ([`Http::expire_connections`]). There are no callbacks: all that peers do is
//! reported as [`HttpEvent`]s in the order in which it was seen.
//!
//! Framing follows RFC 9112. [`head`] and [`body`] parse bytes and do no I/O. [`sockets`] has what the connections of every
//! protocol share.
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
