//! Answers to clients.
use super::client_connection::client;
use super::{Node, RequestContext};
use quartzdrift_fastcgi::{self as fastcgi, Response};
use quartzdrift_http::sockets::SocketId;
use quartzdrift_lifecycle::{FailureReason, FinalResponse};
use quartzdrift_scheduler::interface::RequestId;
use std::time::Duration;

/// Room for the head of an answer, in bytes, beside its body.
const HEAD_CAPACITY: usize = 128;

/// The reason phrase of a status.
fn reason(status: u16) -> &'static str {
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
    /// Answers a client with a text of the scheduler's own.
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

    /// Answers a client. `retry_after` is told in whole milliseconds, never less.
    fn respond_with_body(
        &mut self,
        socket: SocketId,
        request_id: u16,
        status: u16,
        body: &[u8],
        retry_after: Option<Duration>,
    ) {
        let milliseconds = retry_after.map(|span| span.as_nanos().div_ceil(1_000_000).to_string());
        let field = milliseconds.as_deref().map(|ms| ("Retry-After-Ms", ms));
        let response = Response {
            status,
            reason: reason(status),
            fields: field.as_slice(),
            body,
        };
        let has_unread = self.sockets.get(socket).is_some_and(|socket| socket.unsent() > 0);
        let Some(client) = client(&mut self.sockets, socket) else {
            return;
        };
        let mut output = Vec::with_capacity(body.len() + HEAD_CAPACITY);
        let fate = client.responder.respond(request_id, &response, &mut output);
        self.write(socket, &output);
        match fate {
            fastcgi::ConnectionFate::Close => self.close_when_flushed(socket),
            // The loop may never be told of this client again: what it does not read sets its deadline.
            fastcgi::ConnectionFate::KeepOpen | fastcgi::ConnectionFate::UnknownRequest if has_unread => {
                self.update_client_deadline(socket);
            }
            fastcgi::ConnectionFate::KeepOpen | fastcgi::ConnectionFate::UnknownRequest => {}
        }
    }

    /// Gives a request its final answer.
    pub(super) fn final_answer(
        &mut self,
        request: RequestId,
        context: &RequestContext,
        answer: FinalResponse,
    ) {
        tracing::debug!(
            request,
            id = format!("{:016x}", context.id),
            ?answer,
            "final answer"
        );
        self.forget(request, context);
        self.count(answer);
        let body = self
            .pending_response
            .take_if(|(of, _)| *of == request)
            .map(|(_, body)| body);
        let (socket, request_id) = (context.client, context.request_id);
        match answer {
            FinalResponse::Succeeded => match body {
                Some(body) => self.respond_with_body(socket, request_id, 200, &body, None),
                None => self.respond(socket, request_id, 500, "no answer", None),
            },
            FinalResponse::Rejected { retry_after, .. } => {
                self.respond(socket, request_id, 503, "come back", retry_after);
            }
            FinalResponse::Failed { why } => {
                let (status, text) = failure(why);
                self.respond(socket, request_id, status, text, None);
            }
            FinalResponse::Cancelled => {}
        }
    }

    /// Takes a request out of the tables by its id and by its client's connection.
    fn forget(&mut self, request: RequestId, context: &RequestContext) {
        if self.open.get(&context.id) == Some(&request) {
            self.open.remove(&context.id);
        }
        if let Some(client) = client(&mut self.sockets, context.client)
            && client.requests.get(&context.request_id) == Some(&request)
        {
            client.requests.remove(&context.request_id);
        }
    }

    fn count(&mut self, answer: FinalResponse) {
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

/// Status and text of a failed request's answer.
fn failure(why: FailureReason) -> (u16, &'static str) {
    match why {
        FailureReason::DeadlineExceeded => (504, "its time is up"),
        FailureReason::OutcomeUnknown | FailureReason::ShuttingDown => (500, "it may have run"),
    }
}
