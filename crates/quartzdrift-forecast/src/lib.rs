//! Forecasts of when functions are used next, and a ledger of the prefetches that they led to. No I/O, no clock: times are since
//! 1970 and come from the caller.
//!
//! Call [`Forecasts::used`] for each use. When [`Forecasts::next_due`] has come, [`Forecasts::due`] returns which uses are
//! expected, with which probability and within which span; whether a function is loaded for it, and where, is up to the
//! scheduler. [`Ledger`] takes the results: a function whose prefetches go unused is not forecast for a while. [`Ahead`]
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
//! * `ledger`: what prefetches cost and saved.
//! * `snapshot`: forecasts as bytes that outlast the process.
//! * `ahead`: forecasts and ledger together.
mod ahead;
mod forecasts;
mod history;
mod ledger;
mod predictor;
mod score;
mod season;
mod snapshot;

pub use ahead::Ahead;
pub use forecasts::{Expected, Forecasts, Settings, Standing};
pub use ledger::{Ledger, QuietPeriod, Sums};
pub use predictor::Predictor;
pub use snapshot::SnapshotError;
