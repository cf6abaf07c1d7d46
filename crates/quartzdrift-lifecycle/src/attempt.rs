//! One attempt of a request on one worker, as a state machine. Its states are drawn in the crate's documentation.
use crate::timers::TimerId;
use quartzdrift_scheduler::interface::{CacheResult, Outcome, RequestId};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

/// How an attempt ended, as observed on its connection.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// What the end proves about the execution.
    pub outcome: Outcome,
    /// What the answer says of the function's copy on the worker.
    pub cache_result: CacheResult,
    /// Concurrent requests that the worker reports for the function.
    pub concurrency: Option<u32>,
    /// The load report, one value per metric in the order of the settings; `None` for a metric that is missing.
    pub report: Vec<Option<f64>>,
}

impl AttemptResult {
    /// A result without an answer: the outcome is all that is known.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            cache_result: CacheResult::Unknown,
            concurrency: None,
            report: Vec::new(),
        }
    }
}

/// Identifies one attempt. Attempts of one request are adjacent in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    /// Counts the attempts of a request from 0.
    pub(crate) attempt: u32,
}

impl AttemptId {
    /// All attempts of a request.
    pub(crate) fn range_of(request: RequestId) -> RangeInclusive<AttemptId> {
        let first = AttemptId { request, attempt: 0 };
        let last = AttemptId {
            request,
            attempt: u32::MAX,
        };
        first..=last
    }
}

#[derive(Debug)]
enum AttemptState {
    /// Refused by the table; it ends as soon as the scheduler can be notified.
    NeverSent,
    /// Bounded by the deadline timer of its request.
    InFlight,
    /// Bounded by a timer of its own.
    Timed(TimerId),
    /// Its answer reaches the client; not bounded.
    Streaming,
}

/// An attempt that has not ended yet.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) worker: Rc<str>,
    pub(crate) sent_at: Duration,
    state: AttemptState,
}

impl Attempt {
    /// An attempt that the table refuses to send.
    pub(crate) fn never_sent(worker: Rc<str>, now: Duration) -> Attempt {
        Attempt {
            worker,
            sent_at: now,
            state: AttemptState::NeverSent,
        }
    }

    /// An attempt that is sent now; `timer` is its own timeout, if that is earlier than the request's deadline.
    pub(crate) fn sent(worker: Rc<str>, now: Duration, timer: Option<TimerId>) -> Attempt {
        Attempt {
            worker,
            sent_at: now,
            state: timer.map_or(AttemptState::InFlight, AttemptState::Timed),
        }
    }

    /// Whether nothing would bound it once its request's deadline timer is gone.
    pub(crate) fn relies_on_deadline_timer(&self) -> bool {
        matches!(self.state, AttemptState::InFlight)
    }

    /// Bounds it by a timer of its own.
    pub(crate) fn set_timer(&mut self, timer: TimerId) {
        self.state = AttemptState::Timed(timer);
    }

    /// Its own timer, if it has one.
    pub(crate) fn timer(&self) -> Option<TimerId> {
        match self.state {
            AttemptState::Timed(timer) => Some(timer),
            AttemptState::NeverSent | AttemptState::InFlight | AttemptState::Streaming => None,
        }
    }

    /// Its answer begins to reach the client. Returns the timer that no longer applies.
    pub(crate) fn start_streaming(&mut self) -> Option<TimerId> {
        let timer = self.timer();
        self.state = AttemptState::Streaming;
        timer
    }
}

/// Whether an attempt with this outcome may have executed, wholly or in part, without an answer that says so.
pub(crate) fn may_have_executed(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => true,
        Outcome::Succeeded
        | Outcome::AtCapacity
        | Outcome::ConnectFailed
        | Outcome::NeverSent
        | Outcome::CacheMiss => false,
    }
}
