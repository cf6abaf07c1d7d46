//! Updates of the endpoint list, the watch on it, and the periodic timer.
use super::constants::TICK_INTERVAL;
use crate::interface::{Action, Endpoint, EndpointListKind, EndpointState};
use crate::messages::{EndpointRecord, Message};
use crate::state::{DecisionContext, Scheduler, Worker};
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
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Snapshot) {
            for worker in &self.workers {
                let gone = EndpointRecord { state: EndpointState::Gone, ..worker.endpoint };
                let message = Message::EndpointUpdated { endpoint: gone, min_age: Duration::ZERO };
                self.mailbox.send_to_worker(worker.index, message);
            }
        }
        self.listed_workers_stale = true;
        for started_at in entries.iter().filter_map(|entry| entry.started_at) {
            self.observe_start(started_at);
        }
        for entry in entries {
            let worker = self.worker_index(entry.worker);
            let endpoint = EndpointRecord { worker: "", ..*entry };
            let min_age = entry.started_at.map_or(Duration::ZERO, |started_at| self.min_age(started_at));
            self.mailbox.send_to_worker(worker, Message::EndpointUpdated { endpoint, min_age });
        }
    }

    /// Uses a worker's start time to estimate the clock of the endpoint list, which may differ from this
    /// scheduler's clock by any offset. When a start time is received, the list's clock shows at least that
    /// time. From then on both clocks are taken to run at the same rate.
    fn observe_start(&mut self, started_at: Duration) {
        let is_newest = self
            .latest_start
            .is_none_or(|(latest, received_at)| started_at + received_at > latest + self.now);
        if is_newest {
            self.latest_start = Some((started_at, self.now));
        }
    }

    /// Returns a lower bound of the time since a process started.
    fn min_age(&self, started_at: Duration) -> Duration {
        let (latest, received_at) = self.latest_start.unwrap_or((started_at, self.now));
        (latest + self.now).saturating_sub(received_at + started_at)
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
    /// Replaces the worker's entry. `min_age` is a lower bound of the time since the start time in the entry.
    pub(super) fn update_endpoint(
        &mut self,
        endpoint: EndpointRecord,
        min_age: Duration,
        context: DecisionContext,
    ) {
        if endpoint.state == EndpointState::Gone && self.endpoint.state != EndpointState::Gone {
            self.gone_since = context.now;
        }
        if endpoint.started_at > self.endpoint.started_at {
            // A new process has an empty cache, and the failures of the old process do not concern it.
            self.warming_since = Some(context.now.saturating_sub(min_age));
            self.cache.clear();
            self.health.clear();
        }
        self.endpoint = endpoint;
    }
}
