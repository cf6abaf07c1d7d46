//! A client's FastCGI connection: its requests are read, its deadlines kept, and it is closed once its last answer has left.
use super::{Node, Peer};
use quartzdrift_fastcgi::{self as fastcgi, Event, InvalidRequest, Responder};
use quartzdrift_http::sockets::{Socket, SocketId, Sockets};
use quartzdrift_scheduler::interface::RequestId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Bounds of the platform's protocol, and a bound on parameters that is far above what they need.
const LIMITS: fastcgi::Limits = fastcgi::Limits {
    params: 8 << 10,
    body: 16 << 10,
    open_requests: 32,
};
/// For a first request to arrive whole, and for each later one that has begun. Whoever cannot be served is owed an end within
/// 3 s.
pub(super) const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// For a client to take the last bytes that are written before its connection is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// For a client to take the answers that wait for it; then its connection is closed, so that it notices.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that may wait for a client: its 32 answers and some room. With more its connection is closed.
const MAX_UNREAD_BYTES: usize = 1 << 20;

/// What the deadline of a client's connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineReason {
    /// The first whole request.
    FirstRequest,
    /// The rest of a request.
    PartialRequest,
    /// The client takes what is written to it.
    UnreadAnswers,
    /// There is no deadline.
    None,
    /// The last bytes leave, and the connection is closed.
    Closing,
}

/// The state of a client's connection.
pub(crate) struct Client {
    pub(super) responder: Responder,
    /// Open requests by their FastCGI request id.
    pub(super) requests: BTreeMap<u16, RequestId>,
    pub(super) deadline: DeadlineReason,
    /// The request whose rest is waited for.
    partial_request: Option<u64>,
    /// When the first byte may have come that the system still holds; `None` where it was found to hold nothing.
    unread_since: Option<Instant>,
}

impl Client {
    /// A client that was accepted, and may have connected and sent something at `arrived`; its first request is due within the
    /// receive timeout.
    pub(super) fn new(arrived: Instant) -> Client {
        Client {
            responder: Responder::new(LIMITS),
            requests: BTreeMap::new(),
            deadline: DeadlineReason::FirstRequest,
            partial_request: None,
            unread_since: Some(arrived),
        }
    }
}

/// The client on a socket, if it is one.
pub(super) fn find_client(sockets: &mut Sockets<Node, Peer>, id: SocketId) -> Option<&mut Client> {
    match &mut sockets.get_mut(id)?.state {
        Peer::Client(client) => Some(client),
        Peer::WorkerConnection(_) => None,
    }
}

/// Whether a socket is that of a client without an open request, which may make room for another.
pub(super) fn is_evictable(socket: &Socket<Peer>) -> bool {
    match &socket.state {
        Peer::Client(client) => client.requests.is_empty() && client.deadline != DeadlineReason::Closing,
        Peer::WorkerConnection(_) => false,
    }
}

/// What a connection waits for now, and for how long at most.
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
    /// Works a client's connection on which something has happened.
    pub(super) fn drive_client(&mut self, id: SocketId) {
        self.sockets.flush_one(id);
        self.sockets.read(id);
        let earliest_arrival = self.loop_delay.earliest_arrival();
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let ended = socket.ended();
        let has_more = socket.may_have_more();
        let Peer::Client(client) = &mut socket.state else {
            return;
        };
        let arrived = client.unread_since.unwrap_or(earliest_arrival);
        client.unread_since = has_more.then_some(arrived);
        if client.deadline == DeadlineReason::Closing {
            let unread = socket.input.len();
            socket.consume(unread);
            self.counts.discarded_bytes += unread as u64;
            if ended {
                self.close_client(id);
            }
            return;
        }
        let mut output = Vec::new();
        let mut received = Vec::new();
        let read = client.responder.read(&socket.input, &mut output, &mut received);
        if let Ok(used) = read {
            socket.consume(used);
        }
        if !output.is_empty() {
            self.write(id, &output);
        }
        let is_request = |event: &&Event| !matches!(event, Event::Aborted { .. });
        self.counts.received += received.iter().filter(is_request).count() as u64;
        for message in received {
            if self.sockets.get(id).is_none() {
                // The connection was closed over an answer: nobody waits for what else came on it.
                return;
            }
            self.handle_event(id, message, arrived);
        }
        match read {
            Err(error) => {
                tracing::debug!(%error, "client connection closed: protocol error");
                self.drop_client(id);
            }
            Ok(_) if ended => self.close_client(id),
            Ok(_) => self.update_client_deadline(id),
        }
    }

    /// `arrived`: when the message may have come.
    fn handle_event(&mut self, id: SocketId, message: Event, arrived: Instant) {
        match message {
            Event::Request {
                request_id,
                params,
                body,
            } => self.handle_request(id, request_id, &params, body, arrived),
            Event::InvalidRequest {
                request_id,
                reason: InvalidRequest::Params,
            } => self.respond(id, request_id, 400, "parameters", None),
            Event::InvalidRequest {
                request_id,
                reason: InvalidRequest::TooLarge,
            } => self.respond(id, request_id, 413, "too large", None),
            Event::Aborted { request_id } => {
                let client = find_client(&mut self.sockets, id);
                if let Some(request) = client.and_then(|client| client.requests.remove(&request_id)) {
                    self.abandon_request(request);
                }
            }
        }
    }

    /// Writes bytes to a client; they leave with the loop's next flush.
    pub(super) fn write(&mut self, id: SocketId, bytes: &[u8]) {
        if let Some(output) = self.sockets.output(id) {
            output.extend_from_slice(bytes);
        }
    }

    /// Sets the deadline for what the connection waits for now. One that stands is not moved: bytes that drip in win no
    /// time. Each request that is not whole yet has its own.
    pub(super) fn update_client_deadline(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let has_input = !socket.input.is_empty();
        let unread = socket.unsent();
        let Peer::Client(client) = &mut socket.state else {
            return;
        };
        if client.deadline == DeadlineReason::Closing {
            return;
        }
        let responder = &client.responder;
        if responder.is_closing() && responder.unanswered().next().is_none() {
            return self.close_when_flushed(id);
        }
        if unread > MAX_UNREAD_BYTES {
            return self.drop_client(id);
        }
        let partial_request = responder.oldest_partial_request(has_input);
        let (reason, after) = client_deadline(responder, partial_request, unread);
        let is_other_request =
            reason == DeadlineReason::PartialRequest && client.partial_request != partial_request;
        if client.deadline != reason || is_other_request {
            client.deadline = reason;
            client.partial_request = partial_request;
            self.sockets.set_deadline(id, after);
        }
    }

    /// Closes a client's connection once what is written to it has left.
    pub(super) fn close_when_flushed(&mut self, id: SocketId) {
        if let Some(client) = find_client(&mut self.sockets, id) {
            client.deadline = DeadlineReason::Closing;
            self.sockets.set_deadline(id, Some(FLUSH_TIMEOUT));
            self.flushing_clients.push(id);
        }
    }

    /// Closes the connections whose last bytes have left.
    pub(super) fn close_flushed_clients(&mut self) {
        for id in std::mem::take(&mut self.flushing_clients) {
            match self.sockets.get(id).map(|socket| socket.unsent()) {
                Some(0) => self.close_client(id),
                Some(_) => self.flushing_clients.push(id),
                None => {}
            }
        }
    }

    /// The deadline of a client's connection has passed.
    pub(super) fn client_timed_out(&mut self, id: SocketId) {
        // What has arrived in the meantime arrived in time.
        let has_arrived = self.read_pending_input(id);
        if has_arrived && self.sockets.deadline(id).is_some() {
            return;
        }
        let stuck = self.sockets.get(id).and_then(Socket::stuck_since);
        let Some(client) = find_client(&mut self.sockets, id) else {
            return;
        };
        match client.deadline {
            // Overdue without a deadline: there was no descriptor for a newcomer, and this client is to make room.
            DeadlineReason::None if !has_arrived && client.requests.is_empty() => self.drop_client(id),
            DeadlineReason::None => {}
            DeadlineReason::UnreadAnswers => self.unread_answers_timed_out(id, stuck),
            // Others are open on it: they are answered first.
            DeadlineReason::PartialRequest if !client.requests.is_empty() => {
                client.responder.stop_accepting();
                self.update_client_deadline(id);
            }
            DeadlineReason::FirstRequest | DeadlineReason::PartialRequest | DeadlineReason::Closing => {
                self.drop_client(id);
            }
        }
    }

    /// The deadline was set before it was tried to send: since then all may have left, or have begun to wait later.
    /// `stuck`: since when the client takes nothing.
    fn unread_answers_timed_out(&mut self, id: SocketId, stuck: Option<Instant>) {
        let Some(since) = stuck else {
            if let Some(client) = find_client(&mut self.sockets, id) {
                client.deadline = DeadlineReason::None;
            }
            return self.update_client_deadline(id);
        };
        let waited = since.elapsed();
        if waited < SEND_TIMEOUT {
            self.sockets
                .set_deadline(id, Some(SEND_TIMEOUT.saturating_sub(waited)));
        } else {
            self.drop_client(id);
        }
    }

    /// Closes the connection of a client that breaks the protocol, is too slow, or makes room, and counts it.
    fn drop_client(&mut self, id: SocketId) {
        self.counts.dropped += 1;
        self.close_client(id);
    }

    /// Closes a client's connection; what is open on it is over.
    pub(super) fn close_client(&mut self, id: SocketId) {
        let Some(Peer::Client(client)) = self.sockets.close(id) else {
            return;
        };
        self.client_count -= 1;
        client
            .requests
            .into_values()
            .for_each(|request| self.abandon_request(request));
    }
}
