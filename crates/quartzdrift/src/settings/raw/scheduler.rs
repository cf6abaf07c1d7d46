//! The tables `[scheduler]`, `[allowed]`, `[rules]`, `[prices]` and `[goal]`: the inputs of scheduling
//! decisions.
use super::duration::HumanDuration;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// The table `[scheduler]`.
///
/// The fields are those of [`quartzdrift_scheduler::interface::Settings`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Scheduler {
    pub(crate) me: Option<u32>,
    pub(crate) schedulers: Option<u32>,
    pub(crate) zone: Option<Spanned<String>>,
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) tier: Option<u32>,
    pub(crate) tiers: Vec<String>,
    pub(crate) family: String,
    pub(crate) resolution: Option<HumanDuration>,
    pub(crate) discovery: DiscoveryMode,
    pub(crate) weights: CapacityHints,
    pub(crate) counted_by: PriorityUnit,
    #[serde(rename = "over_share_importance")]
    pub(crate) over_quota_weight: Option<f64>,
    pub(crate) clients_mark_retries: bool,
}

/// How the scheduler receives the endpoint list.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum DiscoveryMode {
    #[default]
    Push,
    #[serde(rename = "ask")]
    Poll,
}

/// Kind of capacity information in the endpoint list.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CapacityHints {
    #[default]
    #[serde(rename = "silent")]
    Absent,
    Nominal,
    #[serde(rename = "rough")]
    Approximate,
    #[serde(rename = "live")]
    Current,
}

/// Unit that a priority weight applies to.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PriorityUnit {
    #[default]
    #[serde(rename = "job")]
    Request,
    Work,
}

/// The table `[allowed]`: actions that the scheduler may take, and their limits.
///
/// The fields are those of [`quartzdrift_scheduler::interface::ActionLimits`].
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Allowed {
    pub(crate) cancel: bool,
    pub(crate) probes: bool,
    pub(crate) peers: bool,
    #[serde(rename = "second_copies")]
    pub(crate) hedging: bool,
    pub(crate) retry_after: bool,
    pub(crate) max_retry_after: Option<HumanDuration>,
    #[serde(rename = "max_executions")]
    pub(crate) max_attempts: Option<u32>,
    pub(crate) max_open: Option<u32>,
    pub(crate) connect_timeout: HumanDuration,
    pub(crate) keepalive: HumanDuration,
    pub(crate) cpu_us_per_second: Option<f64>,
    #[serde(rename = "cpu_us_per_job")]
    pub(crate) cpu_us_per_request: Option<f64>,
    pub(crate) streams_per_connection: Option<u32>,
}

impl Default for Allowed {
    fn default() -> Allowed {
        Allowed {
            cancel: true,
            probes: false,
            peers: false,
            hedging: false,
            retry_after: true,
            max_retry_after: Some(HumanDuration(Duration::from_secs(10))),
            max_attempts: Some(3),
            max_open: None,
            connect_timeout: HumanDuration(Duration::from_millis(250)),
            keepalive: HumanDuration(Duration::from_secs(15)),
            cpu_us_per_second: None,
            cpu_us_per_request: None,
            streams_per_connection: None,
        }
    }
}

/// The table `[rules]`: properties of the workers that the scheduler relies on.
///
/// The fields are those of [`quartzdrift_scheduler::interface::Rules`].
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Rules {
    pub(crate) answer_slack: HumanDuration,
    pub(crate) ask_within: Option<HumanDuration>,
    pub(crate) cold_from: Option<f64>,
    pub(crate) cold_for: Option<HumanDuration>,
    pub(crate) drain_grace: HumanDuration,
    pub(crate) endpoint_lease: Option<HumanDuration>,
    pub(crate) fall_multiple: Option<f64>,
    pub(crate) fall_window: Option<HumanDuration>,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            answer_slack: HumanDuration(Duration::from_millis(20)),
            ask_within: None,
            cold_from: None,
            cold_for: None,
            drain_grace: HumanDuration(Duration::from_millis(250)),
            endpoint_lease: None,
            fall_multiple: None,
            fall_window: None,
        }
    }
}

/// The table `[prices]`: cost of each action in the scheduler's objective.
///
/// The fields are those of [`quartzdrift_scheduler::interface::Prices`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Prices {
    pub(crate) connection: f64,
    pub(crate) cross_zone: f64,
    pub(crate) handshake: f64,
    #[serde(rename = "late_kill")]
    pub(crate) late_failure: f64,
    pub(crate) moves: f64,
    pub(crate) origin: f64,
    pub(crate) peer: f64,
    pub(crate) probe: f64,
    pub(crate) discovery: f64,
    pub(crate) waste: f64,
}

/// The table `[goal]`: weights of the terms of the scheduler's objective.
///
/// The fields are those of [`quartzdrift_scheduler::interface::GoalWeights`].
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Goal {
    pub(crate) whole: f64,
    pub(crate) worst_window: f64,
    #[serde(rename = "worst_workload")]
    pub(crate) worst_request_class: f64,
    #[serde(rename = "worst_customer")]
    pub(crate) worst_tenant: f64,
}
