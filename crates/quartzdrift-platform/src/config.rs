//! The configuration file that the platform gives a scheduler (`GW_CONFIG`).
use crate::coordinator::{ENDPOINT_LEASE, WatchResponse};
use serde::Deserialize;
use serde_json::Value;
use std::io::Read as _;
use std::net::SocketAddr;

/// Descriptors where the configuration states no limit.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Largest accepted configuration, in bytes; the list of the largest fleet takes far less.
pub const MAX_BYTES: u64 = 64 << 20;

/// Limits of the process, where they are stated.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Processor cores.
    #[serde(default)]
    pub cores: Option<f64>,
    /// Memory, in megabytes.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Open descriptors.
    #[serde(default)]
    pub sockets: Option<usize>,
}

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

/// A configuration that was read whole.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the scheduler, for its log.
    pub name: String,
    /// Address at which clients are accepted; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Seed of all random draws.
    pub seed: u64,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Address of the coordinator whose events are followed.
    pub coordinator: SocketAddr,
    /// Events of the coordinator that are known already.
    pub known_events: WatchResponse,
    /// Settings of the scheduler.
    pub settings: quartzdrift_scheduler::interface::Settings,
}

/// Hexadecimal text or a number; anything else is 0.
fn seed(value: &Value) -> u64 {
    match value {
        Value::String(hex) => u64::from_str_radix(hex, 16).unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

/// Reads a configuration's bytes.
///
/// # Errors
/// It cannot be read, or is larger than [`MAX_BYTES`].
pub fn read_bytes(from: impl std::io::Read) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    from.take(MAX_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    if bytes.len() as u64 > MAX_BYTES {
        return Err(format!("it has more than {MAX_BYTES} bytes"));
    }
    Ok(bytes)
}

/// Reads a configuration.
///
/// # Errors
/// One line that says what is wrong with it.
pub fn parse(bytes: &[u8]) -> Result<Config, String> {
    let file: ConfigFile = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let mut settings = crate::settings::read(&file.settings)?;
    settings.rules.endpoint_lease = Some(ENDPOINT_LEASE);
    Ok(Config {
        name: file.name,
        listen: file.listen,
        seed: seed(&file.seed),
        max_descriptors: file
            .limits
            .and_then(|limits| limits.sockets)
            .unwrap_or(DEFAULT_MAX_DESCRIPTORS),
        coordinator: file.coordinator,
        known_events: file.known,
        settings,
    })
}

#[cfg(test)]
mod tests;
