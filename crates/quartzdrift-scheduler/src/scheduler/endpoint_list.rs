//! The endpoint list: what a change of it means for a worker, and when to watch it; the periodic timer.
use super::constants::TICK_INTERVAL;
use crate::interface::{Action, Endpoint, EndpointListKind, EndpointState};
use crate::messages::{EndpointRecord, Message};
use crate::state::{DecisionContext, Scheduler, Worker};
use std::time::Duration;

impl Scheduler {
    pub(super) fn update_endpoints(&mut self, form: EndpointListKind, entries: &[Endpoint]) {
        if form == EndpointListKind::Snapshot {
            self.actions.push(Action::SetTimer { delay: TICK_INTERVAL, name: "tick" });
            self.watch_due_at = self.settings.must_watch_endpoints.then_some(self.now);
        }
        self.lease.fetch_failed |= form == EndpointListKind::Failed;
        if form == EndpointListKind::Failed && self.settings.must_watch_endpoints {
            self.watch_due_at = Some(self.now + self.settings.watch_retry_delay);
        }
        if matches!(form, EndpointListKind::Full | EndpointListKind::Snapshot) {
            for worker in &self.workers {
                let gone = EndpointRecord { state: EndpointState::Gone, ..worker.endpoint };
                let message = Message::EndpointUpdated { endpoint: gone, age: Duration::ZERO };
                self.mailbox.send_to_worker(worker.index, message);
            }
        }
        self.listed_workers_stale = true;
        for started in entries.iter().filter_map(|entry| entry.started_at) {
            self.observe_start(started);
        }
        for entry in entries {
            let worker = self.worker_index(entry.worker);
            let endpoint = EndpointRecord { worker: "", ..*entry };
            let age = entry.started_at.map_or(Duration::ZERO, |started| self.age(started));
            self.mailbox.send_to_worker(worker, Message::EndpointUpdated { endpoint, age });
        }
    }

    /// Starts are told on the list's clock, of which ours may be off by any span. That clock shows at least
    /// the newest start when we are told of it, and runs on as ours does.
    fn observe_start(&mut self, started: Duration) {
        let is_newest =
            self.latest_start.is_none_or(|(latest, learned)| started + learned > latest + self.now);
        if is_newest {
            self.latest_start = Some((started, self.now));
        }
    }

    /// How long ago a process was started, at least.
    fn age(&self, started: Duration) -> Duration {
        let (latest, learned) = self.latest_start.unwrap_or((started, self.now));
        (latest + self.now).saturating_sub(learned + started)
    }

    pub(super) fn handle_tick(&mut self) {
        // Only attempts that wait tell of a worker that answers nothing.
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
    /// `age`: since the start that the list names, at least.
    pub(super) fn update_endpoint(
        &mut self,
        endpoint: EndpointRecord,
        age: Duration,
        context: DecisionContext,
    ) {
        if endpoint.state == EndpointState::Gone && self.endpoint.state != EndpointState::Gone {
            self.gone_since = context.now;
        }
        if endpoint.started_at > self.endpoint.started_at {
            // A new process is empty, and the old one's failures are not its own.
            self.warming_since = Some(context.now.saturating_sub(age));
            self.cache.clear();
            self.health.clear();
        }
        self.endpoint = endpoint;
    }
}
