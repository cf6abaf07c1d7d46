//! Which connection to a worker carries an attempt.
//!
//! Whatever spoils a connection puts all that is open on it in doubt, so each attempt has one to itself while
//! descriptors last; beyond that they are shared, the least used one first.
use std::time::Duration;

/// For so long a lane that has just worked is taken to work. Hosts, and whatever is between them, forget idle
/// connections sooner than they say, and a command written to one of those is in doubt, not refused: a question
/// that can run nothing is cheaper.
pub const FRESH: Duration = Duration::from_millis(20);

/// Whether a lane that has been idle for so long must prove that it works before it carries a command.
pub fn must_prove(idle: Duration) -> bool {
    idle >= FRESH
}

/// A connection as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lane {
    /// Attempts open on it.
    pub open: usize,
    /// It has come up.
    pub up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The lane at this place.
    Use(usize),
    /// A new connection.
    Connect,
    /// All are full, and none may be added.
    Full,
}

/// Chooses among a worker's lanes. `streams`: attempts that one carries at most; `may_connect`: a descriptor is
/// left for one more, or can be won; asked only where a new connection is wanted.
pub fn choose(lanes: &[Lane], streams: usize, may_connect: impl FnOnce() -> bool) -> Choice {
    let free = lanes.iter().enumerate().filter(|(_, lane)| lane.open < streams);
    // Of equally used ones the one that is up, so that nobody waits for a handshake without need.
    match free.min_by_key(|(_, lane)| (lane.open, !lane.up)) {
        Some((at, lane)) if lane.open == 0 => Choice::Use(at),
        least_used => match (may_connect(), least_used) {
            (true, _) => Choice::Connect,
            (false, Some((at, _))) => Choice::Use(at),
            (false, None) => Choice::Full,
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_has_its_own_while_descriptors_last() {
        let lane = |open, up| Lane { open, up };
        assert_eq!(choose(&[], 32, || true), Choice::Connect);
        assert_eq!(
            choose(&[lane(1, true), lane(0, false), lane(0, true)], 32, || true),
            Choice::Use(2)
        );
        assert_eq!(choose(&[lane(1, true)], 32, || true), Choice::Connect);
        assert_eq!(
            choose(&[lane(3, true), lane(2, true)], 32, || false),
            Choice::Use(1)
        );
        assert_eq!(choose(&[lane(32, true)], 32, || false), Choice::Full);
        // Nobody gives up a connection for a worker that has an idle one.
        let asked = || panic!("room is asked for without need");
        assert_eq!(choose(&[lane(1, true), lane(0, true)], 32, asked), Choice::Use(1));
    }
}
