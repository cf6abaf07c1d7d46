//! Final answers as responses to clients.
use super::{Gateway, RequestContext};
use quartzdrift_http::{Exchange, Headers, Response};
use quartzdrift_invoke::response::{self as api, ApiResponse, FailureKind};
use quartzdrift_lifecycle::{FailureReason, FinalResponse};
use uuid::Uuid;

/// Headers of a worker's response that are passed on to the client.
const PASSED_HEADERS: [&str; 4] = [
    "content-type",
    "x-amz-function-error",
    "x-amz-executed-version",
    "x-amz-log-result",
];

impl Gateway {
    /// Gives a client the final answer of its request. `response` is the worker's, unless it was streamed.
    pub(super) fn answer_client(
        &mut self,
        exchange: Exchange,
        context: &RequestContext,
        answer: FinalResponse,
        response: Option<Response>,
    ) {
        self.exchanges.remove(&exchange);
        let response = match answer {
            FinalResponse::Succeeded => response.map(|response| worker_response(response, context.id)),
            FinalResponse::Rejected { retry_after, .. } => {
                Some(to_http(api::rejected(retry_after), Some(context.id)))
            }
            FinalResponse::Failed { why } => {
                let response = api::failed(failure_kind(why));
                Some(to_http(response, Some(context.id)))
            }
            FinalResponse::Cancelled => None,
        };
        if let Some(response) = response {
            self.respond(exchange, response);
        }
    }

    /// Sends a response; a gateway that drains closes the connection after it.
    pub(super) fn respond(&mut self, exchange: Exchange, mut response: Response) {
        if self.is_draining() {
            response.headers.push("connection", "close");
        }
        self.http.respond(exchange, &response);
    }
}

/// A response of the gateway's own.
pub(super) fn to_http(response: ApiResponse, id: Option<Uuid>) -> Response {
    let mut headers = Headers::new();
    for (name, value) in &response.headers {
        headers.push(name, value);
    }
    if let Some(id) = id {
        headers.push("x-amzn-requestid", &id.to_string());
    }
    Response {
        status: response.status,
        headers,
        body: response.body,
    }
}

/// A worker's response as its client gets it.
fn worker_response(response: Response, id: Uuid) -> Response {
    let mut headers = Headers::new();
    for (name, value) in response.headers.iter() {
        if PASSED_HEADERS.contains(&name) {
            headers.push(name, value);
        }
    }
    headers.push("x-amzn-requestid", &id.to_string());
    if headers.get("x-amz-executed-version").is_none() {
        headers.push("x-amz-executed-version", "$LATEST");
    }
    Response {
        status: 200,
        headers,
        body: response.body,
    }
}

fn failure_kind(reason: FailureReason) -> FailureKind {
    match reason {
        FailureReason::DeadlineExceeded => FailureKind::DeadlineExceeded,
        FailureReason::OutcomeUnknown => FailureKind::OutcomeUnknown,
        FailureReason::ShuttingDown => FailureKind::ShuttingDown,
    }
}
