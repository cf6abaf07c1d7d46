//! Queue of asynchronous invocations: the client gets a response on acceptance, and the function is executed
//! later. The queue does no I/O and reads no clock.
//!
//! [`InvocationQueue`] holds accepted invocations and schedules their attempts. [`InvocationQueue::take_due`]
//! returns the next attempt that is due. [`InvocationQueue::attempt_ended`] takes the outcome of an attempt
//! and then retries or completes the invocation. The queue does not select a worker: the caller submits each
//! attempt to the request table as an ordinary request. The queue reports each change to an
//! [`InvocationStore`], which may make it durable.
//!
//! Whether an invocation is retried depends on its request class and on the outcome of the attempt:
//!
//! | outcome | idempotent | idempotent with key | non-idempotent |
//! | --- | --- | --- | --- |
//! | succeeded | completed | completed | completed |
//! | succeeded with a function error | retried while attempts are left | dead-lettered | dead-lettered |
//! | rejected, not executed | retried | retried | retried |
//! | rejected, may have executed | retried | retried within the window | does not occur: failed instead |
//! | failed | retried while attempts are left | dead-lettered | dead-lettered |
//!
//! A rejected attempt does not count towards the maximum number of attempts. Its retries are limited only by
//! the maximum age and, with an idempotency key, by the deduplication window. The event of a dead-lettered
//! invocation goes to its failure destination.
//!
//! * `invocation`: queued invocations, and their state in a store.
//! * `outcome`: outcomes of attempts, and the resulting retry or completion.
//! * `settings`: limits and delays.
//! * `store`: receivers of the queue's changes.
//! * `encoding`: binary format of invocations in a store.
//! * `due_index`: order of waiting invocations, round robin by tenant.
//! * `queue`: the queue itself.
mod due_index;
mod encoding;
mod invocation;
mod outcome;
mod queue;
mod settings;
mod store;

pub use invocation::{Destination, Invocation, InvocationId, StoredInvocation};
pub use outcome::{AttemptOutcome, CompletedInvocation, CompletionCondition, NextStep};
pub use queue::{DueAttempt, InvocationQueue, OpenInvocation, RestoreContext};
pub use settings::{QueueFull, QueueSettings};
pub use store::{ChangeBuffer, InvocationStore, NoStore, StoreChange};
