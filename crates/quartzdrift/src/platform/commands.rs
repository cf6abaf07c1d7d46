//! Attempts as commands on connections: sent, recalled while they have not left, cancelled.
use super::connections::connection;
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

/// Whether nothing of an attempt has left on its connection.
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
        .position_of(request, attempt)
        .is_some_and(|at| !connection.commands[at].has_left_in_part(socket.sent_position()))
}

impl Node {
    /// Sends an attempt to a worker.
    pub(super) fn start_attempt(&mut self, worker: &Rc<str>, command: Command) {
        let (request, attempt) = (command.request, command.attempt);
        if !self.request_table.is_open(request) {
            // Its client has left in the same turn, after the request table said so.
            return self.request_table.attempt_recalled(self.now(), request, attempt);
        }
        self.counts.attempts += 1;
        tracing::trace!(request, attempt, %worker, function = %command.function, "attempt sent");
        self.send(worker, command);
    }

    /// Recalls the commands of a connection of which nothing has left and that may not be sent any more.
    pub(super) fn recall_overdue(&mut self, id: SocketId, now: Duration) {
        let Some(socket) = self.sockets.get(id) else {
            return;
        };
        let Peer::WorkerConnection(connection) = &socket.state else {
            return;
        };
        let sent = socket.sent_position();
        let is_late = |command: &&Command| command.is_overdue(now) && !command.has_left_in_part(sent);
        let late = connection.commands.iter().filter(is_late);
        let late: Vec<_> = late.map(|command| (command.request, command.attempt)).collect();
        if late.is_empty() {
            return;
        }
        for (request, attempt) in late {
            tracing::debug!(
                request,
                attempt,
                "attempt recalled: too late to be sent to its worker"
            );
            self.recall_attempt(request, attempt);
        }
        self.carry_out();
    }

    /// Puts a command on a connection to its worker. Where none is left, the request table is told that the attempt ended;
    /// whoever carries out its outputs goes on from there.
    pub(super) fn send(&mut self, worker: &Rc<str>, mut command: Command) {
        let id = match self.connection_for(worker, command.context.id) {
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
        if let Some(connection) = connection(&mut self.sockets, id) {
            connection.commands.push(command);
        }
    }

    /// Writes a command to a connection that is up. One that was idle for long is verified first; on one that is not up the
    /// command waits.
    fn write_or_verify(&mut self, id: SocketId, command: &mut Command, now: Duration) {
        let Some(connection) = connection(&mut self.sockets, id) else {
            return;
        };
        if connection.phase != ConnectionPhase::Up {
            return;
        }
        let idle = now.saturating_sub(connection.idle_since);
        if connection.commands.is_empty() && connection_choice::needs_verification(idle) {
            self.verify_connection(id, command.context.id);
        } else {
            self.write_command(id, command, now);
            self.sockets.set_deadline(id, None);
        }
    }

    /// Writes a command, and notes where its frame lies among all that the connection sends.
    pub(super) fn write_command(&mut self, id: SocketId, command: &mut Command, now: Duration) {
        let Some(from) = self.sockets.get(id).map(Socket::end_position) else {
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
            context.id,
            fields.as_bytes(),
            &context.body,
        );
        command.frame_span = self.sockets.get(id).map(|socket| FrameSpan {
            from,
            to: socket.end_position(),
        });
        if let Some(connection) = connection(&mut self.sockets, id) {
            connection.remember(command.context.id);
        }
    }

    /// Writes each command anew of which nothing has left, with the time that is left by now.
    pub(super) fn rewrite_unsent_commands(&mut self) {
        let now = self.now();
        let unsent = self.sockets.iter().filter(|(_, socket)| socket.unsent() > 0);
        let sockets: Vec<SocketId> = unsent.map(|(id, _)| id).collect();
        for id in sockets {
            for (request, attempt) in self.unsent_commands(id) {
                self.rewrite_command(id, request, attempt, now);
            }
        }
    }

    /// The attempts whose frames wait on a worker's connection and of which nothing has left, in the order of their frames.
    fn unsent_commands(&self, id: SocketId) -> Vec<(RequestId, u32)> {
        let Some(socket) = self.sockets.get(id).filter(|socket| !socket.is_broken()) else {
            return Vec::new();
        };
        let Peer::WorkerConnection(connection) = &socket.state else {
            return Vec::new();
        };
        let sent = socket.sent_position();
        let spans = connection.commands.iter().filter_map(|command| {
            let span = command.frame_span.filter(|span| span.from >= sent)?;
            Some((span.from, command.request, command.attempt))
        });
        let mut waiting: Vec<_> = spans.collect();
        waiting.sort_unstable();
        waiting
            .into_iter()
            .map(|(_, request, attempt)| (request, attempt))
            .collect()
    }

    fn rewrite_command(&mut self, id: SocketId, request: RequestId, attempt: u32, now: Duration) {
        let Some(carrier) = connection(&mut self.sockets, id) else {
            return;
        };
        let Some(at) = carrier.position_of(request, attempt) else {
            return;
        };
        let mut command = carrier.commands.swap_remove(at);
        if self.remove_frame(id, &command) {
            self.write_command(id, &mut command, now);
        }
        if let Some(carrier) = connection(&mut self.sockets, id) {
            carrier.commands.push(command);
        }
    }

    /// Takes the frame of a command that is no longer among those of its connection out of what waits to be sent; returns
    /// whether it was still there.
    fn remove_frame(&mut self, id: SocketId, command: &Command) -> bool {
        let Some(span) = command.frame_span else {
            return false;
        };
        let is_removed = self
            .sockets
            .get_mut(id)
            .is_some_and(|socket| socket.recall(span.from, span.to));
        if is_removed && let Some(carrier) = connection(&mut self.sockets, id) {
            carrier.close_gap(span);
        }
        is_removed
    }

    /// Tells the worker that nobody waits for an attempt any more, or recalls it where it has not left.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        if self.recall_unsent(request, attempt) {
            return;
        }
        let Some(id) = self.attempts.remove(request, attempt) else {
            return;
        };
        let Some(connection) = connection(&mut self.sockets, id) else {
            return;
        };
        let Some(at) = connection.position_of(request, attempt) else {
            return;
        };
        let command = connection.commands.swap_remove(at);
        if let Some(output) = self.sockets.output(id) {
            frame::write(
                output,
                frame::FROM_SCHEDULER,
                frame::GIVE_UP,
                command.context.id,
                b"",
                b"",
            );
        }
        self.mark_idle(id);
    }

    /// Takes an attempt off its connection if it cannot have reached its worker, and returns whether it did: nothing of it
    /// has left, or a part of it, and its connection carries nothing else and is closed.
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
        let Some(at) = connection.position_of(request, attempt) else {
            return false;
        };
        let alone = connection.commands.len() == 1;
        let span = connection.commands[at].frame_span;
        if span.is_some_and(|span| !socket.recall(span.from, span.to)) {
            let in_part = span.is_some_and(|span| socket.sent_position() < span.to);
            if in_part && alone {
                self.close_connection(id);
            }
            return in_part && alone;
        }
        // On a socket that broke nothing moves up: all that waited was dropped.
        let removed = span.filter(|_| !socket.is_broken());
        if let Peer::WorkerConnection(connection) = &mut socket.state {
            connection.commands.swap_remove(at);
            if let Some(removed) = removed {
                connection.close_gap(removed);
            }
        }
        self.attempts.remove(request, attempt);
        self.mark_idle(id);
        true
    }

    /// Recalls an attempt if it has not left, and tells the request table.
    pub(super) fn recall_attempt(&mut self, request: RequestId, attempt: u32) {
        if self.recall_unsent(request, attempt) {
            self.request_table.attempt_recalled(self.now(), request, attempt);
        }
    }
}

/// The fields of a command; its time is at least a millisecond.
fn command_fields(class: &str, command: &Command, now: Duration) -> String {
    let milliseconds = command.until.saturating_sub(now).as_millis().max(1);
    let key = command.context.idempotency_key.as_ref();
    let replay = key.map(|key| format!(",replay={key}")).unwrap_or_default();
    format!(
        "profile={class},thing={}{replay},max={milliseconds}",
        command.function
    )
}
