//! Outcomes of attempts, and the retry or the completion that results from an outcome.
use crate::invocation::{Destination, Invocation, InvocationId};
use std::time::Duration;

/// Final result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The function was executed and returned a result or an error.
    Succeeded {
        /// Whether the function returned an error.
        function_error: bool,
    },
    /// No worker admitted the attempt.
    Rejected {
        /// Minimum delay before the next attempt.
        retry_after: Option<Duration>,
        /// Time at which the attempt was sent, if it may have executed despite the rejection.
        may_have_executed: Option<Duration>,
    },
    /// The attempt ended without a response; the function may have been executed.
    Failed,
}

/// Reason why no further attempt of an invocation is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionCondition {
    /// The function was executed and returned no error.
    Success,
    /// The maximum number of attempts is reached, or a retry could execute the invocation twice.
    RetriesExhausted,
    /// The next attempt would start after the maximum age of the invocation.
    EventAgeExceeded,
}

impl CompletionCondition {
    /// The name of the condition in a destination event, as in AWS Lambda's invocation records.
    pub fn as_str(self) -> &'static str {
        match self {
            CompletionCondition::Success => "Success",
            CompletionCondition::RetriesExhausted => "RetriesExhausted",
            CompletionCondition::EventAgeExceeded => "EventAgeExceeded",
        }
    }
}

/// A completed invocation, with the content of the event for its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedInvocation {
    /// Id that the queue assigned on acceptance.
    pub id: InvocationId,
    /// The accepted invocation.
    pub invocation: Invocation,
    /// Number of attempts that were executed or may have been; rejected ones do not count.
    pub attempts: u32,
    /// Receiver of the event.
    pub destination: Option<Destination>,
    /// Reason for the completion.
    pub condition: CompletionCondition,
}

/// The queue's decision after the outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// The invocation waits for another attempt.
    Retry {
        /// Time at which the next attempt is due.
        at: Duration,
    },
    /// The invocation has left the queue.
    Completed(Box<CompletedInvocation>),
}
