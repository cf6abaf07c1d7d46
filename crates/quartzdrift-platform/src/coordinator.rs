//! Reads the coordinator's numbered events, which make up the list of workers.
//!
//! A worker is identified by its uid alone: another worker may later use the same address.
use quartzdrift_discovery::DiscoveredEndpoint;
use quartzdrift_scheduler::interface::EndpointState;
use serde::Deserialize;
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// What the coordinator would have told counts as told so long after its connections break, at the earliest that the protocol
/// names; a silence and a new configuration leave more time.
pub const ENDPOINT_LEASE: Duration = Duration::from_secs(2);
/// Most workers that one event may name; a fleet is far smaller.
pub const MAX_WORKERS_PER_EVENT: usize = 100_000;

/// The coordinator's answer to a poll, or the events that a configuration holds.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct WatchResponse {
    /// Index of the coordinator's last event; `None` where it is not stated.
    #[serde(default)]
    pub index: Option<u64>,
    #[serde(default)]
    updates: Vec<Update>,
}

#[derive(Clone, Debug, Deserialize)]
struct Update {
    index: u64,
    endpoints: Option<Endpoints>,
}

#[derive(Clone, Debug, Deserialize)]
struct Endpoints {
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

#[derive(Clone, Debug, Deserialize)]
struct Target {
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

/// What an event says of one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The worker, named by its uid.
    pub endpoint: DiscoveredEndpoint,
    /// Its address; `None` where none is stated.
    pub address: Option<SocketAddr>,
}

/// The changes that one event makes.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The event holds the whole list: workers that it does not name have left.
    pub is_full_list: bool,
    /// The workers that it names, in its order.
    pub workers: Vec<EndpointUpdate>,
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedResponse {
    /// The changes that it makes, in order.
    pub changes: Vec<EndpointChange>,
    /// It holds all events from the one that was asked for to the coordinator's last, and nothing else: with its changes the
    /// list is what the coordinator had when it answered.
    pub is_current: bool,
    /// It brings no event, neither a new nor a known one.
    pub is_empty: bool,
}

/// Why an answer is refused. The list of workers stays as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchError {
    /// It is not of the protocol's form.
    Unreadable(String),
    /// Events between the last applied one and the first that came are missing.
    Gap {
        /// Index of the last applied event.
        have: u64,
        /// Index of the first event that came.
        got: u64,
    },
    /// The coordinator knows fewer events than were applied; indexes do not start over while a scheduler runs.
    Stale {
        /// Index of the last applied event.
        have: u64,
        /// Index of the coordinator's last event.
        got: u64,
    },
}

/// Follows the coordinator's events; remembers the last one that was applied.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointWatch {
    last: u64,
}

/// Numbers of places that the settings do not list begin here; a list of names is far shorter.
const FIRST_UNLISTED_PLACE: u32 = 1 << 16;

/// The number of a place (a zone, or a group of workers) that an event gives by name or number.
///
/// A name that the settings do not list is a place apart from the listed ones, the same for the same name. Where no place is
/// stated, the worker `uid` is in a place of its own, so that rules that hold within a place bind most.
fn place(value: &Value, names: &[String], uid: &str) -> u32 {
    let known =
        |at: &u64| *at < u64::from(FIRST_UNLISTED_PLACE) && (names.is_empty() || *at < names.len() as u64);
    let resolved = match value {
        Value::String(name) => names
            .iter()
            .position(|known| known == name)
            .map(|at| at as u64)
            .ok_or(name.clone()),
        Value::Null => Err(format!("of {uid}")),
        other => other.as_u64().filter(known).ok_or(other.to_string()),
    };
    match resolved {
        Ok(at) => at as u32,
        Err(name) => {
            let mut hasher = DefaultHasher::new();
            name.hash(&mut hasher);
            FIRST_UNLISTED_PLACE | hasher.finish() as u32
        }
    }
}

/// The number of a kind of machine. All kinds that the settings do not list are one more kind, since only measurements
/// tell them apart.
fn kind(value: &Value, names: &[String]) -> u32 {
    let most = if names.is_empty() {
        FIRST_UNLISTED_PLACE
    } else {
        names.len() as u32
    };
    match value {
        Value::Null => 0,
        _ => place(value, names, "").min(most),
    }
}

impl Target {
    fn resolved(self, zones: &[String], kinds: &[String]) -> EndpointUpdate {
        let state = match self.state.as_str() {
            "Ready" => EndpointState::Up,
            "Gone" => EndpointState::Gone,
            // A worker in an unknown state gets nothing new.
            _ => EndpointState::Draining,
        };
        let boot = self.boot_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        let endpoint = DiscoveredEndpoint {
            capacity: self.capacity_hint,
            cell: place(&self.pod_group, &[], &self.uid),
            kind: kind(&self.model, kinds),
            zone: place(&self.az, zones, &self.uid),
            started: boot.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
            worker: self.uid,
            state,
        };
        EndpointUpdate {
            endpoint,
            address: self.endpoint,
        }
    }
}

/// Whether an answer holds each event behind the one numbered `asked`, up to the last one that it names. An event with the
/// whole list stands for those before it.
fn is_complete(response: &WatchResponse, asked: u64) -> bool {
    let mut last = asked;
    for update in &response.updates {
        let whole = update.endpoints.as_ref().is_some_and(|endpoints| endpoints.all);
        let follows = update.index == last + 1 || whole && update.index > last;
        if !follows {
            return false;
        }
        last = update.index;
    }
    response.index == Some(last)
}

impl EndpointWatch {
    /// Index of the last applied event, to follow from.
    pub fn last_index(&self) -> u64 {
        self.last
    }

    /// Index of the event before the last applied one: following from there has the coordinator tell the last one again, at
    /// once, which shows that it is there and has the same events.
    pub fn index_before_last(&self) -> u64 {
        self.last.saturating_sub(1)
    }

    /// Reads and applies the coordinator's answer to a poll that followed from the event numbered `asked`; see
    /// [`EndpointWatch::apply`].
    ///
    /// # Errors
    /// It cannot be read, has a gap, or is older than what was applied; nothing of it is applied.
    pub fn apply_response(
        &mut self,
        body: &[u8],
        asked: u64,
        zones: &[String],
        kinds: &[String],
    ) -> Result<AppliedResponse, WatchError> {
        let response: WatchResponse =
            serde_json::from_slice(body).map_err(|e| WatchError::Unreadable(e.to_string()))?;
        let (have, got) = (self.last, response.index.unwrap_or(u64::MAX));
        let is_complete = is_complete(&response, asked);
        let is_empty = response.updates.is_empty();
        let changes = self.apply(response, zones, kinds)?;
        if self.last == have && got < have {
            Err(WatchError::Stale { have, got })
        } else {
            Ok(AppliedResponse {
                changes,
                is_current: is_complete && self.last == got,
                is_empty,
            })
        }
    }

    /// Applies events and returns what they change. Events that were applied already are skipped.
    ///
    /// # Errors
    /// An event is missing, and what follows it only holds changes; nothing is applied.
    pub fn apply(
        &mut self,
        response: WatchResponse,
        zones: &[String],
        kinds: &[String],
    ) -> Result<Vec<EndpointChange>, WatchError> {
        let (mut last, mut changes) = (self.last, Vec::new());
        for update in response.updates {
            let whole = update.endpoints.as_ref().is_some_and(|endpoints| endpoints.all);
            if update.index <= last {
                continue;
            }
            if update.index > last + 1 && !whole {
                return Err(WatchError::Gap {
                    have: last,
                    got: update.index,
                });
            }
            last = update.index;
            let Some(Endpoints { all, targets }) = update.endpoints else {
                continue;
            };
            if targets.len() > MAX_WORKERS_PER_EVENT {
                return Err(WatchError::Unreadable("too many workers in an event".to_owned()));
            }
            let workers = targets
                .into_iter()
                .map(|target| target.resolved(zones, kinds))
                .collect();
            changes.push(EndpointChange {
                is_full_list: all,
                workers,
            });
        }
        self.last = last;
        Ok(changes)
    }

    /// Follows from the first event again, which carries the whole list.
    pub fn restart(&mut self) {
        self.last = 0;
    }
}

#[cfg(test)]
mod tests;
