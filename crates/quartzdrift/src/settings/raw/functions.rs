//! The array `[[functions]]`, and the destinations of asynchronous invocations.
use super::duration::HumanDuration;
use serde::Deserialize;

/// An entry of `[[functions]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Function {
    pub(crate) name: String,
    #[serde(rename = "workload")]
    pub(crate) request_class: String,
    pub(crate) memory_mb: Option<f64>,
    #[serde(rename = "lanes")]
    pub(crate) concurrency_slots: Option<f64>,
    pub(crate) load: Option<HumanDuration>,
    pub(crate) work: Option<HumanDuration>,
    #[serde(default)]
    pub(crate) writes: bool,
    pub(crate) on_success: Option<DestinationEntry>,
    pub(crate) on_failure: Option<DestinationEntry>,
}

/// A destination: a function or a URL, one of the two.
#[derive(Clone, Debug, Deserialize)]
// The error for a value of another type keeps the name that users know.
#[serde(deny_unknown_fields, expecting = "struct To")]
pub(crate) struct DestinationEntry {
    pub(crate) function: Option<String>,
    pub(crate) url: Option<String>,
}
