//! Final answers and errors in the Invoke API's form.
//!
//! | final answer | status | reason |
//! | --- | --- | --- |
//! | succeeded | 200 (the worker's own), with `X-Amz-Function-Error` where the function failed | the request was executed |
//! | rejected | 429 `TooManyRequestsException` with `Retry-After` | client libraries retry it, and that is harmless |
//! | failed | 200 with `X-Amz-Function-Error: Unhandled` | it may have been executed: no status that libraries retry |
//! | accepted, asynchronous | 202 | |
//!
//! Client libraries retry 408, 429 and all of 5xx by themselves; a failed request may have been executed, so it gets none of
//! these.
use crate::function_name::FunctionNameError;
use serde::Serialize;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A response of the gateway's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiResponse {
    /// The HTTP status.
    pub status: u16,
    /// Header names, in lower case, and values.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
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

/// Why a request is not admitted. Messages are the texts that clients get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiError {
    /// No resource has this path.
    UnknownPath,
    /// The method is not POST.
    WrongMethod,
    /// A parameter or header is invalid; with the message.
    InvalidParameter(&'static str),
    /// The function's name is invalid.
    InvalidFunctionName(FunctionNameError),
    /// The payload or the client context is invalid; with the message.
    InvalidContent(&'static str),
    /// No such function is configured.
    UnknownFunction,
    /// The payload is over the limit.
    PayloadTooLarge,
    /// The content type is not accepted.
    UnsupportedMediaType,
    /// The header fields are over the limit.
    HeadersTooLarge,
    /// This is no HTTP/1.1 request.
    MalformedRequest,
    /// The transfer coding is not supported.
    UnsupportedTransferCoding,
    /// The request was not complete in time.
    RequestTimeout,
    /// Nothing is admitted now; retrying is harmless, since nothing was executed. With the time after which to retry.
    Rejected(Option<Duration>),
    /// It is unknown whether an asynchronous invocation is durable: the disk has failed.
    DurabilityUnknown,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
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
    // These types have no map and no number that JSON cannot hold.
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

/// Whole seconds for `Retry-After`, rounded up, and at least one.
fn whole_seconds(retry_after: Option<Duration>) -> u64 {
    let retry_after = retry_after.unwrap_or_default();
    let rounded_up = retry_after.as_secs() + u64::from(retry_after.subsec_nanos() > 0);
    rounded_up.max(1)
}

/// The response to a rejected request: it was not executed, and retrying is harmless.
pub fn rejected(retry_after: Option<Duration>) -> ApiResponse {
    let error = ApiError::Rejected(retry_after);
    let (status, error_type) = error.status();
    let reason = Some("ConcurrentInvocationLimitExceeded");
    let mut response = error_response(status, error_type, &error.message(), reason);
    let seconds = whole_seconds(retry_after).to_string();
    response.headers.push(("retry-after", seconds));
    if let Some(retry_after) = retry_after {
        // Whole seconds are coarse beside attempts of some milliseconds; our own clients read this one.
        let milliseconds = retry_after.as_nanos().div_ceil(1_000_000).to_string();
        response
            .headers
            .push(("x-quartzdrift-come-back-ms", milliseconds));
    }
    response
}

/// Why a request failed that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// Its deadline passed before a response.
    DeadlineExceeded,
    /// An attempt ended without a response.
    OutcomeUnknown,
    /// The gateway stops and cannot wait for the response.
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

/// The response to an asynchronous invocation that was accepted.
pub fn accepted() -> ApiResponse {
    ApiResponse::empty(202)
}

/// The response to a dry run that found no error.
pub fn dry_run() -> ApiResponse {
    ApiResponse::empty(204)
}

/// The response to a readiness check.
pub fn readiness(is_ready: bool) -> ApiResponse {
    ApiResponse::empty(if is_ready { 200 } else { 503 })
}
