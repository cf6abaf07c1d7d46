//! Forecasts and ledger together, as a scheduler uses them.
use crate::forecasts::{Expected, Forecasts, Settings};
use crate::ledger::Ledger;
use std::time::Duration;

/// An order answered sooner than this found its copy standing: no load is so short.
const FETCHED_FROM: Duration = Duration::from_millis(25);

pub struct Ahead {
    pub forecasts: Forecasts,
    pub ledger: Ledger,
}

impl Ahead {
    pub fn new(settings: Settings) -> Ahead {
        let ledger = Ledger::new(settings.keep);
        Ahead {
            forecasts: Forecasts::new(settings),
            ledger,
        }
    }

    /// A request of the function came; `load` is what its load is told to take.
    pub fn used(&mut self, now: Duration, function: &str, load: Option<Duration>) {
        self.ledger.used(now, function);
        self.forecasts.used(now, function);
        if let Some(load) = load {
            self.forecasts.load_told(function, load);
        }
    }

    /// A load order left.
    pub fn ordered(&mut self, now: Duration, function: &str, memory_mb: f64) {
        self.ledger.ordered(now, function, memory_mb);
    }

    /// It was answered.
    pub fn loaded(&mut self, now: Duration, function: &str, good: bool, duration: Duration) {
        let fetched = good && duration >= FETCHED_FROM;
        self.ledger.loaded(now, function, good, fetched);
        if fetched {
            self.forecasts.load_took(function, duration);
        }
    }

    pub fn next_due(&self) -> Option<Duration> {
        [self.forecasts.next_due(), self.ledger.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// What is expected now.
    pub fn due(&mut self, now: Duration) -> Vec<Expected> {
        for (function, until) in self.ledger.due(now) {
            self.forecasts.quiet(&function, until);
        }
        self.forecasts.due(now)
    }
}
