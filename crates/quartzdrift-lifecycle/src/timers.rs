//! A queue of timers that can be cancelled, so that timers of what has ended cost nothing.
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Identifies one timer of a [`Timers`]; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    at: Duration,
    sequence: u64,
}

/// Timers in the order in which they fire. Setting, cancelling and popping take logarithmic time.
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
    /// When the next timer fires.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.pending.first_key_value().map(|(id, _)| id.at)
    }

    /// How many timers are set.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Sets a timer that fires at `at` with `expiry`.
    pub fn set(&mut self, at: Duration, expiry: T) -> TimerId {
        self.last_sequence += 1;
        let id = TimerId {
            at,
            sequence: self.last_sequence,
        };
        self.pending.insert(id, expiry);
        id
    }

    /// Cancels a timer. `None` if it has fired or was cancelled before.
    pub fn cancel(&mut self, id: TimerId) -> Option<T> {
        self.pending.remove(&id)
    }

    /// Removes the first timer that has fired by `now`. Timers of the same time fire in the order in which they were set.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        let first = self.pending.first_entry().filter(|first| first.key().at <= now)?;
        Some(first.remove())
    }
}
