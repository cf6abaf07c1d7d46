//! Which connection to a worker carries an attempt.
//!
//! Whatever spoils a connection puts all that is open on it in doubt, so each attempt has one to itself while
//! descriptors last; beyond that they are shared, the least used one first.
use std::time::Duration;

/// For so long a connection that has just worked is taken to work. Hosts, and whatever is between them, forget idle
/// connections sooner than they say, and a command written to one of those is in doubt, not refused: a question
/// that can run nothing is cheaper.
pub const MAX_UNVERIFIED_IDLE: Duration = Duration::from_millis(20);

/// Whether a connection that has been idle for so long must prove that it works before it carries a command.
pub fn needs_verification(idle: Duration) -> bool {
    idle >= MAX_UNVERIFIED_IDLE
}

/// A connection as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Attempts open on it.
    pub open_attempts: usize,
    /// It has come up.
    pub is_up: bool,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// The connection at this place.
    Use(usize),
    /// A new connection.
    Connect,
    /// All are full, and none may be added.
    Full,
}

/// Chooses among a worker's connections. `streams`: attempts that one carries at most; `may_connect`: a descriptor is
/// left for one more, or can be won; asked only where a new connection is wanted.
pub fn choose(
    connections: &[ConnectionState],
    streams: usize,
    may_connect: impl FnOnce() -> bool,
) -> ConnectionChoice {
    let free = connections
        .iter()
        .enumerate()
        .filter(|(_, connection)| connection.open_attempts < streams);
    // Of equally used ones the one that is up, so that nobody waits for a handshake without need.
    match free.min_by_key(|(_, connection)| (connection.open_attempts, !connection.is_up)) {
        Some((at, connection)) if connection.open_attempts == 0 => ConnectionChoice::Use(at),
        least_used => match (may_connect(), least_used) {
            (true, _) => ConnectionChoice::Connect,
            (false, Some((at, _))) => ConnectionChoice::Use(at),
            (false, None) => ConnectionChoice::Full,
        },
    }
}

#[cfg(test)]
mod tests;
