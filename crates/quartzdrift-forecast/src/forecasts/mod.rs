//! Forecasts for all functions: a bounded number of histories, and the time of the next forecast for each
//! function.
mod planning;
mod retention;
#[cfg(test)]
mod tests;

use crate::history::History;
use crate::predictor::Predictor;
use crate::score::GapScore;
use crate::season::Season;
use planning::CopyTimes;
use retention::UseOrder;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum probability of a forecast. The scheduler decides which forecasts it acts on.
const MIN_PROBABILITY: f64 = 0.15;
/// Uses of a function before its seasons are recorded: a season takes some hundred bytes.
const MIN_USES_FOR_SEASONS: u32 = 12;
/// Gaps below this share of the keep-alive are short: a copy is neither unloaded nor renewed within them.
const SHORT_GAP_SHARE: f64 = 0.5;

/// Settings of [`Forecasts`].
#[derive(Clone, Debug)]
pub struct ForecastSettings {
    /// Maximum number of functions with a history.
    pub max_functions: usize,
    /// Minimum time for which an idle copy stays loaded.
    pub keep_alive: Duration,
    /// Load duration of functions for which none was configured or measured.
    pub default_load: Duration,
    /// Lengths of the recurring periods, like a day and a week.
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

/// An expected use of a function.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedUse {
    /// Name of the function.
    pub function: String,
    /// The use is expected within this time from the forecast on.
    pub within: Duration,
    /// Probability of a use within this time, from 0 to 1.
    pub probability: f64,
    /// Expected request rate just after the forecast; `None` where the predictor has no rate.
    pub requests_per_second: Option<f64>,
    /// The predictor that made the forecast.
    pub predictor: Predictor,
}

/// History and forecast state of one function.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct FunctionRecord {
    pub(crate) history: History,
    /// Duration of a load in microseconds; 0: neither configured nor measured.
    pub(crate) load_us: u64,
    /// Time of the next planned forecast.
    #[serde(skip)]
    forecast_at: Option<Duration>,
    /// Number of forecasts that were planned since the last use.
    #[serde(skip)]
    planned: u32,
    /// End of the quiet period: no forecast is made before this time.
    #[serde(skip)]
    quiet_until: Duration,
}

/// Mean ranked probability scores of the forecasts and of two baselines; 0 is best. Each gap is scored before
/// the predictors learn it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForecastScores {
    /// Number of scored gaps.
    pub scored_gaps: u64,
    /// Score of the predictors that made the forecasts.
    pub chosen: f64,
    /// Score of the baseline that predicts a gap as long as the last one.
    pub last_gap_baseline: f64,
    /// Score of the baseline that always predicts an immediate use.
    pub always_near_baseline: f64,
}

impl ForecastScores {
    fn add_gap(&mut self, score: GapScore) {
        self.merge(ForecastScores {
            scored_gaps: 1,
            chosen: score.chosen,
            last_gap_baseline: score.last_gap_baseline,
            always_near_baseline: score.always_near_baseline,
        });
    }

    /// Merges the means of `other` into these, weighted by the number of gaps.
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
    /// Scores since the process started; not part of a snapshot.
    pub scores: ForecastScores,
    /// History and forecast state by function name.
    pub(crate) functions: BTreeMap<String, FunctionRecord>,
    /// Time and function of each planned forecast.
    planned_forecasts: BTreeSet<(Duration, String)>,
    /// Order of eviction.
    use_order: UseOrder,
}

impl Forecasts {
    /// Creates forecasts without any history.
    pub fn new(settings: ForecastSettings) -> Forecasts {
        Forecasts {
            settings,
            scores: ForecastScores::default(),
            functions: BTreeMap::new(),
            planned_forecasts: BTreeSet::new(),
            use_order: UseOrder::default(),
        }
    }

    /// Number of functions with a history.
    pub fn len(&self) -> usize {
        self.functions.len()
    }

    /// Whether no function has a history.
    pub fn is_empty(&self) -> bool {
        self.functions.is_empty()
    }

    /// Number of functions by the predictor that makes their forecasts, for reports.
    pub fn functions_by_predictor(&self) -> BTreeMap<Predictor, usize> {
        let mut counts = BTreeMap::new();
        for (predictor, _) in self
            .functions
            .values()
            .filter_map(|record| record.history.best_predictor())
        {
            *counts.entry(predictor).or_insert(0) += 1;
        }
        counts
    }

    /// Records a request to the function, and plans the next forecast.
    pub fn record_use(&mut self, now: Duration, function: &str) {
        self.remove_from_use_order(function);
        let record = self.functions.entry(function.to_owned()).or_default();
        if record.history.uses == MIN_USES_FOR_SEASONS {
            record.history.seasons = self.settings.seasons.iter().copied().map(Season::new).collect();
        }
        let short_gap = self.settings.keep_alive.mul_f64(SHORT_GAP_SHARE);
        if let Some(score) = record.history.record_use(now, short_gap) {
            self.scores.add_gap(score);
        }
        record.forecast_at = None;
        record.planned = 0;
        self.insert_into_use_order(function);
        self.plan_next_forecast(now, function);
    }

    /// Records the measured duration of a load of the function.
    pub fn record_load_duration(&mut self, function: &str, duration: Duration) {
        if let Some(record) = self.functions.get_mut(function) {
            record.load_us = duration.as_micros() as u64;
        }
    }

    /// Sets the configured load duration of the function, unless a duration is set already. A measured
    /// duration replaces it.
    pub fn set_load_hint(&mut self, function: &str, load: Duration) {
        if let Some(record) = self
            .functions
            .get_mut(function)
            .filter(|record| record.load_us == 0)
        {
            record.load_us = load.as_micros() as u64;
        }
    }

    /// Suppresses forecasts for the function until this time, as too many of its prefetches went unused.
    pub fn start_quiet_period(&mut self, function: &str, until: Duration) {
        if let Some(record) = self.functions.get_mut(function) {
            record.quiet_until = until;
        }
    }

    /// Time of the next planned forecast, when [`Forecasts::due`] has to be called.
    pub fn next_due(&self) -> Option<Duration> {
        self.planned_forecasts.first().map(|(at, _)| *at)
    }

    /// Makes the forecasts that are due, and returns those of sufficient probability. Without a use in
    /// between, a function is not forecast again until most of the renewal delay of a copy has passed.
    pub fn due(&mut self, now: Duration) -> Vec<ExpectedUse> {
        let mut expected = Vec::new();
        while let Some((at, function)) = self.planned_forecasts.pop_first() {
            if at > now {
                self.planned_forecasts.insert((at, function));
                break;
            }
            let Some(record) = self.functions.get_mut(&function) else {
                continue;
            };
            record.forecast_at = None;
            expected.extend(forecast_next_use(&self.settings, record, &function, now));
            self.plan_next_forecast(now, &function);
        }
        expected
    }
}

/// Returns the forecast for a function, if its probability is at least [`MIN_PROBABILITY`].
fn forecast_next_use(
    settings: &ForecastSettings,
    record: &FunctionRecord,
    function: &str,
    now: Duration,
) -> Option<ExpectedUse> {
    let history = &record.history;
    let (predictor, _) = history.best_predictor()?;
    if record.quiet_until > now {
        return None;
    }
    let since_last_use = now.as_secs_f64() - history.last_use;
    let within = Duration::from_secs_f64(CopyTimes::for_function(settings, record).lifetime(since_last_use));
    let probability = planning::probability_between(
        history,
        predictor,
        since_last_use,
        since_last_use + within.as_secs_f64(),
    );
    if probability < MIN_PROBABILITY {
        return None;
    }
    Some(ExpectedUse {
        function: function.to_owned(),
        within,
        probability,
        requests_per_second: history.use_rate(predictor, now),
        predictor,
    })
}
