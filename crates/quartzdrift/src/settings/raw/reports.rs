//! The table `[reports]`: the source of the workers' load reports, and the metric for each field of a report.
use serde::Deserialize;

/// The table `[reports]`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Reports {
    pub(crate) source: ReportSource,
    pub(crate) fields: Vec<Metric>,
}

/// Source of load reports.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ReportSource {
    /// Headers of the workers' responses.
    #[serde(rename = "answers")]
    Responses,
    /// Responses to health checks.
    #[serde(rename = "probes")]
    HealthChecks,
    /// Workers send no load reports.
    #[default]
    #[serde(rename = "silent")]
    Absent,
}

/// A field of a load report, and the name of the worker's metric that holds its value.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Metric {
    pub(crate) field: ReportField,
    pub(crate) metric: String,
}

/// A field of a load report.
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
