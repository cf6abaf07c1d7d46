//! The coordinator's numbered events, and the list of workers that they make.
//!
//! A worker is known by its uid alone: another one may come to stand at the same address.
use quartzdrift_discovery::DiscoveredEndpoint;
use quartzdrift_scheduler::interface::EndpointState;
use serde::Deserialize;
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Workers in one event at most; a fleet is far smaller.
pub const MAX_TARGETS: usize = 100_000;

/// What a call to the coordinator brings.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct News {
    /// The last event there is; `None` where that is not told.
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

/// A worker as an event tells of it, under its uid, and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub listed: DiscoveredEndpoint,
    pub address: Option<SocketAddr>,
}

/// What one event changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Whoever is not named has left.
    pub all: bool,
    pub workers: Vec<Told>,
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
    /// Whoever tells knows fewer events than we do: numbers do not start over while a scheduler lives.
    Behind {
        have: u64,
        got: u64,
    },
}

/// Which event was the last one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Follower {
    last: u64,
}

/// Places that no list names are numbered from here on; a list of names is far shorter.
const NAMELESS: u32 = 1 << 16;

/// A place by its name or number. One that no list names is none of those on it, and the same name is the same
/// place; where nothing is told, `of` is a place of its own. Rules that hold within a place then bind most.
fn place(value: &Value, names: &[String], of: &str) -> u32 {
    let known = |at: &u64| *at < u64::from(NAMELESS) && (names.is_empty() || *at < names.len() as u64);
    let told = match value {
        Value::String(name) => names
            .iter()
            .position(|known| known == name)
            .map(|at| at as u64)
            .ok_or(name.clone()),
        Value::Null => Err(format!("of {of}")),
        other => other.as_u64().filter(known).ok_or(other.to_string()),
    };
    match told {
        Ok(at) => at as u32,
        Err(name) => {
            let mut hasher = DefaultHasher::new();
            name.hash(&mut hasher);
            NAMELESS | hasher.finish() as u32
        }
    }
}

/// A kind of machine: all that no list names are one kind, since nothing but measures tells them apart.
fn kind(value: &Value, names: &[String]) -> u32 {
    let most = if names.is_empty() {
        NAMELESS
    } else {
        names.len() as u32
    };
    match value {
        Value::Null => 0,
        _ => place(value, names, "").min(most),
    }
}

impl Target {
    fn told(self, zones: &[String], kinds: &[String]) -> Told {
        let state = match self.state.as_str() {
            "Ready" => EndpointState::Up,
            "Gone" => EndpointState::Gone,
            // What we do not know may not be sent to.
            _ => EndpointState::Draining,
        };
        let boot = self.boot_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        let listed = DiscoveredEndpoint {
            capacity: self.capacity_hint,
            cell: place(&self.pod_group, &[], &self.uid),
            kind: kind(&self.model, kinds),
            zone: place(&self.az, zones, &self.uid),
            started: boot.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
            worker: self.uid,
            state,
        };
        Told {
            listed,
            address: self.endpoint,
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
        let (have, got) = (self.last, news.index.unwrap_or(u64::MAX));
        let changes = self.take(news, zones, kinds)?;
        if self.last == have && got < have {
            Err(Doubt::Behind { have, got })
        } else {
            Ok(changes)
        }
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
                return Err(Doubt::Gap {
                    have: last,
                    got: update.index,
                });
            }
            last = update.index;
            let Some(Endpoints { all, targets }) = update.endpoints else {
                continue;
            };
            if targets.len() > MAX_TARGETS {
                return Err(Doubt::Unreadable("too many workers in an event".to_owned()));
            }
            let workers = targets
                .into_iter()
                .map(|target| target.told(zones, kinds))
                .collect();
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

#[cfg(test)]
mod tests {
    use super::*;

    fn event(index: u64, all: bool, targets: &[(&str, &str, &str)]) -> String {
        let target = |(uid, at, state): &(&str, &str, &str)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{at}","az":"east","model":"big","pod_group":2,
                "state":"{state}","capacity_hint":4,"boot_ms":1500}}"#
            )
        };
        let targets: Vec<String> = targets.iter().map(target).collect();
        let targets = targets.join(",");
        format!(r#"{{"index":{index},"endpoints":{{"rev":1,"all":{all},"targets":[{targets}]}}}}"#)
    }

    fn news(last: u64, events: &[String]) -> Vec<u8> {
        format!(r#"{{"index":{last},"updates":[{}]}}"#, events.join(",")).into_bytes()
    }

    fn read(follower: &mut Follower, body: &[u8]) -> Result<Vec<Change>, Doubt> {
        follower.read(
            body,
            &["west".to_owned(), "east".to_owned()],
            &["std".to_owned(), "big".to_owned()],
        )
    }

    #[test]
    fn events_are_taken_in_their_order_and_once() {
        let mut follower = Follower::default();
        let first = event(1, true, &[("a", "127.0.0.1:1", "Ready")]);
        let second = event(
            2,
            false,
            &[("a", "127.0.0.1:1", "Terminating"), ("b", "127.0.0.1:1", "Ready")],
        );
        let changes = read(&mut follower, &news(1, std::slice::from_ref(&first))).unwrap();
        assert!(changes[0].all);
        let a = &changes[0].workers[0].listed;
        assert_eq!((a.zone, a.kind, a.cell, a.state), (1, 1, 2, EndpointState::Up));
        assert_eq!(a.started, Some(Duration::from_millis(1500)));
        let changes = read(&mut follower, &news(2, &[first, second])).unwrap();
        assert_eq!(changes.len(), 1);
        let states: Vec<(&str, EndpointState)> = changes[0]
            .workers
            .iter()
            .map(|told| (&told.listed.worker[..], told.listed.state))
            .collect();
        assert_eq!(states, [("a", EndpointState::Draining), ("b", EndpointState::Up)]);
        assert_eq!(follower.last(), 2);
    }

    #[test]
    fn a_gap_or_half_an_answer_changes_nothing() {
        let mut follower = Follower::default();
        read(&mut follower, &news(1, &[event(1, true, &[])])).unwrap();
        let (two, four) = (
            event(2, false, &[("a", "127.0.0.1:1", "Ready")]),
            event(4, false, &[]),
        );
        let whole = news(4, &[two, four]);
        assert_eq!(read(&mut follower, &whole), Err(Doubt::Gap { have: 2, got: 4 }));
        for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
            assert!(
                matches!(read(&mut follower, &whole[..cut]), Err(Doubt::Unreadable(_))),
                "{cut}"
            );
        }
        assert_eq!(follower.last(), 1);
        // The whole list mends a gap.
        let again = read(
            &mut follower,
            &news(7, &[event(7, true, &[("c", "127.0.0.1:3", "Ready")])]),
        )
        .unwrap();
        assert!(again[0].all && follower.last() == 7);
    }

    #[test]
    fn unknown_events_and_states_are_no_reason_to_send() {
        let mut follower = Follower::default();
        let other = r#"{"index":1,"shards":{}}"#.to_owned();
        assert!(read(&mut follower, &news(1, &[other])).unwrap().is_empty());
        let changes = read(
            &mut follower,
            &news(2, &[event(2, false, &[("a", "127.0.0.1:1", "Odd")])]),
        )
        .unwrap();
        assert_eq!(
            (changes[0].workers[0].listed.state, follower.last()),
            (EndpointState::Draining, 2)
        );
    }

    #[test]
    fn whoever_knows_fewer_events_is_not_believed() {
        let mut follower = Follower::default();
        let ready = |index| event(index, true, &[("a", "127.0.0.1:1", "Ready")]);
        read(&mut follower, &news(5, &[ready(5)])).unwrap();
        for old in [news(3, &[ready(3)]), news(0, &[])] {
            assert!(matches!(
                read(&mut follower, &old),
                Err(Doubt::Behind { have: 5, .. })
            ));
        }
        // Nothing new, and no word on the last event.
        assert_eq!(read(&mut follower, &news(5, &[ready(5)])), Ok(Vec::new()));
        assert_eq!(read(&mut follower, br#"{"updates":[]}"#), Ok(Vec::new()));
        assert_eq!(follower.last(), 5);
    }

    #[test]
    fn places_that_no_list_names_are_places_of_their_own() {
        let mut follower = Follower::default();
        let mut told = |index: u64, field: &str, value: &str| {
            let target =
                format!(r#"{{"uid":"w{index}","endpoint":"127.0.0.1:1","state":"Ready","{field}":{value}}}"#);
            let event = format!(r#"{{"index":{index},"endpoints":{{"all":false,"targets":[{target}]}}}}"#);
            read(&mut follower, &news(index, &[event])).unwrap()[0].workers[0]
                .listed
                .clone()
        };
        // West and east are named.
        let named = [told(1, "az", "\"west\"").zone, told(2, "az", "1").zone];
        assert_eq!(named, [0, 1]);
        let north = told(3, "az", "\"north\"").zone;
        assert_eq!(north, told(4, "az", "\"north\"").zone);
        let others = [
            told(5, "az", "null").zone,
            told(6, "az", "null").zone,
            told(7, "az", "2").zone,
            north,
        ];
        let all: std::collections::BTreeSet<u32> = named.into_iter().chain(others).collect();
        assert_eq!(all.len(), 6, "{all:?}");
        let cells = [
            told(8, "pod_group", "4").cell,
            told(9, "pod_group", "null").cell,
            told(10, "rev", "1").cell,
        ];
        assert!(cells[0] == 4 && cells[1] != cells[2] && cells[1..].iter().all(|cell| *cell >= NAMELESS));
        // Kinds that are not named are one more kind, so that no list of them grows.
        let kinds = ["\"odd\"", "\"other\"", "7", "4000000000", "\"big\"", "null"];
        let kinds: Vec<u32> = (11..)
            .zip(kinds)
            .map(|(at, name)| told(at, "model", name).kind)
            .collect();
        assert_eq!(kinds, [2, 2, 2, 2, 1, 0]);
    }
}
