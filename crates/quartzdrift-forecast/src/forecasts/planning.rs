//! When a forecast for a function is worthwhile: before a use may come, with time left to load the function or to renew a copy.
use super::{ForecastSettings, Forecasts, MIN_PROBABILITY, Track};
use crate::history::History;
use crate::predictor::Predictor;
use std::time::Duration;

/// Share of the keep-alive after which a cached copy is considered again, with time left to renew it.
const RENEW_SHARE: f64 = 0.75;
/// Share of the renewal time that passes at least between two forecasts without a use between them.
const MIN_RENEW_SHARE: f64 = 0.99;
/// How much earlier than the use a load begins, as a multiple of its duration.
const LOAD_LEAD: f64 = 1.5;
/// Share of the greatest probability that is near enough to it to act on.
const NEAR_GREATEST: f64 = 0.6;
/// Maximum forecasts between two uses: the probability of a use long awaited fades anyway.
const MAX_FORECASTS: u32 = 64;
/// Keep-alives to plan ahead at least.
const MIN_HORIZON_KEEP_ALIVES: f64 = 4.0;
/// Least delay of a planned forecast, in seconds.
const MIN_DELAY: f64 = 0.01;
/// Probability from which on a use counts as certain.
const CERTAIN: f64 = 1.0 - 1e-9;

/// Times of a function's copies, in seconds.
pub(super) struct Timing {
    keep_alive: f64,
    load: f64,
}

impl Timing {
    pub(super) fn of(settings: &ForecastSettings, track: &Track) -> Timing {
        Timing {
            keep_alive: settings.keep_alive.as_secs_f64(),
            load: if track.load_us > 0 {
                track.load_us as f64 / 1e6
            } else {
                settings.default_load.as_secs_f64()
            },
        }
    }

    /// How long a copy lasts that is ordered so long after the last use: a cached one is renewed at once, another one lasts
    /// from the end of its load.
    pub(super) fn span(&self, since: f64) -> f64 {
        if since < self.keep_alive {
            self.keep_alive
        } else {
            self.load + self.keep_alive
        }
    }

    /// When a cached copy is considered again, after the last use.
    fn renewal(&self) -> f64 {
        self.keep_alive * RENEW_SHARE
    }
}

/// Probability of a use between two delays after the last one, given that none came before the first.
pub(super) fn probability_between(history: &History, predictor: Predictor, from: f64, to: f64) -> f64 {
    let before = history.probability_within(predictor, from).unwrap_or(0.0);
    let until = history.probability_within(predictor, to).unwrap_or(0.0);
    if before >= CERTAIN {
        0.0
    } else {
        ((until - before) / (1.0 - before)).clamp(0.0, 1.0)
    }
}

impl Forecasts {
    /// Plans the next forecast for a function, if one is worthwhile.
    pub(super) fn plan(&mut self, now: Duration, function: &str) {
        let Some(track) = self.tracks.get(function) else {
            return;
        };
        let Some(delay) = self.next_forecast(track, now) else {
            return;
        };
        let at = Duration::try_from_secs_f64(track.history.last_use + delay)
            .unwrap_or(now)
            .max(now);
        if let Some(track) = self.tracks.get_mut(function) {
            track.forecast_at = Some(at);
            track.planned += 1;
            self.planned.insert((at, function.to_owned()));
        }
    }

    /// When the next forecast is worthwhile, in seconds after the last use: not at the first time at which a use is somewhat
    /// probable, but at one at which it is most probable.
    fn next_forecast(&self, track: &Track, now: Duration) -> Option<f64> {
        let (predictor, _) = track.history.best()?;
        if track.planned >= MAX_FORECASTS {
            return None;
        }
        let timing = Timing::of(&self.settings, track);
        let delays = self.candidate_delays(track, &timing, now);
        let probability = |delay: f64| {
            let end = delay + timing.span(delay);
            probability_between(&track.history, predictor, delay, end)
        };
        let greatest = delays.iter().copied().map(probability).fold(0.0, f64::max);
        let enough = MIN_PROBABILITY.max(greatest * NEAR_GREATEST);
        delays.into_iter().find(|delay| probability(*delay) >= enough)
    }

    /// Delays after the last use at which a forecast may be worthwhile, in order: at the renewal of a cached copy, and before
    /// each time at which a use may come, early enough to load.
    fn candidate_delays(&self, track: &Track, timing: &Timing, now: Duration) -> Vec<f64> {
        let since = now.as_secs_f64() - track.history.last_use;
        let renewal = timing.renewal();
        // A function that was just forecast is not considered again before something may have changed.
        let earliest = if track.planned > 0 {
            since + renewal * MIN_RENEW_SHARE
        } else {
            since
        };
        let earliest = earliest.max(renewal);
        let lead = timing.load * LOAD_LEAD;
        let before_uses = track
            .history
            .candidate_delays(self.horizon(timing))
            .into_iter()
            .map(|delay| delay - lead)
            .filter(|delay| *delay > since + MIN_DELAY && *delay >= earliest);
        let mut delays = vec![earliest];
        delays.extend(before_uses);
        delays.sort_by(f64::total_cmp);
        delays
    }

    /// How far after the last use forecasts are planned, in seconds.
    fn horizon(&self, timing: &Timing) -> f64 {
        self.settings
            .seasons
            .iter()
            .map(Duration::as_secs_f64)
            .fold(timing.keep_alive * MIN_HORIZON_KEEP_ALIVES, f64::max)
    }
}
