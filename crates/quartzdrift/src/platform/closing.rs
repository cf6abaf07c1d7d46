//! The end of a shutdown: no connection is accepted any more, and clients' connections are closed while nothing is on them.
//!
//! A connection is closed only where a last read has found nothing, every request that was read is answered, and the answers
//! have been sent. What a client sends into that close was never read, and its system tells it so.
use super::Node;
use super::client_connection::client;
use quartzdrift_http::sockets::SocketId;

/// Rounds in which what has just come is answered before the process ends; whoever sends on without end is cut then.
const MAX_LAST_ROUNDS: usize = 8;
/// Looks at one connection in a row: what the first one finds is answered by the second one.
const MAX_LOOKS: usize = 2;

impl Node {
    /// Accepts the connections that wait and then no more, and closes each client on whose connection nothing is open.
    pub(super) fn close_idle_clients(&mut self) {
        if self.sockets.is_listening() {
            self.accept_last_clients();
        }
        for id in self.client_ids() {
            self.close_client_if_idle(id);
        }
        self.flush();
    }

    /// Answers what has come until the very end. Nothing is open any more, so that new requests are rejected at once.
    pub(super) fn answer_last_requests(&mut self) {
        for _ in 0..MAX_LAST_ROUNDS {
            self.close_idle_clients();
            if self.clients == 0 {
                return;
            }
        }
    }

    /// The listener is closed first: a client whose connection ends is refused here, and goes elsewhere. It is closed right
    /// after it was found without a waiting connection, since closing it resets those that wait.
    fn accept_last_clients(&mut self) {
        self.sockets.mark_listeners_ready();
        self.accept();
        if self.sockets.accepted_all() {
            self.sockets.stop_listening();
        }
    }

    fn close_client_if_idle(&mut self, id: SocketId) {
        for _ in 0..MAX_LOOKS {
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

    /// Whether nothing is open on a client's connection: no request, no part of one, no answer that has not been sent.
    fn is_client_idle(&mut self, id: SocketId) -> bool {
        let Some(client) = client(&mut self.sockets, id) else {
            return false;
        };
        let is_answered = client.requests.is_empty() && client.responder.is_idle();
        let socket = self.sockets.get(id);
        is_answered && socket.is_some_and(|socket| socket.input.is_empty() && socket.is_all_sent())
    }
}
