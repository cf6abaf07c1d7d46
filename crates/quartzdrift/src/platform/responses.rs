//! Sends responses to clients.
use super::client_connection::find_client;
use super::{Node, RequestContext};
use quartzdrift_fastcgi::{self as fastcgi, Response};
use quartzdrift_http::sockets::SocketId;
use quartzdrift_lifecycle::{FailureReason, FinalResponse};
use quartzdrift_scheduler::interface::RequestId;
use std::time::Duration;

/// Buffer capacity for the head of a response, in bytes.
const HEAD_CAPACITY: usize = 128;

/// The HTTP reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Internal Server Error",
    }
}

impl Node {
    /// Sends a response whose body is a text of the scheduler.
    pub(super) fn respond(
        &mut self,
        socket: SocketId,
        request_id: u16,
        status: u16,
        text: &str,
        retry_after: Option<Duration>,
    ) {
        self.respond_with_body(socket, request_id, status, text.as_bytes(), retry_after);
    }

    /// Sends a response. `retry_after` is rounded up to whole milliseconds.
    fn respond_with_body(
        &mut self,
        socket: SocketId,
        request_id: u16,
        status: u16,
        body: &[u8],
        retry_after: Option<Duration>,
    ) {
        let milliseconds = retry_after.map(|delay| delay.as_nanos().div_ceil(1_000_000).to_string());
        let field = milliseconds.as_deref().map(|ms| ("Retry-After-Ms", ms));
        let response = Response {
            status,
            reason: reason_phrase(status),
            fields: field.as_slice(),
            body,
        };
        let has_unsent = self
            .sockets
            .get(socket)
            .is_some_and(|socket| socket.unsent_bytes() > 0);
        let Some(client) = find_client(&mut self.sockets, socket) else {
            return;
        };
        let mut output = Vec::with_capacity(body.len() + HEAD_CAPACITY);
        let outcome = client.responder.respond(request_id, &response, &mut output);
        self.write(socket, &output);
        self.update_held_bytes(socket);
        match outcome {
            fastcgi::ResponseOutcome::CloseConnection => self.close_when_flushed(socket),
            // No further event may come from a client that does not read its answers, so its deadline is set
            // here.
            fastcgi::ResponseOutcome::KeepConnection | fastcgi::ResponseOutcome::UnknownRequest
                if has_unsent =>
            {
                self.update_client_deadline(socket);
            }
            fastcgi::ResponseOutcome::KeepConnection | fastcgi::ResponseOutcome::UnknownRequest => {}
        }
    }

    /// Sends a request's final answer to its client, unless the request was cancelled.
    pub(super) fn send_final_answer(
        &mut self,
        request: RequestId,
        context: &RequestContext,
        answer: FinalResponse,
    ) {
        tracing::debug!(
            request,
            id = format!("{:016x}", context.client_request_id),
            ?answer,
            "final answer"
        );
        self.remove_open_request(request, context);
        self.count_final_answer(answer);
        let body = self
            .pending_response
            .take_if(|(pending, _)| *pending == request)
            .map(|(_, body)| body);
        let (socket, request_id) = (context.client, context.request_id);
        match answer {
            FinalResponse::Succeeded => match body {
                Some(body) => {
                    if let Some(client) = find_client(&mut self.sockets, socket) {
                        client.was_served = true;
                    }
                    self.respond_with_body(socket, request_id, 200, &body, None);
                }
                None => self.respond(socket, request_id, 500, "no answer", None),
            },
            FinalResponse::Rejected { retry_after, .. } => {
                self.respond(socket, request_id, 503, "come back", retry_after);
            }
            FinalResponse::Failed { why } => {
                let (status, text) = failure_response(why);
                self.respond(socket, request_id, status, text, None);
            }
            FinalResponse::Cancelled => {}
        }
    }

    /// Removes a request from the table of client request ids and from its client's connection.
    fn remove_open_request(&mut self, request: RequestId, context: &RequestContext) {
        if self.open_by_client_id.get(&context.client_request_id) == Some(&request) {
            self.open_by_client_id.remove(&context.client_request_id);
        }
        if let Some(client) = find_client(&mut self.sockets, context.client)
            && client.requests.get(&context.request_id) == Some(&request)
        {
            client.requests.remove(&context.request_id);
        }
    }

    /// Counts a final answer by its kind.
    fn count_final_answer(&mut self, answer: FinalResponse) {
        if let FinalResponse::Rejected { reason, .. } = answer {
            self.counts.rejections.add(reason);
        }
        let count = match answer {
            FinalResponse::Succeeded => &mut self.counts.succeeded,
            FinalResponse::Rejected { .. } => &mut self.counts.rejected,
            FinalResponse::Failed { .. } => &mut self.counts.failed,
            FinalResponse::Cancelled => &mut self.counts.cancelled,
        };
        *count += 1;
    }
}

/// Status and body of the response to a failed request.
fn failure_response(why: FailureReason) -> (u16, &'static str) {
    match why {
        FailureReason::DeadlineExceeded => (504, "its time is up"),
        FailureReason::OutcomeUnknown | FailureReason::ShuttingDown => (500, "it may have run"),
    }
}
