//! Carries out the outputs of the request table.
use super::{Gateway, RequestContext, RequestOrigin};
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
            } => self.conclude_request(request, &payload, response),
            Output::CheckHealth { command, worker } => self.send_health_check(command, &worker),
            Output::Load {
                command,
                worker,
                function,
                copies,
            } => self.send_load(command, &worker, &function, copies),
            Output::RecallCommand { command } => self.recall_command(command),
            Output::AbandonCommand { command } => self.abandon_command(command),
            Output::Unload { worker, function } => self.send_unload(&worker, &function),
            Output::CloseIdleConnections { worker } => self.close_idle_connections(&worker),
            Output::SendToPeer { to, bytes } => {
                // The scheduler sends no messages to peers, so there is no transport for them.
                tracing::warn!(
                    ?to,
                    bytes = bytes.len(),
                    "scheduler message to a peer dropped: there is no transport for it"
                );
            }
            Output::WatchEndpoints { enabled } => self.watch_endpoints(enabled),
            Output::PollEndpoints => self.poll_endpoints(),
            Output::Notice(notice) => tracing::info!(?notice, "endpoint list notice"),
            Output::Log { text } => tracing::info!(text, "scheduler log message"),
        }
    }
}

impl Gateway {
    /// Carries out the outputs of the request table until there are none left.
    pub(super) fn carry_out(&mut self) {
        self.handle_outputs();
    }

    /// Cancels an attempt and reports it as recalled, unless a part of it has been sent.
    fn recall_attempt(&mut self, request: RequestId, attempt: u32) {
        let attempts = self.calls.attempts();
        if !attempts.may_have_been_sent(request, attempt, |call| self.http.is_unsent(call)) {
            self.cancel_attempt(request, attempt);
            self.request_table.attempt_recalled(self.now(), request, attempt);
        }
    }

    /// Cancels a command and reports it as never sent, unless a part of it has been sent.
    fn recall_command(&mut self, command: u64) {
        let call = self.calls.command_call(command);
        if let Some(call) = call.filter(|call| self.http.is_unsent(*call)) {
            self.load_command_ended(command, Outcome::NeverSent);
            self.calls.remove(&call);
            self.http.cancel(call);
            self.request_table
                .command_ended(self.now(), command, Outcome::NeverSent, 0, Vec::new());
        }
    }

    /// Cancels a command that has timed out.
    fn abandon_command(&mut self, command: u64) {
        self.load_command_ended(command, Outcome::TimedOut);
        if let Some(call) = self.calls.command_call(command) {
            self.calls.remove(&call);
            self.http.cancel(call);
        }
    }

    /// Counts the final response of a request, and passes it to the client or to the asynchronous invocation.
    fn conclude_request(
        &mut self,
        request: RequestId,
        context: &RequestContext,
        final_response: FinalResponse,
    ) {
        let count = match final_response {
            FinalResponse::Succeeded => &mut self.counts.succeeded,
            FinalResponse::Rejected { .. } => &mut self.counts.rejected,
            FinalResponse::Failed { .. } => &mut self.counts.failed,
            FinalResponse::Cancelled => &mut self.counts.cancelled,
        };
        *count += 1;
        tracing::debug!(request, id = %context.id, answer = ?final_response, "request concluded");
        let response = self.pending_response.take();
        self.record_final_response(context, final_response);
        match context.origin {
            RequestOrigin::Client(exchange) => {
                self.respond_to_client(exchange, context, final_response, response)
            }
            RequestOrigin::Asynchronous(id) => self.conclude_invocation_attempt(id, final_response, response),
        }
    }
}
