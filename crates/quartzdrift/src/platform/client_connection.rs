//! Clients' FastCGI connections: reading requests, keeping deadlines, and closing a connection once its last
//! answer is sent.
use super::memory::RequestBytes;
use super::{Node, Peer};
use quartzdrift_fastcgi::{self as fastcgi, Event, InvalidRequestReason, Responder};
use quartzdrift_http::sockets::{Socket, SocketId, Sockets};
use quartzdrift_scheduler::interface::RequestId;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Limits of the platform's protocol. The limit on parameters is far above the size that requests need.
const LIMITS: fastcgi::Limits = fastcgi::Limits {
    max_params_bytes: 8 << 10,
    max_body_bytes: 16 << 10,
    max_open_requests: 32,
};
/// Time for the first request to arrive completely after connecting, and for each later one after its first
/// byte. The platform requires that clients who cannot be served are disconnected within 3 s.
pub(super) const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a client to read the last bytes before its connection is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a client to read the answers that wait for it. Then its connection is closed, so that it sees the
/// failure.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of unsent bytes for a client: room for its 32 answers and more. Beyond it the connection is
/// closed.
const MAX_UNREAD_BYTES: usize = 1 << 20;

/// The event that the deadline of a client's connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineReason {
    /// The first complete request arrives.
    FirstRequest,
    /// The rest of a partial request arrives.
    PartialRequest,
    /// The client reads the answers that wait for it.
    UnreadAnswers,
    /// There is no deadline.
    None,
    /// The last bytes are sent, and the connection is closed.
    Closing,
}

/// The state of a client's connection.
pub(crate) struct Client {
    pub(super) responder: Responder,
    /// Open requests by their FastCGI request id.
    pub(super) requests: BTreeMap<u16, RequestId>,
    pub(super) deadline: DeadlineReason,
    /// The partial request that the deadline is for, by its ordinal on the connection.
    partial_request: Option<u64>,
    /// Earliest time at which the first unread byte in the system's buffer may have arrived; `None` if the
    /// buffer was empty.
    unread_since: Option<Instant>,
    /// Whether the client has received the response of a worker.
    pub(super) was_served: bool,
    /// Whether the last read left input in the system's buffer.
    pub(super) is_backlogged: bool,
    /// Bytes that the memory budget counts for the client.
    pub(super) accounted_bytes: usize,
    /// Bytes of its open requests.
    pub(super) request_bytes: Rc<RequestBytes>,
}

impl Client {
    /// The state of an accepted client, which may have connected and sent data as early as `arrived`. Its
    /// first request is due within [`RECEIVE_TIMEOUT`].
    pub(super) fn new(arrived: Instant, request_bytes: Rc<RequestBytes>) -> Client {
        Client {
            responder: Responder::new(LIMITS),
            requests: BTreeMap::new(),
            deadline: DeadlineReason::FirstRequest,
            partial_request: None,
            unread_since: Some(arrived),
            was_served: false,
            is_backlogged: false,
            accounted_bytes: 0,
            request_bytes,
        }
    }
}

/// The state of the client on a socket; `None` if the socket is closed or belongs to a worker.
pub(super) fn find_client(sockets: &mut Sockets<Node, Peer>, id: SocketId) -> Option<&mut Client> {
    match &mut sockets.get_mut(id)?.state {
        Peer::Client(client) => Some(client),
        Peer::WorkerConnection(_) => None,
    }
}

/// Whether a socket belongs to a client without an open request to which no bytes are owed. It may be closed to make
/// room for another client.
pub(super) fn is_evictable(socket: &Socket<Peer>) -> bool {
    match &socket.state {
        Peer::Client(client) => {
            let is_closing = client.deadline == DeadlineReason::Closing;
            client.requests.is_empty() && socket.unsent_bytes() == 0 && !is_closing
        }
        Peer::WorkerConnection(_) => false,
    }
}

/// The event that a connection waits for now, and the longest time to wait. `unread` is the number of bytes
/// that the client has not taken yet.
fn client_deadline(
    responder: &Responder,
    partial_request: Option<u64>,
    unread: usize,
) -> (DeadlineReason, Option<Duration>) {
    if !responder.is_closing() && !responder.has_received_request() {
        (DeadlineReason::FirstRequest, Some(RECEIVE_TIMEOUT))
    } else if !responder.is_closing() && partial_request.is_some() {
        (DeadlineReason::PartialRequest, Some(RECEIVE_TIMEOUT))
    } else if unread > 0 {
        (DeadlineReason::UnreadAnswers, Some(SEND_TIMEOUT))
    } else {
        (DeadlineReason::None, None)
    }
}

impl Node {
    /// Records when the input of clients that are not read in this turn may have arrived.
    pub(super) fn mark_unread_clients<'a>(&mut self, clients: impl Iterator<Item = &'a SocketId>) {
        let earliest_arrival = self.loop_delay.earliest_arrival();
        for id in clients {
            if let Some(client) = find_client(&mut self.sockets, *id) {
                client.unread_since.get_or_insert(earliest_arrival);
            }
        }
    }

    /// Processes a client's connection whose socket is ready.
    pub(super) fn drive_client(&mut self, id: SocketId) {
        self.sockets.flush_socket(id);
        self.sockets.read(id);
        let Some(arrived) = self.record_read(id) else {
            return;
        };
        if find_client(&mut self.sockets, id).is_some_and(|client| client.deadline == DeadlineReason::Closing)
        {
            return self.discard_input(id);
        }
        let max_partial_bytes = self.partial_request_limit(id);
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let has_ended = socket.is_read_closed();
        let Peer::Client(client) = &mut socket.state else {
            return;
        };
        let mut output = Vec::new();
        let mut events = Vec::new();
        let read = client
            .responder
            .read(&socket.input, max_partial_bytes, &mut output, &mut events);
        if let Ok(consumed_bytes) = read {
            socket.consume(consumed_bytes);
        }
        if !output.is_empty() {
            self.write(id, &output);
        }
        self.handle_events(id, events, arrived);
        match read {
            Err(error) => {
                tracing::debug!(%error, "client connection closed: protocol error");
                self.drop_client(id);
            }
            Ok(_) if has_ended => self.close_client(id),
            Ok(_) => {
                self.update_held_bytes(id);
                self.update_client_deadline(id);
            }
        }
    }

    /// Records whether a read has left input in the system's buffer. Returns the earliest time at which the
    /// input that was read may have arrived; `None` if the socket belongs to no client.
    fn record_read(&mut self, id: SocketId) -> Option<Instant> {
        let earliest_arrival = self.loop_delay.earliest_arrival();
        let socket = self.sockets.get_mut(id)?;
        let has_more = socket.may_have_unread();
        let Peer::Client(client) = &mut socket.state else {
            return None;
        };
        let arrived = client.unread_since.unwrap_or(earliest_arrival);
        client.unread_since = has_more.then_some(arrived);
        client.is_backlogged = has_more;
        Some(arrived)
    }

    /// Discards the input of a connection that is about to be closed, and closes it if the client has.
    fn discard_input(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let unread = socket.input.len();
        socket.consume(unread);
        self.counts.discarded_bytes += unread as u64;
        if socket.is_read_closed() {
            self.close_client(id);
        }
    }

    /// Counts and handles the FastCGI events of a client.
    fn handle_events(&mut self, id: SocketId, events: Vec<Event>, arrived: Instant) {
        let is_request = |event: &&Event| !matches!(event, Event::Aborted { .. });
        self.counts.received += events.iter().filter(is_request).count() as u64;
        for event in events {
            if self.sockets.get(id).is_none() {
                // The connection was closed after an answer, so the client does not wait for its other
                // requests.
                return;
            }
            self.handle_event(id, event, arrived);
        }
    }

    /// Handles a FastCGI event of a client. `arrived` is the earliest time at which its bytes may have
    /// arrived.
    fn handle_event(&mut self, id: SocketId, event: Event, arrived: Instant) {
        match event {
            Event::Request {
                request_id,
                params,
                body,
            } => self.handle_request(id, request_id, &params, body, arrived),
            Event::InvalidRequest {
                request_id,
                reason: InvalidRequestReason::MalformedParams,
            } => self.respond(id, request_id, 400, "parameters", None),
            Event::InvalidRequest {
                request_id,
                reason: InvalidRequestReason::TooLarge,
            } => self.respond(id, request_id, 413, "too large", None),
            Event::InvalidRequest {
                request_id,
                reason: InvalidRequestReason::NoMemory,
            } => self.refuse_without_memory(id, request_id),
            Event::Aborted { request_id } => {
                let client = find_client(&mut self.sockets, id);
                if let Some(request) = client.and_then(|client| client.requests.remove(&request_id)) {
                    self.abandon_request(request);
                }
            }
        }
    }

    /// Appends bytes to a client's output; the next flush of the loop sends them.
    pub(super) fn write(&mut self, id: SocketId, bytes: &[u8]) {
        if let Some(output) = self.sockets.output(id) {
            output.extend_from_slice(bytes);
        }
    }

    /// Updates the deadline of a client's connection. A deadline stays fixed while its reason does, so a
    /// client that sends byte by byte gains no time. Each partial request has its own deadline.
    pub(super) fn update_client_deadline(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let has_input = !socket.input.is_empty();
        let unread = socket.unsent_bytes();
        let Peer::Client(client) = &mut socket.state else {
            return;
        };
        if client.deadline == DeadlineReason::Closing {
            return;
        }
        let responder = &client.responder;
        if responder.is_closing() && responder.unanswered_requests().next().is_none() {
            return self.close_when_flushed(id);
        }
        if unread > MAX_UNREAD_BYTES {
            return self.drop_client(id);
        }
        let partial_request = responder.oldest_partial_request(has_input);
        let (reason, timeout) = client_deadline(responder, partial_request, unread);
        let is_other_request =
            reason == DeadlineReason::PartialRequest && client.partial_request != partial_request;
        if client.deadline != reason || is_other_request {
            client.deadline = reason;
            client.partial_request = partial_request;
            self.sockets.set_deadline(id, timeout);
        }
    }

    /// Closes a client's connection once its output is sent.
    pub(super) fn close_when_flushed(&mut self, id: SocketId) {
        if let Some(client) = find_client(&mut self.sockets, id) {
            client.deadline = DeadlineReason::Closing;
            self.sockets.set_deadline(id, Some(FLUSH_TIMEOUT));
            self.flushing_clients.push(id);
        }
    }

    /// Closes the connections in `flushing_clients` whose output is sent.
    pub(super) fn close_flushed_clients(&mut self) {
        for id in std::mem::take(&mut self.flushing_clients) {
            match self.sockets.get(id).map(|socket| socket.unsent_bytes()) {
                Some(0) => self.close_client(id),
                Some(_) => self.flushing_clients.push(id),
                None => {}
            }
        }
    }

    /// Handles the expired deadline of a client's connection.
    pub(super) fn client_timed_out(&mut self, id: SocketId) {
        // Data that the loop has not read yet counts as in time.
        let has_arrived = self.read_pending_input(id);
        if has_arrived && self.sockets.deadline(id).is_some() {
            return;
        }
        let blocked_since = self.sockets.get(id).and_then(Socket::write_blocked_since);
        let may_evict = self.sockets.get(id).is_some_and(is_evictable);
        let Some(client) = find_client(&mut self.sockets, id) else {
            return;
        };
        match client.deadline {
            // A socket without a deadline expires only when the process is out of descriptors: this client is
            // closed so that another one can be accepted.
            DeadlineReason::None if !has_arrived && may_evict => self.drop_client(id),
            DeadlineReason::None => {}
            DeadlineReason::UnreadAnswers => self.unread_answers_timed_out(id, blocked_since),
            // The connection has other open requests, which are answered first.
            DeadlineReason::PartialRequest if !client.requests.is_empty() => {
                client.responder.stop_accepting();
                self.update_client_deadline(id);
            }
            DeadlineReason::FirstRequest | DeadlineReason::PartialRequest | DeadlineReason::Closing => {
                self.drop_client(id);
            }
        }
    }

    /// Closes a client's connection if its answers were blocked for [`SEND_TIMEOUT`], or sets the remaining
    /// time. The deadline was set before the answers were flushed: they may have been sent since, or may have
    /// become blocked later. `blocked_since` is the time since which the client takes no data.
    fn unread_answers_timed_out(&mut self, id: SocketId, blocked_since: Option<Instant>) {
        let Some(since) = blocked_since else {
            if let Some(client) = find_client(&mut self.sockets, id) {
                client.deadline = DeadlineReason::None;
            }
            return self.update_client_deadline(id);
        };
        let blocked_time = since.elapsed();
        if blocked_time < SEND_TIMEOUT {
            self.sockets
                .set_deadline(id, Some(SEND_TIMEOUT.saturating_sub(blocked_time)));
        } else {
            self.drop_client(id);
        }
    }

    /// Closes and counts the connection of a client that violates the protocol, is too slow, or is evicted to
    /// make room.
    pub(super) fn drop_client(&mut self, id: SocketId) {
        self.counts.dropped += 1;
        self.close_client(id);
    }

    /// Closes a client's connection, and abandons its open requests.
    pub(super) fn close_client(&mut self, id: SocketId) {
        let Some(Peer::Client(client)) = self.sockets.close(id) else {
            return;
        };
        self.client_count -= 1;
        self.sockets.resume_accepting();
        self.release_held_bytes(client.accounted_bytes, &client.request_bytes);
        client
            .requests
            .into_values()
            .for_each(|request| self.abandon_request(request));
    }
}
