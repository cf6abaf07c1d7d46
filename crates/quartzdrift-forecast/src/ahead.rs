//! Forecasts and ledger together, as a gateway uses them: one call for each use and each load command.
use crate::forecasts::{Expected, Forecasts, Settings};
use crate::ledger::Ledger;
use std::time::Duration;

/// A load command that is answered sooner found its copy cached: no load is so short.
const MIN_FETCH_DURATION: Duration = Duration::from_millis(25);

/// What a gateway needs to load functions ahead of their use.
pub struct Ahead {
    /// When functions are used next.
    pub forecasts: Forecasts,
    /// What became of the loads.
    pub ledger: Ledger,
}

impl Ahead {
    /// Without any history.
    pub fn new(settings: Settings) -> Ahead {
        let ledger = Ledger::new(settings.keep);
        Ahead {
            forecasts: Forecasts::new(settings),
            ledger,
        }
    }

    /// A request of the function came; `load`: the configured duration of its load.
    pub fn used(&mut self, now: Duration, function: &str, load: Option<Duration>) {
        self.ledger.used(now, function);
        self.forecasts.used(now, function);
        if let Some(load) = load {
            self.forecasts.load_hint(function, load);
        }
    }

    /// A load command was sent for the function, which takes `memory_mb` of a worker's memory.
    pub fn ordered(&mut self, now: Duration, function: &str, memory_mb: f64) {
        self.ledger.ordered(now, function, memory_mb);
    }

    /// A load command was answered after `duration`.
    pub fn loaded(&mut self, now: Duration, function: &str, succeeded: bool, duration: Duration) {
        let fetched = succeeded && duration >= MIN_FETCH_DURATION;
        self.ledger.loaded(now, function, succeeded, fetched);
        if fetched {
            self.forecasts.load_took(function, duration);
        }
    }

    /// When [`Ahead::due`] has something to do.
    pub fn next_due(&self) -> Option<Duration> {
        let forecast_at = self.forecasts.next_due();
        let expiry_at = self.ledger.next_due();
        forecast_at.into_iter().chain(expiry_at).min()
    }

    /// Closes prefetches that expired, and returns the uses that are expected.
    pub fn due(&mut self, now: Duration) -> Vec<Expected> {
        for quiet in self.ledger.due(now) {
            self.forecasts.quiet(&quiet.function, quiet.until);
        }
        self.forecasts.due(now)
    }
}
