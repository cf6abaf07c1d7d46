//! Connections to workers: establishing, verifying, keeping while idle, and handling their loss. The table in
//! [`quartzdrift_platform::attempt_outcome`] maps the end of a connection to the outcome of its attempts;
//! [`quartzdrift_platform::connection_choice`] chooses the connection of an attempt.
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

/// Default limit of concurrent attempts per connection.
const DEFAULT_STREAMS: usize = 32;
/// Default timeout for establishing a connection.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Default idle time after which workers close a connection.
const DEFAULT_KEEPALIVE: Duration = Duration::from_secs(10);
/// Fraction of the workers' idle time after which this side closes an idle connection, so that a worker never
/// closes one while a command is sent on it.
const KEEPALIVE_FRACTION: f64 = 0.8;
/// Maximum number of connections that may be lost under an unsent command. After that its attempt ends, since
/// the worker seems unreachable.
const MAX_LOST_CONNECTIONS: u32 = 3;

/// The state of the connection to a worker on a socket; `None` if the socket is closed or belongs to a
/// client.
pub(super) fn find_worker_connection(
    sockets: &mut Sockets<Node, Peer>,
    id: SocketId,
) -> Option<&mut WorkerConnection> {
    match &mut sockets.get_mut(id)?.state {
        Peer::WorkerConnection(connection) => Some(connection),
        Peer::Client(_) => None,
    }
}

impl Node {
    /// Chooses or opens a connection to a worker for a command with this client request id.
    ///
    /// # Errors
    /// The loss to report for the attempt if no connection can be used or opened.
    pub(super) fn connection_for(&mut self, worker: &Rc<str>, id: u64) -> Result<SocketId, ConnectionLoss> {
        let streams = self.config.settings.limits.streams_per_connection;
        let streams = streams.map_or(DEFAULT_STREAMS, |streams| streams.max(1) as usize);
        loop {
            let entry = self.workers.get(worker).ok_or(ConnectionLoss::NotConnected)?;
            let sockets = entry.connections.clone();
            let states: Vec<ConnectionState> = sockets
                .iter()
                .map(|socket| self.connection_state(*socket, id))
                .collect();
            let may_connect =
                || self.worker_connection_count < self.budget.workers || self.close_longest_idle(worker);
            match connection_choice::choose(&states, streams, may_connect) {
                ConnectionChoice::Use(index) => {
                    let is_idle = states[index].open_attempts == 0 && states[index].is_up;
                    if is_idle && self.is_closed_by_worker(sockets[index]) {
                        self.request_table.worker_disconnected(self.now(), worker);
                        self.close_connection(sockets[index]);
                        continue;
                    }
                    return Ok(sockets[index]);
                }
                ConnectionChoice::Connect => return self.connect(worker),
                ConnectionChoice::Full => return Err(ConnectionLoss::NoConnectionLeft),
            }
        }
    }

    /// State of a connection, from which the connection of a command with the client request id `id` is
    /// chosen. A connection that recently carried a command with the same id counts as full.
    fn connection_state(&self, socket: SocketId, id: u64) -> ConnectionState {
        match self.sockets.get(socket).map(|socket| &socket.state) {
            Some(Peer::WorkerConnection(connection)) if !connection.has_recent_id(id) => ConnectionState {
                open_attempts: connection.commands.len(),
                is_up: connection.phase == ConnectionPhase::Up,
            },
            Some(Peer::WorkerConnection(_) | Peer::Client(_)) | None => ConnectionState {
                open_attempts: usize::MAX,
                is_up: false,
            },
        }
    }

    /// Whether a worker has closed an idle connection, or sent data on it unexpectedly. The socket is still
    /// writable then, but the outcome of a command written to it would be unknown.
    fn is_closed_by_worker(&mut self, id: SocketId) -> bool {
        self.sockets.try_read(id);
        let socket = self.sockets.get(id);
        socket.is_none_or(|socket| socket.is_read_closed() || !socket.input.is_empty())
    }

    fn connect(&mut self, worker: &Rc<str>) -> Result<SocketId, ConnectionLoss> {
        let entry = self.workers.get(worker).ok_or(ConnectionLoss::NotConnected)?;
        let peer = Peer::WorkerConnection(WorkerConnection::new(worker.clone()));
        let id = self
            .sockets
            .connect(entry.address, peer)
            .map_err(|error| loss_of_connect_error(&error))?;
        self.worker_connection_count += 1;
        self.counts.connections += 1;
        let connections = self.worker_connection_count;
        self.counts.max_worker_connections = self.counts.max_worker_connections.max(connections);
        self.sockets.set_deadline(id, Some(self.connect_timeout()));
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.connections.push(id);
        }
        Ok(id)
    }

    /// The connect timeout of the settings, or the default one. Zero counts as unset, since every connection
    /// would time out.
    fn connect_timeout(&self) -> Duration {
        let configured = self.config.settings.limits.connect_timeout;
        configured
            .filter(|timeout| !timeout.is_zero())
            .unwrap_or(DEFAULT_CONNECT_TIMEOUT)
    }

    /// Probes whether a connection to a worker still works. No command is written to it until the worker
    /// answers.
    pub(super) fn verify_connection(&mut self, id: SocketId, request_id: u64) {
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        connection.phase = ConnectionPhase::Verifying;
        if let Some(output) = self.sockets.output(id) {
            frame::write(output, frame::FROM_SCHEDULER, frame::PING, request_id, b"", b"");
        }
        self.sockets.set_deadline(id, Some(self.connect_timeout()));
    }

    /// Makes room for a connection to `worker` when the limit of connections to workers is reached: closes
    /// the connection to another worker that has been idle longest. Returns whether there was one.
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

    /// Closes a connection if it has no open command.
    pub(super) fn close_if_idle(&mut self, id: SocketId) {
        if find_worker_connection(&mut self.sockets, id)
            .is_some_and(|connection| connection.commands.is_empty())
        {
            self.close_connection(id);
        }
    }

    /// Closes a connection, removes it from all tables, and returns its open commands.
    pub(super) fn close_connection(&mut self, id: SocketId) -> Vec<Command> {
        let Some(Peer::WorkerConnection(connection)) = self.sockets.close(id) else {
            return Vec::new();
        };
        self.worker_connection_count -= 1;
        if let Some(worker) = self.workers.get_mut(&connection.worker) {
            worker.connections.retain(|other| *other != id);
        }
        for command in &connection.commands {
            self.attempts.remove(command.request, command.attempt);
        }
        connection.commands
    }

    /// Starts the idle timeout of a connection without open commands, or closes it if its worker is no longer
    /// listed.
    pub(super) fn mark_idle(&mut self, id: SocketId) {
        let now = self.now();
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        if !connection.is_idle() {
            return;
        }
        connection.idle_since = now;
        let worker = self.workers.get(&connection.worker);
        let is_listed = worker.is_some_and(|worker| worker.connections.contains(&id));
        if !is_listed {
            self.sockets.flush_socket(id);
            self.close_connection(id);
            return;
        }
        let keepalive = self.config.settings.limits.connection_keep_alive;
        let keepalive = keepalive.unwrap_or(DEFAULT_KEEPALIVE);
        self.sockets
            .set_deadline(id, Some(keepalive.mul_f64(KEEPALIVE_FRACTION)));
    }

    /// Handles the expired deadline of a connection.
    pub(super) fn connection_timed_out(&mut self, id: SocketId) {
        if self.sockets.deadline(id).is_some() {
            // A command in the same turn has set a new deadline since the expired deadlines were collected.
            return;
        }
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        match connection.phase {
            ConnectionPhase::Up => self.close_if_idle(id),
            ConnectionPhase::Verifying => {
                // The worker's other idle connections are probably dead too; a new connection shows whether
                // it is reachable.
                let worker = connection.worker.clone();
                self.close_idle_connections(&worker);
                self.connection_lost(id, ConnectionLoss::NotSent);
            }
            ConnectionPhase::Connecting => self.connection_lost(id, ConnectionLoss::NotConnected),
        }
    }

    /// Closes a connection that can no longer be used, and ends each attempt on it or sends it again.
    /// `unsent` is the kind of loss for commands that were not fully sent.
    pub(super) fn connection_lost(&mut self, id: SocketId, unsent: ConnectionLoss) {
        let Some(socket) = self.sockets.get(id) else {
            return;
        };
        let Peer::WorkerConnection(connection) = &socket.state else {
            return;
        };
        let sent = socket.sent_position();
        let worker = connection.worker.clone();
        // Commands are not sent again to a worker that is draining, was removed or has restarted since.
        let entry = self.workers.get(&worker);
        let is_current = entry.is_some_and(|entry| entry.connections.contains(&id));
        let may_resend = self.request_table.is_up(&worker) && is_current;
        self.request_table.worker_disconnected(self.now(), &worker);
        let commands = self.close_connection(id);
        self.counts.connections_lost += u64::from(!commands.is_empty());
        for mut command in commands {
            let loss = if command.is_fully_sent(sent) {
                ConnectionLoss::Sent
            } else {
                unsent
            };
            command.lost_connections += 1;
            if may_resend && loss == ConnectionLoss::NotSent && self.is_worth_resending(&command) {
                command.frame_span = None;
                self.send_command(&worker, command);
            } else {
                self.end_lost_attempt(&worker, &command, loss);
            }
        }
        self.carry_out();
    }

    /// Whether an unsent command may be sent on another connection.
    fn is_worth_resending(&self, command: &Command) -> bool {
        command.lost_connections < MAX_LOST_CONNECTIONS
            && self.request_table.is_open(command.request)
            && command.deadline > self.now()
            && !command.is_overdue(self.now())
    }

    /// Reports the attempt of a command to the request table as ended by the loss of its connection.
    fn end_lost_attempt(&mut self, worker: &str, command: &Command, loss: ConnectionLoss) {
        tracing::debug!(request = command.request, %worker, ?loss, "attempt ended: connection lost");
        let result = AttemptResult::without_response(attempt_outcome::from_loss(loss));
        self.request_table
            .attempt_ended(self.now(), command.request, command.attempt, result);
    }

    /// Processes a connection whose socket is ready.
    pub(super) fn drive_connection(&mut self, id: SocketId) {
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        if connection.phase == ConnectionPhase::Connecting {
            match self.sockets.connect_result(id) {
                Some(Ok(())) => self.connection_established(id),
                Some(Err(error)) => return self.connection_lost(id, loss_while_connecting(&error)),
                None => return,
            }
        }
        self.flush_commands(id);
        self.sockets.read(id);
        self.read_answers(id);
    }

    /// Marks a connection as up, and writes the commands that waited for it.
    pub(super) fn connection_established(&mut self, id: SocketId) {
        self.sockets.set_deadline(id, None);
        let now = self.now();
        // The send deadline of a waiting command may have passed: its worker may have been draining for
        // longer than the grace.
        self.recall_overdue_commands(id, now);
        let Some(established) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        established.phase = ConnectionPhase::Up;
        let mut commands = std::mem::take(&mut established.commands);
        for command in &mut commands {
            self.write_command(id, command, now);
        }
        if let Some(established) = find_worker_connection(&mut self.sockets, id) {
            established.commands = commands;
        }
        self.mark_idle(id);
    }
}

/// The kind of loss for an error while a connection was being established. A reset shows that a process
/// accepted the connection, so the worker is not down.
fn loss_while_connecting(error: &io::Error) -> ConnectionLoss {
    match error.kind() {
        io::ErrorKind::ConnectionReset => ConnectionLoss::NotSent,
        _ => ConnectionLoss::NotConnected,
    }
}

/// The kind of loss for an error at the start of a connection. The system may lack a descriptor, port, buffer
/// or route, which does not show that the worker is down.
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
