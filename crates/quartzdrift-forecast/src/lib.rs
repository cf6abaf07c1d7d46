//! Forecasts of when functions are used next, and a ledger of the prefetches that they led to. No I/O, no clock: times are since
//! 1970 and come from the caller.
//!
//! Call [`Forecasts::record_use`] for each use. When [`Forecasts::next_due`] has come, [`Forecasts::due`] returns which uses are
//! expected, with which probability and within which span; whether a function is loaded for it, and where, is up to the
//! scheduler. [`PrefetchTracker`] takes the results: a function whose prefetches go unused is not forecast for a while. [`PrefetchPlanner`]
//! combines both, as a gateway needs them.
//!
//! The next use of a function is a distribution over the gap to it. Each [`Predictor`] gives one, and is scored at each gap
//! by the ranked probability score (Epstein 1969), a proper score: stating another distribution than the believed one gains
//! nothing. The predictor with the best recent score speaks for the function.
//!
//! * `predictor`: the predictors.
//! * `season`: uses by the time of day or week.
//! * `history`: the gaps of one function, and what each predictor makes of them.
//! * `score`: the score of a predicted gap.
//! * `forecasts`: all functions, and when each is worth a look.
//! * `prefetch_tracker`: what prefetches cost and saved.
//! * `snapshot`: forecasts as bytes that outlast the process.
//! * `prefetch_planner`: forecasts and ledger together.
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
