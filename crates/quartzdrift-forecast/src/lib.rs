//! Forecasts of when functions are used next, and statistics of the prefetches that the forecasts led to.
//!
//! The crate performs no I/O and reads no clock. Callers pass each time as the duration since 1970 (UTC).
//!
//! Call [`Forecasts::record_use`] for each use of a function. At the time [`Forecasts::next_due`], call
//! [`Forecasts::due`]: it returns the expected uses, each with its probability and time span. The scheduler
//! decides whether and where to load a function. [`PrefetchTracker`] records the results of the load commands
//! and starts a quiet period, without forecasts, for a function whose prefetches mostly go unused.
//! [`PrefetchPlanner`] combines both for a gateway.
//!
//! A forecast is a probability distribution over the gap between the last use and the next one. Each
//! [`Predictor`] gives a distribution, and is scored at each gap by the ranked probability score (Epstein
//! 1969). This score is proper: a predictor gets its best expected score by stating the distribution that it
//! believes. The predictor with the best recent score makes the forecasts of the function.
//!
//! * `predictor`: the predictors.
//! * `season`: uses by the time of day or week.
//! * `history`: the gaps of one function, and the predictions and scores of each predictor.
//! * `score`: the score of a predicted gap.
//! * `forecasts`: the forecasts of all functions, and the times at which they are made.
//! * `prefetch_tracker`: costs and benefits of prefetches.
//! * `snapshot`: serialization of forecasts, to keep them over a restart.
//! * `prefetch_planner`: forecasts and prefetch statistics combined.
mod forecasts;
mod history;
mod predictor;
mod prefetch_planner;
mod prefetch_tracker;
mod score;
mod season;
mod snapshot;

pub use forecasts::{ExpectedUse, ForecastScores, ForecastSettings, Forecasts};
pub use predictor::Predictor;
pub use prefetch_planner::PrefetchPlanner;
pub use prefetch_tracker::{PrefetchTotals, PrefetchTracker, QuietPeriod};
pub use snapshot::SnapshotError;
