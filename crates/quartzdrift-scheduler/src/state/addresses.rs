//! Which worker is at each address.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A worker's process, as the endpoint list names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Process {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) address: SocketAddr,
    pub(crate) started_at: Option<Duration>,
}

/// The processes at all addresses that the endpoint list names.
#[derive(Default)]
pub(crate) struct Addresses {
    /// The process that was listed last at each address.
    pub(crate) owners: BTreeMap<SocketAddr, Process>,
    /// By worker, its process that was replaced by another worker at the same address. The list may still name it.
    pub(crate) replaced: BTreeMap<usize, Process>,
}

impl Addresses {
    /// Whether a worker was the last one that was listed at an address.
    pub(crate) fn owns(&self, worker: usize, address: SocketAddr) -> bool {
        self.owners.get(&address).is_some_and(|owner| owner.worker == worker)
    }

    /// Forgets a worker that is no longer listed.
    pub(crate) fn remove(&mut self, worker: usize, address: Option<SocketAddr>) {
        self.replaced.remove(&worker);
        if let Some(address) = address.filter(|address| self.owns(worker, *address)) {
            self.owners.remove(&address);
        }
    }
}
