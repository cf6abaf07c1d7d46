//! State machine of one attempt of a request on one worker. The crate's documentation has a diagram of the
//! states.
use crate::timers::TimerId;
use quartzdrift_scheduler::interface::{CacheResult, Outcome, RequestId};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

/// End of an attempt, as observed on its connection, with the data that the worker's response carried.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Outcome, which determines whether the attempt may have executed.
    pub outcome: Outcome,
    /// Cache status of the function on the worker, as stated in the response.
    pub cache_result: CacheResult,
    /// Number of concurrent requests of the function on the worker, as stated in the response.
    pub concurrency: Option<u32>,
    /// Load report: one value for each metric in the order of the settings, `None` for a missing metric.
    pub report: Vec<Option<f64>>,
}

impl AttemptResult {
    /// Result of an attempt that ended without a response from the worker.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            cache_result: CacheResult::Unknown,
            concurrency: None,
            report: Vec::new(),
        }
    }
}

/// Identifies one attempt. The ordering keeps the attempts of one request adjacent, so that a range query
/// finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    /// Number of the attempt, counted from 0 for each request.
    pub(crate) attempt: u32,
}

impl AttemptId {
    /// Range of all possible attempts of a request.
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
    /// Refused by the table. The attempt ends once the scheduler has handled its current event.
    NeverSent,
    /// Bounded by the deadline timer of the request.
    InFlight,
    /// Bounded by the attempt's own timer.
    Timed(TimerId),
    /// The response is being streamed to the client; no timer bounds the attempt.
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
    /// Creates an attempt that the table refuses to send.
    pub(crate) fn never_sent(worker: Rc<str>, now: Duration) -> Attempt {
        Attempt {
            worker,
            sent_at: now,
            state: AttemptState::NeverSent,
        }
    }

    /// Creates an attempt that is sent at `now`. `timer` is set if the attempt times out before the request's
    /// deadline.
    pub(crate) fn sent(worker: Rc<str>, now: Duration, timer: Option<TimerId>) -> Attempt {
        Attempt {
            worker,
            sent_at: now,
            state: timer.map_or(AttemptState::InFlight, AttemptState::Timed),
        }
    }

    /// Whether only the deadline timer of the request bounds the attempt.
    pub(crate) fn relies_on_deadline_timer(&self) -> bool {
        matches!(self.state, AttemptState::InFlight)
    }

    /// Sets the timer that ends the attempt as timed out.
    pub(crate) fn set_timer(&mut self, timer: TimerId) {
        self.state = AttemptState::Timed(timer);
    }

    /// The attempt's own timer, if it has one.
    pub(crate) fn timer(&self) -> Option<TimerId> {
        match self.state {
            AttemptState::Timed(timer) => Some(timer),
            AttemptState::NeverSent | AttemptState::InFlight | AttemptState::Streaming => None,
        }
    }

    /// Records that streaming of the response to the client has started. Returns the attempt's own timer,
    /// which the caller has to cancel.
    pub(crate) fn start_streaming(&mut self) -> Option<TimerId> {
        let timer = self.timer();
        self.state = AttemptState::Streaming;
        timer
    }
}

/// Whether an attempt with this outcome may have executed, wholly or in part, without a successful response.
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
