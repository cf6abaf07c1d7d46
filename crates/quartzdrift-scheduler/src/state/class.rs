//! State of a request class.
use crate::interface::{DeduplicationScope, Idempotency, RequestClass};
use crate::measure::Histogram;
use std::time::Duration;

/// Settings of a request class, and the measured durations of its attempts.
pub(crate) struct ClassState {
    pub(crate) idempotency: Idempotency,
    pub(crate) deduplication_scope: DeduplicationScope,
    pub(crate) deduplication_window: Duration,
    pub(crate) priority_weight: f64,
    pub(crate) latency_objective: Duration,
    /// Attempt timeout until enough durations are measured. It must exceed the execution time: otherwise
    /// every attempt would time out and no duration would ever be measured.
    pub(crate) default_timeout: Duration,
    /// Durations of attempts whose function was cached.
    pub(crate) cached_durations: Histogram,
    /// Durations of attempts that waited for a load.
    pub(crate) load_durations: Histogram,
}

impl ClassState {
    /// Creates the state of a class. `timeout` is the attempt timeout until enough durations are measured,
    /// unless the latency objective is longer. `durations` is an empty histogram.
    pub(crate) fn new(class: &RequestClass, timeout: Duration, durations: &Histogram) -> ClassState {
        ClassState {
            idempotency: class.idempotency,
            deduplication_scope: class.deduplication_scope,
            deduplication_window: class.deduplication_window.unwrap_or_default(),
            priority_weight: class.priority_weight.unwrap_or(1.0),
            latency_objective: class.latency_objective.or(class.timeout).unwrap_or(timeout),
            default_timeout: class.latency_objective.unwrap_or_default().max(timeout),
            cached_durations: durations.clone(),
            load_durations: durations.clone(),
        }
    }

    /// Records the duration of a successful attempt. If the function was cached, returns the duration
    /// relative to the class's mean.
    pub(crate) fn record_duration(&mut self, duration: Duration, was_cached: bool) -> Option<f64> {
        if !was_cached {
            self.load_durations.add(duration);
            return None;
        }
        self.cached_durations.add(duration);
        let mean = self.cached_durations.mean().filter(|mean| !mean.is_zero())?;
        Some(duration.as_secs_f64() / mean.as_secs_f64())
    }
}
