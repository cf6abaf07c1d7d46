//! Accepts clients, and makes room for them among those that are silent.
use super::client_connection::{Client, RECEIVE_TIMEOUT, is_silent};
use super::{Node, Peer};
use quartzdrift_http::sockets::SocketId;
use std::time::Duration;

/// How long clients wait to be accepted, after a start, for the coordinator to be heard: it answers within milliseconds, and
/// until then no request can be sent to a worker.
const FIRST_ANSWER_WAIT: Duration = Duration::from_millis(250);

impl Node {
    /// Accepts the clients that wait, as far as there is room or a silent client that makes room; the others wait on, since
    /// each may have sent a request.
    pub(super) fn accept(&mut self) {
        if self.accepts_from().is_some_and(|at| self.now() < at) {
            let earliest_arrival = self.loop_delay.earliest_arrival();
            self.unaccepted_since.get_or_insert(earliest_arrival);
            return;
        }
        let streams = self.sockets.accept(self.budget.clients, self.clients, is_silent);
        let earliest_arrival = self.loop_delay.earliest_arrival();
        let arrived = self.unaccepted_since.unwrap_or(earliest_arrival);
        self.unaccepted_since = (!self.sockets.accepted_all()).then_some(arrived);
        for stream in streams {
            // A silent client may have sent something in this very moment: then there is one client too many for a while.
            self.make_room();
            if let Ok(id) = self.sockets.insert(stream, Peer::Client(Client::new(arrived))) {
                self.clients += 1;
                self.sockets.set_deadline(id, Some(RECEIVE_TIMEOUT));
            }
        }
    }

    /// From when on clients are accepted though the coordinator was not heard; `None`: it was.
    pub(super) fn accepts_from(&self) -> Option<Duration> {
        let is_unheard = !self.coordinator.was_confirmed();
        is_unheard.then(|| self.started_at + FIRST_ANSWER_WAIT)
    }

    /// Makes room for one more client, where there is none: the client that has been silent longest is closed, unless
    /// something has arrived from it that the loop has not been told of yet.
    fn make_room(&mut self) {
        for _ in 0..=self.clients {
            if self.clients < self.budget.clients {
                return;
            }
            let Some(silent) = self.sockets.longest_idle(is_silent) else {
                return;
            };
            if !self.read_pending_input(silent) {
                self.counts.dropped += 1;
                self.close_client(silent);
            }
        }
    }

    /// Reads what has arrived from a client that the loop has not been told of yet, and works it. Returns whether there was
    /// anything.
    pub(super) fn read_pending_input(&mut self, id: SocketId) -> bool {
        let Some(socket) = self.sockets.get(id) else {
            return true;
        };
        let before = socket.input.len();
        self.sockets.try_read(id);
        let socket = self.sockets.get(id);
        let has_arrived = socket.is_none_or(|socket| socket.is_read_closed() || socket.input.len() > before);
        if has_arrived {
            self.drive_client(id);
        }
        has_arrived
    }

    /// All clients that are connected.
    pub(super) fn client_ids(&self) -> Vec<SocketId> {
        let clients = self.sockets.iter();
        clients
            .filter(|(_, socket)| matches!(socket.state, Peer::Client(_)))
            .map(|(id, _)| id)
            .collect()
    }

    /// Reads what has come from any client, and works it.
    pub(super) fn read_all_clients(&mut self) {
        for id in self.client_ids() {
            self.read_pending_input(id);
        }
    }
}
