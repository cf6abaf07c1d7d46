//! Sends attempts as commands on connections, recalls unsent ones and cancels sent ones.
use super::connections::find_worker_connection;
use super::worker_connection::{Command, ConnectionPhase, FrameSpan};
use super::{Node, Peer};
use quartzdrift_http::sockets::{Socket, SocketId, Sockets};
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_platform::attempt_outcome;
use quartzdrift_platform::connection_choice;
use quartzdrift_platform::frame;
use quartzdrift_scheduler::interface::RequestId;
use std::rc::Rc;
use std::time::Duration;

/// Whether no byte of an attempt has been sent on its connection.
pub(super) fn is_unsent(
    sockets: &Sockets<Node, Peer>,
    id: SocketId,
    request: RequestId,
    attempt: u32,
) -> bool {
    let Some(socket) = sockets.get(id) else {
        return false;
    };
    let Peer::WorkerConnection(connection) = &socket.state else {
        return false;
    };
    connection
        .position_of_attempt(request, attempt)
        .is_some_and(|index| !connection.commands[index].has_sent_bytes(socket.sent_position()))
}

impl Node {
    /// Sends an attempt to a worker.
    pub(super) fn start_attempt(&mut self, worker: &Rc<str>, command: Command) {
        let (request, attempt) = (command.request, command.attempt);
        if !self.request_table.is_open(request) {
            // The client disconnected in the same turn, after the request table issued this output.
            return self.request_table.attempt_recalled(self.now(), request, attempt);
        }
        self.counts.attempts += 1;
        tracing::trace!(request, attempt, %worker, function = %command.function, "attempt sent");
        self.send_command(worker, command);
    }

    /// Recalls the unsent commands of a connection whose send deadline has passed.
    pub(super) fn recall_overdue_commands(&mut self, id: SocketId, now: Duration) {
        let Some(socket) = self.sockets.get(id) else {
            return;
        };
        let Peer::WorkerConnection(connection) = &socket.state else {
            return;
        };
        let sent = socket.sent_position();
        let is_late = |command: &&Command| command.is_overdue(now) && !command.has_sent_bytes(sent);
        let late = connection.commands.iter().filter(is_late);
        let late: Vec<_> = late.map(|command| (command.request, command.attempt)).collect();
        if late.is_empty() {
            return;
        }
        for (request, attempt) in late {
            tracing::debug!(request, attempt, "attempt recalled: its send deadline has passed");
            self.recall_attempt(request, attempt);
        }
        self.carry_out();
    }

    /// Assigns a command to a connection to its worker. If there is no connection, reports the attempt to the
    /// request table as ended; the caller must then carry out the table's outputs.
    pub(super) fn send_command(&mut self, worker: &Rc<str>, mut command: Command) {
        let id = match self.connection_for(worker, command.context.client_request_id) {
            Ok(id) => id,
            Err(loss) => {
                let result = AttemptResult::without_response(attempt_outcome::from_loss(loss));
                return self.request_table.attempt_ended(
                    self.now(),
                    command.request,
                    command.attempt,
                    result,
                );
            }
        };
        self.attempts.insert(command.request, command.attempt, id);
        let now = self.now();
        self.write_or_verify(id, &mut command, now);
        if let Some(connection) = find_worker_connection(&mut self.sockets, id) {
            connection.commands.push(command);
        }
    }

    /// Writes a command to a connection that is up, or first verifies the connection if it was idle for long.
    /// On a connection that is not up, the command waits.
    fn write_or_verify(&mut self, id: SocketId, command: &mut Command, now: Duration) {
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        if connection.phase != ConnectionPhase::Up {
            return;
        }
        let idle = now.saturating_sub(connection.idle_since);
        if connection.commands.is_empty() && connection_choice::needs_verification(idle) {
            self.verify_connection(id, command.context.client_request_id);
        } else {
            self.write_command(id, command, now);
            self.sockets.set_deadline(id, None);
        }
    }

    /// Writes a command to the connection's output, and records the position of its frame in the connection's
    /// byte stream.
    pub(super) fn write_command(&mut self, id: SocketId, command: &mut Command, now: Duration) {
        let Some(from) = self.sockets.get(id).map(Socket::write_position) else {
            return;
        };
        let context = &command.context;
        let class = &self.config.settings.request_classes[context.request_class as usize];
        let fields = command_fields(&class.name, command, now);
        let Some(output) = self.sockets.output(id) else {
            return;
        };
        frame::write(
            output,
            frame::FROM_SCHEDULER,
            frame::EXECUTE,
            context.client_request_id,
            fields.as_bytes(),
            &context.body,
        );
        command.written_at = now;
        command.frame_span = self.sockets.get(id).map(|socket| FrameSpan {
            from,
            to: socket.write_position(),
        });
        if let Some(connection) = find_worker_connection(&mut self.sockets, id) {
            connection.remember_id(command.context.client_request_id);
        }
    }

    /// Removes the frame of a command from its connection's output; returns whether it was still unsent. The
    /// caller has already removed the command from the connection.
    pub(super) fn remove_frame(&mut self, id: SocketId, command: &Command) -> bool {
        let Some(span) = command.frame_span else {
            return false;
        };
        let is_removed = self
            .sockets
            .get_mut(id)
            .is_some_and(|socket| socket.remove_unsent(span.from, span.to));
        if is_removed && let Some(connection) = find_worker_connection(&mut self.sockets, id) {
            connection.shift_frames_after(span);
        }
        is_removed
    }

    /// Recalls an attempt if it was not sent; otherwise sends its worker a cancel command.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        if self.recall_unsent(request, attempt) {
            return;
        }
        let Some(id) = self.attempts.remove(request, attempt) else {
            return;
        };
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        let Some(index) = connection.position_of_attempt(request, attempt) else {
            return;
        };
        let command = connection.commands.swap_remove(index);
        if let Some(output) = self.sockets.output(id) {
            frame::write(
                output,
                frame::FROM_SCHEDULER,
                frame::CANCEL,
                command.context.client_request_id,
                b"",
                b"",
            );
        }
        self.mark_idle(id);
    }

    /// Removes an attempt from its connection if its worker cannot have read the whole command, and returns
    /// whether it was removed. That holds if no byte of its frame was sent, or if only a part was sent and
    /// the connection has no other command: the connection is closed then.
    pub(super) fn recall_unsent(&mut self, request: RequestId, attempt: u32) -> bool {
        let Some(id) = self.attempts.get(request, attempt) else {
            return false;
        };
        let Some(socket) = self.sockets.get_mut(id) else {
            return false;
        };
        let Peer::WorkerConnection(connection) = &socket.state else {
            return false;
        };
        let Some(index) = connection.position_of_attempt(request, attempt) else {
            return false;
        };
        let is_only_command = connection.commands.len() == 1;
        let span = connection.commands[index].frame_span;
        if span.is_some_and(|span| !socket.remove_unsent(span.from, span.to)) {
            let is_partly_sent = span.is_some_and(|span| socket.sent_position() < span.to);
            if is_partly_sent && is_only_command {
                self.close_connection(id);
            }
            return is_partly_sent && is_only_command;
        }
        // A broken socket has dropped its whole output, so no frame moves.
        let removed = span.filter(|_| !socket.is_broken());
        if let Peer::WorkerConnection(connection) = &mut socket.state {
            connection.commands.swap_remove(index);
            if let Some(removed) = removed {
                connection.shift_frames_after(removed);
            }
        }
        self.attempts.remove(request, attempt);
        self.mark_idle(id);
        true
    }

    /// Recalls an attempt if it was not sent, and reports that to the request table.
    pub(super) fn recall_attempt(&mut self, request: RequestId, attempt: u32) {
        if self.recall_unsent(request, attempt) {
            self.request_table.attempt_recalled(self.now(), request, attempt);
        }
    }
}

/// The fields of a command frame. Its remaining time is at least one millisecond.
fn command_fields(class: &str, command: &Command, now: Duration) -> String {
    let milliseconds = command.deadline.saturating_sub(now).as_millis().max(1);
    let key = command.context.idempotency_key.as_ref();
    let replay = key.map(|key| format!(",replay={key}")).unwrap_or_default();
    format!(
        "profile={class},thing={}{replay},max={milliseconds}",
        command.function
    )
}
