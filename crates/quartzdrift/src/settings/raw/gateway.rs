//! The tables `[gateway]`, `[limits]`, `[log]` and `[record]`: the process itself, its sockets and what it
//! writes.
use super::duration::HumanDuration;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use toml::Spanned;

/// The table `[gateway]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Gateway {
    /// Addresses to listen at; port 0 takes a free one.
    pub(crate) listen: Vec<Spanned<String>>,
    /// Folder for snapshots such as the last endpoint list; `None`: nothing is stored.
    pub(crate) state: Option<String>,
    /// Seed of the random numbers; `None`: a new one at each start.
    pub(crate) seed: Option<u64>,
    /// Drain window: how long a stopping gateway waits for open requests.
    #[serde(default = "default_drain")]
    pub(crate) drain: HumanDuration,
    /// Whether a payload must be JSON, as the Invoke API requires.
    #[serde(default = "default_require_json")]
    pub(crate) require_json: bool,
    /// The header by which a trusted frontend names the tenant; `None`: all requests are the first tenant's.
    #[serde(rename = "customer_field")]
    pub(crate) tenant_field: Option<String>,
    /// The request class of functions that the settings do not name; `None`: they are not found.
    #[serde(rename = "default_workload")]
    pub(crate) default_request_class: Option<Spanned<String>>,
    /// Whether another instance may listen at the same addresses, to take over before this one stops.
    #[serde(default)]
    pub(crate) share_port: bool,
}

fn default_drain() -> HumanDuration {
    HumanDuration(Duration::from_secs(10))
}

fn default_require_json() -> bool {
    true
}

/// The table `[limits]`; a key that is absent takes the HTTP package's default.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Limits {
    pub(crate) head_bytes: Option<usize>,
    pub(crate) payload_bytes: Option<usize>,
    pub(crate) answer_bytes: Option<usize>,
    pub(crate) connections: Option<usize>,
    pub(crate) connections_each_worker: Option<usize>,
    pub(crate) receive: Option<HumanDuration>,
    pub(crate) idle: Option<HumanDuration>,
    pub(crate) send: Option<HumanDuration>,
}

/// Format of the lines of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LogForm {
    #[default]
    Text,
    Json,
}

/// The table `[log]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Log {
    pub(crate) form: LogForm,
    /// A filter as tracing-subscriber's `EnvFilter` reads it, like "info" or "info,quartzdrift=debug".
    pub(crate) filter: String,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            form: LogForm::Text,
            filter: "info".to_owned(),
        }
    }
}

/// The table `[record]`: a trace of all requests, for simulations and load tests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Record {
    /// JSON lines, compressed by gzip where the name ends in `.gz`.
    pub(crate) file: String,
    /// Maximum bytes written, before compression; then the trace ends.
    #[serde(default = "default_record_bytes")]
    pub(crate) bytes: u64,
    /// Names of functions are replaced by hashes.
    #[serde(default)]
    pub(crate) hash_names: bool,
}

fn default_record_bytes() -> u64 {
    1 << 30
}
