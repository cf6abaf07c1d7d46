//! Server side: receives requests from clients and sends responses.
use crate::body::{BodyError, BodyReader};
use crate::connection::{Connection, ResponseMode, Role, ServerState, without_framing, write_chunk};
use crate::head::{self, Framing, HeadError, Headers, RequestHead};
use crate::http::{HasHttp, Http};
use crate::messages::{Exchange, HttpEvent, Request, RequestError, Response};
use crate::socket::{MAX_READ_BYTES, Socket};
use crate::sockets::{AcceptRound, SocketId, Survey};
use std::net::TcpStream;
use std::time::Duration;

/// Time for which input is read and discarded after the last response, so that the client receives the
/// response before the connection closes.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Interim response to a request with `expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// HTTP status of a response that has no body.
const NO_CONTENT: u16 = 204;

/// Result of parsing the received bytes of a request.
enum Progress {
    /// An element was parsed; the next one may have been received too.
    Continue,
    /// More input is needed, or the request is complete.
    Wait,
}

impl<S: HasHttp> Http<S> {
    /// Sends the response to a request. Does nothing if the client has disconnected or the request was
    /// answered before.
    pub fn respond(&mut self, exchange: Exchange, response: &Response) {
        let Some(socket) = self.open_exchange(exchange) else {
            return;
        };
        let Role::Server(ServerState::AwaitsResponse(mode)) = socket.state.role else {
            return;
        };
        let keep_alive = mode.keep_alive && !has_connection_close(&response.headers);
        let headers = without_framing(&response.headers);
        let has_body = response.status != NO_CONTENT;
        let framing = if has_body {
            Framing::Length(response.body.len() as u64)
        } else {
            Framing::None
        };
        self.write(exchange.socket, |out| {
            head::write_response(out, response.status, &headers, framing, keep_alive);
            if has_body && !mode.is_head {
                out.extend_from_slice(&response.body);
            }
        });
        self.finish_exchange(exchange.socket, keep_alive);
    }

    /// Sends the head of a response of unknown length. The body follows with [`Http::send_part`] and
    /// [`Http::end_response`].
    pub fn begin_response(&mut self, exchange: Exchange, status: u16, headers: &Headers) {
        let Some(socket) = self.open_exchange(exchange) else {
            return;
        };
        let Role::Server(ServerState::AwaitsResponse(mode)) = socket.state.role else {
            return;
        };
        socket.state.role = Role::Server(ServerState::Streaming(mode));
        let framing = if mode.is_http_1_0 {
            Framing::UntilClose
        } else {
            Framing::Chunked
        };
        let headers = without_framing(headers);
        let keep_alive = mode.keep_alive && !mode.is_http_1_0;
        self.write(exchange.socket, |out| {
            head::write_response(out, status, &headers, framing, keep_alive);
        });
        self.drive_server(exchange.socket);
    }

    /// Sends part of the body after [`Http::begin_response`]. Returns `false` if the client has disconnected,
    /// or if more than `max_unsent` bytes would wait to be sent; then the part is not sent.
    pub fn send_part(&mut self, exchange: Exchange, bytes: &[u8], max_unsent: usize) -> bool {
        let Some(socket) = self.open_exchange(exchange) else {
            return false;
        };
        let Role::Server(ServerState::Streaming(mode)) = socket.state.role else {
            return false;
        };
        if socket.unsent_bytes() + bytes.len() > max_unsent {
            return false;
        }
        self.write(exchange.socket, |out| {
            if mode.is_http_1_0 {
                out.extend_from_slice(bytes);
            } else if !bytes.is_empty() {
                write_chunk(out, bytes);
            }
        });
        if self.sockets.deadline(exchange.socket).is_none() {
            self.sockets
                .set_deadline(exchange.socket, Some(self.limits.send_timeout));
        }
        self.drive_server(exchange.socket);
        self.open_exchange(exchange).is_some()
    }

    /// Ends the body after [`Http::begin_response`].
    pub fn end_response(&mut self, exchange: Exchange) {
        let Some(socket) = self.open_exchange(exchange) else {
            return;
        };
        let Role::Server(ServerState::Streaming(mode)) = socket.state.role else {
            return;
        };
        if !mode.is_http_1_0 {
            self.write(exchange.socket, |out| write_chunk(out, b""));
        }
        self.finish_exchange(exchange.socket, mode.keep_alive && !mode.is_http_1_0);
    }

    /// Closes a client's connection without a response, or in the middle of one.
    pub fn abort(&mut self, exchange: Exchange) {
        if self.open_exchange(exchange).is_some() {
            self.close(exchange.socket);
        }
    }

    /// Accepts waiting connections up to [`Limits::connections`](crate::Limits::connections), closing idle
    /// clients if needed. Connections over the limit stay in the system's accept queue, since each may have
    /// sent a request.
    pub(crate) fn accept(&mut self) {
        let Some(mut round) = self.sockets.begin_accepting() else {
            return;
        };
        let mut survey = None;
        while self.has_room_for_client(&mut round, &mut survey)
            && let Some(stream) = self.sockets.accept_next(&mut round)
        {
            self.add_client(stream);
        }
        self.sockets.end_accepting(&round, is_idle);
    }

    fn add_client(&mut self, stream: TcpStream) {
        let connection = Connection {
            exchange_number: 0,
            role: Role::Server(ServerState::Head { scanned: 0 }),
        };
        if let Ok(id) = self.sockets.insert(stream, connection) {
            self.client_count += 1;
            self.sockets.set_deadline(id, Some(self.limits.idle_timeout));
        }
    }

    /// Whether another client can be accepted. If the limit of connections is reached and a client waits, closes
    /// the one that has been idle longest. A client whose input the event loop has not reported yet is kept.
    /// `survey` keeps what was found in this round.
    fn has_room_for_client(&mut self, round: &mut AcceptRound, survey: &mut Option<Survey>) -> bool {
        if self.client_count < self.limits.connections {
            return true;
        }
        if !self.sockets.has_waiting_connection(round) {
            return false;
        }
        let rank = |socket: &Socket<Connection>| is_idle(socket).then_some(());
        let survey = survey.get_or_insert_with(|| self.sockets.survey(rank));
        if let Some(id) = self.sockets.take_idle(survey, is_idle) {
            self.close(id);
        }
        self.client_count < self.limits.connections
    }

    /// Closes a connection whose client has disconnected or exceeded a timeout. Reports the disconnection if
    /// a request on the connection has no complete response.
    pub(crate) fn disconnect_client(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.get(id) else {
            return;
        };
        let connection = &socket.state;
        if let Role::Server(ServerState::AwaitsResponse(_) | ServerState::Streaming(_)) = connection.role {
            let exchange = connection.exchange(id);
            self.events.push_back(HttpEvent::ClientDisconnected { exchange });
        }
        self.close(id);
    }

    /// Reports an invalid request. The connection closes after the response, because the start of the next
    /// request is unknown.
    pub(crate) fn reject_request(&mut self, id: SocketId, error: RequestError) {
        self.sockets.set_deadline(id, None);
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        socket.state.role = Role::Server(ServerState::AwaitsResponse(ResponseMode {
            keep_alive: false,
            is_head: false,
            is_http_1_0: false,
        }));
        socket.input.clear();
        let exchange = socket.state.exchange(id);
        let request = Err(error);
        self.events.push_back(HttpEvent::Request { exchange, request });
    }

    /// Advances a client's connection: sends output, reads at most `MAX_READ_BYTES` and parses. If more input
    /// waits, the socket stays in the ready queue.
    pub(crate) fn drive_server(&mut self, id: SocketId) {
        let mut has_read = false;
        while self.flush_server(id) && self.parse_request(id) {
            let Some(socket) = self.sockets.get_mut(id) else {
                return;
            };
            let Role::Server(state) = &socket.state.role else {
                return;
            };
            let is_request_open = matches!(state, ServerState::AwaitsResponse(_) | ServerState::Streaming(_));
            if is_request_open && socket.input.len() >= MAX_READ_BYTES {
                return;
            }
            if matches!(state, ServerState::Lingering) {
                socket.input.clear();
            }
            if socket.is_read_closed() {
                // A client that has closed its sending side is treated as disconnected and gets no response.
                return self.disconnect_client(id);
            }
            if has_read {
                return;
            }
            has_read = true;
            self.sockets.read(id);
        }
    }

    /// Sends the output that waits for a client and sets the deadline of the next step. Returns `false` if
    /// output remains or the connection was closed.
    fn flush_server(&mut self, id: SocketId) -> bool {
        let Some(socket) = self.sockets.get(id) else {
            return false;
        };
        if socket.unsent_bytes() == 0 {
            return true;
        }
        self.sockets.flush_socket(id);
        let Some(socket) = self.sockets.get(id) else {
            return false;
        };
        if socket.is_broken() {
            self.disconnect_client(id);
            return false;
        }
        if socket.unsent_bytes() > 0 {
            return false;
        }
        match &socket.state.role {
            Role::Server(ServerState::Lingering) => {
                socket.shutdown_write();
                self.sockets.set_deadline(id, Some(LINGER_TIME));
            }
            Role::Server(ServerState::Head { .. }) => {
                self.sockets.set_deadline(id, Some(self.limits.idle_timeout));
            }
            Role::Server(ServerState::Streaming(_)) => self.sockets.set_deadline(id, None),
            Role::Server(_) | Role::Client(_) => {}
        }
        true
    }

    /// Parses the received bytes of a request. Returns `false` if the connection is closed.
    fn parse_request(&mut self, id: SocketId) -> bool {
        loop {
            let Some(socket) = self.sockets.get_mut(id) else {
                return false;
            };
            let Role::Server(state) = &socket.state.role else {
                return false;
            };
            let progress = match state {
                ServerState::AwaitsResponse(_) | ServerState::Streaming(_) | ServerState::Lingering => {
                    return true;
                }
                ServerState::Head { .. } => self.parse_head(id),
                ServerState::Body { .. } => self.parse_body(id),
            };
            match progress {
                Ok(Progress::Continue) => {}
                Ok(Progress::Wait) => return true,
                Err(error) => {
                    self.reject_request(id, error);
                    return true;
                }
            }
        }
    }

    fn parse_head(&mut self, id: SocketId) -> Result<Progress, RequestError> {
        let Some(socket) = self.sockets.get_mut(id) else {
            return Ok(Progress::Wait);
        };
        let Role::Server(ServerState::Head { scanned }) = &mut socket.state.role else {
            return Ok(Progress::Wait);
        };
        if socket.input.is_empty() {
            return Ok(Progress::Wait);
        }
        let is_first_part = *scanned == 0;
        let end = head::find_head_end(&socket.input, scanned);
        if end.unwrap_or(socket.input.len()) > self.limits.head_bytes {
            return Err(RequestError::HeadTooLarge);
        }
        let Some(end) = end else {
            // The timeout runs from the first byte; later bytes do not extend it.
            if is_first_part {
                self.sockets.set_deadline(id, Some(self.limits.receive_timeout));
            }
            return Ok(Progress::Wait);
        };
        let head = head::parse_request(&socket.input[..end]).map_err(head_error)?;
        socket.consume(end);
        let reader = BodyReader::new(head.framing, self.limits.request_body_bytes).map_err(body_error)?;
        let awaits_continue = head.expects_continue && !reader.is_complete() && socket.input.is_empty();
        socket.state.role = Role::Server(ServerState::Body { head, reader });
        self.sockets.set_deadline(id, Some(self.limits.receive_timeout));
        if awaits_continue {
            self.write(id, |out| out.extend_from_slice(CONTINUE));
            self.sockets.flush_socket(id);
        }
        Ok(Progress::Continue)
    }

    fn parse_body(&mut self, id: SocketId) -> Result<Progress, RequestError> {
        let Some(socket) = self.sockets.get_mut(id) else {
            return Ok(Progress::Wait);
        };
        let Role::Server(ServerState::Body { head, reader }) = &mut socket.state.role else {
            return Ok(Progress::Wait);
        };
        let consumed = reader.feed(&socket.input).map_err(body_error)?;
        if !reader.is_complete() {
            socket.consume(consumed);
            return Ok(Progress::Wait);
        }
        let mode = response_mode(head);
        let awaits_response = Role::Server(ServerState::AwaitsResponse(mode));
        let received = std::mem::replace(&mut socket.state.role, awaits_response);
        let exchange = socket.state.exchange(id);
        let client_address = socket.peer_address();
        let local_address = socket.local_address();
        socket.consume(consumed);
        if let Role::Server(ServerState::Body { head, reader }) = received {
            let body = reader.bytes;
            let request = Ok(Request {
                head,
                body,
                client_address,
                local_address,
            });
            self.events.push_back(HttpEvent::Request { exchange, request });
        }
        self.sockets.set_deadline(id, None);
        Ok(Progress::Wait)
    }

    /// Returns the socket of a request whose response is not complete.
    fn open_exchange(&mut self, exchange: Exchange) -> Option<&mut Socket<Connection>> {
        self.sockets
            .get_mut(exchange.socket)
            .filter(|socket| socket.state.exchange_number == exchange.number)
    }

    /// Completes an exchange whose response is written: the connection receives its next request, or closes.
    fn finish_exchange(&mut self, id: SocketId, keep_alive: bool) {
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        // A second response to the same exchange must not be sent as the response to the next request.
        socket.state.exchange_number += 1;
        socket.state.role = Role::Server(if keep_alive {
            ServerState::Head { scanned: 0 }
        } else {
            ServerState::Lingering
        });
        self.sockets.set_deadline(id, Some(self.limits.send_timeout));
        self.drive_server(id);
    }
}

impl Connection {
    fn exchange(&self, socket: SocketId) -> Exchange {
        Exchange {
            socket,
            number: self.exchange_number,
        }
    }
}

/// Whether a connection is from a client that has sent no part of a new request, and to which no bytes are owed.
fn is_idle(socket: &Socket<Connection>) -> bool {
    let awaits_request = matches!(socket.state.role, Role::Server(ServerState::Head { .. }));
    awaits_request && socket.input.is_empty() && socket.unsent_bytes() == 0
}

fn has_connection_close(headers: &Headers) -> bool {
    let options = headers.get("connection");
    options.is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

fn response_mode(head: &RequestHead) -> ResponseMode {
    ResponseMode {
        keep_alive: head.keep_alive,
        is_head: head.method == "HEAD",
        is_http_1_0: head.is_http_1_0,
    }
}

fn head_error(error: HeadError) -> RequestError {
    match error {
        HeadError::TooLarge => RequestError::HeadTooLarge,
        HeadError::Malformed => RequestError::Malformed,
        HeadError::UnsupportedTransferCoding => RequestError::UnsupportedTransferCoding,
    }
}

fn body_error(error: BodyError) -> RequestError {
    match error {
        BodyError::TooLarge => RequestError::BodyTooLarge,
        BodyError::Malformed => RequestError::Malformed,
    }
}
