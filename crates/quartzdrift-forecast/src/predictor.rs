//! The predictors of the gap between two uses of a function.
use serde::{Deserialize, Serialize};

/// How the next use is predicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Predictor {
    /// Independent uses at the mean rate so far (a Poisson process).
    Steady,
    /// Independent uses at the rate of the last few gaps, which follows bursts and their ends.
    Trend,
    /// Gaps like the last ones, each a little spread, as of a schedule.
    Regular,
    /// Independent uses at the rate that this time of the day had.
    Day,
    /// Independent uses at the rate that this time of the week had.
    Week,
}

impl Predictor {
    /// All predictors, in the order of the scores of a history.
    pub const ALL: [Predictor; 5] = [
        Predictor::Steady,
        Predictor::Trend,
        Predictor::Regular,
        Predictor::Day,
        Predictor::Week,
    ];
}
