//! Forecasts for all functions: their histories, within a bound, and when a forecast for each is worthwhile.
mod planning;
mod retention;
#[cfg(test)]
mod tests;

use crate::history::History;
use crate::predictor::Predictor;
use crate::score::GapScore;
use crate::season::Season;
use planning::Timing;
use retention::UseOrder;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Least probability that is forecast; what is done with it is decided elsewhere.
const MIN_PROBABILITY: f64 = 0.15;
/// Uses from which on a function's seasons are recorded: they take some hundred bytes each.
const SEASON_USES: u32 = 12;
/// Share of the keep-alive up to which a gap is short: no copy is unloaded in it, or renewed.
const SHORT_GAP: f64 = 0.5;

/// Bounds and times of the forecasts.
#[derive(Clone, Debug)]
pub struct ForecastSettings {
    /// Maximum functions with a history.
    pub max_functions: usize,
    /// Least keep-alive of an idle copy.
    pub keep_alive: Duration,
    /// Duration of a load where a function's is not known.
    pub default_load: Duration,
    /// Lengths of the seasons, like a day and a week.
    pub seasons: Vec<Duration>,
}

impl Default for ForecastSettings {
    fn default() -> ForecastSettings {
        let day = Duration::from_secs(86_400);
        ForecastSettings {
            max_functions: 100_000,
            keep_alive: Duration::from_secs(8),
            default_load: Duration::from_secs(1),
            seasons: vec![day, day * 7],
        }
    }
}

/// A use that is expected.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedUse {
    /// The function's name.
    pub function: String,
    /// The span from now on in which the use is expected.
    pub within: Duration,
    /// Probability of a use within the span, from 0 to 1.
    pub probability: f64,
    /// Rate of use just after now, where the predictor has one.
    pub requests_per_second: Option<f64>,
    /// The predictor that spoke for the function.
    pub predictor: Predictor,
}

/// What is recorded of one function.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Track {
    pub(crate) history: History,
    /// Duration of a load in microseconds, 0 where none is known.
    pub(crate) load_us: u64,
    /// When a forecast is made next.
    #[serde(skip)]
    forecast_at: Option<Duration>,
    /// Forecasts planned since the last use.
    #[serde(skip)]
    planned: u32,
    /// No forecast before this time.
    #[serde(skip)]
    quiet_until: Duration,
}

/// Scores of the forecasts against those of baselines, each gap scored before it was learnt. Means of ranked probability
/// scores: 0 is best.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForecastScores {
    /// Gaps that were scored.
    pub scored_gaps: u64,
    /// Score of the predictors that spoke for their functions.
    pub chosen: f64,
    /// Score of "as long as the last gap".
    pub last_gap_baseline: f64,
    /// Score of "a use is always near".
    pub always_near_baseline: f64,
}

impl ForecastScores {
    fn add(&mut self, score: GapScore) {
        self.merge(ForecastScores {
            scored_gaps: 1,
            chosen: score.chosen,
            last_gap_baseline: score.last,
            always_near_baseline: score.always,
        });
    }

    /// Combines the means of both, weighted by their gaps.
    pub fn merge(&mut self, other: ForecastScores) {
        self.scored_gaps += other.scored_gaps;
        let weight = other.scored_gaps as f64 / self.scored_gaps.max(1) as f64;
        self.chosen += (other.chosen - self.chosen) * weight;
        self.last_gap_baseline += (other.last_gap_baseline - self.last_gap_baseline) * weight;
        self.always_near_baseline += (other.always_near_baseline - self.always_near_baseline) * weight;
    }
}

/// Histories and forecasts of all functions.
pub struct Forecasts {
    settings: ForecastSettings,
    /// Scores since the start; not part of a snapshot.
    pub scores: ForecastScores,
    pub(crate) tracks: BTreeMap<String, Track>,
    /// When a forecast is made for which function.
    planned: BTreeSet<(Duration, String)>,
    order: UseOrder,
}

impl Forecasts {
    /// Forecasts without any history.
    pub fn new(settings: ForecastSettings) -> Forecasts {
        Forecasts {
            settings,
            scores: ForecastScores::default(),
            tracks: BTreeMap::new(),
            planned: BTreeSet::new(),
            order: UseOrder::default(),
        }
    }

    /// Number of functions with a history.
    pub fn len(&self) -> usize {
        self.tracks.len()
    }

    /// Whether no function has a history.
    pub fn is_empty(&self) -> bool {
        self.tracks.is_empty()
    }

    /// Functions by the predictor that speaks for them, for reports.
    pub fn functions_by_predictor(&self) -> BTreeMap<Predictor, usize> {
        let mut counts = BTreeMap::new();
        for (predictor, _) in self.tracks.values().filter_map(|track| track.history.best()) {
            *counts.entry(predictor).or_insert(0) += 1;
        }
        counts
    }

    /// A request of the function came.
    pub fn record_use(&mut self, now: Duration, function: &str) {
        self.unlist(function);
        let track = self.tracks.entry(function.to_owned()).or_default();
        if track.history.uses == SEASON_USES {
            track.history.seasons = self.settings.seasons.iter().copied().map(Season::new).collect();
        }
        let short = self.settings.keep_alive.mul_f64(SHORT_GAP);
        if let Some(score) = track.history.record_use(now, short) {
            self.scores.add(score);
        }
        track.forecast_at = None;
        track.planned = 0;
        self.list(function);
        self.plan(now, function);
    }

    /// A load of the function took this long.
    pub fn record_load_duration(&mut self, function: &str, duration: Duration) {
        if let Some(track) = self.tracks.get_mut(function) {
            track.load_us = duration.as_micros() as u64;
        }
    }

    /// The configured duration of a load of the function, which applies until one was measured.
    pub fn set_load_hint(&mut self, function: &str, load: Duration) {
        if let Some(track) = self.tracks.get_mut(function).filter(|track| track.load_us == 0) {
            track.load_us = load.as_micros() as u64;
        }
    }

    /// Makes no forecast for the function before this time, as earlier ones led to nothing.
    pub fn start_quiet_period(&mut self, function: &str, until: Duration) {
        if let Some(track) = self.tracks.get_mut(function) {
            track.quiet_until = until;
        }
    }

    /// When [`Forecasts::due`] has the next forecast to make.
    pub fn next_due(&self) -> Option<Duration> {
        self.planned.first().map(|(at, _)| *at)
    }

    /// Makes the forecasts that are due, and returns those that are probable enough. Each is returned once, until its
    /// function is used or its span is over.
    pub fn due(&mut self, now: Duration) -> Vec<ExpectedUse> {
        let mut expected = Vec::new();
        while let Some((at, function)) = self.planned.pop_first() {
            if at > now {
                self.planned.insert((at, function));
                break;
            }
            let Some(track) = self.tracks.get_mut(&function) else {
                continue;
            };
            track.forecast_at = None;
            expected.extend(forecast(&self.settings, track, &function, now));
            self.plan(now, &function);
        }
        expected
    }
}

/// The forecast for a function, if it is probable enough.
fn forecast(
    settings: &ForecastSettings,
    track: &Track,
    function: &str,
    now: Duration,
) -> Option<ExpectedUse> {
    let history = &track.history;
    let (predictor, _) = history.best()?;
    if track.quiet_until > now {
        return None;
    }
    let since = now.as_secs_f64() - history.last_use;
    let within = Duration::from_secs_f64(Timing::of(settings, track).span(since));
    let probability = planning::probability_between(history, predictor, since, since + within.as_secs_f64());
    if probability < MIN_PROBABILITY {
        return None;
    }
    Some(ExpectedUse {
        function: function.to_owned(),
        within,
        probability,
        requests_per_second: history.rate(predictor, now),
        predictor,
    })
}
