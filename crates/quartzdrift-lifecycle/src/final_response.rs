//! Final responses of requests. Frontends translate them into responses to their clients.
use quartzdrift_scheduler::interface::RejectReason;
use std::time::Duration;

/// Why a request failed without a worker's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The deadline passed before a response arrived.
    DeadlineExceeded,
    /// An attempt ended with an unknown outcome and may have executed, and the request must not run twice.
    OutcomeUnknown,
    /// The process is shutting down while an attempt may be executing.
    ShuttingDown,
}

/// The one final response of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// The client gets the response of the attempt that has just ended, or has already got it by streaming.
    Succeeded,
    /// The request did not execute, or is safe to execute again: the client may retry.
    Rejected {
        /// Time for the client to wait before it retries; `None`: the frontend chooses it.
        retry_after: Option<Duration>,
        /// Time, on the table's clock, at which the first attempt that may have executed was sent; `None`: no
        /// attempt may have executed. The deduplication window of an idempotency key starts at this time, and
        /// the client may retry only within the window.
        may_have_executed: Option<Duration>,
        /// Why the request was rejected.
        reason: RejectReason,
    },
    /// The request failed and may have executed: a retry is not safe.
    Failed {
        /// Why the request failed.
        why: FailureReason,
    },
    /// The client disconnected before the final response, so no response is sent.
    Cancelled,
}
