//! Limits on what a peer may make the process hold or wait for.
use std::time::Duration;

/// What a peer may make the process hold or wait for.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum bytes of the head of a request or response.
    pub head_bytes: usize,
    /// Maximum bytes of a request's body.
    pub request_body_bytes: usize,
    /// Maximum bytes of a response's body, as a client.
    pub response_body_bytes: usize,
    /// Maximum connections of clients.
    pub connections: usize,
    /// Maximum connections to one server.
    pub connections_per_server: usize,
    /// From the first byte of a request to the end of its head, and from there to the end of its body.
    pub receive_timeout: Duration,
    /// Between two requests on a connection.
    pub idle_timeout: Duration,
    /// Without a byte of a response taken by the client.
    pub send_timeout: Duration,
    /// An idle connection to a server is closed after this time, which is less than servers allow.
    pub keep_alive_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            request_body_bytes: 6 << 20,
            response_body_bytes: 6 << 20,
            connections: 4096,
            connections_per_server: 1024,
            receive_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(60),
            send_timeout: Duration::from_secs(20),
            keep_alive_timeout: Duration::from_secs(15),
        }
    }
}
