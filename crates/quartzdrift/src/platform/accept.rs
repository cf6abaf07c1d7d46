//! Accepts clients, and makes room for them among those that are silent.
use super::client_connection::{Client, DeadlineReason, RECEIVE_TIMEOUT, client, is_silent};
use super::{Node, Peer};
use quartzdrift_http::sockets::{Socket, SocketId};

impl Node {
    /// Accepts the clients that wait; one for whom there is no room is closed unread.
    pub(super) fn accept(&mut self) {
        for stream in self.sockets.accept(is_silent) {
            if !self.has_room() {
                self.counts.dropped += 1;
                continue;
            }
            if let Ok(id) = self.sockets.insert(stream, Peer::Client(Client::new())) {
                self.clients += 1;
                self.sockets.set_deadline(id, Some(RECEIVE_TIMEOUT));
            }
        }
    }

    /// Whether there is room for one more client. Where there is none, the client that has been silent longest is closed,
    /// unless something has arrived from it that the loop has not been told of yet.
    fn has_room(&mut self) -> bool {
        for _ in 0..=self.clients {
            if self.clients < self.budget.clients {
                return true;
            }
            let Some(silent) = self.sockets.longest_silent(is_silent) else {
                return false;
            };
            if !self.read_pending_input(silent) {
                self.counts.dropped += 1;
                self.close_client(silent);
            }
        }
        false
    }

    /// Reads what has arrived from a client that the loop has not been told of yet, and works it. Returns whether there was
    /// anything.
    pub(super) fn read_pending_input(&mut self, id: SocketId) -> bool {
        let Some(socket) = self.sockets.get(id) else {
            return true;
        };
        let before = socket.input.len();
        self.sockets.look(id);
        let socket = self.sockets.get(id);
        let has_arrived = socket.is_none_or(|socket| socket.ended() || socket.input.len() > before);
        if has_arrived {
            self.drive_client(id);
        }
        has_arrived
    }

    /// Whether no connection, byte or part of a request has arrived that was not worked yet. What has arrived is worked.
    pub(super) fn is_quiet(&mut self) -> bool {
        let opened = self.sockets.opened();
        self.sockets.look_for_connections();
        self.accept();
        if self.sockets.opened() > opened {
            return false;
        }
        let clients: Vec<SocketId> = self.client_links().map(|(id, _)| id).collect();
        let mut quiet = true;
        // Each is looked at, as each may have something to be worked.
        for id in clients {
            if self.read_pending_input(id) || self.has_begun_request(id) {
                quiet = false;
            }
        }
        quiet
    }

    /// Whether a part of a request has arrived from a client.
    fn has_begun_request(&mut self, id: SocketId) -> bool {
        let is_partial =
            client(&mut self.sockets, id).is_some_and(|client| client.responder.has_partial_request());
        is_partial
            || self
                .sockets
                .get(id)
                .is_some_and(|socket| !socket.input.is_empty())
    }

    fn client_links(&self) -> impl Iterator<Item = (SocketId, &Socket<Peer>)> {
        self.sockets
            .iter()
            .filter(|(_, socket)| matches!(socket.state, Peer::Client(_)))
    }

    /// Whether bytes wait for a client.
    pub(super) fn has_unsent_answers(&self) -> bool {
        self.client_links().any(|(_, socket)| socket.unsent() > 0)
    }

    /// Takes no more connections, and tells all clients that theirs end.
    pub(super) fn send_close_notice(&mut self) {
        self.sockets.stop_listening();
        let clients: Vec<SocketId> = self.client_links().map(|(id, _)| id).collect();
        for id in clients {
            if let Some(socket) = self.sockets.get(id) {
                socket.finish();
            }
            if let Some(client) = client(&mut self.sockets, id) {
                client.deadline = DeadlineReason::Closing;
            }
            self.sockets.set_deadline(id, None);
        }
    }
}
