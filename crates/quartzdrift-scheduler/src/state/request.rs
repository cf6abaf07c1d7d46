//! State of a request that has not had its final answer.
use crate::interface::RequestId;
use crate::messages::{CacheStatus, PlacementQuery};
use std::time::Duration;

/// A request that has not had its final answer.
#[derive(Default)]
pub(crate) struct OpenRequest {
    pub(crate) request_class: usize,
    pub(crate) tenant: u32,
    pub(crate) function: usize,
    /// Concurrency slots of a cached copy.
    pub(crate) concurrency_slots: f64,
    pub(crate) deadline: Duration,
    /// Attempts started so far.
    pub(crate) attempt_count: u32,
    /// The first attempt that may have executed.
    pub(crate) first_uncertain_attempt: Option<UncertainAttempt>,
    /// The attempt in flight.
    pub(crate) current_attempt: Option<CurrentAttempt>,
    /// Workers that had the request.
    pub(crate) tried_workers: Vec<usize>,
    pub(crate) at_capacity_responses: u32,
}

impl OpenRequest {
    /// Adds the attempt that is sent now; returns its number, counted from 0.
    pub(crate) fn add_attempt(&mut self, worker: usize, cache_status: CacheStatus, now: Duration) -> u32 {
        self.current_attempt = Some(CurrentAttempt { cache_status, sent_at: now });
        self.tried_workers.push(worker);
        self.attempt_count += 1;
        self.attempt_count - 1
    }

    /// Ends the attempt in flight; one that is unknown counts as sent now.
    pub(crate) fn take_current_attempt(&mut self, now: Duration) -> CurrentAttempt {
        let unknown = CurrentAttempt { cache_status: CacheStatus::NotWarm, sent_at: now };
        self.current_attempt.take().unwrap_or(unknown)
    }
}

/// An attempt that may have executed.
#[derive(Clone, Copy)]
pub(crate) struct UncertainAttempt {
    pub(crate) worker: usize,
    pub(crate) sent_at: Duration,
}

/// The attempt in flight.
#[derive(Clone, Copy)]
pub(crate) struct CurrentAttempt {
    /// Cache status that the worker was chosen with.
    pub(crate) cache_status: CacheStatus,
    pub(crate) sent_at: Duration,
}

/// The request for which candidates are collected.
pub(crate) struct PendingQuery {
    pub(crate) request: RequestId,
    pub(crate) query: PlacementQuery,
}
