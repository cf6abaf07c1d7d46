//! What the end of a call to a worker proves about the attempt: the one table from results on a worker's socket to the
//! scheduler's outcomes. Doubt counts as "may have executed".
//!
//! | result of the call | outcome | proves that the request was not executed |
//! | --- | --- | --- |
//! | 200, with or without `X-Amz-Function-Error` | succeeded | no: it was executed |
//! | 429, with or without `TooManyRequestsException` | at capacity | yes: the status says that the call was not admitted |
//! | 404 `ResourceNotFoundException` | cache miss | yes |
//! | 503 of type `NotTaken` | at capacity | yes |
//! | any other status | error | no |
//! | a response that cannot be read or is over the limit | error | no |
//! | connection refused, unreachable, or not established in time | connect failed | yes |
//! | all connections in use that the settings allow | at capacity | yes |
//! | connection closed or reset after bytes were sent | reset | no |
//! | connection found closed before a byte was sent | sent again on another one | yes |
//! | timeout, cancelled | timed out, cancelled | no |
use crate::load_report::LoadReport;
use quartzdrift_scheduler::interface::{CacheResult, Outcome};

#[cfg(test)]
mod tests;

/// The error type of a worker that does not have the function.
const NOT_FOUND: &str = "ResourceNotFoundException";
/// The error type of a worker that did not admit the call.
const NOT_ADMITTED: &str = "NotTaken";

/// How a call to a worker ended on its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult<'a> {
    /// A response was received.
    Response {
        /// Its HTTP status.
        status: u16,
        /// Its header `x-amzn-errortype`.
        error_type: Option<&'a str>,
    },
    /// The response cannot be read, or is over the limit.
    InvalidResponse,
    /// No connection could be established.
    ConnectFailed,
    /// All connections that the settings allow are in use.
    NoConnectionAvailable,
    /// The connection was closed before the response was complete.
    ConnectionClosed,
}

/// The outcome of an attempt by how its call ended.
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
    match (status, plain_type(error_type)) {
        (200, _) => Outcome::Succeeded,
        (429, _) => Outcome::AtCapacity,
        (404, NOT_FOUND) => Outcome::CacheMiss,
        (503, NOT_ADMITTED) => Outcome::AtCapacity,
        _ => Outcome::Error,
    }
}

/// An error type without the namespace or link that may follow a colon.
fn plain_type(error_type: Option<&str>) -> &str {
    error_type
        .and_then(|text| text.split(':').next())
        .unwrap_or("")
        .trim()
}

/// The metric in which workers report the request's cache result.
pub const CACHE_RESULT_METRIC: &str = "named_metrics.found";
/// The metric in which workers report how many requests of the function they are executing.
pub const CONCURRENCY_METRIC: &str = "named_metrics.crowd";

/// The cache result in a report: 1 warm, 2 this request started the load, 3 it awaited one, 4 the load failed.
pub fn reported_cache_result(report: &LoadReport) -> CacheResult {
    match report.get(CACHE_RESULT_METRIC).map(|code| code as i64) {
        Some(1) => CacheResult::Warm,
        Some(2) => CacheResult::StartedLoad,
        Some(3) => CacheResult::AwaitedLoad,
        Some(4) => CacheResult::LoadFailed,
        Some(_) | None => CacheResult::Unknown,
    }
}

/// The concurrency in a report, in requests.
pub fn reported_concurrency(report: &LoadReport) -> Option<u32> {
    let concurrency = report.get(CONCURRENCY_METRIC).filter(|count| *count >= 0.0);
    concurrency.map(|count| count as u32)
}
