//! The tables `[gateway]`, `[limits]`, `[log]` and `[record]`: settings of the process, limits of its HTTP
//! connections, the log, and the request trace.
use super::duration::HumanDuration;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use toml::Spanned;

/// The table `[gateway]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Gateway {
    /// Addresses to listen on; the system chooses the port for port 0.
    pub(crate) listen: Vec<Spanned<String>>,
    /// Folder for snapshots such as the last endpoint list; without it no snapshots are written.
    pub(crate) state: Option<String>,
    /// Seed of the random number generators; without it each start draws a new seed.
    pub(crate) seed: Option<u64>,
    /// Maximum time that a stopping gateway waits for open requests.
    #[serde(default = "default_drain")]
    pub(crate) drain: HumanDuration,
    /// Whether the gateway rejects payloads that are not JSON, as the Invoke API requires.
    #[serde(default = "default_require_json")]
    pub(crate) require_json: bool,
    /// Header in which a trusted frontend sends the tenant's name; without it all requests count for the
    /// first tenant.
    #[serde(rename = "customer_field")]
    pub(crate) tenant_field: Option<String>,
    /// Request class of functions that `[[functions]]` does not list; without it calls of those functions are
    /// rejected.
    #[serde(rename = "default_workload")]
    pub(crate) default_request_class: Option<Spanned<String>>,
    /// Whether other processes may listen on the same addresses, so that a successor can take over before
    /// this gateway stops.
    #[serde(default)]
    pub(crate) share_port: bool,
}

fn default_drain() -> HumanDuration {
    HumanDuration(Duration::from_secs(10))
}

fn default_require_json() -> bool {
    true
}

/// The table `[limits]`. For an absent key the default of the HTTP package applies.
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

/// Format of log lines.
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
    /// Filter in the syntax of tracing-subscriber's `EnvFilter`, like "info" or "info,quartzdrift=debug".
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

/// The table `[record]`: the trace of all accepted requests, for simulations and load tests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Record {
    /// The trace file, in JSON lines; compressed with gzip if its name ends in `.gz`.
    pub(crate) file: String,
    /// Maximum size of the trace before compression, in bytes. The trace ends at this size.
    #[serde(default = "default_record_bytes")]
    pub(crate) bytes: u64,
    /// Whether the trace has a hash in place of each function name.
    #[serde(default)]
    pub(crate) hash_names: bool,
}

fn default_record_bytes() -> u64 {
    1 << 30
}
