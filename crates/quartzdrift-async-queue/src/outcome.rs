//! How an attempt ends, and what follows from it.
use crate::invocation::{Destination, Invocation, InvocationId};
use std::time::Duration;

/// The final answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The function ran to its end.
    Succeeded {
        /// Whether the function returned an error of its own.
        function_error: bool,
    },
    /// No worker took the attempt.
    Rejected {
        /// No further attempt may start before this time has passed.
        retry_after: Option<Duration>,
        /// When the attempt was sent, where it may have executed all the same.
        may_have_executed: Option<Duration>,
    },
    /// The attempt was lost, and the function may have run.
    Failed,
}

/// Why an invocation needs no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionCondition {
    /// The function ran without an error.
    Success,
    /// No attempt is left, or none that could not execute twice.
    RetriesExhausted,
    /// The next attempt would have started after the maximum age.
    EventAgeExceeded,
}

impl CompletionCondition {
    /// Its name in a destination event, as AWS Lambda publishes it.
    pub fn as_str(self) -> &'static str {
        match self {
            CompletionCondition::Success => "Success",
            CompletionCondition::RetriesExhausted => "RetriesExhausted",
            CompletionCondition::EventAgeExceeded => "EventAgeExceeded",
        }
    }
}

/// An invocation that needs no further attempt, for its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedInvocation {
    /// The number that it was accepted under.
    pub id: InvocationId,
    /// What was accepted.
    pub invocation: Invocation,
    /// Attempts that ran.
    pub attempts: u32,
    /// Where its event goes.
    pub destination: Option<Destination>,
    /// Why it is completed.
    pub condition: CompletionCondition,
}

/// What follows from the outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Another attempt.
    Retry {
        /// When it is due.
        at: Duration,
    },
    /// No further attempt.
    Completed(Box<CompletedInvocation>),
}
