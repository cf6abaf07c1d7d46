//! Endpoint lists in the JSON format of HTTP service discovery: an array of groups, each with `targets`
//! (`"address:port"`) and `labels` (names and values, both strings).
//!
//! Labels of an endpoint; other labels are ignored:
//!
//! * `state`: `up` (the default), `draining` or `gone`.
//! * `zone`, `kind`: names from the settings, or their indexes.
//! * `cell`: number of the cell.
//! * `capacity`: number of requests that the worker executes concurrently.
//! * `started`: start time of the worker, in seconds since the Unix epoch, with fractions.
use crate::endpoint::{self, AddressError, ConfiguredNames, DiscoveredEndpoint};
use quartzdrift_scheduler::interface::EndpointState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum number of workers in a list.
pub const MAX_WORKERS: usize = 10_000;
/// Maximum size of a list's JSON text, in bytes.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// Targets that share their labels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Group {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

/// Result of parsing an endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Workers in the order of the list, without duplicates.
    pub workers: Vec<DiscoveredEndpoint>,
    /// Errors of the targets that were left out.
    pub rejected: Vec<EndpointError>,
}

/// Why a text is rejected as a whole.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is longer than [`MAX_LIST_BYTES`].
    #[error("endpoint list has {bytes} bytes, more than the limit of {MAX_LIST_BYTES}")]
    TooLong {
        /// Size of the text, in bytes.
        bytes: usize,
    },
    /// The text is not an endpoint list in JSON.
    #[error("endpoint list is not valid JSON of targets and labels: {0}")]
    Json(#[from] serde_json::Error),
    /// The list has more workers than [`MAX_WORKERS`].
    #[error("endpoint list has more workers than the limit of {MAX_WORKERS}")]
    TooManyWorkers,
}

/// Why a target of a list was left out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// The target is not an address.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// A label's value is malformed or missing from the settings.
    #[error("target {address}: value '{value}' of label '{label}' is malformed or not in the settings")]
    Label {
        /// Address of the worker.
        address: SocketAddr,
        /// Name of the label.
        label: String,
        /// Value of the label.
        value: String,
    },
    /// The target occurs earlier in the list.
    #[error("target '{0}' occurs more than once in the list")]
    Duplicate(String),
}

/// Parses the address of a worker. The displayed result is the canonical form, which serves as the worker's
/// name. Rejects host names other than `localhost`, as resolving a name would block.
///
/// # Errors
/// Returns the text if it is not an IP address with a port.
pub fn parse_address(text: &str) -> Result<SocketAddr, AddressError> {
    endpoint::parse_address(text)
}

/// Parses an endpoint list. Targets that cannot be parsed are left out and reported in the result.
///
/// # Errors
/// Returns an error if the text as a whole is not an endpoint list or exceeds a limit.
pub fn read(text: &[u8], names: &ConfiguredNames) -> Result<EndpointList, ListError> {
    if text.len() > MAX_LIST_BYTES {
        return Err(ListError::TooLong { bytes: text.len() });
    }
    let groups: Vec<Group> = serde_json::from_slice(text)?;
    let mut list = EndpointList::default();
    let mut seen = BTreeSet::new();
    for group in &groups {
        for target in &group.targets {
            match read_target(target, &group.labels, names) {
                Ok(endpoint) if !seen.insert(endpoint.worker.clone()) => {
                    list.rejected.push(EndpointError::Duplicate(target.clone()));
                }
                Ok(_) if list.workers.len() >= MAX_WORKERS => return Err(ListError::TooManyWorkers),
                Ok(endpoint) => list.workers.push(endpoint),
                Err(error) => list.rejected.push(error),
            }
        }
    }
    Ok(list)
}

/// Writes workers as an endpoint list that [`read`] can parse.
pub fn write(workers: &[DiscoveredEndpoint], names: &ConfiguredNames) -> Vec<u8> {
    let groups: Vec<Group> = workers
        .iter()
        .map(|endpoint| Group {
            targets: vec![endpoint.worker.clone()],
            labels: write_labels(endpoint, names),
        })
        .collect();
    serde_json::to_vec(&groups).unwrap_or_default()
}

fn read_target(
    target: &str,
    labels: &BTreeMap<String, String>,
    names: &ConfiguredNames,
) -> Result<DiscoveredEndpoint, EndpointError> {
    let address = parse_address(target)?;
    let labels = Labels { address, labels };
    let state = labels.state()?;
    let started = labels.number("started")?;
    Ok(DiscoveredEndpoint {
        worker: address.to_string(),
        state,
        zone: labels.name_index("zone", &names.zones)?,
        kind: labels.name_index("kind", &names.kinds)?,
        cell: labels.cell()?,
        capacity: labels.number("capacity")?,
        started: labels.start_time(started)?,
    })
}

/// Labels of one target.
struct Labels<'a> {
    address: SocketAddr,
    labels: &'a BTreeMap<String, String>,
}

impl Labels<'_> {
    fn value(&self, label: &str) -> Option<&str> {
        self.labels.get(label).map(String::as_str)
    }

    fn error(&self, label: &str) -> EndpointError {
        EndpointError::Label {
            address: self.address,
            label: label.to_owned(),
            value: self.value(label).unwrap_or_default().to_owned(),
        }
    }

    /// Parses the state. An unknown state is an error: with the default, `up`, a worker that does not accept
    /// requests could be sent some.
    fn state(&self) -> Result<EndpointState, EndpointError> {
        match self.value("state") {
            None | Some("up") => Ok(EndpointState::Up),
            Some("draining") => Ok(EndpointState::Draining),
            Some("gone") => Ok(EndpointState::Gone),
            Some(_) => Err(self.error("state")),
        }
    }

    /// Index of the label's value in `names`; 0 if the label is missing.
    fn name_index(&self, label: &str, names: &[String]) -> Result<u32, EndpointError> {
        match self.value(label) {
            None => Ok(0),
            Some(value) => index_of(names, value).ok_or_else(|| self.error(label)),
        }
    }

    fn cell(&self) -> Result<u32, EndpointError> {
        match self.value("cell") {
            None => Ok(0),
            Some(value) => value.parse().map_err(|_| self.error("cell")),
        }
    }

    /// Parses a label's value as a finite number of at least 0; `None` if the label is missing.
    fn number(&self, label: &str) -> Result<Option<f64>, EndpointError> {
        match self.value(label).map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(number)) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            Some(_) => Err(self.error(label)),
        }
    }

    /// Converts the value of `started`. Zero stands for an unknown start time, hence `None`.
    fn start_time(&self, seconds: Option<f64>) -> Result<Option<Duration>, EndpointError> {
        let Some(seconds) = seconds else { return Ok(None) };
        let started = Duration::try_from_secs_f64(seconds).map_err(|_| self.error("started"))?;
        Ok(Some(started).filter(|started| !started.is_zero()))
    }
}

/// Index of a name in `names`. `value` is the name itself or its index. Without configured names, 0 is the
/// only valid index.
fn index_of(names: &[String], value: &str) -> Option<u32> {
    if let Some(index) = names.iter().position(|name| name == value) {
        return Some(index as u32);
    }
    let index: u32 = value.parse().ok()?;
    ((index as usize) < names.len().max(1)).then_some(index)
}

fn write_labels(endpoint: &DiscoveredEndpoint, names: &ConfiguredNames) -> BTreeMap<String, String> {
    let state = match endpoint.state {
        EndpointState::Up => "up",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "gone",
    };
    let mut labels = BTreeMap::from([
        ("state".to_owned(), state.to_owned()),
        ("cell".to_owned(), endpoint.cell.to_string()),
    ]);
    if let Some(zone) = names.zones.get(endpoint.zone as usize) {
        labels.insert("zone".to_owned(), zone.clone());
    }
    if let Some(kind) = names.kinds.get(endpoint.kind as usize) {
        labels.insert("kind".to_owned(), kind.clone());
    }
    if let Some(capacity) = endpoint.capacity {
        labels.insert("capacity".to_owned(), capacity.to_string());
    }
    if let Some(started) = endpoint.started {
        labels.insert("started".to_owned(), format!("{:.6}", started.as_secs_f64()));
    }
    labels
}
