//! The ranked probability score of a predicted gap: the mean squared difference between the predicted and the observed
//! cumulative distribution over bins (Epstein 1969). 0 is best.

/// Bins that gaps are scored on.
const BINS: usize = 20;
/// Upper edge of the first bin, in seconds; each further one doubles, up to a day and a half.
const FIRST_EDGE: f64 = 0.125;

/// Scores of the predictions of one gap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GapScore {
    /// Of the predictor that spoke for the function.
    pub(crate) chosen: f64,
    /// Of "as long as the last gap": a baseline.
    pub(crate) last: f64,
    /// Of "a use is always near", which keeps every copy loaded: a baseline.
    pub(crate) always: f64,
}

/// Upper edges of the bins, in seconds.
pub(crate) fn bin_edges() -> impl Iterator<Item = f64> {
    (0..BINS).map(|bin| FIRST_EDGE * f64::from(1u32 << bin))
}

/// Scores a cumulative distribution, given as the probability of a gap up to an edge, against the gap that came.
pub(crate) fn ranked_probability_score(gap: f64, probability_up_to: impl Fn(f64) -> f64) -> f64 {
    let squared_error = |edge: f64| {
        let observed = if gap <= edge { 1.0 } else { 0.0 };
        (probability_up_to(edge) - observed) * (probability_up_to(edge) - observed)
    };
    bin_edges().map(squared_error).sum::<f64>() / BINS as f64
}
