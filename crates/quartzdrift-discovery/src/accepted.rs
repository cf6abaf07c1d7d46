//! Which endpoints are accepted as existing.
//!
//! A list that names no worker, lacks most of those that are up, or has targets that cannot be read is more likely a fault of
//! its source than of the fleet. The workers that such a list names are accepted at once, drains above all; those that it
//! lacks stay until the same list has come several times.
use crate::endpoint::DiscoveredEndpoint;
use crate::list::EndpointList;
use quartzdrift_scheduler::interface::EndpointState;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Maximum share of the accepted workers that a list may lack without suspicion.
const MAX_MISSING_SHARE: f64 = 0.5;
/// Accepted workers below which a missing share means nothing.
const MIN_WORKERS_FOR_SHARE: usize = 3;
/// Lists that must lack the same workers before those are taken to be gone.
const CONFIRMATIONS: u32 = 3;

/// What follows from a full list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListDecision {
    /// It is accepted: all workers that it does not name are gone.
    Full(Vec<DiscoveredEndpoint>),
    /// The workers that it names are accepted, and the others stay.
    Partial {
        /// The workers that it names.
        workers: Vec<DiscoveredEndpoint>,
        /// Why the list is not accepted, for the log.
        reason: SuspectList,
    },
}

/// A list that is not accepted as complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the list lacks {missing} of {accepted} workers ({rejected} of its lines cannot be read); they stay until it has come \
     {CONFIRMATIONS} times"
)]
pub struct SuspectList {
    /// Accepted workers that the list lacks.
    pub missing: usize,
    /// Accepted workers before the list came.
    pub accepted: usize,
    /// Targets of the list that could not be read.
    pub rejected: usize,
}

/// A suspect list that may be confirmed by the next ones.
#[derive(Debug)]
struct Suspicion {
    missing: Vec<String>,
    /// Lists so far that lacked the same workers.
    times: u32,
}

/// The endpoints that are accepted as existing.
#[derive(Debug, Default)]
pub struct AcceptedEndpoints {
    by_worker: BTreeMap<String, DiscoveredEndpoint>,
    suspicion: Option<Suspicion>,
    from_unclean_stop: bool,
}

impl AcceptedEndpoints {
    /// All accepted workers, by name.
    pub fn workers(&self) -> Vec<DiscoveredEndpoint> {
        self.by_worker.values().cloned().collect()
    }

    /// Whether a worker is accepted.
    pub fn contains(&self, worker: &str) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Says whether the accepted workers were saved before an unplanned stop. Such workers give no ground for suspecting the
    /// next full list: what it lacks may have stopped for the same cause.
    pub fn set_from_unclean_stop(&mut self, from_unclean_stop: bool) {
        self.from_unclean_stop = from_unclean_stop;
    }

    /// Applies changes, which name workers and are always accepted.
    pub fn apply_changes(&mut self, workers: &[DiscoveredEndpoint]) {
        for endpoint in workers {
            match endpoint.state {
                EndpointState::Up | EndpointState::Draining => {
                    self.by_worker.insert(endpoint.worker.clone(), endpoint.clone());
                }
                EndpointState::Gone => {
                    self.by_worker.remove(&endpoint.worker);
                }
            }
        }
    }

    /// Takes a full list, and decides what of it is accepted.
    pub fn accept_full(&mut self, list: EndpointList) -> ListDecision {
        let missing = self.missing_from(&list);
        let suspect = self.is_suspect(&list, missing.len());
        self.from_unclean_stop = false;
        if !suspect {
            return self.replace(list.workers);
        }
        let times = match self.suspicion.take() {
            Some(earlier) if earlier.missing == missing => earlier.times + 1,
            Some(_) | None => 1,
        };
        if times >= CONFIRMATIONS {
            return self.replace(list.workers);
        }
        let reason = SuspectList {
            missing: missing.len(),
            accepted: self.by_worker.len(),
            rejected: list.rejected.len(),
        };
        self.suspicion = Some(Suspicion { missing, times });
        self.apply_changes(&list.workers);
        ListDecision::Partial {
            workers: list.workers,
            reason,
        }
    }

    fn missing_from(&self, list: &EndpointList) -> Vec<String> {
        let named: BTreeSet<&str> = list
            .workers
            .iter()
            .map(|endpoint| endpoint.worker.as_str())
            .collect();
        self.by_worker
            .keys()
            .filter(|worker| !named.contains(worker.as_str()))
            .cloned()
            .collect()
    }

    fn is_suspect(&self, list: &EndpointList, missing: usize) -> bool {
        let accepted = self.by_worker.len();
        let lacks_most =
            accepted >= MIN_WORKERS_FOR_SHARE && missing as f64 > MAX_MISSING_SHARE * accepted as f64;
        let is_empty = list.workers.is_empty() && accepted > 0;
        let is_partly_unreadable = !list.rejected.is_empty() && missing > 0;
        is_partly_unreadable || !self.from_unclean_stop && (lacks_most || is_empty)
    }

    fn replace(&mut self, workers: Vec<DiscoveredEndpoint>) -> ListDecision {
        self.suspicion = None;
        self.by_worker.clear();
        self.apply_changes(&workers);
        ListDecision::Full(workers)
    }
}
