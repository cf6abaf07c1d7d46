//! The table of workers: where each is reached, and its connections.
use super::Node;
use super::connections::connection;
use quartzdrift_http::sockets::SocketId;
use quartzdrift_scheduler::interface::RequestId;
use std::net::SocketAddr;
use std::time::Duration;

/// A worker that the coordinator lists.
pub(super) struct Worker {
    pub(super) address: SocketAddr,
    /// Its most recent start, as the coordinator states it.
    started: Option<Duration>,
    pub(super) connections: Vec<SocketId>,
    /// Attempts that it has turned away since the coordinator was last heard.
    pub(super) turned_away: u64,
}

impl Node {
    /// Enters a worker that the coordinator lists. Where it has moved or was started again, returns what
    /// [`Node::worker_gone`] does.
    pub(super) fn worker_listed(
        &mut self,
        uid: &str,
        address: SocketAddr,
        started: Option<Duration>,
    ) -> Vec<(RequestId, u32)> {
        let is_other = |worker: &Worker| (worker.address, worker.started) != (address, started);
        let mut displaced = Vec::new();
        if self.workers.get(uid).is_some_and(is_other) {
            displaced = self.worker_gone(uid);
        }
        self.workers.entry(uid.into()).or_insert(Worker {
            address,
            started,
            connections: Vec::new(),
            turned_away: 0,
        });
        displaced
    }

    /// Removes a worker, and returns the attempts on its connections. Those that have left go on to their end; the others
    /// must be placed anew once the scheduler knows of the change.
    pub(super) fn worker_gone(&mut self, uid: &str) -> Vec<(RequestId, u32)> {
        let Some(worker) = self.workers.remove(uid) else {
            return Vec::new();
        };
        let mut displaced = Vec::new();
        for id in worker.connections {
            self.close_if_idle(id);
            if let Some(connection) = connection(&mut self.sockets, id) {
                let attempts = connection.commands.iter();
                displaced.extend(attempts.map(|command| (command.request, command.attempt)));
            }
        }
        displaced
    }

    /// Closes the connections to a worker that carry nothing.
    pub(super) fn close_idle(&mut self, worker: &str) {
        let Some(worker) = self.workers.get(worker) else {
            return;
        };
        for id in worker.connections.clone() {
            self.close_if_idle(id);
        }
    }
}
