//! The table `[copies]`: the function caches in the workers' memory, and load commands.
use super::duration::HumanDuration;
use serde::Deserialize;

/// The table `[copies]`.
///
/// The fields are those of [`quartzdrift_scheduler::interface::CacheSettings`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct CacheSettings {
    pub(crate) on_miss: CacheMissPolicy,
    #[serde(rename = "orders")]
    pub(crate) load_commands: bool,
    #[serde(rename = "tells_warm")]
    pub(crate) reports_cache_status: bool,
    #[serde(rename = "tells_crowd")]
    pub(crate) reports_concurrency: bool,
    pub(crate) keep: Option<HumanDuration>,
    pub(crate) memory_mb_by_kind: Vec<f64>,
    pub(crate) idle_memory_price: Option<f64>,
    #[serde(rename = "load_free")]
    pub(crate) load_quota_burst: Option<f64>,
    #[serde(rename = "load_share")]
    pub(crate) load_quota_share: Option<f64>,
    #[serde(rename = "load_window")]
    pub(crate) load_quota_window: Option<HumanDuration>,
    #[serde(rename = "order_timeout")]
    pub(crate) load_command_timeout: Option<HumanDuration>,
}

/// How a worker handles a request for a function that is not cached.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CacheMissPolicy {
    #[default]
    Load,
    #[serde(rename = "miss")]
    ReportMiss,
}
