//! Accepts clients, and closes idle ones to make room for them.
use super::client_connection::{Client, RECEIVE_TIMEOUT, is_evictable};
use super::memory::RequestBytes;
use super::{Node, Peer};
use quartzdrift_http::sockets::SocketId;
use std::time::Duration;

/// After a start, clients are accepted once the coordinator has confirmed the list of workers, or after this
/// time. The coordinator usually answers within milliseconds, and no request can be sent to a worker before.
const COORDINATOR_WAIT: Duration = Duration::from_millis(250);

impl Node {
    /// Accepts waiting clients as long as there is room or an idle client can be closed to make room. The
    /// others stay in the listener's queue instead of being refused, since each may have sent a request.
    pub(super) fn accept_clients(&mut self) {
        if self.accept_start().is_some_and(|at| self.now() < at) {
            let earliest_arrival = self.loop_delay.earliest_arrival();
            self.unaccepted_since.get_or_insert(earliest_arrival);
            return;
        }
        let streams = self
            .sockets
            .accept(self.budget.clients, self.client_count, is_evictable);
        let earliest_arrival = self.loop_delay.earliest_arrival();
        let arrived = self.unaccepted_since.unwrap_or(earliest_arrival);
        self.unaccepted_since = (!self.sockets.accepted_all()).then_some(arrived);
        for stream in streams {
            // `accept` relies on closing an idle client. If data from that client has just arrived, the
            // client is kept, and the number of clients exceeds the limit by one for a while.
            self.make_room_for_client();
            let request_bytes = RequestBytes::new(self.unowned_bytes.clone());
            let client = Client::new(arrived, request_bytes);
            if let Ok(id) = self.sockets.insert(stream, Peer::Client(client)) {
                self.client_count += 1;
                self.sockets.set_deadline(id, Some(RECEIVE_TIMEOUT));
            }
        }
    }

    /// Time from which clients are accepted although the coordinator has not confirmed the list of workers;
    /// `None` if it has.
    pub(super) fn accept_start(&self) -> Option<Duration> {
        let is_unconfirmed = !self.coordinator.was_confirmed();
        is_unconfirmed.then(|| self.started_at + COORDINATOR_WAIT)
    }

    /// If the client limit is reached, closes the evictable client that has sent nothing for longest, unless
    /// data from it has arrived that the event loop has not reported yet.
    fn make_room_for_client(&mut self) {
        for _ in 0..=self.client_count {
            if self.client_count < self.budget.clients {
                return;
            }
            let Some(evicted) = self.sockets.longest_idle(is_evictable) else {
                return;
            };
            if !self.read_pending_input(evicted) {
                self.drop_client(evicted);
            }
        }
    }

    /// Reads and processes data from a client that the event loop has not reported yet. Returns whether there
    /// was any, or the connection has ended.
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
}
