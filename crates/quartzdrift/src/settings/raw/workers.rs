//! The array `[[workers]]` and the table `[roster]`: the workers by address, or the endpoint list that names
//! them.
use super::duration::HumanDuration;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// An entry of `[[workers]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Worker {
    pub(crate) address: String,
    pub(crate) zone: Option<String>,
    pub(crate) kind: Option<String>,
    #[serde(default)]
    pub(crate) cell: u32,
    pub(crate) capacity: Option<f64>,
}

/// The table `[roster]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Discovery {
    /// URL of the endpoint list, like "http://127.0.0.1:9800/workers".
    pub(crate) url: Spanned<String>,
    /// Changes come over server-sent events at the same address.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Interval at which the whole list is polled.
    #[serde(default = "default_every")]
    pub(crate) every: HumanDuration,
    /// Timeout of one poll.
    #[serde(default = "default_timeout")]
    pub(crate) timeout: HumanDuration,
}

fn default_every() -> HumanDuration {
    HumanDuration(Duration::from_secs(5))
}

fn default_timeout() -> HumanDuration {
    HumanDuration(Duration::from_secs(2))
}
