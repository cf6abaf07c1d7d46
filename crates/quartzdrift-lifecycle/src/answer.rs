//! Final answers. Frontends match on them to respond to their clients.
use quartzdrift_scheduler::interface::RejectReason;
use std::time::Duration;

/// Why a request failed without a worker's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The deadline passed before an answer came.
    DeadlineExceeded,
    /// An attempt may have executed, its outcome is unknown, and the request must not run twice.
    OutcomeUnknown,
    /// The process shuts down while an attempt may be executing.
    ShuttingDown,
}

/// The one final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The answer is that of the attempt that has just ended or has been streaming.
    Succeeded,
    /// Not executed, or safe to execute again: the client may retry.
    Rejected {
        /// How long the client should wait before it retries; `None` leaves that to the frontend.
        retry_after: Option<Duration>,
        /// When the first attempt that may have executed was sent, on the table's clock. A request with an idempotency
        /// key may be retried only within its deduplication window from then on.
        may_have_executed: Option<Duration>,
        /// Why it was rejected.
        reason: RejectReason,
    },
    /// Failed, and not safe to retry without knowing what was executed.
    Failed {
        /// The cause.
        why: FailureReason,
    },
    /// The client left before its answer, so none is sent.
    Cancelled,
}
