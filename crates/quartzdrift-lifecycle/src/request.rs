//! A request, as a frontend submits it and as the table holds it while it is open.
use crate::attempt::{self, Attempt};
use crate::timers::TimerId;
use quartzdrift_scheduler::interface::Outcome;
use std::rc::Rc;
use std::time::Duration;

/// A request as a frontend submits it.
///
/// The scheduler's own [`Request`] is the same request as an event: it borrows the function's name, has the id that
/// the table assigned, and its remaining time is already less the answer slack. This type owns its parts and carries
/// the frontend's payload, which the table hands back with each attempt and with the final answer but never reads.
///
/// [`Request`]: quartzdrift_scheduler::interface::Request
#[derive(Clone, Debug)]
pub struct NewRequest<P> {
    /// Index of the request class in the settings.
    pub request_class: u32,
    /// Index of the tenant in the settings.
    pub tenant: u32,
    /// The function to run.
    pub function: Rc<str>,
    /// Time that remains until the client gives up.
    pub time_left: Duration,
    /// Expected execution time, without queueing and loading.
    pub work_hint: Option<Duration>,
    /// Memory that a loaded copy of the function takes, in MB.
    pub memory_mb: Option<f64>,
    /// Requests that a copy of the function serves at a time.
    pub concurrency_slots: Option<f64>,
    /// Expected time to load a copy of the function.
    pub load_hint: Option<Duration>,
    /// Whether the client says that it sent this request before.
    pub is_retry: bool,
    /// Whether the function changes state outside the worker.
    pub writes: bool,
    /// The frontend's own data.
    pub payload: P,
}

#[derive(Debug)]
enum RequestState {
    /// No byte of an answer has reached the client; the timer fires at the deadline.
    AwaitingAnswer { deadline_timer: TimerId },
    /// The answer has begun to reach the client; no timer bounds it.
    Streaming,
}

/// A request that has not had its final answer.
#[derive(Debug)]
pub(crate) struct OpenRequest<P> {
    pub(crate) payload: P,
    pub(crate) function: Rc<str>,
    pub(crate) is_idempotent: bool,
    /// When the final answer is due. While streaming it bounds only further attempts.
    pub(crate) deadline: Duration,
    /// When the first attempt that may have executed was sent.
    pub(crate) may_have_executed: Option<Duration>,
    attempts_started: u32,
    state: RequestState,
}

impl<P> OpenRequest<P> {
    /// A request without attempts, whose deadline timer has been set.
    pub(crate) fn new(
        payload: P,
        function: Rc<str>,
        is_idempotent: bool,
        deadline: Duration,
        deadline_timer: TimerId,
    ) -> OpenRequest<P> {
        OpenRequest {
            payload,
            function,
            is_idempotent,
            deadline,
            may_have_executed: None,
            attempts_started: 0,
            state: RequestState::AwaitingAnswer { deadline_timer },
        }
    }

    /// Whether its answer has begun to reach the client.
    pub(crate) fn is_streaming(&self) -> bool {
        matches!(self.state, RequestState::Streaming)
    }

    /// The timer at its deadline, unless its answer has begun.
    pub(crate) fn deadline_timer(&self) -> Option<TimerId> {
        match self.state {
            RequestState::AwaitingAnswer { deadline_timer } => Some(deadline_timer),
            RequestState::Streaming => None,
        }
    }

    /// Its answer begins to reach the client. Returns the deadline timer, which no longer applies.
    pub(crate) fn start_streaming(&mut self) -> Option<TimerId> {
        let timer = self.deadline_timer();
        self.state = RequestState::Streaming;
        timer
    }

    /// The number of a new attempt, from 0.
    pub(crate) fn next_attempt(&mut self) -> u32 {
        let attempt = self.attempts_started;
        self.attempts_started += 1;
        attempt
    }

    /// Records what the end of one of its attempts proves about its execution.
    pub(crate) fn attempt_ended(&mut self, attempt: &Attempt, outcome: Outcome) {
        if !attempt::may_have_executed(outcome) {
            return;
        }
        let first = self
            .may_have_executed
            .map_or(attempt.sent_at, |first| first.min(attempt.sent_at));
        self.may_have_executed = Some(first);
    }
}
