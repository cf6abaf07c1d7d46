//! The limit of asynchronous requests in flight during recovery: they use the capacity that synchronous
//! requests leave.
//!
//! The limit follows slow start and congestion avoidance (Jacobson 1988). Loads of functions are not limited
//! here: every such limit delayed the return of service (docs/gap.md).
use std::time::Duration;

/// The share of the synchronous requests answered in an observation that must have met their latency
/// objective for the limit to grow.
const HEALTHY_SHARE: f64 = 0.95;
/// Observations with fewer answers than this count as healthy: they are too few to show overload.
const MIN_ANSWERS: u64 = 5;
/// Length of an observation.
const OBSERVATION_LENGTH: Duration = Duration::from_secs(1);
/// Number of consecutive healthy observations, of a second each, after which synchronous service counts as
/// recovered.
const STABLE_SECONDS: u32 = 2;
/// Above the threshold the limit grows by the threshold divided by this number each second: a second of
/// overload costs synchronous requests more than a second of slow growth costs the backlog.
const GROWTH_DIVISOR: usize = 32;

/// Counts of the synchronous requests answered since `began_at`.
#[derive(Debug)]
struct Observation {
    began_at: Duration,
    answered: u64,
    /// Requests among `answered` that met their latency objective.
    on_time: u64,
}

impl Observation {
    fn new(began_at: Duration) -> Observation {
        Observation {
            began_at,
            answered: 0,
            on_time: 0,
        }
    }

    fn is_healthy(&self) -> bool {
        self.answered < MIN_ANSWERS || self.on_time as f64 >= HEALTHY_SHARE * self.answered as f64
    }
}

/// Limits the asynchronous requests in flight while the backlog of an outage drains beside synchronous
/// requests.
#[derive(Debug)]
pub(crate) struct BacklogDrain {
    /// The limit of requests in flight; 0 before the drain begins.
    limit: usize,
    max_limit: usize,
    /// The halved limit after the last overload; above it the limit grows slowly.
    threshold: usize,
    observation: Observation,
    /// The number of consecutive healthy observations, of a second each.
    healthy_seconds: u32,
}

impl BacklogDrain {
    /// Creates a drain that has not begun; `max_limit` is the limit of the settings.
    pub(crate) fn new(now: Duration, max_limit: usize) -> BacklogDrain {
        BacklogDrain {
            limit: 0,
            max_limit: max_limit.max(1),
            threshold: usize::MAX,
            observation: Observation::new(now),
            healthy_seconds: 0,
        }
    }

    /// The limit of asynchronous requests in flight.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Whether the limit has reached that of the settings.
    pub(crate) fn is_unlimited(&self) -> bool {
        self.limit >= self.max_limit
    }

    /// Whether synchronous service has been healthy for long enough to admit asynchronous requests beside it.
    pub(crate) fn is_stable(&self) -> bool {
        self.healthy_seconds >= STABLE_SECONDS
    }

    /// The time at which to call [`BacklogDrain::due`].
    pub(crate) fn next_due(&self) -> Duration {
        self.observation.began_at + OBSERVATION_LENGTH
    }

    /// Reports the final response to a synchronous request; `on_time`: it met its latency objective.
    pub(crate) fn request_answered(&mut self, on_time: bool) {
        self.observation.answered += 1;
        self.observation.on_time += u64::from(on_time);
    }

    /// Begins the drain with a limit of one request in flight.
    pub(crate) fn begin(&mut self) {
        self.limit = 1;
    }

    /// Ends the observation, if it is over at `now`, and adjusts the limit. The limit stays at one at least,
    /// so that the drain ends.
    pub(crate) fn due(&mut self, now: Duration) {
        if now < self.next_due() {
            return;
        }
        let observation = std::mem::replace(&mut self.observation, Observation::new(now));
        let is_healthy = observation.is_healthy();
        let was_healthy = self.healthy_seconds > 0;
        self.healthy_seconds = if is_healthy { self.healthy_seconds + 1 } else { 0 };
        if self.limit == 0 {
            return;
        }
        if is_healthy {
            self.grow();
        } else {
            self.halve(was_healthy);
        }
    }

    fn grow(&mut self) {
        let grown = if self.limit < self.threshold {
            (self.limit * 2).min(self.threshold)
        } else {
            self.limit + (self.threshold / GROWTH_DIVISOR).max(1)
        };
        self.limit = grown.min(self.max_limit);
    }

    fn halve(&mut self, was_healthy: bool) {
        self.limit = (self.limit / 2).max(1);
        // Only the first of consecutive overloaded observations shows which limit was too high.
        if was_healthy {
            self.threshold = self.limit;
        }
    }
}

#[cfg(test)]
mod tests;
