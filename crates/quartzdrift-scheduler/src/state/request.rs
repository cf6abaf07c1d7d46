//! State of an open request.
use crate::interface::RequestId;
use crate::messages::{CacheStatus, EndpointRecord, PlacementQuery};
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
    /// When the first attempt was sent that may have executed; `None`: certainly none has.
    pub(crate) first_uncertain_sent_at: Option<Duration>,
    /// Workers that may have executed the request, each with its entry when the attempt was sent.
    pub(crate) possible_executors: Vec<EndpointRecord>,
    /// The attempt in flight, if there is one.
    pub(crate) current_attempt: Option<CurrentAttempt>,
    /// Indexes of the workers that an attempt was sent to.
    pub(crate) tried_workers: Vec<usize>,
    /// Number of responses that a worker is at capacity.
    pub(crate) at_capacity_responses: u32,
}

impl OpenRequest {
    /// Records an attempt that is sent to a worker. Returns its number, counted from 0.
    pub(crate) fn add_attempt(&mut self, worker: usize, attempt: CurrentAttempt) -> u32 {
        self.current_attempt = Some(attempt);
        self.tried_workers.push(worker);
        self.attempt_count += 1;
        self.attempt_count - 1
    }

    /// Records that an attempt that was sent to a worker with this entry may have been executed.
    pub(crate) fn record_uncertain(&mut self, attempt: CurrentAttempt) {
        self.first_uncertain_sent_at.get_or_insert(attempt.sent_at);
        self.possible_executors.push(attempt.endpoint);
        self.possible_executors.extend(attempt.successors);
    }

    /// Records that a worker with this entry has taken over its address. An attempt that was sent there before may
    /// have reached it, over a connection that was opened before.
    pub(crate) fn record_successor(&mut self, successor: EndpointRecord) {
        let is_at_address = |endpoint: &EndpointRecord| endpoint.address == successor.address;
        if self.possible_executors.iter().any(is_at_address) {
            self.possible_executors.push(successor);
        }
        if let Some(current) =
            self.current_attempt.as_mut().filter(|current| is_at_address(&current.endpoint))
        {
            current.successors.push(successor);
        }
    }

    /// Removes and returns the attempt in flight. Without one, returns an attempt with no cached copy, sent now to
    /// a worker with this entry.
    pub(crate) fn take_current_attempt(&mut self, now: Duration, endpoint: EndpointRecord) -> CurrentAttempt {
        self.current_attempt
            .take()
            .unwrap_or_else(|| CurrentAttempt::new(CacheStatus::NotWarm, endpoint, now))
    }
}

/// The attempt of a request that is in flight.
pub(crate) struct CurrentAttempt {
    /// Cache status of the function at the worker when the worker was chosen.
    pub(crate) cache_status: CacheStatus,
    /// Entry of the worker when the attempt was sent.
    endpoint: EndpointRecord,
    /// Entries of workers that were listed at the same address since then.
    successors: Vec<EndpointRecord>,
    sent_at: Duration,
}

impl CurrentAttempt {
    pub(crate) fn new(
        cache_status: CacheStatus,
        endpoint: EndpointRecord,
        sent_at: Duration,
    ) -> CurrentAttempt {
        CurrentAttempt { cache_status, endpoint, successors: Vec::new(), sent_at }
    }
}

/// The placement query whose replies are being collected.
pub(crate) struct PendingQuery {
    pub(crate) request: RequestId,
    pub(crate) query: PlacementQuery,
}
