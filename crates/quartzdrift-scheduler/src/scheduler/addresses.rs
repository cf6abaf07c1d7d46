//! Workers that are listed at one address.
//!
//! A worker is a process at an address, and two processes are never at the same one. The worker that the
//! endpoint list named there last is the one that is reached; the other has ended, even if the list names it
//! for some time longer, or names it again.
use crate::interface::{Action, EndpointState, Notice};
use crate::messages::{EndpointRecord, Message};
use crate::state::{Process, Scheduler, Worker};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

impl Scheduler {
    /// Returns a worker's listed entry with the state that counts: gone if another worker has replaced it at its
    /// address. An entry that names a new process at an address replaces the worker that was listed there.
    pub(super) fn resolve_address(&mut self, worker: usize, endpoint: EndpointRecord) -> EndpointRecord {
        if endpoint.state == EndpointState::Gone {
            self.addresses.remove(worker, self.listed_address(worker));
            return endpoint;
        }
        let Some(address) = endpoint.address else { return endpoint };
        let process = Process { worker, address, started_at: endpoint.started_at };
        if self.is_replaced(process, endpoint.state) {
            return EndpointRecord { state: EndpointState::Gone, ..endpoint };
        }
        if endpoint.state == EndpointState::Draining && self.addresses.owns(worker, address) {
            // The entry need not repeat the start time of the process that it takes out of service.
            return endpoint;
        }
        self.addresses.remove(worker, self.listed_address(worker).filter(|listed| *listed != address));
        let previous = self.addresses.owners.insert(address, process);
        if previous != Some(process) {
            self.record_successor(endpoint);
        }
        if let Some(previous) = previous.filter(|previous| previous.worker != worker) {
            self.replace_worker(previous);
        }
        endpoint
    }

    /// Returns the names of the workers that the list names although another one has replaced them.
    pub fn replaced_workers(&self) -> impl Iterator<Item = Rc<str>> {
        self.addresses.replaced.keys().map(|worker| self.worker_names.name(*worker))
    }

    fn listed_address(&self, worker: usize) -> Option<SocketAddr> {
        self.workers[worker].endpoint.address
    }

    /// Whether another worker has replaced the process. A draining process is never a new one.
    fn is_replaced(&self, process: Process, state: EndpointState) -> bool {
        self.addresses.replaced.get(&process.worker).is_some_and(|replaced| {
            replaced.address == process.address
                && (state == EndpointState::Draining || replaced.started_at == process.started_at)
        })
    }

    /// Records that a new process is at the address that an attempt in flight, or one that may have been executed,
    /// was sent to.
    fn record_successor(&mut self, successor: EndpointRecord) {
        for request in self.requests.values_mut() {
            request.record_successor(successor);
        }
    }

    /// Marks a worker as gone whose address another one has taken over.
    fn replace_worker(&mut self, previous: Process) {
        self.addresses.replaced.insert(previous.worker, previous);
        self.mailbox.send_to_worker(previous.worker, Message::Replaced);
        let worker = self.worker_names.name(previous.worker);
        self.actions.push(Action::Notice(Notice::WorkerReplaced { worker, address: previous.address }));
    }
}

impl Worker {
    /// Marks the worker as gone.
    pub(super) fn record_replaced(&mut self, now: Duration) {
        self.update_endpoint(EndpointRecord { state: EndpointState::Gone, ..self.endpoint }, now);
    }
}
