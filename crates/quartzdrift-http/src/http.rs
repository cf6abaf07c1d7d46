//! [`Http`]: the HTTP connections of one event loop, and their common operations.
use crate::connection::{ClientState, Connection, Role, ServerState};
use crate::limits::Limits;
use crate::messages::{CallFailure, CallId, HttpEvent, RequestError};
use crate::sockets::{SocketId, Sockets};
use calloop::LoopHandle;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

/// Access to the [`Http`] in the state of an event loop.
pub trait HasHttp: Sized + 'static {
    /// Returns the HTTP connections of the event loop.
    fn http(&mut self) -> &mut Http<Self>;
}

/// Pooled connections to one server address.
#[derive(Default)]
pub(crate) struct ServerPool {
    /// Connections without a call; the last one is used first.
    pub(crate) idle: Vec<SocketId>,
    /// Number of open connections, with or without a call.
    pub(crate) open_count: usize,
}

/// The HTTP connections of one event loop whose state is `S`, to clients and to servers.
pub struct Http<S: HasHttp> {
    pub(crate) limits: Limits,
    pub(crate) sockets: Sockets<S, Connection>,
    pub(crate) pools: HashMap<SocketAddr, ServerPool>,
    pub(crate) calls: HashMap<CallId, SocketId>,
    pub(crate) events: VecDeque<HttpEvent>,
    /// Number of open connections from clients.
    pub(crate) client_count: usize,
    /// Number of the latest call; the first call has number 1.
    pub(crate) last_call_number: u64,
    /// Number of connections opened to servers since the start.
    pub(crate) opened_count: u64,
}

impl<S: HasHttp> Http<S> {
    /// Creates an `Http` without connections on the event loop that `handle` belongs to.
    pub fn new(handle: LoopHandle<'static, S>, limits: Limits) -> Http<S> {
        Http {
            limits,
            sockets: Sockets::new(handle, |state| &mut state.http().sockets),
            pools: HashMap::new(),
            calls: HashMap::new(),
            events: VecDeque::new(),
            client_count: 0,
            last_call_number: 0,
            opened_count: 0,
        }
    }

    /// Starts to accept connections from `listener`.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be made non-blocking or registered with the event loop.
    pub fn listen(&mut self, listener: TcpListener) -> io::Result<()> {
        self.sockets.listen(listener)
    }

    /// Stops accepting connections. Existing connections stay open.
    pub fn stop_listening(&mut self) {
        // Closing a listener resets the connections in its accept queue, so they are accepted first.
        self.sockets.mark_listeners_ready();
        self.accept();
        self.sockets.stop_listening();
    }

    /// Whether unsent bytes wait on any client's connection.
    pub fn has_unsent_responses(&self) -> bool {
        self.sockets
            .iter()
            .any(|(_, socket)| matches!(socket.state.role, Role::Server(_)) && socket.unsent_bytes() > 0)
    }

    /// Whether no byte of a call's request was sent. Such a call, if cancelled, is never executed.
    pub fn is_unsent(&self, call: CallId) -> bool {
        let socket = self.calls.get(&call).and_then(|&id| self.sockets.get(id));
        socket.is_some_and(
            |socket| matches!(&socket.state.role, Role::Client(client) if client.request.is_some()),
        )
    }

    /// Closes all connections and listeners and discards the events, as if the process were killed.
    pub fn close_all(&mut self) {
        self.stop_listening();
        let ids: Vec<SocketId> = self.sockets.iter().map(|(id, _)| id).collect();
        ids.into_iter().for_each(|id| self.close(id));
        self.events.clear();
    }

    /// Number of open connections from clients.
    pub fn client_count(&self) -> usize {
        self.client_count
    }

    /// Number of connections opened to servers since the start.
    pub fn opened_count(&self) -> u64 {
        self.opened_count
    }

    /// Processes ready connections and returns the events in the order in which they occurred. To be called
    /// after each iteration of the event loop.
    pub fn take_events(&mut self) -> VecDeque<HttpEvent> {
        self.process_ready();
        std::mem::take(&mut self.events)
    }

    /// Whether [`Http::take_events`] has work: events are queued or connections are ready.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty() || self.sockets.is_ready()
    }

    /// Time at which [`Http::expire_connections`] must be called next: now if connections are ready, `None`
    /// if no deadline is set.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.sockets.next_due()
    }

    /// Handles connections whose deadline has passed: closes them, rejects the incomplete request or fails
    /// the call. Input that has already arrived is processed first.
    pub fn expire_connections(&mut self, now: Instant) {
        self.process_ready();
        for id in self.sockets.take_overdue(now) {
            self.expire_socket(id);
        }
    }

    fn expire_socket(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.get(id) else {
            return;
        };
        match &socket.state.role {
            Role::Server(ServerState::Head { .. }) if socket.input.is_empty() => self.close(id),
            Role::Server(ServerState::Head { .. } | ServerState::Body { .. }) => {
                self.reject_request(id, RequestError::Timeout);
            }
            Role::Server(_) => self.disconnect_client(id),
            Role::Client(client) => match client.state {
                ClientState::Connecting => self.fail_call(id, CallFailure::Connect),
                ClientState::Idle => self.close(id),
                // The owner of a call cancels it when it takes too long.
                ClientState::Head { .. } | ClientState::Body { .. } => {}
            },
        }
    }

    /// Accepts connections, advances the connections that the event loop reported as ready, and sends their
    /// output.
    fn process_ready(&mut self) {
        self.accept();
        for id in self.sockets.take_ready() {
            match self.sockets.get(id).map(|socket| &socket.state.role) {
                Some(Role::Server(_)) => self.drive_server(id),
                Some(Role::Client(_)) => self.drive_client(id),
                None => {}
            }
        }
        self.sockets.flush();
    }

    /// Closes a connection and updates the counts, the pool and the table of calls.
    pub(crate) fn close(&mut self, id: SocketId) {
        let connection = self.sockets.close(id);
        match connection.map(|connection| connection.role) {
            Some(Role::Server(_)) => {
                self.client_count -= 1;
                self.sockets.resume_accepting();
            }
            Some(Role::Client(client)) => {
                if let Some(call) = client.call {
                    self.calls.remove(&call);
                }
                self.remove_from_pool(client.server, id);
            }
            None => {}
        }
    }

    fn remove_from_pool(&mut self, server: SocketAddr, id: SocketId) {
        let Some(pool) = self.pools.get_mut(&server) else {
            return;
        };
        pool.open_count -= 1;
        pool.idle.retain(|&idle| idle != id);
        if pool.open_count == 0 {
            self.pools.remove(&server);
        }
    }

    /// Appends bytes to the output of a socket; they are sent with the next flush.
    pub(crate) fn write(&mut self, id: SocketId, append: impl FnOnce(&mut Vec<u8>)) {
        if let Some(output) = self.sockets.output(id) {
            append(output);
        }
    }
}
