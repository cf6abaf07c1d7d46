//! The tables `[fleet]` and `[recovery]`: membership of a fleet of schedulers, and recovery after a start.
use super::duration::HumanDuration;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The table `[fleet]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    /// Name of this scheduler: unique in the fleet, and unchanged by restarts.
    pub(crate) name: String,
    /// Name of the cluster; datagrams of other clusters are rejected.
    pub(crate) cluster: String,
    /// UDP address for membership datagrams; the system chooses the port for port 0.
    pub(crate) listen: Spanned<String>,
    /// Address at which other members reach this scheduler; defaults to `listen`.
    pub(crate) advertise: Option<Spanned<String>>,
    /// Addresses of members to contact at the start.
    #[serde(default)]
    pub(crate) seeds: Vec<Spanned<String>>,
    /// Paths of files with hexadecimal keys; datagrams are signed with the first key and verified with any of
    /// the keys.
    pub(crate) keys: Vec<Spanned<String>>,
    /// Protocol period: interval between two probes.
    pub(crate) period: Option<HumanDuration>,
    /// Timeout of a direct probe; at most half of `period`.
    pub(crate) probe_timeout: Option<HumanDuration>,
    /// Maximum size of a membership datagram, in bytes.
    pub(crate) datagram_bytes: Option<usize>,
    /// Maximum number of members that are tracked at a time.
    pub(crate) members: Option<usize>,
    /// How long an unreachable scheduler is still assumed to send requests to workers.
    #[serde(default = "default_silent")]
    pub(crate) silent: HumanDuration,
}

fn default_silent() -> HumanDuration {
    HumanDuration(Duration::from_secs(3600))
}

/// The table `[recovery]`. Recovery requires `gateway.state`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Recovery {
    /// Maximum time to poll other schedulers for the classification of a start.
    pub(crate) ask: HumanDuration,
    /// Maximum duration of all recovery phases before full service.
    pub(crate) longest: HumanDuration,
    /// Where workers keep the idempotency keys of completed attempts.
    #[serde(rename = "fingerprints")]
    pub(crate) idempotency_keys: IdempotencyKeysIn,
    /// Whether an admission ramp limits requests while many functions are loaded again.
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
    /// In memory: the keys are lost when the worker loses power.
    #[default]
    Memory,
    /// On disk: the keys survive a loss of power.
    Disk,
}
