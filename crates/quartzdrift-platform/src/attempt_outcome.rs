//! What each end on a worker's connection proves.
//!
//! | seen | may it have run? | told to the scheduler as |
//! | --- | --- | --- |
//! | code 64 | it ran | finished |
//! | code 66 | never | miss |
//! | code 67 | never | full |
//! | code 68 | it may have | error |
//! | code 69 | never | moot |
//! | connection refused, or not there in time | never | connect failed |
//! | no connection left to us, on any connection | never | full |
//! | connection reset while it came up, or ended with the command not whole on it | never | sent again on another, then moot |
//! | connection ended, the command whole on it | it may have | reset |
//! | bytes on it that cannot be read | it may have, all that is open on it | reset |
//! | given up by us | it may have | cancelled or timed out, by the request table |
use crate::frame::AnswerCode;
use quartzdrift_scheduler::interface::Outcome;

/// How an attempt's connection ended under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// Refused, or not there in time: the worker is down or cut off.
    NotConnected,
    /// It never had one: all that we may hold are in use. For us the worker is full, and otherwise as it was.
    NoConnectionLeft,
    /// Not the whole command had left: no worker can have read it.
    NotSent,
    /// The whole command had left.
    Sent,
}

/// What an answer proves; `None` for one that speaks of the connection alone.
pub fn from_answer(code: AnswerCode) -> Option<Outcome> {
    match code {
        AnswerCode::Succeeded => Some(Outcome::Succeeded),
        AnswerCode::CacheMiss => Some(Outcome::CacheMiss),
        AnswerCode::AtCapacity => Some(Outcome::AtCapacity),
        AnswerCode::Error => Some(Outcome::Error),
        AnswerCode::AlreadyConcluded => Some(Outcome::NeverSent),
        AnswerCode::Alive => None,
    }
}

/// What the end of a connection proves of an attempt on it.
pub fn from_loss(how: ConnectionLoss) -> Outcome {
    match how {
        ConnectionLoss::NotConnected => Outcome::ConnectFailed,
        ConnectionLoss::NoConnectionLeft => Outcome::AtCapacity,
        // The worker took the connection, so it is not down.
        ConnectionLoss::NotSent => Outcome::NeverSent,
        ConnectionLoss::Sent => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests;
