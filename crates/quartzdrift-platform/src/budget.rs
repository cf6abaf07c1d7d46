//! Divides the descriptors of the process between connections of clients and connections to workers.

/// Descriptors of the event loop, signals, log, listener and coordinator, with room for those that close slowly.
const RESERVE: usize = 24;
/// Smallest number for either side: with fewer nothing can be served.
const MIN_SIDE: usize = 8;

/// Largest numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Connections of clients; well-behaved ones hold at most a third of all descriptors.
    pub clients: usize,
    /// Connections to workers.
    pub workers: usize,
}

impl ConnectionBudget {
    /// The division of `sockets` descriptors.
    pub fn divide(sockets: usize) -> ConnectionBudget {
        let shared = sockets.saturating_sub(RESERVE);
        let clients = (shared / 2).max(MIN_SIDE);
        ConnectionBudget {
            clients,
            workers: shared.saturating_sub(clients).max(MIN_SIDE),
        }
    }
}

#[cfg(test)]
mod tests;
