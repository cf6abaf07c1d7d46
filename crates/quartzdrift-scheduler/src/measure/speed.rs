//! How fast kinds of machine are against each other.
use super::DecayingSums;
use std::time::Duration;

/// Speed of each kind of machine against the mean of all.
#[derive(Default)]
pub(crate) struct RelativeSpeeds {
    /// Attempts that found a cached copy.
    attempts: DecayingSums,
    /// Their durations, in units of the mean of their class.
    durations: DecayingSums,
}

impl RelativeSpeeds {
    pub(crate) fn new(half_life: Duration) -> RelativeSpeeds {
        RelativeSpeeds { attempts: DecayingSums::new(half_life), durations: DecayingSums::new(half_life) }
    }

    /// Adds an attempt and its duration, in units of the mean of its class.
    pub(crate) fn add(&mut self, kind: usize, relative_duration: f64, now: Duration) {
        self.attempts.add(kind, 1.0, now);
        self.durations.add(kind, relative_duration, now);
    }

    /// Speed of a kind, as if `prior` attempts of mean duration had been seen before.
    pub(crate) fn get(&self, kind: usize, prior: f64, now: Duration) -> f64 {
        (self.attempts.get(kind, now) + prior) / (self.durations.get(kind, now) + prior)
    }
}
