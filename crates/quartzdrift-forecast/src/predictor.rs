//! The predictors of the gap between two uses of a function.
use serde::{Deserialize, Serialize};

/// A method that predicts the gap to the next use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Predictor {
    /// Independent uses at the mean rate so far (a Poisson process).
    Steady,
    /// Independent uses at the rate of the last few gaps, which follows starts and ends of bursts.
    Trend,
    /// Gaps like the last ones with a small deviation, as from a schedule.
    Regular,
    /// Independent uses at the past rate at this time of the day.
    Day,
    /// Independent uses at the past rate at this time of the week.
    Week,
}

impl Predictor {
    /// All predictors, in the order of the stored scores of a history.
    pub const ALL: [Predictor; 5] = [
        Predictor::Steady,
        Predictor::Trend,
        Predictor::Regular,
        Predictor::Day,
        Predictor::Week,
    ];
}
