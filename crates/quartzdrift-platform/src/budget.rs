//! Divides the file descriptors of the process between connections from clients and connections to workers.

/// Descriptors for the event loop, signals, log, listener and coordinator, and for sockets that close slowly.
const RESERVED_DESCRIPTORS: usize = 24;
/// Minimum number of connections from clients, and also of connections to workers: with fewer, no request can
/// be served.
const MIN_CONNECTIONS: usize = 8;

/// Maximum numbers of open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Connections from clients. Well-behaved clients hold at most a third of all descriptors.
    pub clients: usize,
    /// Connections to workers.
    pub workers: usize,
}

impl ConnectionBudget {
    /// Divides `descriptors` evenly, after subtracting the reserved ones.
    pub fn divide(descriptors: usize) -> ConnectionBudget {
        let shared = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let clients = (shared / 2).max(MIN_CONNECTIONS);
        ConnectionBudget {
            clients,
            workers: shared.saturating_sub(clients).max(MIN_CONNECTIONS),
        }
    }
}

#[cfg(test)]
mod tests;
