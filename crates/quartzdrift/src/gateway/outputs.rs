//! Carries out what the request table decides.
use super::{Gateway, Origin, RequestContext};
use crate::attempts::OutputHandler;
use quartzdrift_lifecycle::{FinalResponse, Output, RequestTable};
use quartzdrift_scheduler::interface::{Outcome, RequestId};
use std::rc::Rc;

impl OutputHandler<Rc<RequestContext>> for Gateway {
    fn request_table(&mut self) -> &mut RequestTable<Rc<RequestContext>> {
        &mut self.request_table
    }

    fn handle_output(&mut self, output: Output<Rc<RequestContext>>) {
        match output {
            Output::StartAttempt {
                request,
                attempt,
                worker,
                function,
                payload,
                timeout: _,
                send_by,
            } => self.start_attempt(request, attempt, worker, function, payload, send_by),
            Output::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Output::RecallAttempt { request, attempt } => self.recall_attempt(request, attempt),
            Output::Respond {
                request,
                payload,
                response,
            } => self.final_answer(request, &payload, response),
            Output::CheckHealth { command, worker } => self.check_health(command, &worker),
            Output::Load {
                command,
                worker,
                function,
                copies,
            } => self.load(command, &worker, &function, copies),
            Output::RecallCommand { command } => self.recall_command(command),
            Output::AbandonCommand { command } => self.abandon_command(command),
            Output::Unload { worker, function } => self.unload(&worker, &function),
            Output::CloseIdleConnections { worker } => self.close_idle(&worker),
            Output::SendToPeer { to, bytes } => {
                // The scheduler sends nothing to its peers today.
                tracing::warn!(?to, bytes = bytes.len(), "a message to a peer is dropped");
            }
            Output::WatchEndpoints { enabled } => self.watch(enabled),
            Output::PollEndpoints => self.poll_endpoints(),
            Output::Notice(notice) => tracing::info!(?notice, "endpoint list"),
            Output::Log { text } => tracing::info!(text, "scheduler"),
        }
    }
}

impl Gateway {
    /// Carries out the outputs of the request table until there are none left.
    pub(super) fn carry_out(&mut self) {
        self.handle_outputs();
    }

    fn recall_attempt(&mut self, request: RequestId, attempt: u32) {
        let attempts = self.calls.attempts();
        if !attempts.may_have_been_sent(request, attempt, |call| self.http.is_unsent(call)) {
            self.cancel_attempt(request, attempt);
            self.request_table.attempt_recalled(self.now(), request, attempt);
        }
    }

    fn recall_command(&mut self, command: u64) {
        let call = self.calls.command(command);
        if let Some(call) = call.filter(|call| self.http.is_unsent(*call)) {
            self.load_ended(command, Outcome::NeverSent);
            self.calls.remove(&call);
            self.http.cancel(call);
            self.request_table
                .command_ended(self.now(), command, Outcome::NeverSent, 0, Vec::new());
        }
    }

    fn abandon_command(&mut self, command: u64) {
        self.load_ended(command, Outcome::TimedOut);
        if let Some(call) = self.calls.command(command) {
            self.calls.remove(&call);
            self.http.cancel(call);
        }
    }

    fn final_answer(&mut self, request: RequestId, context: &RequestContext, answer: FinalResponse) {
        let count = match answer {
            FinalResponse::Succeeded => &mut self.counts.succeeded,
            FinalResponse::Rejected { .. } => &mut self.counts.rejected,
            FinalResponse::Failed { .. } => &mut self.counts.failed,
            FinalResponse::Cancelled => &mut self.counts.cancelled,
        };
        *count += 1;
        tracing::debug!(request, id = %context.id, ?answer, "final answer");
        let response = self.pending_response.take();
        self.request_answered(context, answer);
        match context.origin {
            Origin::Client(exchange) => self.answer_client(exchange, context, answer, response),
            Origin::Asynchronous(id) => self.attempt_answered(id, answer, response),
        }
    }
}
