//! Updates of the endpoint list, the watch on it, and the periodic timer.
use super::constants::TICK_INTERVAL;
use crate::interface::{Action, Endpoint, EndpointListKind, EndpointState};
use crate::messages::{EndpointRecord, Message};
use crate::state::{Scheduler, Worker};
use std::collections::BTreeSet;
use std::time::Duration;

impl Scheduler {
    /// Processes an endpoint list: updates the listed workers, and marks the workers that a full list omits
    /// as gone.
    pub(super) fn update_endpoints(&mut self, kind: EndpointListKind, entries: &[Endpoint]) {
        if kind == EndpointListKind::Snapshot {
            self.actions.push(Action::SetTimer { delay: TICK_INTERVAL, name: "tick" });
            self.watch_due_at = self.settings.must_watch_endpoints.then_some(self.now);
        }
        self.lease.fetch_failed |= kind == EndpointListKind::Failed;
        if kind == EndpointListKind::Failed && self.settings.must_watch_endpoints {
            self.watch_due_at = Some(self.now + self.settings.watch_retry_delay);
        }
        let is_whole_list = matches!(kind, EndpointListKind::Full | EndpointListKind::Snapshot);
        let entries = self.indexed_entries(entries, is_whole_list);
        if is_whole_list {
            self.remove_unlisted_workers(&entries);
        }
        self.listed_workers_stale = true;
        for (worker, endpoint) in entries {
            let endpoint = self.resolve_address(worker, endpoint);
            self.mailbox.send_to_worker(worker, Message::EndpointUpdated(endpoint));
        }
    }

    /// Returns the entries with the indexes of their workers, in the order in which they became valid. The order of
    /// a whole list says nothing, but a worker that has started late came after those that were there before.
    fn indexed_entries(&mut self, entries: &[Endpoint], is_whole_list: bool) -> Vec<(usize, EndpointRecord)> {
        let index =
            |entry: &Endpoint| (self.worker_index(entry.worker), EndpointRecord { worker: "", ..*entry });
        let mut indexed: Vec<_> = entries.iter().map(index).collect();
        if is_whole_list {
            indexed.sort_by_key(|(_, endpoint)| endpoint.started_at.is_some());
        }
        indexed
    }

    /// Marks the workers that a whole list omits as gone.
    fn remove_unlisted_workers(&mut self, listed: &[(usize, EndpointRecord)]) {
        let listed: BTreeSet<usize> = listed.iter().map(|(worker, _)| *worker).collect();
        for worker in &self.workers {
            if listed.contains(&worker.index) {
                continue;
            }
            self.addresses.remove(worker.index, worker.endpoint.address);
            let gone = EndpointRecord { state: EndpointState::Gone, ..worker.endpoint };
            self.mailbox.send_to_worker(worker.index, Message::EndpointUpdated(gone));
        }
    }

    /// Performs the periodic checks of responsiveness, of the lease and of the watch, and sets the next
    /// timer.
    pub(super) fn handle_tick(&mut self) {
        // Only attempts in flight can show that a worker is unresponsive.
        for worker in self.workers.iter().filter(|worker| !worker.attempts.is_empty()) {
            self.mailbox.send_to_worker(worker.index, Message::Tick);
        }
        self.check_lease();
        self.actions.push(Action::SetTimer { delay: TICK_INTERVAL, name: "tick" });
        if self.watch_due_at.take_if(|at| *at <= self.now).is_some() {
            self.actions.push(Action::WatchEndpoints { enabled: true });
        }
    }
}

impl Worker {
    /// Replaces the worker's entry. An entry with another start time or address than before names a new process.
    pub(super) fn update_endpoint(&mut self, endpoint: EndpointRecord, now: Duration) {
        if endpoint.state == EndpointState::Gone && self.endpoint.state != EndpointState::Gone {
            self.gone_since = now;
        }
        let is_up = endpoint.state == EndpointState::Up;
        // An entry that takes the worker out of service need not repeat its start time.
        let started_at =
            if is_up { endpoint.started_at } else { endpoint.started_at.or(self.endpoint.started_at) };
        let has_moved = is_up && self.endpoint.address.is_some() && endpoint.address != self.endpoint.address;
        if has_moved || started_at != self.endpoint.started_at {
            self.start_process(now);
        }
        self.endpoint = EndpointRecord { started_at, ..endpoint };
    }

    /// Begins the slow start of a new process, whose cache is empty and which the failures of the old process
    /// do not concern. Its age counts from when this scheduler was told of it: start times are read from the
    /// clocks of the workers' machines, and those may be wrong by any amount.
    fn start_process(&mut self, now: Duration) {
        self.warming_since = Some(now);
        self.cache.clear();
        self.health.clear();
        self.proof = None;
    }
}
