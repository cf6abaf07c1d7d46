//! Requests: as submitted by a frontend, and as held by the table while they are open.
use crate::attempt::{self, Attempt};
use crate::timers::TimerId;
use quartzdrift_scheduler::interface::Outcome;
use std::rc::Rc;
use std::time::Duration;

/// A request as a frontend submits it.
///
/// The table passes it on to the scheduler as a [`Request`] event, which borrows the function's name, carries
/// the id that the table assigned, and has the response slack subtracted from the time that is left. The
/// table returns the payload with each attempt and with the final response, and never reads it.
///
/// [`Request`]: quartzdrift_scheduler::interface::Request
#[derive(Clone, Debug)]
pub struct NewRequest<P> {
    /// Index of the request class in the settings.
    pub request_class: u32,
    /// Index of the tenant in the settings.
    pub tenant: u32,
    /// Name of the function to run.
    pub function: Rc<str>,
    /// Time left until the client gives up.
    pub time_left: Duration,
    /// Expected execution time, without queueing and loading.
    pub work_hint: Option<Duration>,
    /// Memory of a loaded copy of the function, in MB.
    pub memory_mb: Option<f64>,
    /// Number of requests that one copy of the function executes concurrently.
    pub concurrency_slots: Option<f64>,
    /// Expected time to load a copy of the function.
    pub load_hint: Option<Duration>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Whether the function has side effects outside the worker.
    pub has_side_effects: bool,
    /// Data of the frontend, returned with each attempt and with the final response.
    pub payload: P,
}

#[derive(Debug)]
enum RequestState {
    /// No byte of a response has been sent to the client; the timer fires at the deadline.
    AwaitingResponse { deadline_timer: TimerId },
    /// The response is being streamed to the client; no timer bounds the request.
    Streaming,
}

/// A request that has not had its final response.
#[derive(Debug)]
pub(crate) struct OpenRequest<P> {
    pub(crate) payload: P,
    pub(crate) function: Rc<str>,
    pub(crate) is_idempotent: bool,
    /// Time at which the final response is due. Once streaming has started, the deadline limits only further
    /// attempts.
    pub(crate) deadline: Duration,
    /// Time at which the first attempt that may have executed was sent.
    pub(crate) may_have_executed: Option<Duration>,
    attempts_started: u32,
    state: RequestState,
}

impl<P> OpenRequest<P> {
    /// Creates a request without attempts, whose deadline timer has been set.
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
            state: RequestState::AwaitingResponse { deadline_timer },
        }
    }

    /// Whether the response is being streamed to the client.
    pub(crate) fn is_streaming(&self) -> bool {
        matches!(self.state, RequestState::Streaming)
    }

    /// The timer at the request's deadline; `None` once streaming has started.
    pub(crate) fn deadline_timer(&self) -> Option<TimerId> {
        match self.state {
            RequestState::AwaitingResponse { deadline_timer } => Some(deadline_timer),
            RequestState::Streaming => None,
        }
    }

    /// Records that streaming of the response to the client has started. Returns the deadline timer, which
    /// the caller has to cancel.
    pub(crate) fn start_streaming(&mut self) -> Option<TimerId> {
        let timer = self.deadline_timer();
        self.state = RequestState::Streaming;
        timer
    }

    /// Counts a new attempt and returns its number, from 0.
    pub(crate) fn next_attempt(&mut self) -> u32 {
        let attempt = self.attempts_started;
        self.attempts_started += 1;
        attempt
    }

    /// Updates `may_have_executed` for an attempt that ended with `outcome`.
    pub(crate) fn record_attempt_end(&mut self, attempt: &Attempt, outcome: Outcome) {
        if !attempt::may_have_executed(outcome) {
            return;
        }
        let first = self
            .may_have_executed
            .map_or(attempt.sent_at, |first| first.min(attempt.sent_at));
        self.may_have_executed = Some(first);
    }
}
