//! Limits on what a peer may make the process hold or wait for.
use std::time::Duration;

/// What a peer may make the process hold or wait for.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum bytes of the head of a request or response.
    pub head: usize,
    /// Maximum bytes of a request's body.
    pub request_body: usize,
    /// Maximum bytes of a response's body, as a client.
    pub response_body: usize,
    /// Maximum connections of clients.
    pub connections: usize,
    /// Maximum connections to one server.
    pub connections_per_server: usize,
    /// From the first byte of a request to the end of its head, and from there to the end of its body.
    pub receive: Duration,
    /// Between two requests on a connection.
    pub idle: Duration,
    /// Without a byte of a response taken by the client.
    pub send: Duration,
    /// An idle connection to a server is closed after this time, which is less than servers allow.
    pub keepalive: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: 16 << 10,
            request_body: 6 << 20,
            response_body: 6 << 20,
            connections: 4096,
            connections_per_server: 1024,
            receive: Duration::from_secs(20),
            idle: Duration::from_secs(60),
            send: Duration::from_secs(20),
            keepalive: Duration::from_secs(15),
        }
    }
}
