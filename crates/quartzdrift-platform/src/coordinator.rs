//! Applies the coordinator's numbered events to the list of workers.
//!
//! A worker is named by its uid, since another worker may later use the same address. The scheduler decides which
//! of several workers is at an address.
use quartzdrift_discovery::DiscoveredEndpoint;
use quartzdrift_scheduler::interface::{Endpoint, EndpointState};
use serde::Deserialize;
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// How long the list of workers holds after the last time when it was known to be current.
///
/// The protocol treats the events of an unreachable coordinator as known to the scheduler after a delay. This
/// is the shortest such delay, which starts when the coordinator's connections break. The delays for a
/// coordinator that stays silent and for a new configuration are longer.
pub const ENDPOINT_LEASE: Duration = Duration::from_secs(2);
/// Maximum number of workers that one event may name; a cluster is far smaller.
pub const MAX_WORKERS_PER_EVENT: usize = 100_000;

/// The coordinator's answer to a poll, or the events in a configuration.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct WatchResponse {
    /// Index of the coordinator's last event; `None` if it is not stated.
    #[serde(default)]
    pub index: Option<u64>,
    #[serde(default)]
    updates: Vec<CoordinatorEvent>,
}

/// An event of the coordinator; one without `endpoints` does not concern the list of workers.
#[derive(Clone, Debug, Deserialize)]
struct CoordinatorEvent {
    index: u64,
    endpoints: Option<EndpointsEvent>,
}

impl CoordinatorEvent {
    /// Whether the event holds the whole list of workers, so that it can be applied without the events before
    /// it.
    fn is_full_list(&self) -> bool {
        self.endpoints.as_ref().is_some_and(|endpoints| endpoints.all)
    }
}

/// The whole list of workers (`all`), or changes to it.
#[derive(Clone, Debug, Deserialize)]
struct EndpointsEvent {
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<WorkerEntry>,
}

/// A worker in an event.
#[derive(Clone, Debug, Deserialize)]
struct WorkerEntry {
    uid: String,
    endpoint: Option<SocketAddr>,
    #[serde(default)]
    az: Value,
    #[serde(default)]
    model: Value,
    #[serde(default)]
    pod_group: Value,
    state: String,
    capacity_hint: Option<f64>,
    boot_ms: Option<f64>,
}

/// State and address of a worker, as an event gives them.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The worker, identified by its uid.
    pub endpoint: DiscoveredEndpoint,
    /// Address of the worker; `None` if the event states none.
    pub address: Option<SocketAddr>,
}

impl EndpointUpdate {
    /// Borrows the update in the form of the scheduler's endpoint list.
    pub fn as_endpoint(&self) -> Endpoint<'_> {
        Endpoint {
            address: self.address,
            ..self.endpoint.as_endpoint()
        }
    }
}

/// Changes that one event makes to the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// Whether the event holds the whole list; workers that it does not name are removed then.
    pub is_full_list: bool,
    /// Workers that the event names, in its order.
    pub workers: Vec<EndpointUpdate>,
}

/// Result of applying the coordinator's answer to a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedResponse {
    /// Changes to the list of workers, in order.
    pub changes: Vec<EndpointChange>,
    /// Whether the answer holds exactly the events from the first one that the poll requested to the
    /// coordinator's last one. With `changes` applied, the list is then the one that the coordinator had when
    /// it answered.
    pub is_current: bool,
    /// Whether the answer holds no event at all, neither a new one nor one that was already applied.
    pub is_empty: bool,
}

/// Why an answer of the coordinator is rejected. The list of workers does not change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchError {
    /// The answer is not valid in the protocol; the text names the problem.
    Unreadable(String),
    /// The answer holds a change to the list, but not the event before that change.
    Gap {
        /// Index of the last event before the gap.
        have: u64,
        /// Index of the event after the gap.
        got: u64,
    },
    /// The coordinator has fewer events than were applied. Indexes do not restart while a scheduler runs.
    Stale {
        /// Index of the last applied event.
        have: u64,
        /// Index of the coordinator's last event.
        got: u64,
    },
}

/// Applies the coordinator's events in order, each one once.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointWatch {
    last_index: u64,
}

/// First location number for locations that the settings do not list; the lists in the settings are far
/// shorter.
const FIRST_UNLISTED_LOCATION: u32 = 1 << 16;

/// The number of a location (a zone or a pod group), which an event gives as a name or as a number.
///
/// Each name that is not in `names` gets a number of its own above the listed ones, the same number each
/// time. A worker without a location gets a location of its own, derived from `uid`: rules that hold within
/// one location are then strictest for it.
fn location_number(value: &Value, names: &[String], uid: &str) -> u32 {
    let is_listed = |number: &u64| {
        *number < u64::from(FIRST_UNLISTED_LOCATION) && (names.is_empty() || *number < names.len() as u64)
    };
    let listed_number = match value {
        Value::String(name) => names
            .iter()
            .position(|listed| listed == name)
            .map(|index| index as u64)
            .ok_or(name.clone()),
        Value::Null => Err(format!("of {uid}")),
        other => other.as_u64().filter(is_listed).ok_or(other.to_string()),
    };
    match listed_number {
        Ok(number) => number as u32,
        Err(unlisted_name) => {
            let mut hasher = DefaultHasher::new();
            unlisted_name.hash(&mut hasher);
            FIRST_UNLISTED_LOCATION | hasher.finish() as u32
        }
    }
}

/// The number of a machine kind. All kinds that the settings do not list share one further number, since only
/// measurements can distinguish them.
fn machine_kind(value: &Value, names: &[String]) -> u32 {
    let unlisted_kind = if names.is_empty() {
        FIRST_UNLISTED_LOCATION
    } else {
        names.len() as u32
    };
    match value {
        Value::Null => 0,
        _ => location_number(value, names, "").min(unlisted_kind),
    }
}

/// The time of a start in milliseconds since 1970. A clock before 1970 or beyond the range of a duration shows
/// a start as well, only not its time.
fn start_time(boot_ms: f64) -> Duration {
    Duration::try_from_secs_f64(boot_ms / 1e3).unwrap_or_default()
}

impl WorkerEntry {
    fn into_update(self, zones: &[String], kinds: &[String]) -> EndpointUpdate {
        let state = match self.state.as_str() {
            "Ready" => EndpointState::Up,
            "Gone" => EndpointState::Gone,
            // A worker in an unknown state gets no new requests.
            _ => EndpointState::Draining,
        };
        let endpoint = DiscoveredEndpoint {
            capacity: self.capacity_hint,
            cell: location_number(&self.pod_group, &[], &self.uid),
            kind: machine_kind(&self.model, kinds),
            zone: location_number(&self.az, zones, &self.uid),
            started: self.boot_ms.filter(|ms| *ms != 0.0).map(start_time),
            worker: self.uid,
            state,
        };
        EndpointUpdate {
            endpoint,
            address: self.endpoint,
        }
    }
}

/// Whether an answer holds every event after the one with the index `follow_from`, up to the coordinator's
/// last one. An event with the whole list replaces those before it.
fn is_complete(response: &WatchResponse, follow_from: u64) -> bool {
    let mut last = follow_from;
    for event in &response.updates {
        let follows_last = event.index == last + 1 || event.is_full_list() && event.index > last;
        if !follows_last {
            return false;
        }
        last = event.index;
    }
    response.index == Some(last)
}

impl EndpointWatch {
    /// Index of the last applied event. The next poll follows from it.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Index of the event before the last applied one.
    ///
    /// The coordinator answers a poll that follows from there at once, with the last applied event. The
    /// answer shows that the coordinator is reachable and has the same events.
    pub fn index_before_last(&self) -> u64 {
        self.last_index.saturating_sub(1)
    }

    /// Applies the coordinator's answer to a poll that followed from the event with the index `follow_from`;
    /// see [`EndpointWatch::apply`].
    ///
    /// # Errors
    /// The answer cannot be decoded, has a gap, or is older than the applied events; none of it is applied.
    pub fn apply_response(
        &mut self,
        body: &[u8],
        follow_from: u64,
        zones: &[String],
        kinds: &[String],
    ) -> Result<AppliedResponse, WatchError> {
        let response: WatchResponse =
            serde_json::from_slice(body).map_err(|e| WatchError::Unreadable(e.to_string()))?;
        let (have, got) = (self.last_index, response.index.unwrap_or(u64::MAX));
        let is_complete = is_complete(&response, follow_from);
        let is_empty = response.updates.is_empty();
        let changes = self.apply(response, zones, kinds)?;
        if self.last_index == have && got < have {
            Err(WatchError::Stale { have, got })
        } else {
            Ok(AppliedResponse {
                changes,
                is_current: is_complete && self.last_index == got,
                is_empty,
            })
        }
    }

    /// Applies events and returns the changes that they make. Events that were applied before are skipped.
    ///
    /// # Errors
    /// An event names too many workers, or an event is missing and the next one does not hold the whole list;
    /// no event is applied.
    pub fn apply(
        &mut self,
        response: WatchResponse,
        zones: &[String],
        kinds: &[String],
    ) -> Result<Vec<EndpointChange>, WatchError> {
        let (mut last, mut changes) = (self.last_index, Vec::new());
        for event in response.updates {
            let index = event.index;
            if index <= last {
                continue;
            }
            if index > last + 1 && !event.is_full_list() {
                return Err(WatchError::Gap {
                    have: last,
                    got: index,
                });
            }
            last = index;
            let Some(EndpointsEvent { all, targets }) = event.endpoints else {
                continue;
            };
            if targets.len() > MAX_WORKERS_PER_EVENT {
                return Err(WatchError::Unreadable(format!(
                    "event {index} names {} workers, the limit is {MAX_WORKERS_PER_EVENT}",
                    targets.len()
                )));
            }
            let workers = targets
                .into_iter()
                .map(|entry| entry.into_update(zones, kinds))
                .collect();
            changes.push(EndpointChange {
                is_full_list: all,
                workers,
            });
        }
        self.last_index = last;
        Ok(changes)
    }

    /// Makes the next poll follow from the start; the coordinator answers with the whole list.
    pub fn restart(&mut self) {
        self.last_index = 0;
    }
}

#[cfg(test)]
mod tests;
