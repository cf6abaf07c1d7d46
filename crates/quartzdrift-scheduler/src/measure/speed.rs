//! Relative speeds of the kinds of machine.
use super::DecayingSums;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Speed of each kind of machine relative to the mean of all kinds.
#[derive(Default)]
pub(crate) struct RelativeSpeeds {
    /// Number of attempts whose function was cached, by kind of machine.
    attempts: DecayingSums,
    /// Sum of the durations of attempts whose function was cached, by kind of machine. Each duration is
    /// relative to the mean of its request class.
    durations: DecayingSums,
    /// Computed speeds by kind, each with the time it is valid for. A placement reads the speed once per
    /// worker.
    cached_speeds: RefCell<BTreeMap<usize, (Duration, f64)>>,
}

impl RelativeSpeeds {
    pub(crate) fn new(half_life: Duration) -> RelativeSpeeds {
        RelativeSpeeds {
            attempts: DecayingSums::new(half_life),
            durations: DecayingSums::new(half_life),
            cached_speeds: RefCell::default(),
        }
    }

    /// Adds an attempt with its duration, relative to the mean of its request class.
    pub(crate) fn add(&mut self, kind: usize, relative_duration: f64, now: Duration) {
        self.attempts.add(kind, 1.0, now);
        self.durations.add(kind, relative_duration, now);
        self.cached_speeds.get_mut().clear();
    }

    /// Returns the speed of a kind. `prior` attempts of mean duration are added to its samples, which keeps
    /// the speed of a kind with few samples close to 1.
    pub(crate) fn get(&self, kind: usize, prior: f64, now: Duration) -> f64 {
        let cached = self.cached_speeds.borrow().get(&kind).copied();
        if let Some((_, speed)) = cached.filter(|(valid_at, _)| *valid_at == now) {
            return speed;
        }
        let speed = (self.attempts.get(kind, now) + prior) / (self.durations.get(kind, now) + prior);
        self.cached_speeds.borrow_mut().insert(kind, (now, speed));
        speed
    }
}
