//! Forecasts and prefetch statistics combined for a gateway, which calls this module for each use and load
//! command.
use crate::forecasts::{ExpectedUse, ForecastSettings, Forecasts};
use crate::prefetch_tracker::PrefetchTracker;
use std::time::Duration;

/// Minimum duration of a load. A load command that ends sooner found the function cached.
const MIN_FETCH_DURATION: Duration = Duration::from_millis(25);

/// Forecasts the uses of functions, and tracks the prefetches that follow.
pub struct PrefetchPlanner {
    /// Forecasts of the next uses.
    pub forecasts: Forecasts,
    /// Costs and benefits of the prefetches.
    pub tracker: PrefetchTracker,
}

impl PrefetchPlanner {
    /// Creates a planner without any history.
    pub fn new(settings: ForecastSettings) -> PrefetchPlanner {
        let tracker = PrefetchTracker::new(settings.keep_alive);
        PrefetchPlanner {
            forecasts: Forecasts::new(settings),
            tracker,
        }
    }

    /// Records a request to the function. `load` is the configured duration of a load of the function.
    pub fn record_use(&mut self, now: Duration, function: &str, load: Option<Duration>) {
        self.tracker.record_use(now, function);
        self.forecasts.record_use(now, function);
        if let Some(load) = load {
            self.forecasts.set_load_hint(function, load);
        }
    }

    /// Records that a load command was sent for the function. `memory_mb` is the memory of its copy.
    pub fn record_load_command(&mut self, now: Duration, function: &str, memory_mb: f64) {
        self.tracker.record_load_command(now, function, memory_mb);
    }

    /// Records that a load command ended `duration` after it was sent.
    pub fn record_load_end(&mut self, now: Duration, function: &str, succeeded: bool, duration: Duration) {
        let fetched = succeeded && duration >= MIN_FETCH_DURATION;
        self.tracker.record_load_end(now, function, succeeded, fetched);
        if fetched {
            self.forecasts.record_load_duration(function, duration);
        }
    }

    /// Time of the next forecast or expiry of a prefetch, when [`PrefetchPlanner::due`] has to be called.
    pub fn next_due(&self) -> Option<Duration> {
        let forecast_at = self.forecasts.next_due();
        let expiry_at = self.tracker.next_due();
        forecast_at.into_iter().chain(expiry_at).min()
    }

    /// Closes expired prefetches, starts the quiet periods that result, and returns the expected uses.
    pub fn due(&mut self, now: Duration) -> Vec<ExpectedUse> {
        for quiet in self.tracker.due(now) {
            self.forecasts.start_quiet_period(&quiet.function, quiet.until);
        }
        self.forecasts.due(now)
    }
}
