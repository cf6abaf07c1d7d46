//! The configuration that the platform gives a scheduler.
use crate::coordinator::WatchResponse;
use serde::Deserialize;
use serde_json::Value;
use std::io::Read as _;
use std::net::SocketAddr;

/// Descriptors where no limit is told.
const DEFAULT_SOCKETS: usize = 1024;
/// Bytes of a configuration at most: the list of the largest fleet takes far less.
pub const MAX_BYTES: u64 = 64 << 20;

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    #[serde(default)]
    pub cores: Option<f64>,
    #[serde(default)]
    pub memory_mb: Option<f64>,
    #[serde(default)]
    pub sockets: Option<usize>,
}

#[derive(Clone, Debug, Deserialize)]
struct Raw {
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

/// A configuration, read whole.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub coordinator: SocketAddr,
    pub known: WatchResponse,
    pub settings: quartzdrift_scheduler::interface::Settings,
}

fn seed(value: &Value) -> u64 {
    match value {
        Value::String(hex) => u64::from_str_radix(hex, 16).unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

/// What a file holds, if a configuration may be that large.
pub fn load(from: impl std::io::Read) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    from.take(MAX_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    if bytes.len() as u64 > MAX_BYTES {
        return Err(format!("it has more than {MAX_BYTES} bytes"));
    }
    Ok(bytes)
}

/// Reads a configuration; the error says in one line what is wrong with it.
pub fn read(bytes: &[u8]) -> Result<Config, String> {
    let raw: Raw = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    let settings = crate::settings::read(&raw.settings)?;
    Ok(Config {
        name: raw.name,
        listen: raw.listen,
        seed: seed(&raw.seed),
        sockets: raw
            .limits
            .and_then(|limits| limits.sockets)
            .unwrap_or(DEFAULT_SOCKETS),
        coordinator: raw.coordinator,
        known: raw.known,
        settings,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use quartzdrift_scheduler::interface::ReportField;

    const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.4:8443","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":64,"sockets":256},"coordinator":"127.2.0.1:2379",
        "known":{"index":1,"updates":[{"index":1,"endpoints":{"rev":1,"all":true,"targets":[]}}]},
        "settings":{"classes":[{"name":"map","deadline-ns":3000000000}],"stats":{"fields":["q"]}}}"#;

    #[test]
    fn a_configuration_is_read_whole_or_not_at_all() {
        let config = read(GOOD.as_bytes()).unwrap();
        assert_eq!((config.seed, config.sockets), (0x8c1f_30d2_7a5b_e964, 256));
        assert_eq!(config.settings.request_classes[0].name, "map");
        assert_eq!(config.settings.report_fields, [ReportField::Queued]);
        for (good, bad) in [
            ("127.0.0.4:8443", "nowhere"),
            ("\"map\"", "7,"),
            ("\"classes\"", "\"other\""),
        ] {
            assert!(read(GOOD.replace(good, bad).as_bytes()).is_err(), "{bad}");
        }
        assert!(read(&GOOD.as_bytes()[..200]).is_err());
    }

    #[test]
    fn a_configuration_has_a_bound_and_the_worker_list_may_be_missing() {
        assert!(load(std::io::repeat(b' ')).is_err_and(|why| why.contains("bytes")));
        assert_eq!(load(GOOD.as_bytes()).unwrap(), GOOD.as_bytes());
        let start = GOOD.find("\"known\"").unwrap();
        let end = GOOD.find("\"settings\"").unwrap();
        let without = format!("{}{}", &GOOD[..start], &GOOD[end..]);
        assert!(read(without.as_bytes()).is_ok_and(|config| config.known.index.is_none()));
    }
}
