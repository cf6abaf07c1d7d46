//! What is due when. Each entry can be taken back, so that timers of what has ended are no burden.
use std::collections::BTreeMap;
use std::time::Duration;

/// Names one timer; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(Duration, u64);

#[derive(Debug)]
pub struct Timers<T> {
    due: BTreeMap<TimerId, T>,
    drawn: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            due: BTreeMap::new(),
            drawn: 0,
        }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, at: Duration, what: T) -> TimerId {
        self.drawn += 1;
        let id = TimerId(at, self.drawn);
        self.due.insert(id, what);
        id
    }

    pub fn cancel(&mut self, id: TimerId) -> Option<T> {
        self.due.remove(&id)
    }

    pub fn next(&self) -> Option<Duration> {
        self.due.first_key_value().map(|(id, _)| id.0)
    }

    /// The first that is due, taken out; those of one moment in the order in which they were set.
    pub fn pop(&mut self, now: Duration) -> Option<T> {
        let first = self.due.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    pub fn len(&self) -> usize {
        self.due.len()
    }

    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
