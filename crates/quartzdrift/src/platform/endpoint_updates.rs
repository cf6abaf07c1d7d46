//! Applies changes of the list of workers to the table of workers and to the request table.
use super::Node;
use quartzdrift_platform::coordinator::{EndpointChange, EndpointUpdate};
use quartzdrift_scheduler::interface::{EndpointListKind, EndpointState, RequestId};
use std::collections::HashSet;
use std::rc::Rc;

impl Node {
    /// Applies the changes of the coordinator's events, in their order.
    pub(super) fn apply_changes(&mut self, changes: Vec<EndpointChange>) {
        for change in changes {
            self.apply_change(change);
        }
    }

    fn apply_change(&mut self, change: EndpointChange) {
        let EndpointChange {
            is_full_list,
            mut workers,
        } = change;
        if is_full_list {
            keep_last_entries(&mut workers);
            self.remove_unlisted_workers(&workers);
        }
        let mut displaced = self.update_workers(&workers);
        let kind = if is_full_list {
            EndpointListKind::Full
        } else {
            EndpointListKind::Changes
        };
        let endpoints = workers.iter().map(EndpointUpdate::as_endpoint).collect();
        self.request_table.update_endpoints(self.now(), kind, endpoints);
        for uid in self.request_table.replaced_workers() {
            displaced.extend(self.remove_worker(&uid));
        }
        // The attempts are recalled even if the worker is up again by the end of the event: they were meant
        // for the process before the restart.
        for (request, attempt) in displaced {
            self.recall_attempt(request, attempt);
        }
        self.carry_out();
    }

    /// Removes the workers that are missing from a whole list.
    fn remove_unlisted_workers(&mut self, listed: &[EndpointUpdate]) {
        let listed_uids: HashSet<&str> = listed
            .iter()
            .map(|update| update.endpoint.worker.as_str())
            .collect();
        let gone: Vec<Rc<str>> = self
            .workers
            .keys()
            .filter(|uid| !listed_uids.contains(&***uid))
            .cloned()
            .collect();
        for uid in gone {
            self.remove_worker(&uid);
        }
    }

    /// Applies an event to the table of workers, and returns the attempts that must be recalled if they were
    /// not sent.
    fn update_workers(&mut self, workers: &[EndpointUpdate]) -> Vec<(RequestId, u32)> {
        let mut displaced = Vec::new();
        for EndpointUpdate { endpoint, address } in workers {
            match (endpoint.state, address) {
                (EndpointState::Up | EndpointState::Draining, Some(address)) => {
                    displaced.extend(self.add_or_replace_worker(
                        &endpoint.worker,
                        *address,
                        endpoint.started,
                    ));
                }
                (EndpointState::Gone, _) => displaced.extend(self.remove_worker(&endpoint.worker)),
                (EndpointState::Up | EndpointState::Draining, None) => {}
            }
        }
        displaced
    }
}

/// Keeps only the last entry of each worker in a whole list.
fn keep_last_entries(workers: &mut Vec<EndpointUpdate>) {
    let mut seen_uids = HashSet::new();
    workers.reverse();
    workers.retain(|update| seen_uids.insert(update.endpoint.worker.clone()));
    workers.reverse();
}
