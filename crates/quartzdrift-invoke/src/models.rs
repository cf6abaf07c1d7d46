//! Orders to load and unload, and probes: the model repository extension and the readiness calls of the Open
//! Inference Protocol v2. The number of copies goes as a parameter, which the extension leaves open.
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Serialize};

pub const READY: &str = "/v2/health/ready";
pub const INDEX: &str = "/v2/repository/index";

/// What an order or its answer carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parameters {
    #[serde(default)]
    pub copies: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCommand {
    #[serde(default)]
    pub parameters: Parameters,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    Load(String),
    Unload(String),
    ModelReady(String),
    Ready,
    Index,
}

pub fn load_target(function: &str) -> String {
    format!(
        "/v2/repository/models/{}/load",
        utf8_percent_encode(function, NON_ALPHANUMERIC)
    )
}

pub fn unload_target(function: &str) -> String {
    format!(
        "/v2/repository/models/{}/unload",
        utf8_percent_encode(function, NON_ALPHANUMERIC)
    )
}

pub fn load_command(copies: u32) -> Vec<u8> {
    serde_json::to_vec(&LoadCommand {
        parameters: Parameters { copies },
    })
    .unwrap_or_default()
}

/// The copies that an order or its answer tells; none where nothing can be read.
pub fn copies(body: &[u8]) -> Option<u32> {
    serde_json::from_slice::<LoadCommand>(body)
        .ok()
        .map(|load_command| load_command.parameters.copies)
}

/// What a path asks for, as a worker reads it.
pub fn read(path: &str) -> Option<Asked> {
    let name = |text: &str| {
        percent_decode_str(text)
            .decode_utf8()
            .ok()
            .map(|t| t.into_owned())
    };
    if path == READY || path == "/v2/health/live" {
        return Some(Asked::Ready);
    }
    if path == INDEX {
        return Some(Asked::Index);
    }
    if let Some(rest) = path.strip_prefix("/v2/repository/models/") {
        let (told, what) = rest.rsplit_once('/')?;
        return match what {
            "load" => name(told).map(Asked::Load),
            "unload" => name(told).map(Asked::Unload),
            _ => None,
        };
    }
    let told = path.strip_prefix("/v2/models/")?.strip_suffix("/ready")?;
    name(told).map(Asked::ModelReady)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn orders_are_read_as_written() {
        assert_eq!(read(&load_target("a:v1")), Some(Asked::Load("a:v1".to_owned())));
        assert_eq!(read(&unload_target("a/b")), Some(Asked::Unload("a/b".to_owned())));
        assert_eq!(
            (copies(&load_command(3)), copies(b"{}"), copies(b"x")),
            (Some(3), Some(0), None)
        );
        assert_eq!(
            read("/v2/models/q/ready"),
            Some(Asked::ModelReady("q".to_owned()))
        );
        assert_eq!(read("/v2/repository/models/q/drop"), None);
    }
}
