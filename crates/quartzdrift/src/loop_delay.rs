//! How long something may have waited unseen before the event loop reads it.
//!
//! What is read in a turn came after the loop had last looked at its sockets. Where the process had no processor meanwhile, or a
//! turn took long, that is a while ago, and the peer's time has run since. The process may lose its processor while it waits,
//! and also after the system has collected the events of a wait and before the process learns of them, so that neither end of
//! a wait tells when the loop looked. A wait that ends in time tells of no delay; only what exceeds its timeout length is
//! counted. What remains unnoticed is at most two timeout waits, of [`MAX_WAIT`] each.
use std::time::{Duration, Instant};

/// Longest wait of an event loop that counts its delay. Two of them are two thirds of the slack that the platform's protocol
/// allows for deadlines that are passed on.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(50);

/// A wait for events.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    began: Instant,
    /// How long it lasts at most.
    pub timeout: Duration,
}

impl Wait {
    /// A wait that begins now, and lasts no longer than `timeout` and [`MAX_WAIT`].
    pub(crate) fn begin(now: Instant, timeout: Duration) -> Wait {
        Wait {
            began: now,
            timeout: timeout.min(MAX_WAIT),
        }
    }

    /// When the loop had looked at its sockets at the latest, as far as the wait's end shows it.
    fn looked(&self, ended: Instant) -> Instant {
        ended.min(self.began + self.timeout)
    }
}

/// The last moments in which an event loop looked at its sockets.
pub(crate) struct LoopDelay {
    /// When what the last wait brought may have come.
    earliest_arrival: Instant,
    /// When the loop looked in the last wait, as far as its end shows that.
    looked: Instant,
    /// When the loop last looked at its sockets within a turn.
    looked_again: Instant,
}

impl LoopDelay {
    /// A loop that begins now.
    pub(crate) fn start(now: Instant) -> LoopDelay {
        LoopDelay {
            earliest_arrival: now,
            looked: now,
            looked_again: now,
        }
    }

    /// A wait has ended.
    pub(crate) fn woke(&mut self, now: Instant, wait: Wait) {
        self.earliest_arrival = now.min(self.looked + wait.timeout);
        self.looked = wait.looked(now);
    }

    /// When what is read now for the first time may have come.
    pub(crate) fn earliest_arrival(&self) -> Instant {
        self.earliest_arrival
    }

    /// The loop has looked at its sockets once more, within a turn.
    pub(crate) fn looked_again(&mut self, now: Instant) {
        self.looked_again = now;
    }

    /// When the loop last looked at its sockets.
    pub(crate) fn looked(&self) -> Instant {
        self.looked.max(self.looked_again)
    }
}

#[cfg(test)]
mod tests;
