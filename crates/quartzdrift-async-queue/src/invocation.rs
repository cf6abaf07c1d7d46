//! Queued invocations, and the state of an invocation as a store restores it.
use quartzdrift_scheduler::interface::Idempotency;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

/// Identifies an invocation within its queue and its store. Ids increase in the order of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InvocationId(pub u64);

/// Receiver of the event of a completed invocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Destination {
    /// Function that is invoked asynchronously with the event, by its name.
    Function(String),
    /// URL that receives the event in a POST request.
    Url(String),
}

/// An accepted invocation. It does not change while it is queued.
#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    /// Name of the function to execute.
    pub function: String,
    /// Index of the tenant in the settings.
    pub tenant: u32,
    /// Whether the invocation may execute more than once.
    pub idempotency: Idempotency,
    /// Whether all workers drop duplicates of the idempotency key; if false, only a group of the workers
    /// does.
    pub deduplicated_by_all: bool,
    /// Time for which workers keep the idempotency key.
    pub deduplication_window: Duration,
    /// Input of the function.
    pub payload: Rc<[u8]>,
    /// Client context that the function receives, in base64.
    pub context: Option<String>,
    /// Key by which workers detect a repeated attempt of the invocation.
    pub idempotency_key: Option<String>,
    /// Destination of the event if the invocation succeeds.
    pub on_success: Option<Destination>,
    /// Destination of the event if the invocation is dead-lettered.
    pub on_failure: Option<Destination>,
    /// Name of the schedule that triggered the invocation.
    pub schedule: Option<String>,
    /// Number of function destinations in the chain that led to the invocation; 0 if a client or a schedule
    /// submitted it.
    pub hops: u32,
}

/// State of an open invocation as a store restores it after a restart. Times are since the Unix epoch.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredInvocation {
    /// Id that the queue assigned on acceptance.
    pub id: InvocationId,
    /// The accepted invocation.
    pub invocation: Invocation,
    /// Time of acceptance.
    pub accepted_at: Duration,
    /// Time at which the next attempt is due.
    pub due_at: Duration,
    /// Number of attempts that were executed or may have been; rejected ones do not count.
    pub attempts: u32,
    /// End of the deduplication window: further attempts have to start before it.
    pub deduplication_deadline: Option<Duration>,
    /// Start of the last attempt, if its outcome is not in the store.
    pub attempt_started_at: Option<Duration>,
}
