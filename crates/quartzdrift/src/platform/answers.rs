//! Reads workers' answers, and ends the attempts that they are for.
use super::connections::find_worker_connection;
use super::worker_connection::{Command, ConnectionPhase, WorkerConnection};
use super::{Node, Peer};
use quartzdrift_http::sockets::SocketId;
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_platform::attempt_outcome::{self, ConnectionLoss};
use quartzdrift_platform::frame::{self, Answer, Code, Unreadable};
use quartzdrift_platform::report;
use quartzdrift_scheduler::interface::{CacheResult, Outcome, ReportField, RequestId};

/// An attempt that an answer has ended.
struct AnsweredAttempt {
    command: Command,
    result: AttemptResult,
    /// The body for the client, where the request ran.
    body: Option<Vec<u8>>,
}

/// All whole answers that a connection has received.
#[derive(Default)]
struct ReceivedAnswers {
    /// Bytes that they took.
    used: usize,
    answered: Vec<AnsweredAttempt>,
    /// Answers that no command waits for: a second copy, one under an unknown id, or one to a command that was cancelled or
    /// has not left yet.
    unmatched: u64,
    /// The worker has said that the connection works, and was asked.
    verified: bool,
    /// Why what follows cannot be read.
    unreadable: Option<Unreadable>,
}

impl Node {
    /// Reads all answers that are whole, and ends their attempts.
    pub(super) fn read_answers(&mut self, id: SocketId) {
        let Some(socket) = self.sockets.get_mut(id) else {
            return;
        };
        let sent = socket.sent_position();
        let Peer::WorkerConnection(connection) = &mut socket.state else {
            return;
        };
        let fields = &self.config.settings.report_fields;
        let received = ReceivedAnswers::read(&socket.input, connection, sent, fields);
        socket.consume(received.used);
        let is_over = socket.ended() || received.unreadable.is_some();
        self.counts.unmatched += received.unmatched;
        for answered in received.answered {
            self.end_answered_attempt(id, answered, is_over);
        }
        if let Some(why) = received.unreadable {
            self.counts.unreadable += 1;
            tracing::debug!(?why, "an answer cannot be read");
        }
        if is_over {
            self.connection_lost(id, ConnectionLoss::NotSent);
        } else if received.verified {
            self.connection_established(id);
        }
    }

    fn end_answered_attempt(&mut self, id: SocketId, answered: AnsweredAttempt, is_over: bool) {
        let AnsweredAttempt {
            command,
            result,
            body,
        } = answered;
        let (request, attempt) = (command.request, command.attempt);
        self.attempts.remove(request, attempt);
        tracing::trace!(request, attempt, outcome = ?result.outcome, "ended");
        if result.outcome == Outcome::AtCapacity {
            self.count_turned_away(id, request, attempt);
        }
        if !is_over {
            self.mark_idle(id);
        }
        self.pending_response = body.map(|body| (request, body));
        self.request_table
            .attempt_ended(self.now(), request, attempt, result);
        self.carry_out();
        self.pending_response = None;
    }
}

impl Node {
    fn count_turned_away(&mut self, id: SocketId, request: RequestId, attempt: u32) {
        self.counts.turned_away += 1;
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        tracing::debug!(request, attempt, worker = %connection.worker, "attempt turned away");
        if let Some(worker) = self.workers.get_mut(&connection.worker) {
            worker.turned_away += 1;
        }
    }
}

impl ReceivedAnswers {
    /// Reads `input` as far as it holds whole answers, and takes the commands that they are for off the connection. `sent`:
    /// bytes that have left on it.
    fn read(
        input: &[u8],
        connection: &mut WorkerConnection,
        sent: u64,
        report_fields: &[ReportField],
    ) -> ReceivedAnswers {
        let mut received = ReceivedAnswers::default();
        loop {
            match frame::read(&input[received.used..]) {
                Ok(Some(answer)) => {
                    received.used += answer.length;
                    received.take(&answer, connection, sent, report_fields);
                }
                Ok(None) => return received,
                Err(why) => {
                    received.unreadable = Some(why);
                    return received;
                }
            }
        }
    }

    fn take(
        &mut self,
        answer: &Answer<'_>,
        connection: &mut WorkerConnection,
        sent: u64,
        report_fields: &[ReportField],
    ) {
        let Some(outcome) = attempt_outcome::from_answer(answer.code) else {
            self.verified |= connection.phase == ConnectionPhase::Verifying;
            return;
        };
        let Some(at) = connection.position_of_sent(answer.id, sent) else {
            self.unmatched += 1;
            return;
        };
        self.answered.push(AnsweredAttempt {
            command: connection.commands.swap_remove(at),
            result: result(outcome, answer, report_fields),
            body: (answer.code == Code::Done).then(|| answer.body.to_vec()),
        });
    }
}

fn result(outcome: Outcome, answer: &Answer<'_>, report_fields: &[ReportField]) -> AttemptResult {
    AttemptResult {
        outcome,
        cache_result: CacheResult::Unknown,
        concurrency: None,
        report: report::read(answer.fields, report_fields),
    }
}
