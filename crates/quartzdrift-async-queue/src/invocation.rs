//! What is queued: an invocation with all that its attempts need, and the state in which a store restores it.
use quartzdrift_scheduler::interface::Idempotency;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

/// Identifies an invocation within its queue and its store. Later invocations have greater numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InvocationId(pub u64);

/// Where the event of a completed invocation goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Destination {
    /// Invokes the function with this name, asynchronously.
    Function(String),
    /// Posts to this URL.
    Url(String),
}

/// An invocation as it was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    /// The function's name.
    pub function: String,
    /// The tenant's index in the settings.
    pub tenant: u32,
    /// Whether it may execute more than once.
    pub idempotency: Idempotency,
    /// Whether all workers drop repeats of its idempotency key, rather than some group of them only.
    pub deduplicated_by_all: bool,
    /// For how long workers remember its idempotency key.
    pub deduplication_window: Duration,
    /// The payload.
    pub payload: Rc<[u8]>,
    /// The client context, passed on to the function.
    pub context: Option<String>,
    /// By which workers recognise a further attempt.
    pub idempotency_key: Option<String>,
    /// Where the event of a success goes.
    pub on_success: Option<Destination>,
    /// Where the event of a dead invocation goes.
    pub on_failure: Option<Destination>,
    /// The schedule that triggered it.
    pub schedule: Option<String>,
    /// Number of destinations in a row that led to it.
    pub hops: u32,
}

/// An invocation as a store restores it after a restart. Times are since 1970.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredInvocation {
    /// The number that it was accepted under.
    pub id: InvocationId,
    /// What was accepted.
    pub invocation: Invocation,
    /// When it was accepted.
    pub accepted_at: Duration,
    /// When its next attempt is due.
    pub due_at: Duration,
    /// Attempts that ran or may be running.
    pub attempts: u32,
    /// No attempt may start after this time.
    pub deduplication_deadline: Option<Duration>,
    /// Start of an attempt whose outcome is unknown.
    pub attempt_started_at: Option<Duration>,
}
