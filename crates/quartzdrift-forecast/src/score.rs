//! The ranked probability score of a predicted gap: the mean squared difference between the predicted and the
//! observed cumulative distribution over bins (Epstein 1969). 0 is best.

/// Number of bins in which gaps are scored.
const BINS: usize = 20;
/// Upper edge of the first bin, in seconds. Each further edge is twice the one before; the last is about 18
/// hours.
const FIRST_EDGE_SECONDS: f64 = 0.125;

/// Scores of the forecast and of two baselines for one gap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GapScore {
    /// Score of the predictor that made the forecast.
    pub(crate) chosen: f64,
    /// Score of the baseline that predicts a gap as long as the last one.
    pub(crate) last_gap_baseline: f64,
    /// Score of the baseline that always predicts an immediate use, and so keeps every copy loaded.
    pub(crate) always_near_baseline: f64,
}

/// Upper edges of the bins, in seconds.
pub(crate) fn bin_edges() -> impl Iterator<Item = f64> {
    (0..BINS).map(|bin| FIRST_EDGE_SECONDS * f64::from(1u32 << bin))
}

/// Scores a predicted distribution against the observed `gap` in seconds. `probability_up_to` is the
/// cumulative distribution: the probability of a gap up to an edge in seconds.
pub(crate) fn ranked_probability_score(gap: f64, probability_up_to: impl Fn(f64) -> f64) -> f64 {
    let squared_error = |edge: f64| {
        let observed = if gap <= edge { 1.0 } else { 0.0 };
        (probability_up_to(edge) - observed) * (probability_up_to(edge) - observed)
    };
    bin_edges().map(squared_error).sum::<f64>() / BINS as f64
}
