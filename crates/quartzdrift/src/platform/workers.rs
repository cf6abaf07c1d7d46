//! The table of workers: the address and the connections of each.
use super::Node;
use super::connections::find_worker_connection;
use quartzdrift_http::sockets::SocketId;
use quartzdrift_scheduler::interface::RequestId;
use std::net::SocketAddr;
use std::time::Duration;

/// A worker that the coordinator lists.
pub(super) struct Worker {
    pub(super) address: SocketAddr,
    /// Time of the worker's most recent start, since 1970, if the coordinator states it.
    started: Option<Duration>,
    pub(super) connections: Vec<SocketId>,
    /// Attempts that the worker rejected since the coordinator last confirmed the list.
    pub(super) rejected_attempts: u64,
}

impl Node {
    /// Adds a worker that the coordinator lists. If the worker has another address or start time than its
    /// current entry, the entry is replaced, and the attempts on the connections of the old one are returned
    /// as by [`Node::remove_worker`].
    pub(super) fn add_or_replace_worker(
        &mut self,
        uid: &str,
        address: SocketAddr,
        started: Option<Duration>,
    ) -> Vec<(RequestId, u32)> {
        let is_changed = |worker: &Worker| (worker.address, worker.started) != (address, started);
        let mut displaced = Vec::new();
        if self.workers.get(uid).is_some_and(is_changed) {
            displaced = self.remove_worker(uid);
        }
        self.workers.entry(uid.into()).or_insert(Worker {
            address,
            started,
            connections: Vec::new(),
            rejected_attempts: 0,
        });
        displaced
    }

    /// Removes a worker, and returns the attempts on its connections. Attempts that were sent continue until
    /// they end; the caller must recall the others after the scheduler has processed the change, so that they
    /// are scheduled again.
    pub(super) fn remove_worker(&mut self, uid: &str) -> Vec<(RequestId, u32)> {
        let Some(worker) = self.workers.remove(uid) else {
            return Vec::new();
        };
        let mut displaced = Vec::new();
        for id in worker.connections {
            self.close_if_idle(id);
            if let Some(connection) = find_worker_connection(&mut self.sockets, id) {
                let attempts = connection.commands.iter();
                displaced.extend(attempts.map(|command| (command.request, command.attempt)));
            }
        }
        displaced
    }

    /// Closes the connections to a worker that have no open command.
    pub(super) fn close_idle_connections(&mut self, worker: &str) {
        let Some(worker) = self.workers.get(worker) else {
            return;
        };
        for id in worker.connections.clone() {
            self.close_if_idle(id);
        }
    }
}
