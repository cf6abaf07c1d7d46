//! HTTP/1.1 on a calloop event loop: server connections, pooled client connections, and limits on all that a
//! peer can make us hold or wait for.
//!
//! Make one [`Http`] for an event loop, let the loop's state lend it ([`HasHttp`]), and after every turn of the
//! loop take what happened ([`Http::take_events`]) and close what is overdue ([`Http::expire`]). Nothing calls
//! back: all that a peer did comes as an [`HttpEvent`], in the order in which it was seen.
//!
//! Framing follows RFC 9112. [`head`] and [`body`] read bytes and do no I/O.
pub mod body;
mod conn;
pub mod head;
mod http;
pub mod links;

pub use conn::{BadRequest, Failure};
pub use head::{Headers, RequestHead, ResponseHead};
pub use http::{CallId, Exchange, HasHttp, Http, HttpEvent, Outgoing, Request, Response, bind};

use std::time::Duration;

/// What a peer may make us hold or wait for.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a request's or answer's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub request_body: usize,
    /// Bytes of an answer's body, as a client.
    pub answer_body: usize,
    /// Connections taken from clients at a time.
    pub connections: usize,
    /// Connections opened to one server at a time.
    pub connections_each: usize,
    /// From the first byte of a request to the end of its head, and from there to the end of its body.
    pub receive: Duration,
    /// Between two requests on a connection.
    pub idle: Duration,
    /// Without a byte of an answer taken by the client.
    pub send: Duration,
    /// An idle connection to a server is closed after this; less than servers allow.
    pub keepalive: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: 16 << 10,
            request_body: 6 << 20,
            answer_body: 6 << 20,
            connections: 4096,
            connections_each: 1024,
            receive: Duration::from_secs(20),
            idle: Duration::from_secs(60),
            send: Duration::from_secs(20),
            keepalive: Duration::from_secs(15),
        }
    }
}
