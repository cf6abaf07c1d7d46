//! HTTP service discovery: a JSON array of groups, each with `targets` ("address:port") and `labels`, all text.
//!
//! Labels that are read: `state` (`up`, `draining` or `gone`; up by default), `zone` and `kind` (names from the settings),
//! `cell` and `capacity` (numbers), `started` (seconds since 1970, with fractions). Others are ignored.
use crate::endpoint::{self, AddressError, ConfiguredNames, DiscoveredEndpoint};
use quartzdrift_scheduler::interface::EndpointState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum workers of one list.
pub const MAX_WORKERS: usize = 10_000;
/// Maximum bytes of a list's text.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// Targets that share their labels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Group {
    targets: Vec<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

/// A list, and what of it could not be read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Workers in the order of the list, each once.
    pub workers: Vec<DiscoveredEndpoint>,
    /// Targets that were left out.
    pub rejected: Vec<EndpointError>,
}

/// Why a text is not a list at all.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The text is longer than [`MAX_LIST_BYTES`].
    #[error("the list is over {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// The text is not the JSON of a list.
    #[error("the list is not readable: {0}")]
    Json(#[from] serde_json::Error),
    /// There are more workers than [`MAX_WORKERS`].
    #[error("the list names more than {MAX_WORKERS} workers")]
    TooManyWorkers,
}

/// Why a target of a list was left out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// The target is not an address.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// A label is malformed, or names what the settings do not have.
    #[error("{address}: label '{label}' is unreadable or names nothing in the settings")]
    Label {
        /// The worker.
        address: SocketAddr,
        /// The label's name.
        label: String,
    },
    /// The target has occurred before in the list.
    #[error("{0}: named twice")]
    Duplicate(String),
}

/// Parses the address of a worker. In the form that the result displays it is the worker's name everywhere. Host names other
/// than `localhost` are not taken, as a look-up would block.
///
/// # Errors
/// The text, where it is not an address and port in numbers.
pub fn parse_address(text: &str) -> Result<SocketAddr, AddressError> {
    endpoint::parse_address(text)
}

/// Reads a list. Targets that cannot be read are reported in the result.
///
/// # Errors
/// Where the text as a whole is not a list, or exceeds a limit.
pub fn read(text: &[u8], known: &ConfiguredNames) -> Result<EndpointList, ListError> {
    if text.len() > MAX_LIST_BYTES {
        return Err(ListError::TooLong);
    }
    let groups: Vec<Group> = serde_json::from_slice(text)?;
    let mut list = EndpointList::default();
    let mut seen = BTreeSet::new();
    for group in &groups {
        for target in &group.targets {
            match read_target(target, &group.labels, known) {
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

/// Writes workers as a list that [`read`] takes.
pub fn write(workers: &[DiscoveredEndpoint], known: &ConfiguredNames) -> Vec<u8> {
    let groups: Vec<Group> = workers
        .iter()
        .map(|endpoint| Group {
            targets: vec![endpoint.worker.clone()],
            labels: write_labels(endpoint, known),
        })
        .collect();
    serde_json::to_vec(&groups).unwrap_or_default()
}

fn read_target(
    target: &str,
    labels: &BTreeMap<String, String>,
    known: &ConfiguredNames,
) -> Result<DiscoveredEndpoint, EndpointError> {
    let address = parse_address(target)?;
    let labels = Labels { address, labels };
    let state = labels.state()?;
    let started = labels.number("started")?;
    Ok(DiscoveredEndpoint {
        worker: address.to_string(),
        state,
        zone: labels.index("zone", &known.zones)?,
        kind: labels.index("kind", &known.kinds)?,
        cell: labels.cell()?,
        capacity: labels.number("capacity")?,
        started: labels.start_time(started)?,
    })
}

/// The labels of one target.
struct Labels<'a> {
    address: SocketAddr,
    labels: &'a BTreeMap<String, String>,
}

impl Labels<'_> {
    fn get(&self, name: &str) -> Option<&str> {
        self.labels.get(name).map(String::as_str)
    }

    fn error(&self, name: &str) -> EndpointError {
        EndpointError::Label {
            address: self.address,
            label: name.to_owned(),
        }
    }

    /// An unknown state is an error rather than the default: it might forbid what `up` allows.
    fn state(&self) -> Result<EndpointState, EndpointError> {
        match self.get("state") {
            None | Some("up") => Ok(EndpointState::Up),
            Some("draining") => Ok(EndpointState::Draining),
            Some("gone") => Ok(EndpointState::Gone),
            Some(_) => Err(self.error("state")),
        }
    }

    /// The index of a name, or the first one where the label is missing.
    fn index(&self, label: &str, names: &[String]) -> Result<u32, EndpointError> {
        match self.get(label) {
            None => Ok(0),
            Some(value) => index_of(names, value).ok_or_else(|| self.error(label)),
        }
    }

    fn cell(&self) -> Result<u32, EndpointError> {
        match self.get("cell") {
            None => Ok(0),
            Some(value) => value.parse().map_err(|_| self.error("cell")),
        }
    }

    /// A finite number that is not negative.
    fn number(&self, label: &str) -> Result<Option<f64>, EndpointError> {
        match self.get(label).map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(number)) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            Some(_) => Err(self.error(label)),
        }
    }

    /// Zero means that the start is unknown.
    fn start_time(&self, seconds: Option<f64>) -> Result<Option<Duration>, EndpointError> {
        let Some(seconds) = seconds else { return Ok(None) };
        let started = Duration::try_from_secs_f64(seconds).map_err(|_| self.error("started"))?;
        Ok(Some(started).filter(|started| !started.is_zero()))
    }
}

/// The index of a name, which may be given as a number. Without names there is one unnamed place.
fn index_of(names: &[String], value: &str) -> Option<u32> {
    if let Some(index) = names.iter().position(|name| name == value) {
        return Some(index as u32);
    }
    let index: u32 = value.parse().ok()?;
    ((index as usize) < names.len().max(1)).then_some(index)
}

fn write_labels(endpoint: &DiscoveredEndpoint, known: &ConfiguredNames) -> BTreeMap<String, String> {
    let state = match endpoint.state {
        EndpointState::Up => "up",
        EndpointState::Draining => "draining",
        EndpointState::Gone => "gone",
    };
    let mut labels = BTreeMap::from([
        ("state".to_owned(), state.to_owned()),
        ("cell".to_owned(), endpoint.cell.to_string()),
    ]);
    if let Some(zone) = known.zones.get(endpoint.zone as usize) {
        labels.insert("zone".to_owned(), zone.clone());
    }
    if let Some(kind) = known.kinds.get(endpoint.kind as usize) {
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
