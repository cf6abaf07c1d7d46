//! Client side: calls to servers over pooled connections.
use crate::body::{BodyError, BodyReader};
use crate::connection::{ClientConnection, ClientState, Connection, Role, without_framing};
use crate::head::{self, Framing, ResponseHead};
use crate::http::{HasHttp, Http};
use crate::messages::{CallFailure, CallId, HttpEvent, OutgoingRequest, Response};
use crate::socket::Socket;
use crate::sockets::SocketId;
use std::net::SocketAddr;

/// Result of parsing the received bytes of a response.
enum Progress {
    /// An element was parsed; the next one may have been received too.
    Continue,
    /// More input is needed.
    Wait,
    /// The response is complete.
    Complete,
}

impl<S: HasHttp> Http<S> {
    /// Sends a request over a pooled or a new connection. The result is always reported as an event, even if
    /// the call fails at once.
    pub fn call(&mut self, server: SocketAddr, request: OutgoingRequest) -> CallId {
        self.last_call_number += 1;
        let call = CallId(self.last_call_number);
        self.start_call(server, call, request);
        call
    }

    /// Cancels a call by closing its connection. No further event reports the call; queued ones are removed.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(&id) = self.calls.get(&call) {
            self.close(id);
        }
        // The call may have ended already, with its event still in the queue.
        self.events.retain(|event| match event {
            HttpEvent::Response { call: event_call, .. }
            | HttpEvent::ResponsePart { call: event_call, .. }
            | HttpEvent::ResponseEnd { call: event_call }
            | HttpEvent::CallFailed { call: event_call, .. } => *event_call != call,
            HttpEvent::Request { .. } | HttpEvent::ClientDisconnected { .. } => true,
        });
    }

    /// Closes the idle connections to a server. Connections with a call stay open.
    pub fn close_idle_connections(&mut self, server: SocketAddr) {
        let pool = self.pools.get(&server);
        let idle = pool.map(|pool| pool.idle.clone()).unwrap_or_default();
        idle.into_iter().for_each(|id| self.close(id));
    }

    /// Starts a call on an idle connection, or on a new one if none is usable and the limit permits.
    fn start_call(&mut self, server: SocketAddr, call: CallId, request: OutgoingRequest) {
        while let Some(id) = self.take_idle(server) {
            if self.is_usable(id) {
                return self.start_call_on_idle_connection(id, call, request);
            }
            self.close(id);
        }
        let open_count = self.pools.get(&server).map_or(0, |pool| pool.open_count);
        if open_count >= self.limits.connections_per_server {
            let failure = CallFailure::ConnectionLimit;
            return self.events.push_back(HttpEvent::CallFailed { call, failure });
        }
        self.start_call_on_new_connection(server, call, request);
    }

    /// Removes the most recently used idle connection from the pool.
    fn take_idle(&mut self, server: SocketAddr) -> Option<SocketId> {
        self.pools.get_mut(&server)?.idle.pop()
    }

    /// Whether an idle connection can carry a call.
    ///
    /// Reads the connection first. A connection that the server has closed still accepts writes: a request
    /// sent on it would be lost, and the client could not prove that the request was not executed.
    fn is_usable(&mut self, id: SocketId) -> bool {
        self.sockets.try_read(id);
        self.sockets
            .get(id)
            .is_some_and(|socket| !socket.is_read_closed() && socket.input.is_empty())
    }

    /// Sends the request of a call on an idle connection.
    fn start_call_on_idle_connection(&mut self, id: SocketId, call: CallId, request: OutgoingRequest) {
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let position = socket.write_position();
        let Role::Client(client) = &mut socket.state.role else {
            return;
        };
        client.call = Some(call);
        client.streams_response = request.streams_response;
        client.request_position = position;
        client.state = ClientState::Head { scanned: 0 };
        let server = client.server;
        self.sockets.set_deadline(id, None);
        self.write(id, |out| write_request(out, server, &request));
        if let Some(client) = self.client_connection(id) {
            client.request = Some(request);
        }
        self.calls.insert(call, id);
        self.drive_client(id);
    }

    /// Starts to connect to the server; the request is sent once the connection is established.
    fn start_call_on_new_connection(&mut self, server: SocketAddr, call: CallId, request: OutgoingRequest) {
        let timeout = request.connect_timeout;
        let client = ClientConnection {
            server,
            call: Some(call),
            state: ClientState::Connecting,
            streams_response: request.streams_response,
            request: Some(request),
            request_position: 0,
        };
        let connection = Connection {
            exchange_number: 0,
            role: Role::Client(client),
        };
        let Ok(id) = self.sockets.connect(server, connection) else {
            let failure = CallFailure::Connect;
            return self.events.push_back(HttpEvent::CallFailed { call, failure });
        };
        self.opened_count += 1;
        self.pools.entry(server).or_default().open_count += 1;
        self.calls.insert(call, id);
        self.sockets.set_deadline(id, Some(timeout));
    }

    /// Reports that the call of a connection has failed, and closes the connection.
    pub(crate) fn fail_call(&mut self, id: SocketId, failure: CallFailure) {
        if let Some(call) = self.client_connection(id).and_then(|client| client.call) {
            self.events.push_back(HttpEvent::CallFailed { call, failure });
        }
        self.close(id);
    }

    /// Advances a connection to a server: completes connecting, sends output, reads at most `MAX_READ_BYTES`
    /// and parses.
    pub(crate) fn drive_client(&mut self, id: SocketId) {
        let Some(client) = self.client_connection(id) else {
            return;
        };
        if matches!(client.state, ClientState::Connecting) {
            match self.sockets.connect_result(id) {
                Some(Ok(())) => self.write_pending_request(id),
                Some(Err(_)) => return self.fail_call(id, CallFailure::Connect),
                None => return,
            }
        }
        self.sockets.flush_socket(id);
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let sent = socket.sent_position();
        let is_broken = socket.is_broken();
        let Role::Client(client) = &mut socket.state.role else {
            return;
        };
        // Once a byte is sent, the server may execute the request, so it must not be sent again.
        if sent > client.request_position {
            client.request = None;
        }
        if is_broken && client.request.is_some() {
            return self.handle_server_close(id);
        }
        self.sockets.read(id);
        if self.parse_response(id) && self.sockets.get(id).is_some_and(Socket::is_read_closed) {
            self.handle_server_close(id);
        }
    }

    fn client_connection(&mut self, id: SocketId) -> Option<&mut ClientConnection> {
        match &mut self.sockets.get_mut(id)?.state.role {
            Role::Client(client) => Some(client),
            Role::Server(_) => None,
        }
    }

    /// Writes the request of a call to its new connection.
    fn write_pending_request(&mut self, id: SocketId) {
        self.sockets.set_deadline(id, None);
        let Some(client) = self.client_connection(id) else {
            return;
        };
        client.state = ClientState::Head { scanned: 0 };
        let server = client.server;
        if let Some(request) = client.request.clone() {
            self.write(id, |out| write_request(out, server, &request));
        }
    }

    /// Handles a connection that the server has closed: completes or fails its call, or repeats the call on
    /// another connection if no byte of the request was sent.
    fn handle_server_close(&mut self, id: SocketId) {
        let Some(client) = self.client_connection(id) else {
            return;
        };
        if client.request.is_some()
            && let (Some(request), Some(call)) = (client.request.take(), client.call.take())
        {
            // No byte of the request was sent, so the call moves to another connection. `start_call` enters
            // it into `self.calls` again.
            let server = client.server;
            self.close(id);
            self.calls.remove(&call);
            return self.start_call(server, call, request);
        }
        match &client.state {
            ClientState::Body { reader, .. } if reader.is_complete_at_close() => self.complete_response(id),
            ClientState::Idle => self.close(id),
            ClientState::Connecting => self.fail_call(id, CallFailure::Connect),
            ClientState::Head { .. } | ClientState::Body { .. } => self.fail_call(id, CallFailure::Reset),
        }
    }

    /// Parses the received bytes of a response. Returns `false` if the connection was closed.
    fn parse_response(&mut self, id: SocketId) -> bool {
        loop {
            let Some(client) = self.client_connection(id) else {
                return false;
            };
            let progress = match &client.state {
                ClientState::Connecting => Ok(Progress::Wait),
                ClientState::Idle => return self.close_if_unexpected_input(id),
                ClientState::Head { .. } => self.parse_response_head(id),
                ClientState::Body { .. } => self.parse_response_body(id),
            };
            match progress {
                Ok(Progress::Continue) => {}
                Ok(Progress::Wait) => return true,
                Ok(Progress::Complete) => {
                    self.complete_response(id);
                    return self.sockets.get(id).is_some();
                }
                Err(failure) => {
                    self.fail_call(id, failure);
                    return false;
                }
            }
        }
    }

    /// Closes an idle connection that has received input, which would be parsed as the response to the next
    /// call. Returns whether the connection is still open.
    fn close_if_unexpected_input(&mut self, id: SocketId) -> bool {
        let is_input_empty = self.sockets.get(id).is_some_and(|socket| socket.input.is_empty());
        if !is_input_empty {
            self.close(id);
        }
        is_input_empty
    }

    fn parse_response_head(&mut self, id: SocketId) -> Result<Progress, CallFailure> {
        let Some(socket) = self.sockets.get_mut(id) else {
            return Ok(Progress::Wait);
        };
        let Role::Client(client) = &mut socket.state.role else {
            return Ok(Progress::Wait);
        };
        let ClientState::Head { scanned } = &mut client.state else {
            return Ok(Progress::Wait);
        };
        let end = head::find_head_end(&socket.input, scanned);
        if end.unwrap_or(socket.input.len()) > self.limits.head_bytes {
            return Err(CallFailure::TooLarge);
        }
        let Some(end) = end else {
            return Ok(Progress::Wait);
        };
        let head = head::parse_response(&socket.input[..end]).map_err(|_| CallFailure::Malformed)?;
        socket.input.drain(..end);
        if head.is_interim() {
            client.state = ClientState::Head { scanned: 0 };
            return Ok(Progress::Continue);
        }
        let reader = BodyReader::new(head.framing, self.limits.response_body_bytes)
            .map_err(|_| CallFailure::TooLarge)?;
        if let Some(call) = client.call.filter(|_| client.streams_response) {
            let response = Response {
                status: head.status,
                headers: head.headers.clone(),
                body: Vec::new(),
            };
            self.events.push_back(HttpEvent::Response { call, response });
        }
        client.state = ClientState::Body { head, reader };
        Ok(Progress::Continue)
    }

    fn parse_response_body(&mut self, id: SocketId) -> Result<Progress, CallFailure> {
        let Some(socket) = self.sockets.get_mut(id) else {
            return Ok(Progress::Wait);
        };
        let Role::Client(client) = &mut socket.state.role else {
            return Ok(Progress::Wait);
        };
        let ClientState::Body { reader, .. } = &mut client.state else {
            return Ok(Progress::Wait);
        };
        let consumed = reader.feed(&socket.input).map_err(body_failure)?;
        if let Some(call) = client.call.filter(|_| client.streams_response)
            && !reader.bytes.is_empty()
        {
            let bytes = std::mem::take(&mut reader.bytes);
            self.events.push_back(HttpEvent::ResponsePart { call, bytes });
        }
        let is_complete = reader.is_complete();
        socket.consume(consumed);
        if is_complete {
            Ok(Progress::Complete)
        } else {
            Ok(Progress::Wait)
        }
    }

    /// Reports a complete response and returns the connection to the pool if it can carry another call.
    fn complete_response(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        // If the server responded before it read the whole request, unsent bytes of the request remain.
        let cannot_be_reused =
            socket.unsent_bytes() > 0 || socket.is_read_closed() || !socket.input.is_empty();
        let Role::Client(client) = &mut socket.state.role else {
            return;
        };
        let Some(call) = client.call.take() else {
            return self.close(id);
        };
        self.calls.remove(&call);
        let server = client.server;
        let streams_response = client.streams_response;
        let state = std::mem::replace(&mut client.state, ClientState::Idle);
        let ClientState::Body { head, reader } = state else {
            return self.close(id);
        };
        let ResponseHead {
            status,
            headers,
            keep_alive,
            ..
        } = head;
        let event = if streams_response {
            HttpEvent::ResponseEnd { call }
        } else {
            let body = reader.bytes;
            let response = Response {
                status,
                headers,
                body,
            };
            HttpEvent::Response { call, response }
        };
        self.events.push_back(event);
        if !keep_alive || cannot_be_reused {
            return self.close(id);
        }
        self.sockets
            .set_deadline(id, Some(self.limits.keep_alive_timeout));
        self.pools.entry(server).or_default().idle.push(id);
    }
}

/// Appends a request with its framing fields and `host`.
fn write_request(out: &mut Vec<u8>, server: SocketAddr, request: &OutgoingRequest) {
    let mut headers = without_framing(&request.headers);
    if headers.get("host").is_none() {
        headers.push("host", &server.to_string());
    }
    let framing = match request.method {
        "GET" => Framing::None,
        _ => Framing::Length(request.body.len() as u64),
    };
    head::write_request(out, request.method, &request.target, &headers, framing);
    out.extend_from_slice(&request.body);
}

fn body_failure(error: BodyError) -> CallFailure {
    match error {
        BodyError::TooLarge => CallFailure::TooLarge,
        BodyError::Malformed => CallFailure::Malformed,
    }
}
