//! Parses the configuration file that the platform gives a scheduler (`GW_CONFIG`).
use crate::coordinator::{ENDPOINT_LEASE, WatchResponse};
use serde::Deserialize;
use serde_json::Value;
use std::io::Read as _;
use std::net::SocketAddr;

/// Limit of open file descriptors if the configuration states none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Memory limit if the configuration states none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Maximum size of a configuration, in bytes; the worker list of the largest cluster takes far less.
pub const MAX_BYTES: u64 = 64 << 20;

/// Resource limits of the process; `None` where the configuration states none.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Number of processor cores.
    #[serde(default)]
    pub cores: Option<f64>,
    /// Memory, in megabytes.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Maximum number of open file descriptors.
    #[serde(default)]
    pub sockets: Option<usize>,
}

/// Content of the configuration file.
#[derive(Clone, Debug, Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Option<Limits>,
    coordinator: SocketAddr,
    #[serde(default)]
    known: WatchResponse,
    settings: Value,
}

/// Configuration of a scheduler.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the scheduler, for its log.
    pub name: String,
    /// Address on which the scheduler accepts clients; with port 0 the system chooses a free port.
    pub listen: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// File descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Private memory that the process may use, in megabytes.
    pub memory_mb: f64,
    /// Address of the coordinator whose events are followed.
    pub coordinator: SocketAddr,
    /// Events of the coordinator up to the time when the configuration was written.
    pub known_events: WatchResponse,
    /// Settings of the scheduler.
    pub settings: quartzdrift_scheduler::interface::Settings,
}

/// The seed as a number, given as hexadecimal text or as a number; 0 for any other value.
fn seed(value: &Value) -> u64 {
    match value {
        Value::String(hex) => u64::from_str_radix(hex, 16).unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

/// Reads the bytes of a configuration.
///
/// # Errors
/// The source cannot be read or has more than [`MAX_BYTES`] bytes.
pub fn read_bytes(source: impl std::io::Read) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    source
        .take(MAX_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    if bytes.len() as u64 > MAX_BYTES {
        return Err(format!(
            "the configuration has more than the allowed {MAX_BYTES} bytes"
        ));
    }
    Ok(bytes)
}

/// Parses a configuration.
///
/// # Errors
/// The configuration is invalid; the text is one line that names the problem.
pub fn parse(bytes: &[u8]) -> Result<Config, String> {
    let file: ConfigFile = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let mut settings = crate::settings::read(&file.settings)?;
    settings.rules.endpoint_lease = Some(ENDPOINT_LEASE);
    let limits = file.limits.as_ref();
    let memory_mb = limits
        .and_then(|limits| limits.memory_mb)
        .unwrap_or(DEFAULT_MEMORY_MB);
    if !(memory_mb.is_finite() && memory_mb > 0.0) {
        return Err(format!("limits.memory_mb must be above 0, it is {memory_mb}"));
    }
    Ok(Config {
        name: file.name,
        listen: file.listen,
        seed: seed(&file.seed),
        max_descriptors: limits
            .and_then(|limits| limits.sockets)
            .unwrap_or(DEFAULT_MAX_DESCRIPTORS),
        memory_mb,
        coordinator: file.coordinator,
        known_events: file.known,
        settings,
    })
}

#[cfg(test)]
mod tests;
