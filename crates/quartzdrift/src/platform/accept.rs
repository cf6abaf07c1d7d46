//! Accepts clients, and closes others to make room for them.
use super::client_connection::{Client, RECEIVE_TIMEOUT, is_evictable};
use super::memory::RequestBytes;
use super::{Node, Peer};
use quartzdrift_http::sockets::{AcceptRound, Socket, SocketId, Survey};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// After a start, clients are accepted once the coordinator has confirmed the list of workers, or after this
/// time. The coordinator usually answers within milliseconds, and no request can be sent to a worker before.
const COORDINATOR_WAIT: Duration = Duration::from_millis(250);
/// Time in a turn after which no further client is accepted or closed to make room. The others wait in the
/// listener's queue for the next turns.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(5);

/// Whether a client was ever served. Of the silent clients, those that were not are closed first.
fn was_served(socket: &Socket<Peer>) -> Option<bool> {
    match &socket.state {
        Peer::Client(client) => Some(client.was_served),
        Peer::WorkerConnection(_) => None,
    }
}

impl Node {
    /// Accepts waiting clients as long as there is room or a client can be closed to make room. The others stay
    /// in the listener's queue instead of being refused, since each may have sent a request.
    pub(super) fn accept_clients(&mut self) {
        let earliest_arrival = self.loop_delay.earliest_arrival();
        if self.accept_start().is_some_and(|at| self.now() < at) {
            self.unaccepted_since.get_or_insert(earliest_arrival);
            return;
        }
        let arrived = self.unaccepted_since.unwrap_or(earliest_arrival);
        if let Some(mut round) = self.sockets.begin_accepting() {
            self.accept_while_there_is_room(&mut round, arrived);
            self.sockets.end_accepting(&round, is_evictable);
        }
        self.unaccepted_since = (!self.sockets.accepted_all()).then_some(arrived);
    }

    /// Accepts clients for a bounded time. Room for each is made before it is accepted, so the number of clients
    /// never exceeds its limit.
    fn accept_while_there_is_room(&mut self, round: &mut AcceptRound, arrived: Instant) {
        let end = Instant::now() + MAX_ACCEPT_TIME;
        let mut survey = None;
        while Instant::now() < end
            && self.has_room_for_client(round, &mut survey, end)
            && let Some(stream) = self.sockets.accept_next(round)
        {
            self.add_client(stream, arrived);
        }
        if Instant::now() >= end {
            round.mark_out_of_time();
        }
    }

    fn add_client(&mut self, stream: TcpStream, arrived: Instant) {
        let request_bytes = RequestBytes::new(self.unowned_bytes.clone());
        let client = Client::new(arrived, request_bytes);
        if let Ok(id) = self.sockets.insert(stream, Peer::Client(client)) {
            self.client_count += 1;
            self.counts.max_clients = self.counts.max_clients.max(self.client_count);
            self.sockets.set_deadline(id, Some(RECEIVE_TIMEOUT));
        }
    }

    /// Time from which clients are accepted although the coordinator has not confirmed the list of workers;
    /// `None` if it has.
    pub(super) fn accept_start(&self) -> Option<Duration> {
        let is_unconfirmed = !self.coordinator.was_confirmed();
        is_unconfirmed.then(|| self.started_at + COORDINATOR_WAIT)
    }

    /// Whether another client can be accepted. If the client limit is reached and a client waits, closes others
    /// until `end`: first those that have disconnected, then an idle one. `survey` keeps what was found in this
    /// turn.
    fn has_room_for_client(
        &mut self,
        round: &mut AcceptRound,
        survey: &mut Option<Survey>,
        end: Instant,
    ) -> bool {
        if self.client_count < self.budget.clients {
            return true;
        }
        if !self.sockets.has_waiting_connection(round) {
            return false;
        }
        let survey = survey.get_or_insert_with(|| self.sockets.survey(was_served));
        self.close_disconnected_clients(survey, end);
        if self.client_count >= self.budget.clients {
            self.evict_idle_client(survey);
        }
        self.client_count < self.budget.clients
    }

    /// Closes clients that have disconnected. No answer is owed to them, whatever they sent before.
    fn close_disconnected_clients(&mut self, survey: &mut Survey, end: Instant) {
        while Instant::now() < end
            && let Some(id) = survey.disconnected.pop_front()
        {
            self.counts.evictions.disconnected += 1;
            self.close_client(id);
        }
    }

    /// Closes the first idle client that is still idle.
    fn evict_idle_client(&mut self, survey: &mut Survey) {
        let Some(id) = self.sockets.take_idle(survey, is_evictable) else {
            return;
        };
        if let Some(was_served) = self.sockets.get(id).and_then(was_served) {
            self.counts.evictions.count_idle(was_served);
        }
        self.drop_client(id);
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
