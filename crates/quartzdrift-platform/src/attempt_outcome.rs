//! Maps the end of an attempt on a worker's connection to the [`Outcome`] that the scheduler is given.
//!
//! | end of the attempt | may the request have run? | outcome |
//! | --- | --- | --- |
//! | answer with code 64 | it ran | `Succeeded` |
//! | answer with code 66 | no | `CacheMiss` |
//! | answer with code 67 | no | `AtCapacity` |
//! | answer with code 68 | it may have | `Error` |
//! | answer with code 69 | no | `NeverSent` |
//! | connection refused, or not established in time | no | `ConnectFailed` |
//! | no connection may be opened, and all existing ones are full | no | `AtCapacity` |
//! | connection reset while connecting | no | `NeverSent`, after resending |
//! | connection lost before the whole command was sent | no | `NeverSent`, after resending |
//! | connection lost after the whole command was sent | it may have | `Reset` |
//! | bytes that cannot be decoded, for each attempt on the connection | it may have | `Reset` |
//! | attempt cancelled by the scheduler | it may have | `Cancelled` or `TimedOut`, by the request table |
//!
//! "After resending" means that the command is first sent on other connections, a limited number of times.
use crate::frame::AnswerCode;
use quartzdrift_scheduler::interface::Outcome;

/// Why an attempt lost its connection, or never had one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The connection was refused or not established in time: the worker is down or unreachable.
    NotConnected,
    /// All connections that this scheduler may hold are in use, so it treats the worker as being at capacity.
    /// This says nothing else about the worker.
    NoConnectionLeft,
    /// The connection was lost before the whole command was sent, so the worker cannot have executed it.
    NotSent,
    /// The connection was lost after the whole command was sent.
    Sent,
}

/// The outcome that an answer reports; `None` for [`AnswerCode::Alive`], which answers a ping and ends no
/// attempt.
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

/// The outcome of an attempt whose connection was lost.
pub fn from_loss(loss: ConnectionLoss) -> Outcome {
    match loss {
        ConnectionLoss::NotConnected => Outcome::ConnectFailed,
        ConnectionLoss::NoConnectionLeft => Outcome::AtCapacity,
        // Not `ConnectFailed`: the worker accepted the connection, so it is not down.
        ConnectionLoss::NotSent => Outcome::NeverSent,
        ConnectionLoss::Sent => Outcome::Reset,
    }
}

#[cfg(test)]
mod tests;
