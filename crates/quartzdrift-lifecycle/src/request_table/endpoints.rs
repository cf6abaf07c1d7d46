//! Updates of the endpoint list, and the recall of unsent work to workers that are no longer up.
use super::table::RequestTable;
use crate::command::CommandKind;
use crate::output::Output;
use quartzdrift_scheduler::interface::{Endpoint, EndpointListKind, EndpointState, Event};
use std::rc::Rc;
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Applies an update of the endpoint list. Times in `entries` are on the same clock as `now`.
    ///
    /// Recalls the attempts and load commands to workers that are not up: a draining worker must not be sent
    /// new work, and work that is still unsent counts as new.
    pub fn update_endpoints(&mut self, now: Duration, kind: EndpointListKind, entries: Vec<Endpoint>) {
        self.advance_clock(now);
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Snapshot) {
            self.workers.clear();
        }
        for entry in &entries {
            self.update_endpoint(entry);
        }
        self.notify_scheduler(Event::EndpointList { kind, entries });
        for worker in self.scheduler.replaced_workers() {
            self.workers.remove(&worker);
        }
        self.recall_attempts();
        self.recall_load_commands();
        self.process_pending_ends();
    }

    /// Names of the workers that the list names although another one has replaced them at their address.
    pub fn replaced_workers(&self) -> Vec<Rc<str>> {
        self.scheduler.replaced_workers().collect()
    }

    fn update_endpoint(&mut self, entry: &Endpoint) {
        match entry.state {
            EndpointState::Gone => {
                self.workers.remove(entry.worker);
            }
            EndpointState::Up | EndpointState::Draining => {
                self.workers.insert(entry.worker.into(), entry.state);
            }
        }
    }

    fn recall_attempts(&mut self) {
        let recalls: Vec<Output<P>> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| !self.is_up(&attempt.worker))
            .map(|(id, _)| Output::RecallAttempt {
                request: id.request,
                attempt: id.attempt,
            })
            .collect();
        self.outputs.extend(recalls);
    }

    fn recall_load_commands(&mut self) {
        let recalls: Vec<Output<P>> = self
            .commands
            .iter()
            .filter(|(_, pending)| matches!(pending.kind, CommandKind::Load { .. }))
            .filter(|(_, pending)| !self.is_up(&pending.worker))
            .map(|(command, _)| Output::RecallCommand { command: *command })
            .collect();
        self.outputs.extend(recalls);
    }
}
