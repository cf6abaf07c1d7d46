//! Sends final responses to clients.
use super::{Gateway, RequestContext};
use quartzdrift_http::{Exchange, Headers, Response};
use quartzdrift_invoke::response::{self as api, ApiResponse, FailureKind};
use quartzdrift_lifecycle::{FailureReason, FinalResponse};
use uuid::Uuid;

/// Headers of a worker's response that are forwarded to the client.
const FORWARDED_HEADERS: [&str; 4] = [
    "content-type",
    "x-amz-function-error",
    "x-amz-executed-version",
    "x-amz-log-result",
];

impl Gateway {
    /// Sends the final response of a request to its client. `response` is that of the worker; it is `None`
    /// for a streamed response, and if the request did not succeed.
    pub(super) fn respond_to_client(
        &mut self,
        exchange: Exchange,
        context: &RequestContext,
        final_response: FinalResponse,
        response: Option<Response>,
    ) {
        self.exchanges.remove(&exchange);
        let response = match final_response {
            FinalResponse::Succeeded => response.map(|response| client_response(response, context.id)),
            FinalResponse::Rejected { retry_after, .. } => {
                Some(to_http_response(api::rejected(retry_after), Some(context.id)))
            }
            FinalResponse::Failed { why } => {
                let response = api::failed(failure_kind(why));
                Some(to_http_response(response, Some(context.id)))
            }
            FinalResponse::Cancelled => None,
        };
        if let Some(response) = response {
            self.respond(exchange, response);
        }
    }

    /// Sends a response to a client. During the drain the connection is closed after the response.
    pub(super) fn respond(&mut self, exchange: Exchange, mut response: Response) {
        if self.is_draining() {
            response.headers.push("connection", "close");
        }
        self.http.respond(exchange, &response);
    }
}

/// Converts a response of the gateway itself into an HTTP response. `id` is the request id.
pub(super) fn to_http_response(response: ApiResponse, id: Option<Uuid>) -> Response {
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

/// Builds the client's response from the worker's response.
fn client_response(response: Response, id: Uuid) -> Response {
    let mut headers = Headers::new();
    for (name, value) in response.headers.iter() {
        if FORWARDED_HEADERS.contains(&name) {
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
