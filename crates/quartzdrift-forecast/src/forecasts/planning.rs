//! Planning of forecasts: a forecast is made before a possible use, early enough to load the function or to
//! renew its cached copy.
use super::{ForecastSettings, Forecasts, FunctionRecord, MIN_PROBABILITY};
use crate::history::History;
use crate::predictor::Predictor;
use std::time::Duration;

/// Share of the keep-alive after which the renewal of a cached copy is considered, before the copy expires.
const RENEW_SHARE: f64 = 0.75;
/// Minimum interval between two forecasts without a use in between, as a share of the renewal delay.
const MIN_FORECAST_INTERVAL_SHARE: f64 = 0.99;
/// Time from the start of a load to the expected use, as a multiple of the load duration.
const LOAD_LEAD_FACTOR: f64 = 1.5;
/// The earliest delay whose probability reaches this share of the maximum probability is chosen.
const MIN_SHARE_OF_MAX_PROBABILITY: f64 = 0.6;
/// Maximum number of forecasts between two uses. The probability of a use falls while none occurs.
const MAX_FORECASTS: u32 = 64;
/// Minimum planning horizon after the last use, as a multiple of the keep-alive.
const MIN_HORIZON_KEEP_ALIVES: f64 = 4.0;
/// Minimum time from now to a planned forecast, in seconds.
const MIN_DELAY_SECONDS: f64 = 0.01;
/// A use of at least this probability counts as certain.
const MIN_CERTAIN_PROBABILITY: f64 = 1.0 - 1e-9;

/// Keep-alive and load duration of the copies of a function, in seconds.
pub(super) struct CopyTimes {
    keep_alive: f64,
    load_duration: f64,
}

impl CopyTimes {
    pub(super) fn for_function(settings: &ForecastSettings, record: &FunctionRecord) -> CopyTimes {
        CopyTimes {
            keep_alive: settings.keep_alive.as_secs_f64(),
            load_duration: if record.load_us > 0 {
                record.load_us as f64 / 1e6
            } else {
                settings.default_load.as_secs_f64()
            },
        }
    }

    /// Time from a load command to the expiry of the copy, in seconds, where the command is sent
    /// `since_last_use` seconds after the last use. Within the keep-alive the copy is still cached and
    /// renewed at once; after it the function is loaded first.
    pub(super) fn lifetime(&self, since_last_use: f64) -> f64 {
        if since_last_use < self.keep_alive {
            self.keep_alive
        } else {
            self.load_duration + self.keep_alive
        }
    }

    /// Delay after the last use at which the renewal of a cached copy is considered, in seconds.
    fn renewal_delay(&self) -> f64 {
        self.keep_alive * RENEW_SHARE
    }
}

/// Probability of a use between the delays `from` and `to` after the last use, in seconds, given that no use
/// came before `from`.
pub(super) fn probability_between(history: &History, predictor: Predictor, from: f64, to: f64) -> f64 {
    let before = history.probability_within(predictor, from).unwrap_or(0.0);
    let after = history.probability_within(predictor, to).unwrap_or(0.0);
    if before >= MIN_CERTAIN_PROBABILITY {
        0.0
    } else {
        ((after - before) / (1.0 - before)).clamp(0.0, 1.0)
    }
}

impl Forecasts {
    /// Plans the next forecast for a function, if a use is probable enough within the horizon.
    pub(super) fn plan_next_forecast(&mut self, now: Duration, function: &str) {
        let Some(record) = self.functions.get(function) else {
            return;
        };
        let Some(delay) = self.next_forecast_delay(record, now) else {
            return;
        };
        let at = Duration::try_from_secs_f64(record.history.last_use + delay)
            .unwrap_or(now)
            .max(now);
        if let Some(record) = self.functions.get_mut(function) {
            record.forecast_at = Some(at);
            record.planned += 1;
            self.planned_forecasts.insert((at, function.to_owned()));
        }
    }

    /// Delay of the next forecast after the last use, in seconds: the first candidate at which the
    /// probability of a use is close to its maximum over all candidates. The first candidate above
    /// [`MIN_PROBABILITY`] would often be too early.
    fn next_forecast_delay(&self, record: &FunctionRecord, now: Duration) -> Option<f64> {
        let (predictor, _) = record.history.best_predictor()?;
        if record.planned >= MAX_FORECASTS {
            return None;
        }
        let times = CopyTimes::for_function(&self.settings, record);
        let delays = self.candidate_delays(record, &times, now);
        let probability = |delay: f64| {
            let end = delay + times.lifetime(delay);
            probability_between(&record.history, predictor, delay, end)
        };
        let max_probability = delays.iter().copied().map(probability).fold(0.0, f64::max);
        let min_probability = MIN_PROBABILITY.max(max_probability * MIN_SHARE_OF_MAX_PROBABILITY);
        delays
            .into_iter()
            .find(|delay| probability(*delay) >= min_probability)
    }

    /// Candidate delays of a forecast after the last use, in seconds and ascending: the renewal of a cached
    /// copy, and the times at which a load has to start to end before a possible use.
    fn candidate_delays(&self, record: &FunctionRecord, times: &CopyTimes, now: Duration) -> Vec<f64> {
        let since_last_use = now.as_secs_f64() - record.history.last_use;
        let renewal_delay = times.renewal_delay();
        // Shortly after a forecast another one would give the same result.
        let earliest = if record.planned > 0 {
            since_last_use + renewal_delay * MIN_FORECAST_INTERVAL_SHARE
        } else {
            since_last_use
        };
        let earliest = earliest.max(renewal_delay);
        let lead = times.load_duration * LOAD_LEAD_FACTOR;
        let before_uses = record
            .history
            .candidate_delays(self.horizon(times))
            .into_iter()
            .map(|delay| delay - lead)
            .filter(|delay| *delay > since_last_use + MIN_DELAY_SECONDS && *delay >= earliest);
        let mut delays = vec![earliest];
        delays.extend(before_uses);
        delays.sort_by(f64::total_cmp);
        delays
    }

    /// Maximum delay of a planned forecast after the last use, in seconds.
    fn horizon(&self, times: &CopyTimes) -> f64 {
        self.settings
            .seasons
            .iter()
            .map(Duration::as_secs_f64)
            .fold(times.keep_alive * MIN_HORIZON_KEEP_ALIVES, f64::max)
    }
}
