//! Final responses and errors in the format of the Invoke API.
//!
//! | final response | status | reason |
//! | --- | --- | --- |
//! | succeeded | 200 of the worker; `X-Amz-Function-Error` if the function failed | executed |
//! | rejected | 429 `TooManyRequestsException` with `Retry-After` | client libraries retry it, which is safe |
//! | failed | 200 with `X-Amz-Function-Error: Unhandled` | may have been executed: must not be retried |
//! | accepted, asynchronous | 202 | the request is queued |
//!
//! Client libraries retry 408, 429 and every 5xx status automatically. A failed request may have been
//! executed, so its response has none of these statuses.
use crate::function_name::FunctionNameError;
use serde::Serialize;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A response that the gateway generates itself, rather than passes on from a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(&'static str, String)>,
    /// Body, empty or JSON.
    pub body: Vec<u8>,
}

impl ApiResponse {
    fn empty(status: u16) -> ApiResponse {
        ApiResponse {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}

/// Reason why the gateway does not admit a request. The messages are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiError {
    /// The API has no resource at the path.
    UnknownPath,
    /// The method is not POST.
    WrongMethod,
    /// A parameter or header is invalid, for the reason in the message.
    InvalidParameter(&'static str),
    /// The function name is invalid.
    InvalidFunctionName(FunctionNameError),
    /// The payload or the client context is invalid, for the reason in the message.
    InvalidContent(&'static str),
    /// The settings have no function of this name.
    UnknownFunction,
    /// The payload exceeds the size limit.
    PayloadTooLarge,
    /// The content type is not accepted.
    UnsupportedMediaType,
    /// The request line and the header fields exceed the size limit.
    HeadersTooLarge,
    /// The bytes are not a valid HTTP/1.1 request.
    MalformedRequest,
    /// The transfer coding is not supported.
    UnsupportedTransferCoding,
    /// The client did not send the complete request in time.
    RequestTimeout,
    /// The request was not executed and may be retried, after the delay if there is one.
    Rejected(Option<Duration>),
    /// The disk failed before an asynchronous invocation was confirmed as durable, so it may be lost.
    DurabilityUnknown,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    /// `User` or `Service`: the side that caused the error.
    #[serde(rename = "Type")]
    fault: &'a str,
    message: &'a str,
    #[serde(rename = "Reason", skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct FunctionErrorBody<'a> {
    error_type: &'a str,
    error_message: &'a str,
}

fn to_json(body: &impl Serialize) -> Vec<u8> {
    // Serialization cannot fail: the bodies consist of strings only.
    serde_json::to_vec(body).unwrap_or_default()
}

fn error_response(status: u16, error_type: &str, message: &str, reason: Option<&str>) -> ApiResponse {
    let fault = if status >= 500 { "Service" } else { "User" };
    ApiResponse {
        status,
        headers: vec![
            ("content-type", "application/json".to_owned()),
            ("x-amzn-errortype", error_type.to_owned()),
        ],
        body: to_json(&ErrorBody {
            fault,
            message,
            reason,
        }),
    }
}

impl ApiError {
    /// The response to a request that is not admitted.
    pub fn response(self) -> ApiResponse {
        if let ApiError::Rejected(retry_after) = self {
            return rejected(retry_after);
        }
        let (status, error_type) = self.status();
        error_response(status, error_type, &self.message(), None)
    }

    /// The HTTP status and the published error type.
    fn status(self) -> (u16, &'static str) {
        const INVALID_CONTENT: &str = "InvalidRequestContentException";
        const NOT_FOUND: &str = "ResourceNotFoundException";
        match self {
            ApiError::UnknownPath | ApiError::UnknownFunction => (404, NOT_FOUND),
            ApiError::WrongMethod => (405, INVALID_CONTENT),
            ApiError::InvalidParameter(_) | ApiError::InvalidFunctionName(_) => {
                (400, "InvalidParameterValueException")
            }
            ApiError::InvalidContent(_) | ApiError::MalformedRequest | ApiError::RequestTimeout => {
                (400, INVALID_CONTENT)
            }
            ApiError::PayloadTooLarge => (413, "RequestTooLargeException"),
            ApiError::UnsupportedMediaType => (415, "UnsupportedMediaTypeException"),
            ApiError::HeadersTooLarge => (431, INVALID_CONTENT),
            ApiError::UnsupportedTransferCoding => (501, INVALID_CONTENT),
            ApiError::Rejected(_) => (429, "TooManyRequestsException"),
            ApiError::DurabilityUnknown => (500, "ServiceException"),
        }
    }

    fn message(self) -> String {
        let message = match self {
            ApiError::InvalidFunctionName(error) => return error.to_string(),
            ApiError::InvalidParameter(message) | ApiError::InvalidContent(message) => message,
            ApiError::UnknownPath => "there is nothing at this path",
            ApiError::WrongMethod => "the method is not POST",
            ApiError::UnknownFunction => "the function is in no workload's settings",
            ApiError::PayloadTooLarge => "the payload is over the limit",
            ApiError::UnsupportedMediaType => "the content type is not JSON",
            ApiError::HeadersTooLarge => "the fields are over the limit",
            ApiError::MalformedRequest => "this is no HTTP/1.1 request",
            ApiError::UnsupportedTransferCoding => "the transfer coding is unknown here",
            ApiError::RequestTimeout => "the request was not whole in time",
            ApiError::Rejected(_) => "no worker can take this job now; trying again is harmless",
            ApiError::DurabilityUnknown => "it is not known whether the job was kept",
        };
        message.to_owned()
    }
}

/// The value of `Retry-After` in seconds: rounded up, and at least 1.
fn retry_after_seconds(retry_after: Option<Duration>) -> u64 {
    let retry_after = retry_after.unwrap_or_default();
    let rounded_up = retry_after.as_secs() + u64::from(retry_after.subsec_nanos() > 0);
    rounded_up.max(1)
}

/// The response to a rejected request, which is safe to retry.
pub fn rejected(retry_after: Option<Duration>) -> ApiResponse {
    let error = ApiError::Rejected(retry_after);
    let (status, error_type) = error.status();
    let reason = Some("ConcurrentInvocationLimitExceeded");
    let mut response = error_response(status, error_type, &error.message(), reason);
    let seconds = retry_after_seconds(retry_after).to_string();
    response.headers.push(("retry-after", seconds));
    if let Some(retry_after) = retry_after {
        // Attempts take milliseconds, so `Retry-After` in seconds is too coarse. Quartzdrift's own clients
        // read this header.
        let milliseconds = retry_after.as_nanos().div_ceil(1_000_000).to_string();
        response
            .headers
            .push(("x-quartzdrift-come-back-ms", milliseconds));
    }
    response
}

/// Reason why a request failed that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The request's deadline passed before a response arrived.
    DeadlineExceeded,
    /// An attempt ended without a response.
    OutcomeUnknown,
    /// The gateway shut down before the response arrived.
    ShuttingDown,
}

/// The response to a request that failed and may have been executed.
pub fn failed(kind: FailureKind) -> ApiResponse {
    let (error_type, error_message) = match kind {
        FailureKind::DeadlineExceeded => (
            "Quartzdrift.TimeLimit",
            "the time limit came before an answer; the job may have run",
        ),
        FailureKind::OutcomeUnknown => (
            "Quartzdrift.Killed",
            "the worker was lost before it answered; the job may have run",
        ),
        FailureKind::ShuttingDown => (
            "Quartzdrift.Stopped",
            "the gateway stopped before an answer; the job may have run",
        ),
    };
    ApiResponse {
        status: 200,
        headers: vec![
            ("content-type", "application/json".to_owned()),
            ("x-amz-function-error", "Unhandled".to_owned()),
        ],
        body: to_json(&FunctionErrorBody {
            error_type,
            error_message,
        }),
    }
}

/// The response to an accepted asynchronous invocation.
pub fn accepted() -> ApiResponse {
    ApiResponse::empty(202)
}

/// The response to a valid request of the type `DryRun`.
pub fn dry_run() -> ApiResponse {
    ApiResponse::empty(204)
}

/// The response to a health check.
pub fn readiness(is_ready: bool) -> ApiResponse {
    ApiResponse::empty(if is_ready { 200 } else { 503 })
}
