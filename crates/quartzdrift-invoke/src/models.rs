//! Load and unload commands, and health checks: the model repository extension and the readiness calls of the Open
//! Inference Protocol v2. The number of replicas is a parameter, which the extension leaves open.
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The path of the server's readiness check.
pub const READY_PATH: &str = "/v2/health/ready";
const LIVE_PATH: &str = "/v2/health/live";
const INDEX_PATH: &str = "/v2/repository/index";
const REPOSITORY_PREFIX: &str = "/v2/repository/models/";
const MODEL_PREFIX: &str = "/v2/models/";

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Parameters {
    #[serde(default)]
    copies: u32,
}

/// The body of a load command and of its response.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct LoadBody {
    #[serde(default)]
    parameters: Parameters,
}

/// A request to a worker other than an invocation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelRequest {
    /// Load a function.
    Load(String),
    /// Unload a function.
    Unload(String),
    /// Is a function loaded?
    ModelReady(String),
    /// Is the worker ready, or alive?
    ServerReady,
    /// Which functions are loaded?
    RepositoryIndex,
}

impl ModelRequest {
    /// Reads a request's path; `None` for other paths.
    pub fn parse(path: &str) -> Option<ModelRequest> {
        if is_health_check(path) {
            return Some(ModelRequest::ServerReady);
        }
        if path == INDEX_PATH {
            return Some(ModelRequest::RepositoryIndex);
        }
        if let Some(rest) = path.strip_prefix(REPOSITORY_PREFIX) {
            let (function, command) = rest.rsplit_once('/')?;
            return match command {
                "load" => decode(function).map(ModelRequest::Load),
                "unload" => decode(function).map(ModelRequest::Unload),
                _ => None,
            };
        }
        let function = path.strip_prefix(MODEL_PREFIX)?.strip_suffix("/ready")?;
        decode(function).map(ModelRequest::ModelReady)
    }
}

/// Whether a path is that of a server's readiness or liveness check.
pub(crate) fn is_health_check(path: &str) -> bool {
    path == READY_PATH || path == LIVE_PATH
}

fn decode(text: &str) -> Option<String> {
    let text = percent_decode_str(text).decode_utf8().ok()?;
    Some(text.into_owned())
}

fn command_target(function: &str, command: &str) -> String {
    let function = utf8_percent_encode(function, NON_ALPHANUMERIC);
    format!("{REPOSITORY_PREFIX}{function}/{command}")
}

/// The target of a load command.
pub fn load_target(function: &str) -> String {
    command_target(function, "load")
}

/// The target of an unload command.
pub fn unload_target(function: &str) -> String {
    command_target(function, "unload")
}

/// The body of a load command, or of its response, for this many replicas.
pub fn encode_replicas(replicas: u32) -> Vec<u8> {
    let parameters = Parameters { copies: replicas };
    // A number cannot fail to be written.
    serde_json::to_vec(&LoadBody { parameters }).unwrap_or_default()
}

/// The replicas that a load command or its response names; `None` for a body that cannot be read.
pub fn decode_replicas(body: &[u8]) -> Option<u32> {
    let body: LoadBody = serde_json::from_slice(body).ok()?;
    Some(body.parameters.copies)
}
