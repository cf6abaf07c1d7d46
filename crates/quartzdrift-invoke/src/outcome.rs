//! Classification of the results of calls to workers: maps each result to an outcome of the scheduler.
//! Without proof to the contrary, a request counts as possibly executed.
//!
//! | result of the call | outcome | proves that the request was not executed |
//! | --- | --- | --- |
//! | 200, with or without `X-Amz-Function-Error` | succeeded | no: it was executed |
//! | 429, with or without `TooManyRequestsException` | at capacity | yes: the worker did not admit the call |
//! | 404 `ResourceNotFoundException` | cache miss | yes |
//! | 503 of type `NotTaken` | at capacity | yes |
//! | any other status | error | no |
//! | response malformed or over the size limit | error | no |
//! | connection refused, unreachable, or not established in time | connect failed | yes |
//! | all connections in use that the settings allow | at capacity | yes |
//! | connection closed or reset after bytes were sent | reset | no |
//! | connection found closed before a byte was sent | sent again on another connection | yes |
//! | timeout, cancelled | timed out, cancelled | no |
use crate::load_report::LoadReport;
use quartzdrift_scheduler::interface::{CacheResult, Outcome};

#[cfg(test)]
mod tests;

/// Error type in the response of a worker that does not have the function.
const FUNCTION_NOT_FOUND: &str = "ResourceNotFoundException";
/// Error type in the response of a worker that did not admit the call.
const NOT_ADMITTED: &str = "NotTaken";

/// Result of a call to a worker, as observed on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult<'a> {
    /// A complete response was received.
    Response {
        /// HTTP status code.
        status: u16,
        /// Value of the header `x-amzn-errortype`.
        error_type: Option<&'a str>,
    },
    /// The response is malformed or exceeds the size limit.
    InvalidResponse,
    /// No connection could be established, so no byte was sent.
    ConnectFailed,
    /// All connections that the settings allow are in use.
    NoConnectionAvailable,
    /// The connection was closed before the response was complete.
    ConnectionClosed,
}

/// Maps the result of a call to the outcome of its attempt, according to the table of this module.
pub fn call_outcome(result: CallResult) -> Outcome {
    match result {
        CallResult::Response { status, error_type } => response_outcome(status, error_type),
        CallResult::InvalidResponse => Outcome::Error,
        CallResult::ConnectFailed => Outcome::ConnectFailed,
        CallResult::NoConnectionAvailable => Outcome::AtCapacity,
        CallResult::ConnectionClosed => Outcome::Reset,
    }
}

fn response_outcome(status: u16, error_type: Option<&str>) -> Outcome {
    match (status, base_error_type(error_type)) {
        (200, _) => Outcome::Succeeded,
        (429, _) => Outcome::AtCapacity,
        (404, FUNCTION_NOT_FOUND) => Outcome::CacheMiss,
        (503, NOT_ADMITTED) => Outcome::AtCapacity,
        _ => Outcome::Error,
    }
}

/// An error type without the namespace or link that may follow after a colon; empty if there is none.
fn base_error_type(error_type: Option<&str>) -> &str {
    error_type
        .and_then(|text| text.split(':').next())
        .unwrap_or("")
        .trim()
}

/// Metric in which workers report the cache result of a request.
pub const CACHE_RESULT_METRIC: &str = "named_metrics.found";
/// Metric in which workers report how many requests of the function they are executing.
pub const CONCURRENCY_METRIC: &str = "named_metrics.crowd";

/// The cache result in a load report. Its codes are: 1 warm, 2 the request started the load, 3 the request
/// waited for a load that another one had started, 4 the load failed.
pub fn reported_cache_result(report: &LoadReport) -> CacheResult {
    match report.get(CACHE_RESULT_METRIC).map(|code| code as i64) {
        Some(1) => CacheResult::Warm,
        Some(2) => CacheResult::StartedLoad,
        Some(3) => CacheResult::AwaitedLoad,
        Some(4) => CacheResult::LoadFailed,
        Some(_) | None => CacheResult::Unknown,
    }
}

/// The number of requests of the function that the worker is executing, from a load report; `None` if it is
/// missing or negative.
pub fn reported_concurrency(report: &LoadReport) -> Option<u32> {
    let concurrency = report.get(CONCURRENCY_METRIC).filter(|count| *count >= 0.0);
    concurrency.map(|count| count as u32)
}
