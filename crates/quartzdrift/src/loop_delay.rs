//! Estimates how long received bytes may have waited before the event loop read them.
//!
//! Bytes that the loop reads in a turn arrived after its previous check of the sockets. If the system did not
//! schedule the process in between, or a turn took long, that check is long ago, and the peer's timeout has
//! been running since. The process may be descheduled while it waits for events, and also after the kernel
//! has collected the events and before the process receives them, so neither the start nor the end of a wait
//! shows when the sockets were checked. A wait that ends within its timeout counts as no delay; only the time
//! beyond the timeout counts. The delay that goes undetected is at most two timeouts, of `MAX_WAIT` each.
use std::time::{Duration, Instant};

/// Longest timeout of a wait whose delay is estimated. Two such waits take two thirds of the slack that the
/// platform's protocol allows for deadlines that are sent to workers.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(50);

/// One wait of the event loop for events.
#[derive(Clone, Copy, Debug)]
pub struct EventWait {
    started_at: Instant,
    /// Longest time to wait if no event occurs.
    pub timeout: Duration,
}

impl EventWait {
    /// Starts a wait at `now`. Its timeout is `timeout`, but at most [`MAX_WAIT`].
    pub(crate) fn begin(now: Instant, timeout: Duration) -> EventWait {
        EventWait {
            started_at: now,
            timeout: timeout.min(MAX_WAIT),
        }
    }

    /// Latest time at which the loop is known to have checked its sockets, for a wait that ended at
    /// `ended_at`.
    fn last_socket_check(&self, ended_at: Instant) -> Instant {
        ended_at.min(self.started_at + self.timeout)
    }
}

/// Tracks when an event loop last checked its sockets.
pub(crate) struct LoopDelay {
    /// Earliest time at which the bytes that are read after the last wait may have arrived.
    earliest_arrival: Instant,
    /// The last socket check that the waits prove.
    last_check_in_wait: Instant,
}

impl LoopDelay {
    /// The state of a loop that starts at `now`.
    pub(crate) fn start(now: Instant) -> LoopDelay {
        LoopDelay {
            earliest_arrival: now,
            last_check_in_wait: now,
        }
    }

    /// Records that `wait` ended at `now`.
    pub(crate) fn wait_ended(&mut self, now: Instant, wait: EventWait) {
        self.earliest_arrival = now.min(self.last_check_in_wait + wait.timeout);
        self.last_check_in_wait = wait.last_socket_check(now);
    }

    /// Earliest time at which bytes that are read for the first time now may have arrived.
    pub(crate) fn earliest_arrival(&self) -> Instant {
        self.earliest_arrival
    }

    /// Time of the last socket check that the waits prove.
    pub(crate) fn last_socket_check(&self) -> Instant {
        self.last_check_in_wait
    }
}

#[cfg(test)]
mod tests;
