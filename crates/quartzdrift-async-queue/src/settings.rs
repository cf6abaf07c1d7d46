//! Limits and delays of the queue.
use std::time::Duration;

/// Capacity of the queue, and limits of its retries.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Maximum number of attempts, including the first one; rejected attempts do not count.
    pub max_attempts: u32,
    /// Delay before the second attempt. It doubles before each further attempt, up to `max_retry_delay`.
    pub first_retry_delay: Duration,
    /// Maximum delay between two attempts, not counting a delay that a rejection requests.
    pub max_retry_delay: Duration,
    /// Maximum time from acceptance to the start of the last attempt.
    pub max_age: Duration,
    /// Maximum number of open invocations.
    pub max_invocations: usize,
    /// Maximum size of all open invocations in bytes: their payloads and a fixed overhead for each.
    pub max_bytes: usize,
    /// Maximum number of attempts at the request table at the same time.
    pub max_concurrent_attempts: usize,
}

/// Reason why the queue did not accept an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueueFull {
    /// The queue holds its maximum number of invocations.
    #[error("the queue holds its maximum number of invocations")]
    Requests,
    /// The invocation would exceed the maximum size of the queue in bytes.
    #[error("the invocation would exceed the queue's maximum number of bytes")]
    Bytes,
}
