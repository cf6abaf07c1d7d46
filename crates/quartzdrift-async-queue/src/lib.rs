//! Asynchronous invocations: accepted now, run later. No I/O, no clock.
//!
//! [`InvocationQueue`] holds accepted invocations and decides when each is attempted. [`InvocationQueue::take_due`] returns the
//! next attempt that is due, and [`InvocationQueue::attempt_ended`] takes its outcome and decides whether the invocation is
//! retried, succeeded or is dead-lettered. The queue does not choose a worker: each attempt is an ordinary request to the
//! request table. Changes go to an [`InvocationStore`], which may make them durable.
//!
//! Whether an invocation is retried depends on its request class and on the outcome of the attempt:
//!
//! | outcome | idempotent | idempotent with key | non-idempotent |
//! | --- | --- | --- | --- |
//! | succeeded | done | done | done |
//! | succeeded with an error of the function | retried while attempts are left | dead | dead |
//! | rejected, did not execute | retried | retried | retried |
//! | rejected, may have executed | retried | retried within its deduplication window | does not occur: failed instead |
//! | failed | retried while attempts are left | dead | dead |
//!
//! A rejected attempt does not count as an attempt; the maximum age alone bounds such retries. The event of a dead
//! invocation goes to its destination on failure.
//!
//! * `invocation`: what is queued, and what a store restores.
//! * `outcome`: how an attempt ends, and what follows from it.
//! * `settings`: limits and delays.
//! * `store`: where changes go.
//! * `encoding`: an invocation as bytes that outlast the process.
//! * `due_index`: which invocation is due next, with tenants taking turns.
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
