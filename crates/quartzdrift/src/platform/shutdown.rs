//! The phases of a graceful shutdown and their deadlines. No I/O: the event loop asks for the next step and carries it out.
//!
//! ```text
//! SIGTERM -> Draining -> Closing -> exit
//!               |           |
//!               | nothing is open, no answer waits, and nothing more has arrived
//!               +-----------+
//! ```
//!
//! The process exits before SIGKILL is due, whatever the phase.
use std::time::Duration;

/// How long clients are waited for after SIGTERM. They go on coming for up to 0.6 s (0.4 s on new connections, 0.2 s more on
/// open ones); the rest is room for a slow machine.
const DRAIN_WINDOW: Duration = Duration::from_millis(1200);
/// SIGKILL may come this long after SIGTERM, past the longest timeout of a request class (the platform's protocol).
const KILL_DEADLINE: Duration = Duration::from_millis(700);
/// A longer timeout of a request class counts as this much (the platform's protocol).
const MAX_TIMEOUT: Duration = Duration::from_secs(3);
/// Kept before SIGKILL, for the last answers to leave and the process to end on a slow machine.
const FLUSH_MARGIN: Duration = Duration::from_millis(200);
/// How long clients may take to notice that their connections end, which takes a round trip, and to take what they were sent.
const CLOSE_LINGER: Duration = Duration::from_millis(250);

/// Where a shutdown stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Clients that still come are served.
    Draining,
    /// Clients were told that their connections end, and are waited for until `close_by`.
    Closing { close_by: Duration },
}

/// What the event loop is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Go on.
    Wait,
    /// If nothing more has arrived, tell all clients that their connections end.
    CloseIfQuiet,
    /// End the process.
    Exit,
}

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    /// Until then newcomers are waited for.
    drain_until: Duration,
    /// By then every request has its final answer.
    answer_by: Duration,
    /// Then the process ends, whatever is left.
    exit_by: Duration,
    phase: Phase,
}

impl Shutdown {
    /// A shutdown that begins at `now`; `timeouts` are those of the request classes.
    pub(super) fn new(now: Duration, timeouts: impl Iterator<Item = Option<Duration>>) -> Shutdown {
        let longest = timeouts
            .map(|timeout| timeout.unwrap_or(MAX_TIMEOUT))
            .max()
            .unwrap_or(MAX_TIMEOUT);
        let kill_at = now + longest.min(MAX_TIMEOUT) + KILL_DEADLINE;
        let answer_by = kill_at - FLUSH_MARGIN;
        Shutdown {
            drain_until: answer_by.min(now + DRAIN_WINDOW),
            answer_by,
            exit_by: kill_at - FLUSH_MARGIN / 2,
            phase: Phase::Draining,
        }
    }

    /// When what is open must have its final answer.
    pub(super) fn answer_by(&self) -> Duration {
        self.answer_by
    }

    /// What to do now, with so many clients connected. `answered`: whether nothing is open and no answer waits to be sent;
    /// asked only where it matters.
    pub(super) fn next_step(&self, now: Duration, clients: usize, answered: impl FnOnce() -> bool) -> Step {
        if now >= self.exit_by {
            return Step::Exit;
        }
        match self.phase {
            Phase::Closing { close_by } if clients == 0 || now >= close_by => Step::Exit,
            Phase::Draining if now >= self.drain_until && answered() => Step::CloseIfQuiet,
            Phase::Closing { .. } | Phase::Draining => Step::Wait,
        }
    }

    /// Clients were told that their connections end.
    pub(super) fn begin_closing(&mut self, now: Duration) {
        let close_by = (now + CLOSE_LINGER).min(self.exit_by);
        self.phase = Phase::Closing { close_by };
    }

    /// The next deadline for which the event loop must wake; none that has passed.
    pub(super) fn next_deadline(&self, now: Duration) -> Option<Duration> {
        let close_by = match self.phase {
            Phase::Draining => None,
            Phase::Closing { close_by } => Some(close_by),
        };
        let deadlines = [
            Some(self.drain_until),
            Some(self.answer_by),
            close_by,
            Some(self.exit_by),
        ];
        deadlines.into_iter().flatten().filter(|at| *at > now).min()
    }
}

#[cfg(test)]
mod tests;
