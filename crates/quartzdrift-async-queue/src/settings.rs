//! Limits and delays of the queue.
use std::time::Duration;

/// How much the queue holds, and how often and how long it retries.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Maximum attempts that ran, the first included.
    pub max_attempts: u32,
    /// Delay before the second attempt; doubles with each further one, up to `max_retry_delay`.
    pub first_retry_delay: Duration,
    /// Maximum delay before a further attempt.
    pub max_retry_delay: Duration,
    /// Maximum time from acceptance to the last attempt.
    pub max_age: Duration,
    /// Maximum number of invocations held.
    pub max_invocations: usize,
    /// Maximum bytes held, with a fixed overhead for each invocation.
    pub max_bytes: usize,
    /// Maximum attempts at the request table at a time.
    pub max_concurrent_attempts: usize,
}

/// Why an invocation was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueueFull {
    /// The queue holds its maximum number of invocations.
    #[error("the queue holds its maximum number of invocations")]
    Requests,
    /// The invocation would exceed the queue's maximum bytes.
    #[error("the queue holds its maximum number of bytes")]
    Bytes,
}
