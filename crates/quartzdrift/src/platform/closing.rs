//! The closing phase of a shutdown: stops accepting connections, and closes clients' connections when they
//! are idle.
//!
//! A connection is closed only if a last read found no data, every request that was read is answered, and the
//! answers have been sent. A request that a client sends while its connection is being closed is never read;
//! the client's system reports a connection reset, so the client can safely send the request again.
use super::Node;
use super::client_connection::find_client;
use quartzdrift_http::sockets::SocketId;

/// Rounds of answering requests that arrived last, before the process ends. The limit cuts off clients that
/// keep sending.
const MAX_LAST_ROUNDS: usize = 8;
/// Consecutive reads of one connection: the second read confirms that nothing followed the requests of the
/// first one, which are answered by then.
const MAX_READS_PER_CLIENT: usize = 2;

impl Node {
    /// Accepts the waiting connections, stops listening, and closes each client whose connection is idle.
    pub(super) fn close_idle_clients(&mut self) {
        if self.sockets.is_listening() {
            self.accept_last_clients();
        }
        for id in self.client_sockets() {
            self.close_client_if_idle(id);
        }
        self.flush();
    }

    /// Answers the requests that arrive until the process ends. Every earlier request is answered by then,
    /// and the request table rejects new ones at once.
    pub(super) fn answer_last_requests(&mut self) {
        for _ in 0..MAX_LAST_ROUNDS {
            self.close_idle_clients();
            if self.client_count == 0 {
                return;
            }
        }
    }

    /// Closes the listener before any client's connection, so that a client that reconnects is refused and
    /// uses another scheduler. Closing a listener resets its waiting connections, so it is closed right after
    /// none was found waiting.
    fn accept_last_clients(&mut self) {
        self.sockets.mark_listeners_ready();
        self.accept_clients();
        if self.sockets.accepted_all() {
            self.sockets.stop_listening();
        }
    }

    fn close_client_if_idle(&mut self, id: SocketId) {
        for _ in 0..MAX_READS_PER_CLIENT {
            let has_arrived = self.read_pending_input(id);
            self.sockets.flush_socket(id);
            if !has_arrived {
                if self.is_client_idle(id) {
                    self.close_client(id);
                }
                return;
            }
        }
    }

    /// Whether a client's connection has no open request, no partial request and no unsent answer.
    fn is_client_idle(&mut self, id: SocketId) -> bool {
        let Some(client) = find_client(&mut self.sockets, id) else {
            return false;
        };
        let is_answered = client.requests.is_empty() && client.responder.is_idle();
        let socket = self.sockets.get(id);
        is_answered && socket.is_some_and(|socket| socket.input.is_empty() && socket.is_all_sent())
    }
}
