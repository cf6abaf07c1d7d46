//! A queue of cancellable timers. Cancelling removes the timer at once, so the queue holds no stale timers.
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Identifies a timer within one [`Timers`] queue. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    fires_at: Duration,
    sequence: u64,
}

/// Queue of timers, each with an event of type `T`. Setting, cancelling and popping a timer take logarithmic
/// time.
#[derive(Debug)]
pub struct Timers<T> {
    pending: BTreeMap<TimerId, T>,
    last_sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            pending: BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Time at which the next timer fires; `None` if no timer is set.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.pending.first_key_value().map(|(id, _)| id.fires_at)
    }

    /// Number of timers that are set.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no timers are set.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Sets a timer that fires at `fires_at` and then yields `event`.
    pub fn set(&mut self, fires_at: Duration, event: T) -> TimerId {
        self.last_sequence += 1;
        let id = TimerId {
            fires_at,
            sequence: self.last_sequence,
        };
        self.pending.insert(id, event);
        id
    }

    /// Cancels a timer and returns its event; `None` if the timer has fired or was already cancelled.
    pub fn cancel(&mut self, id: TimerId) -> Option<T> {
        self.pending.remove(&id)
    }

    /// Removes the earliest timer that fires at or before `now`, and returns its event. Timers with the same
    /// time fire in the order in which they were set.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        let first = self
            .pending
            .first_entry()
            .filter(|first| first.key().fires_at <= now)?;
        Some(first.remove())
    }
}
