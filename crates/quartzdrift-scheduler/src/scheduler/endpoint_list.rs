//! The endpoint list: what a change of it means for a worker, and when to watch it; the periodic timer.
use super::constants::TICK;
use crate::interface::{Action, Endpoint, EndpointListKind, EndpointState};
use crate::messages::{EndpointRecord, Message};
use crate::state::{Context, Scheduler, Worker};

impl Scheduler {
    pub(super) fn update_endpoints(&mut self, form: EndpointListKind, entries: &[Endpoint]) {
        if form == EndpointListKind::Snapshot {
            self.actions.push(Action::SetTimer { delay: TICK, name: "tick" });
            self.watch_at = self.settings.must_watch.then_some(self.now);
        }
        if form == EndpointListKind::Failed && self.settings.must_watch {
            self.watch_at = Some(self.now + self.settings.watch_retry_delay);
        }
        if matches!(form, EndpointListKind::Full | EndpointListKind::Snapshot) {
            for worker in &self.workers {
                let gone = EndpointRecord { state: EndpointState::Gone, ..worker.endpoint };
                self.mailbox.send_to_worker(worker.index, Message::EndpointUpdated(gone));
            }
        }
        self.listed_is_stale = true;
        for entry in entries {
            let worker = self.worker_index(entry.worker);
            let record = EndpointRecord { worker: "", ..*entry };
            self.mailbox.send_to_worker(worker, Message::EndpointUpdated(record));
        }
    }

    pub(super) fn tick(&mut self) {
        for worker in &self.workers {
            if worker.endpoint.state != EndpointState::Gone || !worker.attempts.is_empty() {
                self.mailbox.send_to_worker(worker.index, Message::Tick);
            }
        }
        self.actions.push(Action::SetTimer { delay: TICK, name: "tick" });
        if self.watch_at.take_if(|at| *at <= self.now).is_some() {
            self.actions.push(Action::Watch { on: true });
        }
    }
}

impl Worker {
    pub(super) fn update_endpoint(&mut self, endpoint: EndpointRecord, context: Context) {
        if endpoint.state == EndpointState::Gone && self.endpoint.state != EndpointState::Gone {
            self.gone_since = context.now;
        }
        if endpoint.started > self.endpoint.started {
            // A new process is empty, and the old one's failures are not its own.
            self.warming_since = endpoint.started;
            self.cache.clear();
            self.health.clear();
        }
        self.endpoint = endpoint;
    }
}
