//! How fast kinds of machine are against each other.
use super::DecayingSums;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Speed of each kind of machine against the mean of all.
#[derive(Default)]
pub(crate) struct RelativeSpeeds {
    /// Attempts that found a cached copy.
    attempts: DecayingSums,
    /// Their durations, in units of the mean of their class.
    durations: DecayingSums,
    /// Speeds that were asked for, by kind, each with the time that it is for: a decision asks for each
    /// worker's.
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

    /// Adds an attempt and its duration, in units of the mean of its class.
    pub(crate) fn add(&mut self, kind: usize, relative_duration: f64, now: Duration) {
        self.attempts.add(kind, 1.0, now);
        self.durations.add(kind, relative_duration, now);
        self.cached_speeds.get_mut().clear();
    }

    /// Speed of a kind, as if `prior` attempts of mean duration had been seen before.
    pub(crate) fn get(&self, kind: usize, prior: f64, now: Duration) -> f64 {
        let known = self.cached_speeds.borrow().get(&kind).copied();
        if let Some((_, speed)) = known.filter(|(at, _)| *at == now) {
            return speed;
        }
        let speed = (self.attempts.get(kind, now) + prior) / (self.durations.get(kind, now) + prior);
        self.cached_speeds.borrow_mut().insert(kind, (now, speed));
        speed
    }
}
