//! The phases of a graceful shutdown and their deadlines, without I/O: the event loop requests the next step
//! and carries it out.
//!
//! ```text
//! SIGTERM -> draining -> closing -> exit
//! ```
//!
//! While draining, all clients are served. While closing, no connections are accepted, and each client's
//! connection is closed when it is idle: every request that was read is answered, and a request that the
//! client sends during the close is never read, so the client can safely send it to another scheduler. The
//! process exits once no client is left, and in any phase before SIGKILL is due.
use std::time::Duration;

/// Length of the drain phase after SIGTERM, if the kill deadline allows it.
const DRAIN_WINDOW: Duration = Duration::from_millis(1200);
/// Minimum length of the drain phase. Clients open new connections for up to 0.4 s after SIGTERM, and 0.2 s
/// longer if they have none open (the platform's protocol); the remaining 0.05 s allow for a slow machine.
const MIN_DRAIN_WINDOW: Duration = Duration::from_millis(650);
/// SIGKILL may follow SIGTERM after this time plus the longest timeout of a request class (the platform's
/// protocol).
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Upper limit of a request class's timeout in the kill deadline (the platform's protocol).
const MAX_TIMEOUT: Duration = Duration::from_secs(3);
/// Time reserved before SIGKILL to send the last answers and to exit on a slow machine. It is shorter if the
/// timeouts are so short that the full margin would cut into the minimum drain phase.
const FLUSH_MARGIN: Duration = Duration::from_millis(200);
/// Time before the answer deadline in which connections are closed as their last requests are answered.
const CLOSING_SPAN: Duration = Duration::from_millis(100);
/// Interval between attempts to close the connections that were not idle.
const CLOSE_INTERVAL: Duration = Duration::from_millis(20);

/// The next step of the event loop in a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownStep {
    /// Continue to serve clients.
    Wait,
    /// Accept no more connections, and close the idle ones.
    CloseIdle,
    /// Answer the requests that have arrived, and end the process.
    Exit,
}

/// The deadlines of a shutdown that has started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    /// End of the drain phase, in which all clients are served.
    drain_until: Duration,
    /// Deadline for the final answers of all requests.
    answer_by: Duration,
    /// Time at which the process exits, even if clients are still connected.
    exit_by: Duration,
}

impl Shutdown {
    /// Plans a shutdown that starts at `now`. `timeouts` are the timeouts of the request classes; `None`
    /// counts as [`MAX_TIMEOUT`].
    pub(super) fn new(now: Duration, timeouts: impl Iterator<Item = Option<Duration>>) -> Shutdown {
        let longest = timeouts
            .map(|timeout| timeout.unwrap_or(MAX_TIMEOUT))
            .max()
            .unwrap_or(MAX_TIMEOUT);
        let kill_after = longest.min(MAX_TIMEOUT) + KILL_DELAY;
        let answer_after = kill_after.saturating_sub(FLUSH_MARGIN).max(MIN_DRAIN_WINDOW);
        let closing_after = answer_after.saturating_sub(CLOSING_SPAN).max(MIN_DRAIN_WINDOW);
        Shutdown {
            drain_until: now + closing_after.min(DRAIN_WINDOW),
            answer_by: now + answer_after,
            exit_by: now + (answer_after + kill_after) / 2,
        }
    }

    /// Deadline for the final answers of all requests.
    pub(super) fn answer_by(&self) -> Duration {
        self.answer_by
    }

    /// The step that is due at `now`.
    pub(super) fn next_step(&self, now: Duration) -> ShutdownStep {
        if now >= self.exit_by {
            ShutdownStep::Exit
        } else if now >= self.drain_until {
            ShutdownStep::CloseIdle
        } else {
            ShutdownStep::Wait
        }
    }

    /// The first deadline after `now`, for which the event loop must wake up.
    pub(super) fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let close_again = (now >= self.drain_until).then_some(now + CLOSE_INTERVAL);
        let deadlines = [
            Some(self.drain_until),
            Some(self.answer_by),
            close_again,
            Some(self.exit_by),
        ];
        deadlines.into_iter().flatten().filter(|at| *at > now).min()
    }
}

#[cfg(test)]
mod tests;
