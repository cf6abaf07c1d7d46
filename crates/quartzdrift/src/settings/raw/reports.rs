//! The table `[reports]`: where workers' load reports come from, and which metric holds which figure.
use serde::Deserialize;

/// The table `[reports]`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Reports {
    pub(crate) source: ReportSource,
    pub(crate) fields: Vec<Metric>,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ReportSource {
    #[serde(rename = "answers")]
    Responses,
    #[serde(rename = "probes")]
    HealthChecks,
    #[default]
    #[serde(rename = "silent")]
    Absent,
}

/// A figure, and the metric of the worker's report that holds it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Metric {
    pub(crate) field: ReportField,
    pub(crate) metric: String,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ReportField {
    #[serde(rename = "held")]
    InFlight,
    Queued,
    #[serde(rename = "busy")]
    CoreUtilization,
    LatencyMs,
    #[serde(rename = "finished-per-second")]
    SucceededPerSecond,
    ErrorsPerSecond,
    #[serde(rename = "memory-taken")]
    UnreclaimableMemory,
    #[serde(rename = "loads")]
    LoadsInProgress,
}
