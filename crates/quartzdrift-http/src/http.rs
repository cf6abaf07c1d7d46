//! All HTTP connections of one event loop.
use crate::connection::{ClientState, Connection, Role, ServerState};
use crate::limits::Limits;
use crate::messages::{CallFailure, CallId, HttpEvent, RequestError};
use crate::sockets::{SocketId, Sockets};
use calloop::LoopHandle;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

/// The state of an event loop, which lends its [`Http`].
pub trait HasHttp: Sized + 'static {
    /// The HTTP connections of the loop.
    fn http(&mut self) -> &mut Http<Self>;
}

/// The connections to one server.
#[derive(Default)]
pub(crate) struct ServerPool {
    pub(crate) idle: Vec<SocketId>,
    pub(crate) open: usize,
}

/// All HTTP connections of one event loop, whose state is `S`.
pub struct Http<S: HasHttp> {
    pub(crate) limits: Limits,
    pub(crate) sockets: Sockets<S, Connection>,
    pub(crate) pools: HashMap<SocketAddr, ServerPool>,
    pub(crate) calls: HashMap<CallId, SocketId>,
    pub(crate) events: VecDeque<HttpEvent>,
    /// Client connections that are open.
    pub(crate) client_count: usize,
    /// The last call's number.
    pub(crate) last_call_number: u64,
    /// Connections opened to servers so far.
    pub(crate) opened_count: u64,
}

impl<S: HasHttp> Http<S> {
    /// No connections yet, on the loop of this handle.
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

    /// Accepts connections from `listener` from now on.
    ///
    /// # Errors
    /// The system or the event loop does not accept the listener.
    pub fn listen(&mut self, listener: TcpListener) -> io::Result<()> {
        self.sockets.listen(listener)
    }

    /// Accepts no more connections. Existing ones go on.
    pub fn stop_listening(&mut self) {
        // Connections that wait to be accepted would be reset with the listener.
        self.sockets.mark_listeners_ready();
        self.accept();
        self.sockets.stop_listening();
    }

    /// Whether bytes wait to be sent to clients.
    pub fn has_unsent_responses(&self) -> bool {
        self.sockets
            .iter()
            .any(|(_, socket)| matches!(socket.state.role, Role::Server(_)) && socket.unsent_bytes() > 0)
    }

    /// Whether no byte of a call has been sent; then cancelling it proves that it was never executed.
    pub fn is_unsent(&self, call: CallId) -> bool {
        let socket = self.calls.get(&call).and_then(|&id| self.sockets.get(id));
        socket.is_some_and(
            |socket| matches!(&socket.state.role, Role::Client(client) if client.request.is_some()),
        )
    }

    /// Closes every connection and accepts no more, as a process does that is killed.
    pub fn close_all(&mut self) {
        self.stop_listening();
        let all: Vec<SocketId> = self.sockets.iter().map(|(id, _)| id).collect();
        all.into_iter().for_each(|id| self.close(id));
        self.events.clear();
    }

    /// Client connections that are open.
    pub fn client_count(&self) -> usize {
        self.client_count
    }

    /// Connections opened to servers so far.
    pub fn opened_count(&self) -> u64 {
        self.opened_count
    }

    /// The events in the order in which they were seen; to be taken after every turn of the loop.
    pub fn take_events(&mut self) -> VecDeque<HttpEvent> {
        self.process_ready();
        std::mem::take(&mut self.events)
    }

    /// Whether there are events to take.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty() || self.sockets.is_ready()
    }

    /// When [`Http::expire_connections`] has something to do.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.sockets.next_due()
    }

    /// Closes what is overdue, after everything that was received in time was processed.
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
                // Calls are ended by their owner.
                ClientState::Head { .. } | ClientState::Body { .. } => {}
            },
        }
    }

    /// Processes what the last turn of the loop brought.
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

    pub(crate) fn close(&mut self, id: SocketId) {
        let connection = self.sockets.close(id);
        match connection.map(|connection| connection.role) {
            Some(Role::Server(_)) => self.client_count -= 1,
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
        pool.open -= 1;
        pool.idle.retain(|&idle| idle != id);
        if pool.open == 0 {
            self.pools.remove(&server);
        }
    }

    /// Writes after what waits to be sent on a socket.
    pub(crate) fn write(&mut self, id: SocketId, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(output) = self.sockets.output(id) {
            write(output);
        }
    }
}
