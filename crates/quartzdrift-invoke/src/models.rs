//! Load and unload commands, and health checks: the model repository extension and the health endpoints of
//! the Open Inference Protocol v2. Load commands have the number of replicas as a parameter, since the
//! extension allows implementation-specific parameters.
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Path of a server's readiness check.
pub const READY_PATH: &str = "/v2/health/ready";
const LIVE_PATH: &str = "/v2/health/live";
const INDEX_PATH: &str = "/v2/repository/index";
const REPOSITORY_PREFIX: &str = "/v2/repository/models/";
const MODEL_PREFIX: &str = "/v2/models/";

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Parameters {
    /// Number of replicas of the function.
    #[serde(default, rename = "copies")]
    replicas: u32,
}

/// The body of a load command and of its response.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct LoadBody {
    #[serde(default)]
    parameters: Parameters,
}

/// A request to a worker that is not an invocation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelRequest {
    /// Load command for the function with this name.
    Load(String),
    /// Unload command for the function with this name.
    Unload(String),
    /// Query whether the function with this name is loaded.
    ModelReady(String),
    /// Health check of the worker: readiness or liveness.
    ServerReady,
    /// Query for the list of loaded functions.
    RepositoryIndex,
}

impl ModelRequest {
    /// Parses the path of a request; `None` if the path is not one of this API.
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
                "load" => percent_decode(function).map(ModelRequest::Load),
                "unload" => percent_decode(function).map(ModelRequest::Unload),
                _ => None,
            };
        }
        let function = path.strip_prefix(MODEL_PREFIX)?.strip_suffix("/ready")?;
        percent_decode(function).map(ModelRequest::ModelReady)
    }
}

/// Whether a path is that of a readiness or liveness check of a server.
pub(crate) fn is_health_check(path: &str) -> bool {
    path == READY_PATH || path == LIVE_PATH
}

fn percent_decode(text: &str) -> Option<String> {
    let text = percent_decode_str(text).decode_utf8().ok()?;
    Some(text.into_owned())
}

fn command_target(function: &str, command: &str) -> String {
    let function = utf8_percent_encode(function, NON_ALPHANUMERIC);
    format!("{REPOSITORY_PREFIX}{function}/{command}")
}

/// The request target of the command that loads a function.
pub fn load_target(function: &str) -> String {
    command_target(function, "load")
}

/// The request target of the command that unloads a function.
pub fn unload_target(function: &str) -> String {
    command_target(function, "unload")
}

/// Encodes the body of a load command or of its response, with the number of replicas.
pub fn encode_replicas(replicas: u32) -> Vec<u8> {
    let parameters = Parameters { replicas };
    // Serialization cannot fail: the body contains only a number.
    serde_json::to_vec(&LoadBody { parameters }).unwrap_or_default()
}

/// Decodes the number of replicas from the body of a load command or of its response; `None` if the body is
/// malformed.
pub fn decode_replicas(body: &[u8]) -> Option<u32> {
    let body: LoadBody = serde_json::from_slice(body).ok()?;
    Some(body.parameters.replicas)
}
