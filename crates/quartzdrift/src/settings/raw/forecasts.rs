//! The table `[forecasts]`: prefetch of functions based on forecasts of their use.
use super::duration::HumanDuration;
use serde::Deserialize;
use std::time::Duration;

/// The table `[forecasts]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Forecasts {
    /// Maximum number of functions whose use is tracked.
    pub(crate) functions: usize,
    /// Lengths of the seasonal periods of the forecast model.
    pub(crate) seasons: Vec<HumanDuration>,
    /// Interval of the forecast summary in the log, and of snapshots if `gateway.state` is set.
    pub(crate) every: HumanDuration,
}

impl Default for Forecasts {
    fn default() -> Forecasts {
        let day = Duration::from_secs(86_400);
        Forecasts {
            functions: 100_000,
            seasons: vec![HumanDuration(day), HumanDuration(day * 7)],
            every: HumanDuration(Duration::from_secs(60)),
        }
    }
}
