//! HTTP service discovery: a JSON array of groups, each with `targets` ("address:port") and `labels`, all text.
//!
//! Labels read: `state` (`up`, `draining`, `gone`; none: up), `zone`, `kind` (names from the settings), `cell`
//! and `capacity` (numbers), `started` (seconds since 1970, with fractions). Others are left alone.
use quartzdrift_scheduler::interface::{Endpoint, EndpointState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Workers of one list, and bytes of its text, at most.
pub const MAX_WORKERS: usize = 10_000;
pub const MAX_TEXT: usize = 4 << 20;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    pub targets: Vec<String>,
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

/// One worker as a list tells it. Times are since 1970.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub worker: String,
    pub state: EndpointState,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub capacity: Option<f64>,
    pub started: Option<Duration>,
}

impl Listed {
    pub fn up(worker: &str) -> Listed {
        Listed {
            worker: worker.to_owned(),
            state: EndpointState::Up,
            zone: 0,
            kind: 0,
            cell: 0,
            capacity: None,
            started: None,
        }
    }

    /// As the decision module takes it.
    pub fn entry(&self) -> Endpoint<'_> {
        Endpoint {
            worker: &self.worker,
            capacity_hint: self.capacity,
            cell: self.cell,
            kind: self.kind,
            zone: self.zone,
            started: self.started,
            state: self.state,
        }
    }
}

/// Names that labels may use.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// A list, and what of it could not be read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    pub workers: Vec<Listed>,
    pub unread: Vec<String>,
}

/// The address in the form that all parts use as a worker's name: numbers only, as a look-up would block.
pub fn address(text: &str) -> Result<SocketAddr, String> {
    let text = text.trim().trim_start_matches("http://");
    let text = match text.strip_prefix("localhost:") {
        Some(port) => format!("127.0.0.1:{port}"),
        None => text.to_owned(),
    };
    text.parse()
        .map_err(|_| format!("'{text}' is no address and port in numbers"))
}

fn index(names: &[String], told: &str) -> Option<u32> {
    let at = names.iter().position(|name| name == told);
    at.map(|at| at as u32).or_else(|| {
        told.parse()
            .ok()
            .filter(|&n: &u32| (n as usize) < names.len().max(1))
    })
}

fn listed(target: &str, labels: &BTreeMap<String, String>, known: &Known) -> Result<Listed, String> {
    let address = address(target)?;
    let label = |name: &str| labels.get(name).map(String::as_str);
    let bad =
        |name: &str| format!("{address}: label '{name}' is unreadable or names nothing in the settings");
    let named = |name: &str, names: &[String]| match label(name) {
        None => Ok(0),
        Some(told) => index(names, told).ok_or_else(|| bad(name)),
    };
    let state = match label("state") {
        None | Some("up") => EndpointState::Up,
        Some("draining") => EndpointState::Draining,
        Some("gone") => EndpointState::Gone,
        // A state that we do not know is no leave to send work there.
        Some(_) => return Err(bad("state")),
    };
    let number = |name: &str| match label(name).map(str::parse::<f64>) {
        None => Ok(None),
        Some(Ok(n)) if n.is_finite() && n >= 0.0 => Ok(Some(n)),
        Some(_) => Err(bad(name)),
    };
    let started = number("started")?.map(|s| Duration::try_from_secs_f64(s).map_err(|_| bad("started")));
    Ok(Listed {
        worker: address.to_string(),
        state,
        zone: named("zone", &known.zones)?,
        kind: named("kind", &known.kinds)?,
        cell: match label("cell").map(str::parse) {
            None => 0,
            Some(told) => told.map_err(|_| bad("cell"))?,
        },
        capacity: number("capacity")?,
        started: started.transpose()?.filter(|s| !s.is_zero()),
    })
}

/// Reads a list. `Err` where it is no list at all; single workers that cannot be read are told apart.
pub fn read(text: &[u8], known: &Known) -> Result<List, String> {
    if text.len() > MAX_TEXT {
        return Err(format!("the list is over {MAX_TEXT} bytes"));
    }
    let groups: Vec<Group> =
        serde_json::from_slice(text).map_err(|e| format!("the list is not readable: {e}"))?;
    let mut list = List::default();
    let mut seen = std::collections::BTreeSet::new();
    for group in &groups {
        for target in &group.targets {
            match listed(target, &group.labels, known) {
                Ok(one) if !seen.insert(one.worker.clone()) => {
                    list.unread.push(format!("{target}: named twice"));
                }
                Ok(one) if list.workers.len() < MAX_WORKERS => list.workers.push(one),
                Ok(_) => return Err(format!("the list names more than {MAX_WORKERS} workers")),
                Err(why) => list.unread.push(why),
            }
        }
    }
    Ok(list)
}

/// Writes workers as a list that [`read`] takes.
pub fn write(workers: &[Listed], known: &Known) -> Vec<u8> {
    let group = |one: &Listed| {
        let mut labels = BTreeMap::new();
        let state = match one.state {
            EndpointState::Up => "up",
            EndpointState::Draining => "draining",
            EndpointState::Gone => "gone",
        };
        labels.insert("state".to_owned(), state.to_owned());
        let name = |names: &[String], at: u32| names.get(at as usize).cloned();
        labels.extend(name(&known.zones, one.zone).map(|zone| ("zone".to_owned(), zone)));
        labels.extend(name(&known.kinds, one.kind).map(|kind| ("kind".to_owned(), kind)));
        labels.insert("cell".to_owned(), one.cell.to_string());
        labels.extend(one.capacity.map(|c| ("capacity".to_owned(), c.to_string())));
        labels.extend(
            one.started
                .map(|s| ("started".to_owned(), format!("{:.6}", s.as_secs_f64()))),
        );
        Group {
            targets: vec![one.worker.clone()],
            labels,
        }
    };
    let groups: Vec<Group> = workers.iter().map(group).collect();
    serde_json::to_vec(&groups).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn known() -> Known {
        Known {
            zones: vec!["east".into(), "west".into()],
            kinds: vec!["small".into()],
        }
    }

    #[test]
    fn lists_are_read_and_what_is_not_is_told() {
        let text = br#"[{"targets": ["127.0.0.1:1", "localhost:2"], "labels": {"zone": "west", "x": "y"}},
            {"targets": ["127.0.0.1:3"], "labels": {"state": "draining", "started": "12.5"}},
            {"targets": ["127.0.0.1:3", "name:4"]},
            {"targets": ["127.0.0.1:5"], "labels": {"zone": "north"}},
            {"targets": ["127.0.0.1:6"], "labels": {"state": "sleeping"}}]"#;
        let list = read(text, &known()).unwrap();
        let names: Vec<&str> = list.workers.iter().map(|w| w.worker.as_str()).collect();
        assert_eq!(names, ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]);
        assert_eq!(
            (list.workers[0].zone, list.workers[2].state),
            (1, EndpointState::Draining)
        );
        assert_eq!(list.workers[2].started, Some(Duration::from_millis(12_500)));
        assert_eq!(list.unread.len(), 4);
        let again = read(&write(&list.workers, &known()), &known()).unwrap();
        assert_eq!(again.workers, list.workers);
        assert!(read(b"{}", &known()).is_err() && read(b"[", &known()).is_err());
    }

    proptest::proptest! {
        #[test]
        fn any_text_is_read_or_refused(text: String) {
            let _ = read(text.as_bytes(), &Known::default());
            let _ = address(&text);
        }
    }
}
