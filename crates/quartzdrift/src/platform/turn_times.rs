//! Measures how long the parts of the event loop's turns take.
use std::time::{Duration, Instant};

/// The longest turn and the longest time of each of its parts since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TurnTimes {
    pub(super) turn: Duration,
    /// Accepting connections.
    pub(super) accept: Duration,
    /// Reading clients and workers.
    pub(super) sockets: Duration,
    /// Deadlines of sockets and requests.
    pub(super) deadlines: Duration,
    /// Sending output.
    pub(super) flush: Duration,
}

/// Measures the parts of one turn.
pub(super) struct TurnTimer {
    started_at: Instant,
    part_started_at: Instant,
}

impl TurnTimer {
    /// Starts the turn and its first part.
    pub(super) fn start() -> TurnTimer {
        let now = Instant::now();
        TurnTimer {
            started_at: now,
            part_started_at: now,
        }
    }

    /// Ends a part of the turn, and raises its longest time.
    pub(super) fn end_part(&mut self, longest: &mut Duration) {
        let now = Instant::now();
        *longest = (*longest).max(now - self.part_started_at);
        self.part_started_at = now;
    }

    /// Ends the turn, and raises the longest time.
    pub(super) fn end(self, longest: &mut Duration) {
        *longest = (*longest).max(self.started_at.elapsed());
    }
}
