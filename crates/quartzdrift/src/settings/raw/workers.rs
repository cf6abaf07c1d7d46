//! The array `[[workers]]` and the table `[roster]`: the workers listed by address, and the source of the
//! endpoint list.
use super::duration::HumanDuration;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// An entry of `[[workers]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Worker {
    /// IP address and port.
    pub(crate) address: String,
    /// One of `scheduler.zones`; the first if absent.
    pub(crate) zone: Option<String>,
    /// One of `scheduler.kinds`; the first if absent.
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
    /// Whether the server also sends changes of the list as server-sent events at the same URL.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Interval between two polls of the whole list.
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
