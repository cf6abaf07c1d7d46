//! Admission of new invocations within the limits of the settings.
use super::{InvocationQueue, QueueEntry, charged_bytes};
use crate::invocation::{Invocation, InvocationId};
use crate::settings::QueueFull;
use crate::store::InvocationStore;
use std::time::Duration;

impl<S: InvocationStore> InvocationQueue<S> {
    /// Accepts an invocation. Its first attempt is due at once.
    ///
    /// # Errors
    /// The limit that the invocation would exceed. The queue is unchanged then.
    pub fn submit(&mut self, now: Duration, invocation: Invocation) -> Result<InvocationId, QueueFull> {
        let bytes = charged_bytes(&invocation);
        if self.entries.len() >= self.settings.max_invocations {
            return Err(QueueFull::Requests);
        }
        if self.bytes + bytes > self.settings.max_bytes {
            return Err(QueueFull::Bytes);
        }
        let id = InvocationId(self.last_id.0 + 1);
        self.last_id = id;
        self.store.accepted(id, now, &invocation);
        self.bytes += bytes;
        self.due.insert(invocation.tenant, now, id);
        let entry = QueueEntry {
            invocation,
            accepted_at: now,
            due_at: now,
            attempts: 0,
            rejections: 0,
            attempt_running: false,
            deduplication_deadline: None,
        };
        self.entries.insert(id, entry);
        Ok(id)
    }
}
