//! The history of one function: its last gaps, and the predictions and scores of each predictor.
use crate::predictor::Predictor;
use crate::score::{GapScore, bin_edges, ranked_probability_score};
use crate::season::Season;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Number of stored gaps: enough to distinguish a schedule from random uses.
const MAX_GAPS: usize = 8;
/// Number of gaps before predictors are scored.
const MIN_GAPS_TO_SCORE: usize = 3;
/// Probability that [`Predictor::Regular`] assigns to gaps longer than the stored ones if one gap is
/// stored. It is divided by the number of stored gaps.
const OTHER_GAP_PROBABILITY: f64 = 0.3;
/// Deviation of a regular use from its time, earlier or later, as a share of the gap.
const SPREAD_SHARE: f64 = 0.02;
/// Minimum deviation of a regular use, in seconds.
const MIN_SPREAD_SECONDS: f64 = 0.1;
/// Factor on the score of [`Predictor::Regular`] in the comparison with others: eight random gaps may look
/// regular.
const REGULAR_SCORE_FACTOR: f32 = 1.2;
/// Weight of the newest gap in the scores.
const SCORE_WEIGHT: f32 = 0.12;
/// Weight of the newest gap in the mean of [`Predictor::Trend`].
const TREND_WEIGHT: f64 = 0.5;
/// Weight of the newest gap in the mean of [`Predictor::Steady`].
const STEADY_WEIGHT: f64 = 0.12;

/// The last uses of a function, and the state of its predictors.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct History {
    /// Time of the last use, in seconds since 1970.
    #[serde(rename = "last")]
    pub(crate) last_use: f64,
    /// Number of uses since the start of the history.
    pub(crate) uses: u32,
    /// The last gaps in seconds, as a ring buffer.
    gaps: Vec<f32>,
    /// Index in the ring buffer that is written next.
    #[serde(rename = "next")]
    next_gap: usize,
    /// Mean gap in seconds; 0: no gap recorded.
    #[serde(rename = "steady")]
    steady_mean: f32,
    /// Mean of the last few gaps in seconds; 0: no gap recorded.
    #[serde(rename = "quick")]
    trend_mean: f32,
    /// Uses by period, in the order of the periods in the settings; empty until enough uses were recorded.
    pub(crate) seasons: Vec<Season>,
    /// Mean score by predictor, in the order of [`Predictor::ALL`].
    scores: [f32; Predictor::ALL.len()],
    /// Number of scored gaps.
    scored: u32,
}

impl History {
    /// Probability that the next use comes within `gap` seconds of the last one, by a predictor; `None` where
    /// the predictor has too little data.
    pub(crate) fn probability_within(&self, predictor: Predictor, gap: f64) -> Option<f64> {
        match predictor {
            Predictor::Steady => exponential_probability_within(self.steady_mean, gap),
            Predictor::Trend => exponential_probability_within(self.trend_mean, gap),
            Predictor::Regular => self.regular_probability_within(gap),
            Predictor::Day => self.seasonal_probability_within(0, gap),
            Predictor::Week => self.seasonal_probability_within(1, gap),
        }
    }

    /// Records a use: scores the predictions of the gap before it, then updates the predictors. A copy stays
    /// loaded over a gap below `short_gap`, so that no forecast is needed; such a gap only updates the rate.
    pub(crate) fn record_use(&mut self, at: Duration, short_gap: Duration) -> Option<GapScore> {
        let now = at.as_secs_f64();
        let gap = now - self.last_use;
        let mut score = None;
        if self.uses > 0 && gap > 0.0 {
            if gap < short_gap.as_secs_f64() {
                self.trend_mean += (gap as f32 - self.trend_mean) * TREND_WEIGHT as f32;
            } else {
                score = self.score_gap(gap);
                self.store_gap(gap);
            }
        }
        for season in &mut self.seasons {
            season.record_use(at);
        }
        self.uses += 1;
        self.last_use = self.last_use.max(now);
        score
    }

    /// Score of a predictor for a gap. A predictor without a prediction is scored as if it gave each bin edge
    /// the probability 0.5.
    pub(crate) fn score(&self, predictor: Predictor, gap: f64) -> f64 {
        ranked_probability_score(gap, |edge| {
            self.probability_within(predictor, edge).unwrap_or(0.5)
        })
    }

    /// The predictor with the best recent score, and its score; `None` before the first scored gap.
    pub(crate) fn best_predictor(&self) -> Option<(Predictor, f64)> {
        if self.scored == 0 {
            return None;
        }
        Predictor::ALL
            .into_iter()
            .zip(self.scores)
            .filter(|(predictor, _)| self.probability_within(*predictor, 1.0).is_some())
            .min_by(|one, other| ranking_score(*one).total_cmp(&ranking_score(*other)))
            .map(|(predictor, score)| (predictor, f64::from(score)))
    }

    /// Uses per second that a predictor expects just after `at`.
    pub(crate) fn use_rate(&self, predictor: Predictor, at: Duration) -> Option<f64> {
        let rate_of_mean_gap = |mean: f32| (mean > 0.0).then(|| 1.0 / f64::from(mean));
        let seasonal_rate = |index: usize| self.seasons.get(index)?.use_rate(at.as_secs_f64());
        match predictor {
            Predictor::Steady => rate_of_mean_gap(self.steady_mean),
            Predictor::Trend | Predictor::Regular => rate_of_mean_gap(self.trend_mean),
            Predictor::Day => seasonal_rate(0),
            Predictor::Week => seasonal_rate(1),
        }
    }

    /// Delays after the last use, up to `max_delay`, at which the probability of a use changes, in seconds
    /// and ascending: just before each stored gap has passed, and at the edges of the bins.
    pub(crate) fn candidate_delays(&self, max_delay: f64) -> Vec<f64> {
        let before_gaps = self.gaps.iter().map(|gap| {
            let gap = f64::from(*gap);
            gap - (SPREAD_SHARE * gap).max(MIN_SPREAD_SECONDS)
        });
        let mut delays: Vec<f64> = bin_edges()
            .chain(before_gaps)
            .filter(|delay| *delay <= max_delay)
            .collect();
        delays.sort_by(f64::total_cmp);
        delays
    }

    /// Share of the stored gaps up to `gap` seconds; each stored gap counts as a uniform distribution around
    /// it.
    fn regular_probability_within(&self, gap: f64) -> Option<f64> {
        if self.gaps.is_empty() {
            return None;
        }
        let probability_around = |past_gap: &f32| {
            let past_gap = f64::from(*past_gap);
            let spread = (SPREAD_SHARE * past_gap).max(MIN_SPREAD_SECONDS.min(past_gap / 2.0));
            ((gap - past_gap + spread) / (2.0 * spread)).clamp(0.0, 1.0)
        };
        let count = self.gaps.len() as f64;
        let probability = self.gaps.iter().map(probability_around).sum::<f64>() / count;
        Some(probability * (1.0 - OTHER_GAP_PROBABILITY / count))
    }

    /// Probability of a use within `gap` seconds where uses are a Poisson process with the rate of the
    /// season.
    fn seasonal_probability_within(&self, season: usize, gap: f64) -> Option<f64> {
        let uses = self
            .seasons
            .get(season)?
            .expected_uses(self.last_use, self.last_use + gap)?;
        Some(1.0 - (-uses).exp())
    }

    /// Scores all predictors on a new gap; `None` before [`MIN_GAPS_TO_SCORE`] gaps were recorded, and for
    /// the first scored gap.
    fn score_gap(&mut self, gap: f64) -> Option<GapScore> {
        if self.gaps.len() < MIN_GAPS_TO_SCORE {
            return None;
        }
        let score = self.best_predictor().map(|(predictor, _)| {
            let last_gap = f64::from(self.gaps[(self.next_gap + MAX_GAPS - 1) % MAX_GAPS]);
            GapScore {
                chosen: self.score(predictor, gap),
                last_gap_baseline: ranked_probability_score(
                    gap,
                    |edge| if edge >= last_gap { 1.0 } else { 0.0 },
                ),
                always_near_baseline: ranked_probability_score(gap, |_| 1.0),
            }
        });
        let weight = SCORE_WEIGHT.max(1.0 / (self.scored + 1) as f32);
        for (index, predictor) in Predictor::ALL.into_iter().enumerate() {
            let score = self.score(predictor, gap) as f32;
            self.scores[index] += (score - self.scores[index]) * weight;
        }
        self.scored += 1;
        score
    }

    /// Stores a gap, and updates the means.
    fn store_gap(&mut self, gap: f64) {
        let gap = gap as f32;
        if self.gaps.len() < MAX_GAPS {
            self.gaps.push(gap);
        } else {
            self.gaps[self.next_gap] = gap;
        }
        self.next_gap = (self.next_gap + 1) % MAX_GAPS;
        let is_first = self.steady_mean == 0.0;
        let update = |mean: &mut f32, weight: f64| {
            *mean += (gap - *mean) * if is_first { 1.0 } else { weight as f32 };
        };
        update(&mut self.steady_mean, STEADY_WEIGHT);
        update(&mut self.trend_mean, TREND_WEIGHT);
    }
}

/// Probability of a use within `gap` seconds where gaps are exponentially distributed with this mean in
/// seconds; `None` for the mean 0.
fn exponential_probability_within(mean: f32, gap: f64) -> Option<f64> {
    (mean > 0.0).then(|| 1.0 - (-gap / f64::from(mean)).exp())
}

/// The score by which predictors are compared.
fn ranking_score((predictor, score): (Predictor, f32)) -> f32 {
    match predictor {
        Predictor::Regular => score * REGULAR_SCORE_FACTOR,
        Predictor::Steady | Predictor::Trend | Predictor::Day | Predictor::Week => score,
    }
}
