//! Checks of `[forecasts]`, the forecasts that prefetch is based on.
use super::collector::ErrorCollector;
use crate::settings::Forecasts;
use crate::settings::raw::{self, File};
use quartzdrift_forecast::ForecastSettings;
use std::time::Duration;

const MIN_INTERVAL: Duration = Duration::from_secs(1);
const MAX_SEASONS: usize = 2;
const MIN_SEASON: Duration = Duration::from_secs(60);

/// Checks and converts the table; `None` if it is absent.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) -> Option<Forecasts> {
    let section = raw.forecasts.as_ref()?;
    check_counts(section, errors);
    check_seasons(section, errors);
    if !raw.copies.load_commands {
        errors.add_at_table(
            "forecasts",
            "[forecasts] requires load commands, but copies.orders is false",
            "write orders = true in [copies], or remove [forecasts]",
        );
    }
    let defaults = ForecastSettings::default();
    let settings = ForecastSettings {
        max_functions: section.functions,
        keep_alive: raw.copies.keep.map_or(defaults.keep_alive, |keep| keep.0),
        seasons: section.seasons.iter().map(|season| season.0).collect(),
        ..defaults
    };
    Some(Forecasts {
        settings,
        snapshot_interval: section.every.0,
    })
}

fn check_counts(section: &raw::Forecasts, errors: &mut ErrorCollector) {
    if section.functions == 0 {
        errors.add_at_key(
            "forecasts",
            "functions",
            "functions is 0, the minimum is 1",
            "write the maximum number of functions to track",
        );
    }
    if section.every.0 < MIN_INTERVAL {
        errors.add_at_key(
            "forecasts",
            "every",
            format!("every is {:?}, the minimum is {MIN_INTERVAL:?}", section.every.0),
            "write an interval of at least a second, like \"60s\"",
        );
    }
}

fn check_seasons(section: &raw::Forecasts, errors: &mut ErrorCollector) {
    let too_short = section.seasons.iter().any(|season| season.0 < MIN_SEASON);
    if section.seasons.len() > MAX_SEASONS || too_short {
        errors.add_at_key(
            "forecasts",
            "seasons",
            format!(
                "seasons has more than {MAX_SEASONS} durations, or one under {:?}",
                MIN_SEASON
            ),
            "write at most two durations of a minute or more, like [\"1d\", \"7d\"]",
        );
    }
}
