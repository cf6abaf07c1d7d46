//! How many asynchronous requests are in flight while service returns, by what synchronous requests leave.
//!
//! Slow start and congestion avoidance (Jacobson 1988). Loads of functions are not limited here: each way that was tried
//! made service return later (docs/gap.md).
use std::time::Duration;

/// The share of synchronous requests answered in a second that must have met their latency objective for the limit to grow.
const HEALTHY_SHARE: f64 = 0.95;
/// Fewer answers in a second are no evidence against it.
const MIN_ANSWERS: u64 = 5;
/// Length of an observation.
const SECOND: Duration = Duration::from_secs(1);
/// Healthy seconds in a row after which synchronous service counts as recovered.
const STABLE_SECONDS: u32 = 2;
/// Past the threshold the limit grows by such a part of the threshold a second: a second of overload costs synchronous
/// requests more than a slow one costs the backlog.
const GROWTH_DIVISOR: usize = 32;

/// The synchronous requests answered since `begun`.
#[derive(Debug)]
struct Observation {
    begun: Duration,
    answered: u64,
    on_time: u64,
}

impl Observation {
    fn new(begun: Duration) -> Observation {
        Observation {
            begun,
            answered: 0,
            on_time: 0,
        }
    }

    fn is_healthy(&self) -> bool {
        self.answered < MIN_ANSWERS || self.on_time as f64 >= HEALTHY_SHARE * self.answered as f64
    }
}

/// Limits asynchronous requests in flight while the backlog of an outage drains beside synchronous requests.
#[derive(Debug)]
pub(crate) struct BacklogDrain {
    /// Requests in flight at most; 0 before the drain begins.
    limit: usize,
    max_limit: usize,
    /// The limit left after the last overload; growth beyond it is slow.
    threshold: usize,
    observation: Observation,
    /// Healthy seconds in a row.
    healthy_seconds: u32,
}

impl BacklogDrain {
    /// A drain that has not begun; `max_limit`: what the settings allow.
    pub(crate) fn new(now: Duration, max_limit: usize) -> BacklogDrain {
        BacklogDrain {
            limit: 0,
            max_limit: max_limit.max(1),
            threshold: usize::MAX,
            observation: Observation::new(now),
            healthy_seconds: 0,
        }
    }

    /// Asynchronous requests in flight at most.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Whether the limit is that of the settings.
    pub(crate) fn is_unlimited(&self) -> bool {
        self.limit >= self.max_limit
    }

    /// Whether synchronous service was healthy for long enough to admit more beside it.
    pub(crate) fn is_stable(&self) -> bool {
        self.healthy_seconds >= STABLE_SECONDS
    }

    /// When [`BacklogDrain::due`] is to be called.
    pub(crate) fn next_due(&self) -> Duration {
        self.observation.begun + SECOND
    }

    /// A synchronous request had its final answer.
    pub(crate) fn request_answered(&mut self, on_time: bool) {
        self.observation.answered += 1;
        self.observation.on_time += u64::from(on_time);
    }

    /// Begins the drain with one request at a time.
    pub(crate) fn begin(&mut self) {
        self.limit = 1;
    }

    /// Ends a second's observation and adjusts the limit. At least one request is always admitted, so that the drain ends.
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
        // Only the first overloaded second of a run shows which limit was too high.
        if was_healthy {
            self.threshold = self.limit;
        }
    }
}

#[cfg(test)]
mod tests;
