//! Forecasts and ledger together, as a gateway uses them: one call for each use and each load command.
use crate::forecasts::{ExpectedUse, ForecastSettings, Forecasts};
use crate::prefetch_tracker::PrefetchTracker;
use std::time::Duration;

/// A load command that is answered sooner found its copy cached: no load is so short.
const MIN_FETCH_DURATION: Duration = Duration::from_millis(25);

/// What a gateway needs to load functions ahead of their use.
pub struct PrefetchPlanner {
    /// When functions are used next.
    pub forecasts: Forecasts,
    /// What became of the loads.
    pub tracker: PrefetchTracker,
}

impl PrefetchPlanner {
    /// Without any history.
    pub fn new(settings: ForecastSettings) -> PrefetchPlanner {
        let tracker = PrefetchTracker::new(settings.keep_alive);
        PrefetchPlanner {
            forecasts: Forecasts::new(settings),
            tracker,
        }
    }

    /// A request of the function came; `load`: the configured duration of its load.
    pub fn record_use(&mut self, now: Duration, function: &str, load: Option<Duration>) {
        self.tracker.record_use(now, function);
        self.forecasts.record_use(now, function);
        if let Some(load) = load {
            self.forecasts.set_load_hint(function, load);
        }
    }

    /// A load command was sent for the function, which takes `memory_mb` of a worker's memory.
    pub fn record_load_command(&mut self, now: Duration, function: &str, memory_mb: f64) {
        self.tracker.record_load_command(now, function, memory_mb);
    }

    /// A load command was answered after `duration`.
    pub fn record_load_end(&mut self, now: Duration, function: &str, succeeded: bool, duration: Duration) {
        let fetched = succeeded && duration >= MIN_FETCH_DURATION;
        self.tracker.record_load_end(now, function, succeeded, fetched);
        if fetched {
            self.forecasts.record_load_duration(function, duration);
        }
    }

    /// When [`PrefetchPlanner::due`] has something to do.
    pub fn next_due(&self) -> Option<Duration> {
        let forecast_at = self.forecasts.next_due();
        let expiry_at = self.tracker.next_due();
        forecast_at.into_iter().chain(expiry_at).min()
    }

    /// Closes prefetches that expired, and returns the uses that are expected.
    pub fn due(&mut self, now: Duration) -> Vec<ExpectedUse> {
        for quiet in self.tracker.due(now) {
            self.forecasts.start_quiet_period(&quiet.function, quiet.until);
        }
        self.forecasts.due(now)
    }
}
