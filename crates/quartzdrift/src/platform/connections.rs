//! Connections to workers: established, verified, kept while idle, lost. What the end of each proves of the attempts on it is
//! the table in [`quartzdrift_platform::attempt_outcome`]; which connection carries an attempt is chosen in
//! [`quartzdrift_platform::connection_choice`].
use super::worker_connection::{Command, ConnectionPhase, WorkerConnection};
use super::{Node, Peer};
use quartzdrift_http::sockets::{Socket, SocketId, Sockets};
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_platform::attempt_outcome::{self, ConnectionLoss};
use quartzdrift_platform::connection_choice::{self, ConnectionChoice, ConnectionState};
use quartzdrift_platform::frame;
use rustix::io::Errno;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Attempts that a connection carries where the settings state nothing.
const DEFAULT_STREAMS: usize = 32;
/// Time to establish a connection where the settings state nothing.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time of a connection where the settings state nothing.
const DEFAULT_KEEPALIVE: Duration = Duration::from_secs(10);
/// Fraction of the workers' own idle time after which a connection is closed here, so that their close never crosses a
/// command.
const KEEPALIVE_FRACTION: f64 = 0.8;
/// Connections that a command may be lost on without having left; then the worker counts as unreachable.
const MAX_LOST_CONNECTIONS: u32 = 3;

/// The worker's connection on a socket, if it is one.
pub(super) fn connection(sockets: &mut Sockets<Node, Peer>, id: SocketId) -> Option<&mut WorkerConnection> {
    match &mut sockets.get_mut(id)?.state {
        Peer::WorkerConnection(connection) => Some(connection),
        Peer::Client(_) => None,
    }
}

impl Node {
    /// A connection to a worker for a command under this id, or what it proves that there is none.
    pub(super) fn connection_for(&mut self, worker: &Rc<str>, id: u64) -> Result<SocketId, ConnectionLoss> {
        let streams = self.config.settings.limits.streams_per_connection;
        let streams = streams.map_or(DEFAULT_STREAMS, |streams| streams.max(1) as usize);
        loop {
            let known = self.workers.get(worker).ok_or(ConnectionLoss::NotConnected)?;
            let sockets = known.connections.clone();
            let states: Vec<ConnectionState> = sockets
                .iter()
                .map(|socket| self.connection_state(*socket, id))
                .collect();
            let may_connect = || self.connections < self.budget.workers || self.close_longest_idle(worker);
            match connection_choice::choose(&states, streams, may_connect) {
                ConnectionChoice::Use(at) => {
                    let idle = states[at].open == 0 && states[at].up;
                    if idle && self.is_closed_by_worker(sockets[at]) {
                        self.request_table.worker_disconnected(self.now(), worker);
                        self.close_connection(sockets[at]);
                        continue;
                    }
                    return Ok(sockets[at]);
                }
                ConnectionChoice::Connect => return self.connect(worker),
                ConnectionChoice::Full => return Err(ConnectionLoss::NoConnectionLeft),
            }
        }
    }

    /// A connection as the choice sees it, for a command under this id; one that carried the id lately counts as full.
    fn connection_state(&self, socket: SocketId, id: u64) -> ConnectionState {
        match self.sockets.get(socket).map(|socket| &socket.state) {
            Some(Peer::WorkerConnection(connection)) if !connection.carried_lately(id) => ConnectionState {
                open: connection.commands.len(),
                up: connection.phase == ConnectionPhase::Up,
            },
            Some(Peer::WorkerConnection(_) | Peer::Client(_)) | None => ConnectionState {
                open: usize::MAX,
                up: false,
            },
        }
    }

    /// Whether a worker has closed an idle connection, or sent something unasked. It still looks writable, but what is sent
    /// there would be in doubt.
    fn is_closed_by_worker(&mut self, id: SocketId) -> bool {
        self.sockets.look(id);
        let socket = self.sockets.get(id);
        socket.is_none_or(|socket| socket.ended() || !socket.input.is_empty())
    }

    fn connect(&mut self, worker: &Rc<str>) -> Result<SocketId, ConnectionLoss> {
        let known = self.workers.get(worker).ok_or(ConnectionLoss::NotConnected)?;
        let peer = Peer::WorkerConnection(WorkerConnection::new(worker.clone()));
        let id = self
            .sockets
            .connect(known.address, peer)
            .map_err(|error| loss_of_connect_error(&error))?;
        self.connections += 1;
        self.counts.connections += 1;
        self.sockets.set_deadline(id, Some(self.connect_timeout()));
        if let Some(known) = self.workers.get_mut(worker) {
            known.connections.push(id);
        }
        Ok(id)
    }

    /// A connect timeout of zero counts as none: no connection is established in no time.
    fn connect_timeout(&self) -> Duration {
        let configured = self.config.settings.limits.connect_timeout;
        configured
            .filter(|timeout| !timeout.is_zero())
            .unwrap_or(DEFAULT_CONNECT_TIMEOUT)
    }

    /// Asks a worker whether a connection still works. Until it answers nothing is written there that might run.
    pub(super) fn verify_connection(&mut self, id: SocketId, request_id: u64) {
        let Some(connection) = connection(&mut self.sockets, id) else {
            return;
        };
        connection.phase = ConnectionPhase::Verifying;
        if let Some(output) = self.sockets.output(id) {
            frame::write(
                output,
                frame::FROM_SCHEDULER,
                frame::ASK_ALIVE,
                request_id,
                b"",
                b"",
            );
        }
        self.sockets.set_deadline(id, Some(self.connect_timeout()));
    }

    /// Makes room for a connection to `worker`, with all descriptors of the workers' side in use: closes the connection to
    /// another worker that has been idle longest. Returns whether there was one.
    fn close_longest_idle(&mut self, worker: &Rc<str>) -> bool {
        let idle_since = |(id, socket): (SocketId, &Socket<Peer>)| match &socket.state {
            Peer::WorkerConnection(connection) if connection.is_idle() && connection.worker != *worker => {
                Some((connection.idle_since, id))
            }
            Peer::WorkerConnection(_) | Peer::Client(_) => None,
        };
        let Some((_, id)) = self.sockets.iter().filter_map(idle_since).min() else {
            return false;
        };
        self.close_connection(id);
        true
    }

    /// Closes a connection that carries nothing.
    pub(super) fn close_if_idle(&mut self, id: SocketId) {
        if connection(&mut self.sockets, id).is_some_and(|connection| connection.commands.is_empty()) {
            self.close_connection(id);
        }
    }

    /// Closes a connection, takes it out of all tables, and returns the commands that were on it.
    pub(super) fn close_connection(&mut self, id: SocketId) -> Vec<Command> {
        let Some(Peer::WorkerConnection(connection)) = self.sockets.close(id) else {
            return Vec::new();
        };
        self.connections -= 1;
        if let Some(worker) = self.workers.get_mut(&connection.worker) {
            worker.connections.retain(|other| *other != id);
        }
        for command in &connection.commands {
            self.attempts.remove(command.request, command.attempt);
        }
        connection.commands
    }

    /// Keeps a connection that carries nothing for a while, unless its worker has gone.
    pub(super) fn mark_idle(&mut self, id: SocketId) {
        let now = self.now();
        let Some(connection) = connection(&mut self.sockets, id) else {
            return;
        };
        if !connection.is_idle() {
            return;
        }
        connection.idle_since = now;
        let worker = self.workers.get(&connection.worker);
        let is_listed = worker.is_some_and(|worker| worker.connections.contains(&id));
        if !is_listed {
            self.sockets.flush_one(id);
            self.close_connection(id);
            return;
        }
        let keepalive = self.config.settings.limits.connection_keep_alive;
        let keepalive = keepalive.unwrap_or(DEFAULT_KEEPALIVE);
        self.sockets
            .set_deadline(id, Some(keepalive.mul_f64(KEEPALIVE_FRACTION)));
    }

    /// The deadline of a connection has passed.
    pub(super) fn connection_overdue(&mut self, id: SocketId) {
        if self.sockets.deadline(id).is_some() {
            // A command was put on it in the same turn, after it was found overdue.
            return;
        }
        let Some(connection) = connection(&mut self.sockets, id) else {
            return;
        };
        match connection.phase {
            ConnectionPhase::Up => self.close_if_idle(id),
            ConnectionPhase::Verifying => {
                // The worker's other idle connections are as silent; a new connection shows whether it is there.
                let worker = connection.worker.clone();
                self.close_idle(&worker);
                self.connection_lost(id, ConnectionLoss::NotSent);
            }
            ConnectionPhase::Connecting => self.connection_lost(id, ConnectionLoss::NotConnected),
        }
    }

    /// Ends a connection that is of no further use, and each attempt on it by what that proves. `unsent`: what it proves of
    /// a command that has not left whole.
    pub(super) fn connection_lost(&mut self, id: SocketId, unsent: ConnectionLoss) {
        let Some(socket) = self.sockets.get(id) else {
            return;
        };
        let Peer::WorkerConnection(connection) = &socket.state else {
            return;
        };
        let sent = socket.sent_position();
        let worker = connection.worker.clone();
        // Nothing is sent again to a worker that drains, has gone or was started again since.
        let known = self.workers.get(&worker);
        let is_current = known.is_some_and(|known| known.connections.contains(&id));
        let may_resend = self.request_table.is_up(&worker) && is_current;
        self.request_table.worker_disconnected(self.now(), &worker);
        let commands = self.close_connection(id);
        self.counts.connections_lost += u64::from(!commands.is_empty());
        for mut command in commands {
            let loss = if command.has_left_whole(sent) {
                ConnectionLoss::Sent
            } else {
                unsent
            };
            command.lost_connections += 1;
            if may_resend && loss == ConnectionLoss::NotSent && self.is_worth_resending(&command) {
                command.frame_span = None;
                self.send(&worker, command);
            } else {
                self.end_lost(&worker, &command, loss);
            }
        }
        self.carry_out();
    }

    fn is_worth_resending(&self, command: &Command) -> bool {
        command.lost_connections < MAX_LOST_CONNECTIONS
            && self.request_table.is_open(command.request)
            && command.until > self.now()
            && !command.is_overdue(self.now())
    }

    fn end_lost(&mut self, worker: &str, command: &Command, loss: ConnectionLoss) {
        tracing::debug!(request = command.request, %worker, ?loss, "connection lost under an attempt");
        let result = AttemptResult::silent(attempt_outcome::from_loss(loss));
        self.request_table
            .attempt_ended(self.now(), command.request, command.attempt, result);
    }

    /// Works a connection on which something has happened.
    pub(super) fn drive_connection(&mut self, id: SocketId) {
        let Some(connection) = connection(&mut self.sockets, id) else {
            return;
        };
        if connection.phase == ConnectionPhase::Connecting {
            match self.sockets.connected(id) {
                Some(Ok(())) => self.connection_established(id),
                Some(Err(error)) => return self.connection_lost(id, loss_while_connecting(&error)),
                None => return,
            }
        }
        self.flush_in_time(id);
        self.sockets.read(id);
        self.read_answers(id);
    }

    /// A connection works: what has waited for it is written.
    pub(super) fn connection_established(&mut self, id: SocketId) {
        self.sockets.set_deadline(id, None);
        let now = self.now();
        // What has waited for it may wait no longer: its worker may have been told to drain for longer than the grace.
        self.recall_overdue(id, now);
        let Some(established) = connection(&mut self.sockets, id) else {
            return;
        };
        established.phase = ConnectionPhase::Up;
        let mut commands = std::mem::take(&mut established.commands);
        for command in &mut commands {
            self.write_command(id, command, now);
        }
        if let Some(established) = connection(&mut self.sockets, id) {
            established.commands = commands;
        }
        self.mark_idle(id);
    }
}

/// What it proves that a connection could not be established. A reset shows that something is there and took the connection.
fn loss_while_connecting(error: &io::Error) -> ConnectionLoss {
    match error.kind() {
        io::ErrorKind::ConnectionReset => ConnectionLoss::NotSent,
        _ => ConnectionLoss::NotConnected,
    }
}

/// What it proves that a connection could not even be begun: the system may have no descriptor, port, buffer or route left, which
/// says nothing of the worker.
fn loss_of_connect_error(error: &io::Error) -> ConnectionLoss {
    match Errno::from_io_error(error) {
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::ADDRNOTAVAIL
            | Errno::AGAIN
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NETUNREACH
            | Errno::NETDOWN
            | Errno::PERM
            | Errno::ACCESS,
        ) => ConnectionLoss::NoConnectionLeft,
        Some(_) | None => ConnectionLoss::NotConnected,
    }
}
