//! The coordinator's numbered events, and the list of workers that they make.
//!
//! A worker is known by its uid alone: another one may come to stand at the same address.
use quartzdrift_choice::interface::State;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Workers in one event at most; a fleet is far smaller.
pub const TARGETS_MOST: usize = 100_000;

/// What a call to the coordinator brings.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct News {
    #[serde(default)]
    pub index: u64,
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

/// A worker as an event tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub uid: String,
    pub address: Option<SocketAddr>,
    pub capacity_hint: Option<f64>,
    pub cell: u32,
    pub kind: u32,
    pub zone: u32,
    /// When it started, since 1970; `None`: long ago.
    pub started: Option<Duration>,
    pub state: State,
}

/// What one event changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Whoever is not named has left.
    pub all: bool,
    pub workers: Vec<Listed>,
}

/// Why news is not believed; the list as it is stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Doubt {
    Unreadable(String),
    /// Events between ours and the first that came are missing.
    Gap {
        have: u64,
        got: u64,
    },
}

/// Which event was the last one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Follower {
    last: u64,
}

fn place(value: &Value, names: &[String]) -> u32 {
    let index = match value {
        Value::String(name) => names.iter().position(|known| known == name).map(|at| at as u64),
        other => other.as_u64(),
    };
    index.and_then(|at| u32::try_from(at).ok()).unwrap_or(0)
}

impl Target {
    fn listed(self, zones: &[String], kinds: &[String]) -> Listed {
        let state = match self.state.as_str() {
            "Ready" => State::Up,
            "Gone" => State::Gone,
            // What we do not know may not be sent to.
            _ => State::Draining,
        };
        let boot = self.boot_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        Listed {
            address: self.endpoint,
            capacity_hint: self.capacity_hint,
            cell: place(&self.pod_group, &[]),
            kind: place(&self.model, kinds),
            zone: place(&self.az, zones),
            started: boot.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
            uid: self.uid,
            state,
        }
    }
}

impl Follower {
    /// Number of the last event, to follow from.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Reads an answer of the coordinator; see [`Follower::take`].
    pub fn read(&mut self, body: &[u8], zones: &[String], kinds: &[String]) -> Result<Vec<Change>, Doubt> {
        let news: News = serde_json::from_slice(body).map_err(|e| Doubt::Unreadable(e.to_string()))?;
        self.take(news, zones, kinds)
    }

    /// What has changed since the last event. Events that are known already are passed over; where one is missing
    /// nothing is taken, since later ones only tell of changes.
    pub fn take(&mut self, news: News, zones: &[String], kinds: &[String]) -> Result<Vec<Change>, Doubt> {
        let (mut last, mut changes) = (self.last, Vec::new());
        for update in news.updates {
            let whole = update.endpoints.as_ref().is_some_and(|endpoints| endpoints.all);
            if update.index <= last {
                continue;
            }
            if update.index > last + 1 && !whole {
                return Err(Doubt::Gap { have: last, got: update.index });
            }
            last = update.index;
            let Some(Endpoints { all, targets }) = update.endpoints else { continue };
            if targets.len() > TARGETS_MOST {
                return Err(Doubt::Unreadable("too many workers in an event".to_owned()));
            }
            let workers = targets.into_iter().map(|target| target.listed(zones, kinds)).collect();
            changes.push(Change { all, workers });
        }
        self.last = last;
        Ok(changes)
    }

    /// Follows from the first event again, which carries the whole list.
    pub fn restart(&mut self) {
        self.last = 0;
    }
}
