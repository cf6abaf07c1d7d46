//! The set of accepted endpoints, and the checks that protect it against faulty endpoint lists.
//!
//! A full list that is empty, lacks most of the accepted workers, or has targets that cannot be parsed is
//! more likely a fault of its source than a loss of workers. The entries of such a suspect list are accepted
//! at once, so that drains take effect. The accepted workers that it lacks are kept until several consecutive
//! lists lack the same workers.
use crate::endpoint::DiscoveredEndpoint;
use crate::list::EndpointList;
use quartzdrift_scheduler::interface::EndpointState;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Maximum share of the accepted workers that a list may lack without being suspect, from 0 to 1.
const MAX_MISSING_SHARE: f64 = 0.5;
/// Minimum number of accepted workers for [`MAX_MISSING_SHARE`] to apply; with fewer, the share is not
/// significant.
const MIN_WORKERS_FOR_SHARE: usize = 3;
/// Number of consecutive lists that must lack the same workers before these are removed.
const LISTS_TO_CONFIRM_REMOVAL: u32 = 3;

/// Decision on a full list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListDecision {
    /// The list is accepted: it replaces all accepted workers.
    Full(Vec<DiscoveredEndpoint>),
    /// The list is suspect: its workers are accepted, and the workers that it lacks are kept.
    Partial {
        /// Workers of the list.
        workers: Vec<DiscoveredEndpoint>,
        /// Why the list is suspect.
        reason: SuspectList,
    },
}

/// A full list that is not accepted as complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "endpoint list lacks {missing} of {accepted} accepted workers and {rejected} of its targets are invalid; \
     the missing workers are kept until {LISTS_TO_CONFIRM_REMOVAL} consecutive lists lack them"
)]
pub struct SuspectList {
    /// Number of accepted workers that the list lacks.
    pub missing: usize,
    /// Number of accepted workers before the list arrived.
    pub accepted: usize,
    /// Number of targets in the list that could not be parsed.
    pub rejected: usize,
}

/// Removal of workers that awaits its confirmation by further lists.
#[derive(Debug)]
struct UnconfirmedRemoval {
    missing: Vec<String>,
    /// Number of consecutive lists so far that lacked the same workers.
    list_count: u32,
}

/// Set of the endpoints that are accepted as existing, updated from endpoint lists.
#[derive(Debug, Default)]
pub struct AcceptedEndpoints {
    by_worker: BTreeMap<String, DiscoveredEndpoint>,
    unconfirmed_removal: Option<UnconfirmedRemoval>,
    from_unclean_stop: bool,
}

impl AcceptedEndpoints {
    /// All accepted endpoints, ordered by the workers' names.
    pub fn workers(&self) -> Vec<DiscoveredEndpoint> {
        self.by_worker.values().cloned().collect()
    }

    /// Whether a worker is accepted.
    pub fn contains(&self, worker: &str) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Sets whether the accepted workers were saved by a process that stopped uncleanly. The next full list
    /// is then not suspect for being empty or lacking most workers: the workers may have stopped for the same
    /// cause as the process.
    pub fn set_from_unclean_stop(&mut self, from_unclean_stop: bool) {
        self.from_unclean_stop = from_unclean_stop;
    }

    /// Applies changes of individual endpoints, which are always accepted.
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

    /// Applies a full list, and decides whether the workers that it lacks are removed.
    pub fn accept_full(&mut self, list: EndpointList) -> ListDecision {
        let missing = self.missing_from(&list);
        let is_suspect = self.is_suspect(&list, missing.len());
        self.from_unclean_stop = false;
        if !is_suspect {
            return self.replace_all(list.workers);
        }
        let list_count = match self.unconfirmed_removal.take() {
            Some(earlier) if earlier.missing == missing => earlier.list_count + 1,
            Some(_) | None => 1,
        };
        if list_count >= LISTS_TO_CONFIRM_REMOVAL {
            return self.replace_all(list.workers);
        }
        let reason = SuspectList {
            missing: missing.len(),
            accepted: self.by_worker.len(),
            rejected: list.rejected.len(),
        };
        self.unconfirmed_removal = Some(UnconfirmedRemoval { missing, list_count });
        self.apply_changes(&list.workers);
        ListDecision::Partial {
            workers: list.workers,
            reason,
        }
    }

    fn missing_from(&self, list: &EndpointList) -> Vec<String> {
        let listed: BTreeSet<&str> = list
            .workers
            .iter()
            .map(|endpoint| endpoint.worker.as_str())
            .collect();
        self.by_worker
            .keys()
            .filter(|worker| !listed.contains(worker.as_str()))
            .cloned()
            .collect()
    }

    fn is_suspect(&self, list: &EndpointList, missing: usize) -> bool {
        let accepted = self.by_worker.len();
        let lacks_most =
            accepted >= MIN_WORKERS_FOR_SHARE && missing as f64 > MAX_MISSING_SHARE * accepted as f64;
        let is_empty = list.workers.is_empty() && accepted > 0;
        let has_invalid_targets = !list.rejected.is_empty() && missing > 0;
        has_invalid_targets || !self.from_unclean_stop && (lacks_most || is_empty)
    }

    fn replace_all(&mut self, workers: Vec<DiscoveredEndpoint>) -> ListDecision {
        self.unconfirmed_removal = None;
        self.by_worker.clear();
        self.apply_changes(&workers);
        ListDecision::Full(workers)
    }
}
