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
    /// Memory that one cached replica takes, in megabytes.
    pub(crate) memory_mb: Option<f64>,
    /// Number of requests that one cached replica runs at a time.
    #[serde(rename = "lanes")]
    pub(crate) concurrency_slots: Option<f64>,
    /// Expected time to load the function.
    pub(crate) load: Option<HumanDuration>,
    /// Expected duration of one request.
    pub(crate) work: Option<HumanDuration>,
    /// Whether a request changes state outside the function.
    #[serde(default)]
    pub(crate) writes: bool,
    pub(crate) on_success: Option<DestinationEntry>,
    pub(crate) on_failure: Option<DestinationEntry>,
}

/// A destination of events: either a function or a URL.
#[derive(Clone, Debug, Deserialize)]
// Error text for a value of another type. `To` is an earlier name of this type; the text must not change.
#[serde(deny_unknown_fields, expecting = "struct To")]
pub(crate) struct DestinationEntry {
    pub(crate) function: Option<String>,
    pub(crate) url: Option<String>,
}
