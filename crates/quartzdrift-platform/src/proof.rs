//! What each end on a worker's connection proves.
//!
//! | seen | may it have run? | told to the module as |
//! | --- | --- | --- |
//! | code 64 | it ran | finished |
//! | code 66 | never | miss |
//! | code 67 | never | full |
//! | code 68 | it may have | error |
//! | code 69 | never | moot |
//! | connection refused, or not there in time | never | connect failed |
//! | no connection left to us, on any lane | never | full |
//! | connection reset while it came up, or ended with the command not whole on it | never | sent again on another, then moot |
//! | connection ended, the command whole on it | it may have | reset |
//! | bytes on it that cannot be read | it may have, all that is open on it | reset |
//! | given up by us | it may have | cancelled or timed out, by the request table |
use crate::frame::Code;
use quartzdrift_scheduler::interface::Outcome;

/// How an attempt's connection ended under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Refused, or not there in time: the worker is down or cut off.
    NotConnected,
    /// It never had one: all that we may hold are in use. For us the worker is full, and otherwise as it was.
    NoLane,
    /// Not the whole command had left: no worker can have read it.
    Unsent,
    /// The whole command had left.
    Sent,
}

/// What an answer proves; `None` for one that speaks of the connection alone.
pub fn answered(code: Code) -> Option<Outcome> {
    match code {
        Code::Done => Some(Outcome::Succeeded),
        Code::Miss => Some(Outcome::CacheMiss),
        Code::Full => Some(Outcome::AtCapacity),
        Code::Error => Some(Outcome::Error),
        Code::Over => Some(Outcome::NeverSent),
        Code::Alive => None,
    }
}

/// What the end of a connection proves of an attempt on it.
pub fn cut(how: Cut) -> Outcome {
    match how {
        Cut::NotConnected => Outcome::ConnectFailed,
        Cut::NoLane => Outcome::AtCapacity,
        // The worker took the connection, so it is not down.
        Cut::Unsent => Outcome::NeverSent,
        Cut::Sent => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_cannot_have_run_is_told_as_such() {
        let harmless = [
            Outcome::CacheMiss,
            Outcome::AtCapacity,
            Outcome::NeverSent,
            Outcome::ConnectFailed,
        ];
        for code in [Code::Miss, Code::Full, Code::Over] {
            assert!(
                answered(code).is_some_and(|outcome| harmless.contains(&outcome)),
                "{code:?}"
            );
        }
        assert_eq!(answered(Code::Error), Some(Outcome::Error));
        assert_eq!(answered(Code::Alive), None);
        assert_eq!(
            (cut(Cut::Unsent), cut(Cut::Sent)),
            (Outcome::NeverSent, Outcome::Reset)
        );
        assert_eq!(
            (cut(Cut::NotConnected), cut(Cut::NoLane)),
            (Outcome::ConnectFailed, Outcome::AtCapacity)
        );
    }
}
