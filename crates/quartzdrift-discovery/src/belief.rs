//! What is believed of a list. A list that cannot be read changes nothing. One that names no worker, or lacks
//! most of those that are up, or has lines that cannot be read, is more likely a fault of the list's source
//! than of the fleet: it must come again, alike, before what it lacks is taken to be gone. Workers that it
//! names are believed at once, drains above all.
use crate::list::{List, Listed};
use quartzdrift_scheduler::interface::EndpointState;
use std::collections::BTreeMap;

/// Share of the workers up that a list may lack and be believed at once.
const MAX_LACK: f64 = 0.5;
/// Workers up below which a share says nothing.
const FEW: usize = 3;
/// Lists that must lack the same before it is believed.
const ALIKE: u32 = 3;

/// What a full list comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Believed {
    /// As it is: all that it does not name has left.
    Full(Vec<Listed>),
    /// Only what it names; the reason is for the log.
    Named { workers: Vec<Listed>, why: String },
}

#[derive(Debug, Default)]
pub struct Belief {
    up: BTreeMap<String, Listed>,
    doubted: Option<(Vec<String>, u32)>,
    /// What is believed is from before an end that nobody planned.
    of_before: bool,
}

impl Belief {
    /// What is believed to be there, for the file that the next start reads.
    pub fn workers(&self) -> Vec<Listed> {
        self.up.values().cloned().collect()
    }

    /// What is believed so far is from before an end that nobody planned, or has proved not to be: `before` false. A list from
    /// before gives no ground for doubting the first one after it: what that lacks may have gone the same way.
    pub fn of_before(&mut self, before: bool) {
        self.of_before = before;
    }

    pub fn knows(&self, worker: &str) -> bool {
        self.up.contains_key(worker)
    }

    /// Changes name workers and are believed.
    pub fn changes(&mut self, workers: &[Listed]) {
        for one in workers {
            match one.state {
                EndpointState::Up | EndpointState::Draining => {
                    drop(self.up.insert(one.worker.clone(), one.clone()))
                }
                EndpointState::Gone => drop(self.up.remove(&one.worker)),
            }
        }
    }

    pub fn full(&mut self, list: List) -> Believed {
        let named: std::collections::BTreeSet<&str> =
            list.workers.iter().map(|w| w.worker.as_str()).collect();
        let lacking: Vec<String> = self
            .up
            .keys()
            .filter(|worker| !named.contains(worker.as_str()))
            .cloned()
            .collect();
        let before = std::mem::take(&mut self.of_before);
        let many = !before && self.up.len() >= FEW && lacking.len() as f64 > MAX_LACK * self.up.len() as f64;
        let empty = !before && list.workers.is_empty() && !self.up.is_empty();
        let torn = !list.unread.is_empty() && !lacking.is_empty();
        if !(many || empty || torn) {
            self.doubted = None;
            self.up.clear();
            self.changes(&list.workers);
            return Believed::Full(list.workers);
        }
        let times = match self.doubted.take() {
            Some((before, times)) if before == lacking => times + 1,
            Some(_) | None => 1,
        };
        if times >= ALIKE {
            self.up.clear();
            self.changes(&list.workers);
            return Believed::Full(list.workers);
        }
        let why = format!(
            "the list lacks {} of {} workers ({} of its lines cannot be read); they stay until it has come {} times",
            lacking.len(),
            self.up.len(),
            list.unread.len(),
            ALIKE
        );
        self.doubted = Some((lacking, times));
        self.changes(&list.workers);
        Believed::Named {
            workers: list.workers,
            why,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(names: &[&str]) -> List {
        List {
            workers: names.iter().map(|n| Listed::up(n)).collect(),
            unread: Vec::new(),
        }
    }

    fn with(names: &[&str]) -> Belief {
        let mut belief = Belief::default();
        belief.full(list(names));
        belief
    }

    #[test]
    fn one_that_left_is_gone_at_once() {
        let mut belief = with(&["a", "b", "c", "d"]);
        assert!(matches!(belief.full(list(&["a", "b", "c"])), Believed::Full(_)));
        assert!(!belief.knows("d"));
    }

    #[test]
    fn an_empty_list_must_come_three_times() {
        let mut belief = with(&["a", "b"]);
        assert!(matches!(belief.full(list(&[])), Believed::Named { .. }));
        assert!(matches!(belief.full(list(&[])), Believed::Named { .. }));
        assert!(belief.knows("a"));
        assert!(matches!(belief.full(list(&[])), Believed::Full(_)));
        assert!(!belief.knows("a"));
    }

    #[test]
    fn a_list_from_before_an_unplanned_end_is_no_ground_for_doubt() {
        for lacking in [&[][..], &["a"]] {
            let mut belief = with(&["a", "b", "c", "d"]);
            belief.of_before(true);
            assert!(matches!(belief.full(list(lacking)), Believed::Full(_)));
            assert!(!belief.knows("b"));
            // The second one is doubted as ever.
            belief.full(list(&["a", "b", "c", "d"]));
            assert!(matches!(belief.full(list(lacking)), Believed::Named { .. }));
        }
    }

    #[test]
    fn a_partial_list_that_changes_starts_anew_and_its_drains_count() {
        let mut belief = with(&["a", "b", "c", "d"]);
        let mut partial = list(&["a"]);
        partial.workers[0].state = EndpointState::Draining;
        let Believed::Named { workers, .. } = belief.full(partial) else {
            panic!("believed")
        };
        assert_eq!(workers[0].state, EndpointState::Draining);
        belief.full(list(&["a"]));
        belief.full(list(&["b"]));
        assert!(belief.knows("c"));
    }

    #[test]
    fn lines_that_cannot_be_read_keep_the_workers_that_are_missing() {
        let mut belief = with(&["a", "b", "c", "d"]);
        let torn = List {
            unread: vec!["x".into()],
            ..list(&["a", "b", "c"])
        };
        assert!(matches!(belief.full(torn), Believed::Named { .. }));
        assert!(belief.knows("d"));
    }
}
