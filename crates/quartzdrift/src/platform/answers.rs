//! Reads the answers of workers, and ends the attempts that they answer.
use super::connections::find_worker_connection;
use super::worker_connection::{Command, ConnectionPhase, WorkerConnection};
use super::{Node, Peer};
use quartzdrift_http::sockets::SocketId;
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_platform::attempt_outcome::{self, ConnectionLoss};
use quartzdrift_platform::frame::{self, Answer, AnswerCode, FrameError};
use quartzdrift_platform::report;
use quartzdrift_scheduler::interface::{CacheResult, Outcome, ReportField, RequestId};

/// An attempt that a worker has answered.
struct AnsweredAttempt {
    command: Command,
    result: AttemptResult,
    /// Body of the client's response, if the request succeeded.
    body: Option<Vec<u8>>,
}

/// The complete answers in the input of a connection.
#[derive(Default)]
struct ReceivedAnswers {
    /// Number of input bytes in these answers.
    consumed_bytes: usize,
    attempts: Vec<AnsweredAttempt>,
    /// Number of answers without a matching command: duplicates, unknown ids, and answers to commands that
    /// were cancelled or are not fully sent yet.
    unmatched: u64,
    /// The worker has answered the probe of a connection that is being verified.
    is_verified: bool,
    /// Error of the malformed data that follows the complete answers.
    unreadable: Option<FrameError>,
}

impl Node {
    /// Reads all complete answers on a connection, and ends their attempts.
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
        socket.consume(received.consumed_bytes);
        let is_unusable = socket.is_read_closed() || received.unreadable.is_some();
        self.counts.unmatched += received.unmatched;
        for attempt in received.attempts {
            self.end_answered_attempt(id, attempt, is_unusable);
        }
        if let Some(error) = received.unreadable {
            self.counts.unreadable += 1;
            tracing::debug!(why = ?error, "malformed answer of a worker, closing the connection");
        }
        if is_unusable {
            self.connection_lost(id, ConnectionLoss::NotSent);
        } else if received.is_verified {
            self.connection_established(id);
        }
    }

    /// Ends an attempt with its answer. `is_unusable` says that the connection will be closed, not kept idle.
    fn end_answered_attempt(&mut self, id: SocketId, answered: AnsweredAttempt, is_unusable: bool) {
        let AnsweredAttempt {
            command,
            result,
            body,
        } = answered;
        let (request, attempt) = (command.request, command.attempt);
        self.attempts.remove(request, attempt);
        tracing::trace!(request, attempt, outcome = ?result.outcome, "ended");
        if result.outcome == Outcome::AtCapacity {
            self.count_rejected_attempt(id, request, attempt);
        }
        if !is_unusable {
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
    /// Counts and logs an attempt that a worker rejected because it was at capacity.
    fn count_rejected_attempt(&mut self, id: SocketId, request: RequestId, attempt: u32) {
        self.counts.turned_away += 1;
        let Some(connection) = find_worker_connection(&mut self.sockets, id) else {
            return;
        };
        tracing::debug!(
            request,
            attempt,
            worker = %connection.worker,
            "attempt rejected: worker at capacity"
        );
        if let Some(worker) = self.workers.get_mut(&connection.worker) {
            worker.rejected_attempts += 1;
        }
    }
}

impl ReceivedAnswers {
    /// Reads the complete answers in `input`, and removes the answered commands from the connection. `sent`
    /// is the number of bytes sent on the connection.
    fn read(
        input: &[u8],
        connection: &mut WorkerConnection,
        sent: u64,
        report_fields: &[ReportField],
    ) -> ReceivedAnswers {
        let mut received = ReceivedAnswers::default();
        loop {
            match frame::read(&input[received.consumed_bytes..]) {
                Ok(Some(answer)) => {
                    received.consumed_bytes += answer.frame_bytes;
                    received.add(&answer, connection, sent, report_fields);
                }
                Ok(None) => return received,
                Err(error) => {
                    received.unreadable = Some(error);
                    return received;
                }
            }
        }
    }

    /// Adds an answer, and removes its command from the connection.
    fn add(
        &mut self,
        answer: &Answer<'_>,
        connection: &mut WorkerConnection,
        sent: u64,
        report_fields: &[ReportField],
    ) {
        let Some(outcome) = attempt_outcome::from_answer(answer.code) else {
            self.is_verified |= connection.phase == ConnectionPhase::Verifying;
            return;
        };
        let Some(index) = connection.position_of_sent(answer.request_id, sent) else {
            self.unmatched += 1;
            return;
        };
        self.attempts.push(AnsweredAttempt {
            command: connection.commands.swap_remove(index),
            result: attempt_result(outcome, answer, report_fields),
            body: (answer.code == AnswerCode::Succeeded).then(|| answer.body.to_vec()),
        });
    }
}

/// The result of an attempt with this outcome, and with the load report in its answer.
fn attempt_result(outcome: Outcome, answer: &Answer<'_>, report_fields: &[ReportField]) -> AttemptResult {
    AttemptResult {
        outcome,
        cache_result: CacheResult::Unknown,
        concurrency: None,
        report: report::read(answer.fields, report_fields),
    }
}
