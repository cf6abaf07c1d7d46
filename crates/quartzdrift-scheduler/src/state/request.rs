//! State of an open request.
use crate::interface::RequestId;
use crate::messages::{CacheStatus, PlacementQuery};
use std::time::Duration;

/// A request without a final response.
#[derive(Default)]
pub(crate) struct OpenRequest {
    pub(crate) request_class: usize,
    pub(crate) tenant: u32,
    pub(crate) function: usize,
    /// Concurrency slots of a cached copy.
    pub(crate) concurrency_slots: f64,
    pub(crate) deadline: Duration,
    /// Number of attempts started so far.
    pub(crate) attempt_count: u32,
    /// The first attempt that may have executed; `None`: certainly none has.
    pub(crate) first_uncertain_attempt: Option<UncertainAttempt>,
    /// The attempt in flight, if there is one.
    pub(crate) current_attempt: Option<CurrentAttempt>,
    /// Indexes of the workers that an attempt was sent to.
    pub(crate) tried_workers: Vec<usize>,
    /// Number of responses that a worker is at capacity.
    pub(crate) at_capacity_responses: u32,
}

impl OpenRequest {
    /// Records an attempt that is sent now. Returns its number, counted from 0.
    pub(crate) fn add_attempt(&mut self, worker: usize, cache_status: CacheStatus, now: Duration) -> u32 {
        self.current_attempt = Some(CurrentAttempt { cache_status, sent_at: now });
        self.tried_workers.push(worker);
        self.attempt_count += 1;
        self.attempt_count - 1
    }

    /// Removes and returns the attempt in flight. Without one, returns an attempt with no cached copy, sent
    /// now.
    pub(crate) fn take_current_attempt(&mut self, now: Duration) -> CurrentAttempt {
        let unknown = CurrentAttempt { cache_status: CacheStatus::NotWarm, sent_at: now };
        self.current_attempt.take().unwrap_or(unknown)
    }
}

/// An attempt whose execution is uncertain.
#[derive(Clone, Copy)]
pub(crate) struct UncertainAttempt {
    pub(crate) worker: usize,
    pub(crate) sent_at: Duration,
}

/// The attempt of a request that is in flight.
#[derive(Clone, Copy)]
pub(crate) struct CurrentAttempt {
    /// Cache status of the function at the worker when the worker was chosen.
    pub(crate) cache_status: CacheStatus,
    pub(crate) sent_at: Duration,
}

/// The placement query whose replies are being collected.
pub(crate) struct PendingQuery {
    pub(crate) request: RequestId,
    pub(crate) query: PlacementQuery,
}
