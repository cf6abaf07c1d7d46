//! Limits on connections, message sizes and times.
use std::time::Duration;

/// Limits on the memory and the time that a peer can consume.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum bytes of the head of a request or response.
    pub head_bytes: usize,
    /// Maximum bytes of a request's body.
    pub request_body_bytes: usize,
    /// Maximum bytes of the body of a response from a server.
    pub response_body_bytes: usize,
    /// Maximum open connections from clients.
    pub connections: usize,
    /// Maximum open connections to one server address.
    pub connections_per_server: usize,
    /// Maximum time from the first byte of a request to the end of its head, and again from there to the end
    /// of its body.
    pub receive_timeout: Duration,
    /// Maximum time that a client's connection stays open without a request.
    pub idle_timeout: Duration,
    /// Maximum time to send the bytes that wait for a client; then the connection is closed.
    pub send_timeout: Duration,
    /// Time after which an idle connection to a server is closed. It should be shorter than the servers' own
    /// idle timeout, so that no request is sent on a connection that the server is closing.
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
