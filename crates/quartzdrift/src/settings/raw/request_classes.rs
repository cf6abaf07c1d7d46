//! The arrays `[[workloads]]` and `[[customers]]`: request classes, and the tenants that share the capacity.
use super::duration::HumanDuration;
use serde::Deserialize;

/// An entry of `[[workloads]]`.
///
/// The fields are those of [`quartzdrift_scheduler::interface::RequestClass`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RequestClass {
    pub(crate) name: String,
    #[serde(rename = "effect")]
    pub(crate) idempotency: Idempotency,
    #[serde(rename = "time_limit")]
    pub(crate) timeout: HumanDuration,
    #[serde(rename = "start_target")]
    pub(crate) latency_objective: Option<HumanDuration>,
    #[serde(rename = "target_stretch")]
    pub(crate) latency_objective_stretch: Option<f64>,
    #[serde(rename = "importance")]
    pub(crate) priority_weight: Option<f64>,
    #[serde(rename = "late_share")]
    pub(crate) late_weight: Option<f64>,
    #[serde(rename = "group")]
    pub(crate) deduplication_scope: Option<DeduplicationScope>,
    pub(crate) window: Option<HumanDuration>,
    #[serde(default)]
    pub(crate) streams: bool,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Idempotency {
    #[serde(rename = "restartable")]
    Idempotent,
    #[serde(rename = "fingerprinted")]
    IdempotentWithKey,
    #[serde(rename = "run-once")]
    NonIdempotent,
}

/// The set of workers that share idempotency keys and so detect a duplicate request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum DeduplicationScope {
    All,
    Zone,
    Cell,
}

/// An entry of `[[customers]]`.
///
/// The fields are those of [`quartzdrift_scheduler::interface::Tenant`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tenant {
    pub(crate) name: String,
    pub(crate) share: Option<f64>,
    #[serde(rename = "jobs_per_second")]
    pub(crate) requests_per_second: Option<f64>,
}
