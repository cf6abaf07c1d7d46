//! The phases of a graceful shutdown and their deadlines. No I/O: the event loop asks for the next step and carries it out.
//!
//! ```text
//! SIGTERM -> draining -> closing -> exit
//! ```
//!
//! While draining, all clients are served. While closing, no connection is accepted any more, and each client's connection is
//! closed at a moment when nothing is open on it: nothing is read that is not answered, and whatever a client sends into the
//! close was never read, so that it can send it again elsewhere. The process exits once no client is left, and before SIGKILL
//! is due whatever the phase.
use std::time::Duration;

/// How long clients are served as ever after SIGTERM, where the kill deadline leaves so much.
const DRAIN_WINDOW: Duration = Duration::from_millis(1200);
/// New connections come for up to 0.4 s after SIGTERM, and requests that find none open for 0.2 s more (the platform's
/// protocol); the rest is room for a slow machine.
const MIN_DRAIN_WINDOW: Duration = Duration::from_millis(650);
/// SIGKILL may come this long after SIGTERM, past the longest timeout of a request class (the platform's protocol).
const KILL_DEADLINE: Duration = Duration::from_millis(700);
/// A longer timeout of a request class counts as this much (the platform's protocol).
const MAX_TIMEOUT: Duration = Duration::from_secs(3);
/// Kept before SIGKILL, for the last answers to leave and the process to end on a slow machine; less where the timeouts are so
/// short that clients could not come until then.
const FLUSH_MARGIN: Duration = Duration::from_millis(200);
/// How long connections are closed, each behind an answer of its own, before what is open is ended.
const CLOSING_SPAN: Duration = Duration::from_millis(100);
/// Between two looks at connections that could not be closed yet.
const CLOSE_INTERVAL: Duration = Duration::from_millis(20);

/// What the event loop is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Go on.
    Wait,
    /// Accept no more connections, and close those on which nothing is open.
    CloseIdle,
    /// Answer what has come, and end the process.
    Exit,
}

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    /// Until then all clients are served as ever.
    drain_until: Duration,
    /// By then every request has its final answer.
    answer_by: Duration,
    /// Then the process ends, whatever is left.
    exit_by: Duration,
}

impl Shutdown {
    /// A shutdown that begins at `now`; `timeouts` are those of the request classes.
    pub(super) fn new(now: Duration, timeouts: impl Iterator<Item = Option<Duration>>) -> Shutdown {
        let longest = timeouts
            .map(|timeout| timeout.unwrap_or(MAX_TIMEOUT))
            .max()
            .unwrap_or(MAX_TIMEOUT);
        let kill_after = longest.min(MAX_TIMEOUT) + KILL_DEADLINE;
        let answer_after = kill_after.saturating_sub(FLUSH_MARGIN).max(MIN_DRAIN_WINDOW);
        let closing_after = answer_after.saturating_sub(CLOSING_SPAN).max(MIN_DRAIN_WINDOW);
        Shutdown {
            drain_until: now + closing_after.min(DRAIN_WINDOW),
            answer_by: now + answer_after,
            exit_by: now + (answer_after + kill_after) / 2,
        }
    }

    /// When what is open must have its final answer.
    pub(super) fn answer_by(&self) -> Duration {
        self.answer_by
    }

    /// What to do now.
    pub(super) fn next_step(&self, now: Duration) -> Step {
        if now >= self.exit_by {
            Step::Exit
        } else if now >= self.drain_until {
            Step::CloseIdle
        } else {
            Step::Wait
        }
    }

    /// The next deadline for which the event loop must wake; none that has passed.
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
