//! The tables `[fleet]` and `[recovery]`: membership of a fleet of schedulers, and the return to service
//! after a start.
use super::duration::HumanDuration;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The table `[fleet]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    /// Unique among the schedulers, and the same after a restart.
    pub(crate) name: String,
    pub(crate) cluster: String,
    /// UDP address for datagrams of members; port 0 takes a free one.
    pub(crate) listen: Spanned<String>,
    /// Where others reach it, if that is not `listen`.
    pub(crate) advertise: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) seeds: Vec<Spanned<String>>,
    /// Files with keys, in hexadecimal digits; the first signs, both verify.
    pub(crate) keys: Vec<Spanned<String>>,
    pub(crate) period: Option<HumanDuration>,
    pub(crate) probe_timeout: Option<HumanDuration>,
    pub(crate) datagram_bytes: Option<usize>,
    /// Maximum number of members known at a time.
    pub(crate) members: Option<usize>,
    /// How long an unreachable scheduler counts as one that may still send.
    #[serde(default = "default_silent")]
    pub(crate) silent: HumanDuration,
}

fn default_silent() -> HumanDuration {
    HumanDuration(Duration::from_secs(3600))
}

/// The table `[recovery]`; it requires `gateway.state`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Recovery {
    /// Maximum time to poll other schedulers for the classification of a start.
    pub(crate) ask: HumanDuration,
    /// Maximum time of the recovery phases before full service.
    pub(crate) longest: HumanDuration,
    /// Where workers keep the idempotency keys of completed attempts.
    #[serde(rename = "fingerprints")]
    pub(crate) idempotency_keys: IdempotencyKeysIn,
    /// Whether an admission ramp limits calls while many functions are loaded again.
    pub(crate) pace: bool,
}

impl Default for Recovery {
    fn default() -> Recovery {
        Recovery {
            ask: HumanDuration(Duration::from_secs(2)),
            longest: HumanDuration(Duration::from_secs(300)),
            idempotency_keys: IdempotencyKeysIn::Memory,
            pace: true,
        }
    }
}

/// Where workers keep idempotency keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum IdempotencyKeysIn {
    /// Lost when the worker loses power.
    #[default]
    Memory,
    /// Survive a loss of power.
    Disk,
}
