//! Who may hold how many of the process's descriptors.

/// Descriptors of the loop itself, signals, logs, listener and coordinator, with room for those that close slowly.
const RESERVE: usize = 24;
/// Least number for either side: below it nothing can be served at all.
const MIN_SIDE: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections of clients; well-behaved ones hold at most a third of all descriptors.
    pub clients: usize,
    /// Connections to workers.
    pub workers: usize,
}

impl Budget {
    pub fn of(sockets: usize) -> Budget {
        let shared = sockets.saturating_sub(RESERVE);
        let clients = (shared / 2).max(MIN_SIDE);
        Budget {
            clients,
            workers: shared.saturating_sub(clients).max(MIN_SIDE),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn well_behaved_clients_have_room_and_the_sum_stays_within_the_limit() {
        for sockets in [256, 512, 1024, 4096] {
            let budget = Budget::of(sockets);
            assert!(budget.clients > sockets / 3 && budget.clients + budget.workers + RESERVE <= sockets);
        }
    }
}
