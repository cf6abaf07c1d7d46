//! Sends buffered output within a bounded time for each turn. Responses are sent in any case. A command is
//! sent only after a recent read of its own client's connection found no more input: the client may have
//! aborted the request or disconnected. Commands of other clients do not wait for that client.
use super::connections::find_worker_connection;
use super::worker_connection::{Command, ConnectionPhase};
use super::{Node, Peer};
use quartzdrift_http::sockets::{Socket, SocketId};
use quartzdrift_scheduler::interface::RequestId;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Maximum time since the last check of a client's connection with which its commands are still sent, and
/// maximum age of the remaining time in a command.
const MAX_SOCKET_CHECK_AGE: Duration = Duration::from_millis(40);
/// Time in a turn after which no further socket is flushed. The others are flushed in the next turns.
const MAX_FLUSH_TIME: Duration = Duration::from_millis(10);
/// Time in a flush after which clients with unread input are not read any more: their commands wait until the
/// clients are read in their turn.
const MAX_VERIFY_TIME: Duration = Duration::from_millis(2);

/// An attempt whose frame is unsent, and its client.
struct UnsentCommand {
    request: RequestId,
    attempt: u32,
    client: SocketId,
    written_at: Duration,
}

impl Node {
    /// Sends buffered output for at most [`MAX_FLUSH_TIME`], each socket at most once, responses first.
    pub(super) fn flush(&mut self) {
        let end = Instant::now() + MAX_FLUSH_TIME;
        self.resume_withheld_commands();
        let is_connection = |id: &SocketId| {
            let socket = self.sockets.get(*id);
            socket.is_some_and(|socket| matches!(socket.state, Peer::WorkerConnection(_)))
        };
        let queued = self.sockets.queued_for_flush();
        let (connections, clients): (Vec<SocketId>, Vec<SocketId>) =
            queued.into_iter().partition(is_connection);
        for id in clients {
            self.sockets.flush_socket(id);
            self.update_held_bytes(id);
        }
        self.verify_until = Instant::now() + MAX_VERIFY_TIME;
        for id in connections {
            self.flush_commands(id);
            if Instant::now() >= end {
                return;
            }
        }
    }

    /// Sends the output of a connection to a worker, except the commands whose client cannot be verified now.
    /// If the process is not scheduled in between, the output remains for the next [`Node::flush`].
    pub(super) fn flush_commands(&mut self, id: SocketId) {
        self.recall_overdue_commands(id, self.now());
        let verified_at = self.verify_clients(id);
        self.rewrite_old_commands(id);
        let limit = verified_at + MAX_SOCKET_CHECK_AGE;
        self.sockets.flush_socket_until(id, Some(limit));
    }

    /// Reads the clients of the unsent commands on a connection, if the last check of the sockets is old or
    /// the clients may have unread input. Withholds the commands of clients that still do. Returns the time
    /// of the earliest check.
    fn verify_clients(&mut self, id: SocketId) -> Instant {
        let now = Instant::now();
        let last_check = self.loop_delay.last_socket_check();
        let is_stale = now > last_check + MAX_SOCKET_CHECK_AGE;
        let mut checked = BTreeSet::new();
        for UnsentCommand { client, .. } in self.unsent_commands(id) {
            let is_readable = self.has_unread_input(client) && Instant::now() < self.verify_until;
            if (is_stale || is_readable) && checked.insert(client) {
                self.counts.client_checks += 1;
                self.read_pending_input(client);
            }
        }
        // Reading a client may have written further commands to the connection.
        for command in self.unsent_commands(id) {
            let is_checked = !is_stale || checked.contains(&command.client);
            if !is_checked || self.has_unread_input(command.client) {
                self.withhold_command(id, &command);
            }
        }
        if is_stale { now } else { last_check }
    }

    /// Whether a client is connected and its connection may have unread input.
    fn has_unread_input(&self, client: SocketId) -> bool {
        self.sockets.get(client).is_some_and(Socket::may_have_unread)
    }

    /// Removes the frame of a command from the output. [`Node::resume_withheld_commands`] writes it again.
    fn withhold_command(&mut self, id: SocketId, command: &UnsentCommand) {
        self.counts.withheld_commands += 1;
        self.replace_frame(id, command, |_, _| {});
        self.withheld_connections.insert(id);
    }

    /// Writes the withheld commands whose clients have no unread input any more, and the unsent ones on the same
    /// connections, in the order in which the requests arrived.
    fn resume_withheld_commands(&mut self) {
        let now = self.now();
        for id in std::mem::take(&mut self.withheld_connections) {
            self.recall_overdue_commands(id, now);
            let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
                continue;
            };
            if connection.phase != ConnectionPhase::Up {
                continue;
            }
            for command in self.unsent_commands(id) {
                self.replace_frame(id, &command, |_, _| {});
            }
            let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
                continue;
            };
            let mut commands = std::mem::take(&mut connection.commands);
            commands.sort_unstable_by_key(|command| (command.request, command.attempt));
            for command in &mut commands {
                if command.frame_span.is_some() {
                    continue;
                }
                if self.has_unread_input(command.context.client) {
                    self.withheld_connections.insert(id);
                } else {
                    self.write_command(id, command, now);
                }
            }
            if let Some(connection) = find_worker_connection(&mut self.sockets, id) {
                connection.commands = commands;
            }
        }
    }

    /// Rewrites the unsent commands whose remaining time was computed more than [`MAX_SOCKET_CHECK_AGE`] ago.
    fn rewrite_old_commands(&mut self, id: SocketId) {
        let now = self.now();
        for command in self.unsent_commands(id) {
            if now > command.written_at + MAX_SOCKET_CHECK_AGE {
                self.replace_frame(id, &command, |node, command| node.write_command(id, command, now));
            }
        }
    }

    /// The commands whose frames are in a connection's output and completely unsent, in the order of the
    /// frames.
    fn unsent_commands(&self, id: SocketId) -> Vec<UnsentCommand> {
        let Some(socket) = self.sockets.get(id).filter(|socket| !socket.is_broken()) else {
            return Vec::new();
        };
        if socket.unsent_bytes() == 0 {
            return Vec::new();
        }
        let Peer::WorkerConnection(connection) = &socket.state else {
            return Vec::new();
        };
        let sent = socket.sent_position();
        let unsent = connection.commands.iter().filter_map(|command| {
            let span = command.frame_span.filter(|span| span.from >= sent)?;
            let unsent = UnsentCommand {
                request: command.request,
                attempt: command.attempt,
                client: command.context.client,
                written_at: command.written_at,
            };
            Some((span.from, unsent))
        });
        let mut unsent: Vec<_> = unsent.collect();
        unsent.sort_unstable_by_key(|(from, _)| *from);
        unsent.into_iter().map(|(_, command)| command).collect()
    }

    /// Removes the unsent frame of a command, and calls `write`, which may write a new one.
    fn replace_frame(
        &mut self,
        id: SocketId,
        command: &UnsentCommand,
        write: impl FnOnce(&mut Node, &mut Command),
    ) {
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        let Some(index) = connection.position_of_attempt(command.request, command.attempt) else {
            return;
        };
        let mut command = connection.commands.swap_remove(index);
        if self.remove_frame(id, &command) {
            command.frame_span = None;
            write(self, &mut command);
        }
        if let Some(connection) = find_worker_connection(&mut self.sockets, id) {
            connection.commands.push(command);
        }
    }
}
