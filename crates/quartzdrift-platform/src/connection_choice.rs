//! Chooses the connection to a worker that carries an attempt.
//!
//! When a connection breaks, the outcome of every attempt on it is uncertain. Each attempt therefore gets a
//! connection of its own while descriptors last; after that, attempts share connections, the least used one
//! first.
use std::time::Duration;

/// A connection that has been idle for this time or longer is pinged before it carries a command.
///
/// Hosts and middleboxes drop idle connections sooner than they announce. A command sent on a dropped
/// connection may or may not have run, so a ping, which runs nothing, is the cheaper way to find out.
pub const MAX_UNVERIFIED_IDLE: Duration = Duration::from_millis(20);

/// Whether a connection must be pinged before it carries a command, given how long it has been idle.
pub fn needs_verification(idle: Duration) -> bool {
    idle >= MAX_UNVERIFIED_IDLE
}

/// State of a connection to a worker, as [`choose`] needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Number of open attempts on the connection.
    pub open_attempts: usize,
    /// Whether the connection is established.
    pub is_up: bool,
}

/// The connection that carries an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// The existing connection with this index.
    Use(usize),
    /// A new connection.
    Connect,
    /// No connection: each existing one is full, and no other may be opened.
    Full,
}

/// Chooses among the connections to a worker.
///
/// A connection carries at most `max_streams` attempts. `may_connect` returns whether a descriptor is free,
/// or can be freed, for another connection; it may close an idle connection to do so, and is called only if a
/// new connection is wanted.
pub fn choose(
    connections: &[ConnectionState],
    max_streams: usize,
    may_connect: impl FnOnce() -> bool,
) -> ConnectionChoice {
    let available = connections
        .iter()
        .enumerate()
        .filter(|(_, connection)| connection.open_attempts < max_streams);
    // Among equally used connections an established one is preferred, since it needs no handshake.
    match available.min_by_key(|(_, connection)| (connection.open_attempts, !connection.is_up)) {
        Some((index, connection)) if connection.open_attempts == 0 => ConnectionChoice::Use(index),
        least_used => match (may_connect(), least_used) {
            (true, _) => ConnectionChoice::Connect,
            (false, Some((index, _))) => ConnectionChoice::Use(index),
            (false, None) => ConnectionChoice::Full,
        },
    }
}

#[cfg(test)]
mod tests;
