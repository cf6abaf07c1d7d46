//! The uses of one function: its last gaps, and what each predictor makes of them.
use crate::predictor::Predictor;
use crate::score::{GapScore, bin_edges, ranked_probability_score};
use crate::season::Season;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Gaps remembered: enough to tell a schedule from chance.
const GAPS: usize = 8;
/// Gaps seen before predictors are scored.
const MIN_GAPS_TO_SCORE: usize = 3;
/// Probability that a regular prediction from one gap leaves for any other gap; it shrinks with more gaps.
const IRREGULAR_SHARE: f64 = 0.3;
/// Share of a gap by which a regular use may come earlier or later.
const SPREAD: f64 = 0.02;
/// Least spread, in seconds.
const MIN_SPREAD: f64 = 0.1;
/// Handicap on the score of a regular prediction: eight gaps drawn by chance look like a rule.
const REGULAR_HANDICAP: f32 = 1.2;
/// Weight of the newest gap in the scores.
const SCORE_WEIGHT: f32 = 0.12;
/// Weight of the newest gap in the trend's mean.
const TREND_WEIGHT: f64 = 0.5;
/// Weight of the newest gap in the steady mean.
const STEADY_WEIGHT: f64 = 0.12;

/// What is remembered of a function's uses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct History {
    /// Time of the last use, in seconds since 1970.
    #[serde(rename = "last")]
    pub(crate) last_use: f64,
    pub(crate) uses: u32,
    /// The last gaps in seconds, a ring.
    gaps: Vec<f32>,
    /// Index of the gap that is replaced next.
    #[serde(rename = "next")]
    next_gap: usize,
    /// Mean gap in seconds, 0 where none was seen.
    #[serde(rename = "steady")]
    steady_mean: f32,
    /// Mean of the last few gaps in seconds, 0 where none was seen.
    #[serde(rename = "quick")]
    trend_mean: f32,
    pub(crate) seasons: Vec<Season>,
    /// Mean score by predictor, in the order of [`Predictor::ALL`].
    scores: [f32; Predictor::ALL.len()],
    /// Gaps that were scored.
    scored: u32,
}

impl History {
    /// Probability that the next use comes within `gap` seconds of the last one, by a predictor; `None` where it has not seen
    /// enough.
    pub(crate) fn probability_within(&self, predictor: Predictor, gap: f64) -> Option<f64> {
        match predictor {
            Predictor::Steady => exponential_within(self.steady_mean, gap),
            Predictor::Trend => exponential_within(self.trend_mean, gap),
            Predictor::Regular => self.regular_within(gap),
            Predictor::Day => self.seasonal_within(0, gap),
            Predictor::Week => self.seasonal_within(1, gap),
        }
    }

    /// Takes a use: scores what each predictor had predicted of its gap, and learns the gap. A copy stays loaded over a gap
    /// under `short`, so that it is no matter of forecasts; only its rate is learnt.
    pub(crate) fn record_use(&mut self, at: Duration, short: Duration) -> Option<GapScore> {
        let now = at.as_secs_f64();
        let gap = now - self.last_use;
        let mut score = None;
        if self.uses > 0 && gap > 0.0 {
            if gap < short.as_secs_f64() {
                self.trend_mean += (gap as f32 - self.trend_mean) * TREND_WEIGHT as f32;
            } else {
                score = self.score_gap(gap);
                self.learn_gap(gap);
            }
        }
        for season in &mut self.seasons {
            season.used(at);
        }
        self.uses += 1;
        self.last_use = self.last_use.max(now);
        score
    }

    /// Score of a predictor for a gap. A predictor without a prediction is scored as one that takes each bin for as likely as
    /// not.
    pub(crate) fn score(&self, predictor: Predictor, gap: f64) -> f64 {
        ranked_probability_score(gap, |edge| {
            self.probability_within(predictor, edge).unwrap_or(0.5)
        })
    }

    /// The predictor with the best recent score, and the score; `None` before any gap was scored.
    pub(crate) fn best(&self) -> Option<(Predictor, f64)> {
        if self.scored == 0 {
            return None;
        }
        Predictor::ALL
            .into_iter()
            .zip(self.scores)
            .filter(|(predictor, _)| self.probability_within(*predictor, 1.0).is_some())
            .min_by(|one, other| handicapped(*one).total_cmp(&handicapped(*other)))
            .map(|(predictor, score)| (predictor, f64::from(score)))
    }

    /// Uses a second that a predictor expects just after `at`.
    pub(crate) fn rate(&self, predictor: Predictor, at: Duration) -> Option<f64> {
        let rate_of = |mean: f32| (mean > 0.0).then(|| 1.0 / f64::from(mean));
        let seasonal = |index: usize| self.seasons.get(index)?.rate(at.as_secs_f64());
        match predictor {
            Predictor::Steady => rate_of(self.steady_mean),
            Predictor::Trend | Predictor::Regular => rate_of(self.trend_mean),
            Predictor::Day => seasonal(0),
            Predictor::Week => seasonal(1),
        }
    }

    /// Seconds after the last use, up to `max`, at which a forecast may be worthwhile: just before each gap seen, and at the
    /// edges of the bins.
    pub(crate) fn candidate_delays(&self, max: f64) -> Vec<f64> {
        let before_gaps = self.gaps.iter().map(|gap| {
            let gap = f64::from(*gap);
            gap - (SPREAD * gap).max(MIN_SPREAD)
        });
        let mut delays: Vec<f64> = bin_edges()
            .chain(before_gaps)
            .filter(|delay| *delay <= max)
            .collect();
        delays.sort_by(f64::total_cmp);
        delays
    }

    fn regular_within(&self, gap: f64) -> Option<f64> {
        if self.gaps.is_empty() {
            return None;
        }
        let spread_around = |seen: &f32| {
            let seen = f64::from(*seen);
            let spread = (SPREAD * seen).max(MIN_SPREAD.min(seen / 2.0));
            ((gap - seen + spread) / (2.0 * spread)).clamp(0.0, 1.0)
        };
        let count = self.gaps.len() as f64;
        let probability = self.gaps.iter().map(spread_around).sum::<f64>() / count;
        Some(probability * (1.0 - IRREGULAR_SHARE / count))
    }

    fn seasonal_within(&self, season: usize, gap: f64) -> Option<f64> {
        let uses = self
            .seasons
            .get(season)?
            .expected(self.last_use, self.last_use + gap)?;
        Some(1.0 - (-uses).exp())
    }

    /// Scores all predictors on a gap that has just come, once enough gaps were seen.
    fn score_gap(&mut self, gap: f64) -> Option<GapScore> {
        if self.gaps.len() < MIN_GAPS_TO_SCORE {
            return None;
        }
        let score = self.best().map(|(predictor, _)| {
            let last_gap = f64::from(self.gaps[(self.next_gap + GAPS - 1) % GAPS]);
            GapScore {
                chosen: self.score(predictor, gap),
                last: ranked_probability_score(gap, |edge| if edge >= last_gap { 1.0 } else { 0.0 }),
                always: ranked_probability_score(gap, |_| 1.0),
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

    fn learn_gap(&mut self, gap: f64) {
        let gap = gap as f32;
        if self.gaps.len() < GAPS {
            self.gaps.push(gap);
        } else {
            self.gaps[self.next_gap] = gap;
        }
        self.next_gap = (self.next_gap + 1) % GAPS;
        let is_first = self.steady_mean == 0.0;
        let learn = |mean: &mut f32, weight: f64| {
            *mean += (gap - *mean) * if is_first { 1.0 } else { weight as f32 };
        };
        learn(&mut self.steady_mean, STEADY_WEIGHT);
        learn(&mut self.trend_mean, TREND_WEIGHT);
    }
}

/// Probability of a use within `gap` seconds where gaps are exponential with this mean; `None` for the mean 0.
fn exponential_within(mean: f32, gap: f64) -> Option<f64> {
    (mean > 0.0).then(|| 1.0 - (-gap / f64::from(mean)).exp())
}

/// The score by which a predictor competes.
fn handicapped((predictor, score): (Predictor, f32)) -> f32 {
    match predictor {
        Predictor::Regular => score * REGULAR_HANDICAP,
        Predictor::Steady | Predictor::Trend | Predictor::Day | Predictor::Week => score,
    }
}
