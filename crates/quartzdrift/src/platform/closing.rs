//! The closing phase of a shutdown: stops accepting connections, and closes clients' connections when they
//! are idle.
//!
//! A connection is closed only if a last read found no data, every request that was read is answered, and the
//! answers have been sent. A request that a client sends while its connection is being closed is never read;
//! the client's system reports a connection reset, so the client can safely send the request again.
use super::client_connection::find_client;
use super::{Node, Peer};
use quartzdrift_http::sockets::SocketId;
use std::time::{Duration, Instant};

/// Rounds of answering requests that arrived last, before the process ends. The limit cuts off clients that
/// keep sending.
const MAX_LAST_ROUNDS: usize = 8;
/// Time after which no further round begins.
const MAX_LAST_ROUNDS_TIME: Duration = Duration::from_millis(30);
/// Time in a turn after which no further client is read to close its connection. The others follow in the
/// next turns.
const MAX_CLOSING_TIME: Duration = Duration::from_millis(10);
/// Consecutive reads of one connection: the second read confirms that nothing followed the requests of the
/// first one, which are answered by then.
const MAX_READS_PER_CLIENT: usize = 2;

impl Node {
    /// Accepts the waiting connections, stops listening, and closes each client whose connection is idle.
    pub(super) fn close_idle_clients(&mut self) {
        if self.sockets.is_listening() {
            self.accept_last_clients();
        }
        let end = Instant::now() + MAX_CLOSING_TIME;
        for id in self.clients_to_close() {
            self.close_client_if_idle(id);
            if Instant::now() >= end {
                break;
            }
        }
        self.flush();
    }

    /// The clients in the order in which they are to be closed: those with a backlog last, and of the others
    /// those first that follow the one that was looked at last.
    fn clients_to_close(&self) -> Vec<SocketId> {
        let last = self.last_closing_client;
        let clients = self
            .sockets
            .iter()
            .filter_map(|(id, socket)| match &socket.state {
                Peer::Client(client) => Some((client.is_backlogged, Some(id) <= last, id)),
                Peer::WorkerConnection(_) => None,
            });
        let mut clients: Vec<_> = clients.collect();
        clients.sort_unstable();
        clients.into_iter().map(|(.., id)| id).collect()
    }

    /// Answers the requests that arrive until the process ends. Every earlier request is answered by then,
    /// and the request table rejects new ones at once.
    pub(super) fn answer_last_requests(&mut self) {
        let end = Instant::now() + MAX_LAST_ROUNDS_TIME;
        for _ in 0..MAX_LAST_ROUNDS {
            self.close_idle_clients();
            if self.client_count == 0 || Instant::now() >= end {
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
        self.last_closing_client = Some(id);
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
