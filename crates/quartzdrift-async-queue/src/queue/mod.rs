//! The queue: open invocations, those that wait for an attempt and those with a running attempt.
mod admission;
mod completion;
mod dispatch;
mod restore;
mod retry;
#[cfg(test)]
mod tests;

pub use dispatch::DueAttempt;
pub use restore::RestoreContext;

use crate::due_index::DueIndex;
use crate::invocation::{Invocation, InvocationId};
use crate::settings::QueueSettings;
use crate::store::InvocationStore;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Estimated memory of an invocation without its payload: its names and keys, and its entries in the queue's
/// maps.
const OVERHEAD_BYTES: usize = 512;

/// An open invocation and the state of its attempts. Times are since the Unix epoch.
#[derive(Debug)]
struct QueueEntry {
    invocation: Invocation,
    accepted_at: Duration,
    due_at: Duration,
    /// Number of attempts that were executed, may have been, or are running; rejected ones do not count.
    attempts: u32,
    /// Number of rejected attempts since the invocation was accepted or restored.
    rejections: u32,
    attempt_running: bool,
    /// End of the deduplication window of an invocation with an idempotency key that may have executed.
    /// Further attempts have to start before it.
    deduplication_deadline: Option<Duration>,
}

impl QueueEntry {
    fn charged_bytes(&self) -> usize {
        charged_bytes(&self.invocation)
    }
}

/// Bytes that an invocation adds to the size of the queue.
fn charged_bytes(invocation: &Invocation) -> usize {
    invocation.payload.len() + OVERHEAD_BYTES
}

/// An invocation that is not completed, as listed by [`InvocationQueue::open_invocations`].
#[derive(Clone, Copy, Debug)]
pub struct OpenInvocation<'a> {
    /// Id that the queue assigned on acceptance.
    pub id: InvocationId,
    /// The accepted invocation.
    pub invocation: &'a Invocation,
    /// Whether an attempt is running.
    pub attempt_running: bool,
}

/// Queue of the accepted invocations that are not completed. Times are since the Unix epoch.
pub struct InvocationQueue<S: InvocationStore> {
    settings: QueueSettings,
    store: S,
    entries: BTreeMap<InvocationId, QueueEntry>,
    due: DueIndex,
    /// Current limit on running attempts, at most `max_concurrent_attempts` of the settings.
    attempt_limit: usize,
    running_attempts: usize,
    /// Charged bytes of all entries.
    bytes: usize,
    /// The greatest id that was assigned or reserved.
    last_id: InvocationId,
    random: StdRng,
}

impl<S: InvocationStore> InvocationQueue<S> {
    /// Creates an empty queue. `seed` seeds the jitter of the retry delays.
    pub fn new(settings: QueueSettings, store: S, seed: u64) -> InvocationQueue<S> {
        InvocationQueue {
            attempt_limit: settings.max_concurrent_attempts,
            settings,
            store,
            entries: BTreeMap::new(),
            due: DueIndex::default(),
            running_attempts: 0,
            bytes: 0,
            last_id: InvocationId(0),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Number of open invocations.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no invocation is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size of all open invocations in bytes: their payloads and a fixed overhead for each.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All open invocations, in the order of their ids.
    pub fn open_invocations(&self) -> impl Iterator<Item = OpenInvocation<'_>> {
        self.entries.iter().map(|(id, entry)| OpenInvocation {
            id: *id,
            invocation: &entry.invocation,
            attempt_running: entry.attempt_running,
        })
    }

    /// The store that receives the changes of the queue.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }
}
