//! The queue: all open invocations, with the attempts that are under way.
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

/// Bytes that one invocation takes beside its payload: names, keys and its entries in the tables.
const OVERHEAD: usize = 512;

/// An open invocation. Times are since 1970.
#[derive(Debug)]
struct Entry {
    invocation: Invocation,
    accepted_at: Duration,
    due_at: Duration,
    /// Attempts that ran or are under way; a rejected one does not count.
    attempts: u32,
    rejections: u32,
    attempt_running: bool,
    /// An invocation with an idempotency key that may have executed is attempted only until then.
    deduplication_deadline: Option<Duration>,
}

impl Entry {
    /// Bytes that the invocation counts for.
    fn size(&self) -> usize {
        size(&self.invocation)
    }
}

/// Bytes that an invocation counts for.
fn size(invocation: &Invocation) -> usize {
    invocation.payload.len() + OVERHEAD
}

/// An invocation that is not completed.
#[derive(Clone, Copy, Debug)]
pub struct OpenInvocation<'a> {
    /// The number that it was accepted under.
    pub id: InvocationId,
    /// What was accepted.
    pub invocation: &'a Invocation,
    /// Whether an attempt is under way.
    pub attempt_running: bool,
}

/// Accepted invocations that are not completed.
pub struct InvocationQueue<S: InvocationStore> {
    settings: QueueSettings,
    store: S,
    entries: BTreeMap<InvocationId, Entry>,
    due: DueIndex,
    /// Attempts allowed at a time for now, at most those of the settings.
    allowed_attempts: usize,
    running_attempts: usize,
    /// Bytes of all entries.
    bytes: usize,
    /// The greatest id used so far.
    last_id: InvocationId,
    random: StdRng,
}

impl<S: InvocationStore> InvocationQueue<S> {
    /// An empty queue; `seed` decides the jitter of its retries.
    pub fn new(settings: QueueSettings, store: S, seed: u64) -> InvocationQueue<S> {
        InvocationQueue {
            allowed_attempts: settings.max_concurrent_attempts,
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

    /// Bytes held, with a fixed overhead for each invocation.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All open invocations, by id.
    pub fn open_invocations(&self) -> impl Iterator<Item = OpenInvocation<'_>> {
        self.entries.iter().map(|(id, entry)| OpenInvocation {
            id: *id,
            invocation: &entry.invocation,
            attempt_running: entry.attempt_running,
        })
    }

    /// Where changes go.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }
}
