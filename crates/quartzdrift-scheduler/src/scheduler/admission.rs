//! Admission of a new request, and the checks before each of its attempts.
use super::constants::{
    DEFAULT_RETRY_AFTER, MAX_AT_CAPACITY_RESPONSES, MAX_CONCURRENCY_SLOTS, MAX_SAMPLES, MIN_TIME_LEFT,
};
use crate::interface::{Action, Idempotency, RejectReason, Request, RequestId};
use crate::messages::{Message, PlacementQuery, Restriction};
use crate::state::{OpenRequest, PendingQuery, Scheduler};

impl Scheduler {
    /// Opens a new request, or rejects it if its class is unknown.
    pub(super) fn admit_request(&mut self, request: &Request) {
        let request_class = request.request_class as usize;
        if request_class >= self.classes.len() {
            let retry_after = self.settings.max_retry_after.map(|max| max.min(DEFAULT_RETRY_AFTER));
            let reason = RejectReason::UnknownClass;
            return self.actions.push(Action::Reject { request: request.id, retry_after, reason });
        }
        let function = self.function_index(request.function);
        self.record_demand(request, function);
        let open_request = OpenRequest {
            request_class,
            tenant: request.tenant,
            function,
            concurrency_slots: request.concurrency_slots.unwrap_or(1.0).clamp(1.0, MAX_CONCURRENCY_SLOTS),
            deadline: self.now + request.time_left,
            ..OpenRequest::default()
        };
        self.requests.insert(request.id, open_request);
        self.mailbox.send_to_request_table(Message::PlaceRequest(request.id));
    }

    /// Adds a request to the measurements of demand by function and class, and to the mean memory of a copy.
    fn record_demand(&mut self, request: &Request, function: usize) {
        let request_class = request.request_class as usize;
        let relative_work = self.relative_work(request_class);
        self.load_quota_requests.add(self.now);
        self.requested_work.add(function, relative_work, self.now);
        self.requested_priority.add(0, self.priority_per_work(request_class) * relative_work, self.now);
        let change = request.memory_mb.map_or(0.0, |mb| mb - self.mean_memory_mb);
        let has_mean = self.mean_memory_mb > 0.0;
        self.mean_memory_mb += if has_mean { change / f64::from(MAX_SAMPLES) } else { change };
    }

    /// Sends placement queries for an open request, or sends its final response if no worker may receive it.
    pub(super) fn place_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let rejection_reason = self.rejection_reason(request);
        self.refresh_listed_workers();
        match rejection_reason {
            Some(reason) => self.conclude_request(id, reason),
            None if self.listed_workers.is_empty() => self.conclude_request(id, RejectReason::NoWorkers),
            None => self.query_workers(id),
        }
    }

    /// Returns the reason for which no worker may receive the request; `None`: there is no such reason.
    fn rejection_reason(&self, request: &OpenRequest) -> Option<RejectReason> {
        let class = &self.classes[request.request_class];
        let may_repeat = request.first_uncertain_sent_at.is_none_or(|sent_at| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey => self.now < sent_at + class.deduplication_window,
            Idempotency::NonIdempotent => false,
        });
        if !may_repeat {
            Some(RejectReason::NotRepeatable)
        } else if request.attempt_count >= self.settings.max_attempts {
            Some(RejectReason::NoAttemptsLeft)
        } else if request.deadline < self.now + MIN_TIME_LEFT {
            Some(RejectReason::NoTimeLeft)
        } else if request.at_capacity_responses >= MAX_AT_CAPACITY_RESPONSES {
            Some(RejectReason::FleetAtCapacity)
        } else {
            None
        }
    }

    /// Sends a placement query for a request to every listed worker.
    fn query_workers(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let query = self.placement_query(request);
        self.candidates.clear();
        self.pending_query = Some(PendingQuery { request: id, query });
        self.awaited_replies = self.listed_workers.len();
        let unmeasured_capacity = self.unmeasured_capacity();
        for &worker in &self.listed_workers {
            let worker_capacity = match self.workers[worker].warming_since {
                Some(_) => self.warming_capacity(worker, query.worker_capacity, unmeasured_capacity),
                None => query.worker_capacity,
            };
            self.mailbox
                .send_to_worker(worker, Message::PlacementQuery(PlacementQuery { worker_capacity, ..query }));
        }
    }

    /// Returns the capacity from which the slow-start budget of a worker is derived: its kind's or the `mean`
    /// one, which alone would overload a small worker of a fleet with larger ones, or else the `unmeasured` one.
    fn warming_capacity(&self, worker: usize, mean: f64, unmeasured: f64) -> f64 {
        let kind = self.workers[worker].endpoint.machine_kind;
        let measured = mean.min(self.worker_capacity(Some(kind)));
        measured.max(unmeasured * self.relative_speed(worker))
    }

    fn placement_query(&self, request: &OpenRequest) -> PlacementQuery {
        let class = &self.classes[request.request_class];
        let has_key = class.idempotency == Idempotency::IdempotentWithKey;
        let executors = if has_key { &request.possible_executors[..] } else { &[] };
        let restriction = Restriction::new(class.deduplication_scope, executors);
        PlacementQuery {
            request_class: request.request_class,
            tenant: request.tenant,
            function: request.function,
            has_key,
            restriction,
            may_retry: self.may_retry(request, 1),
            relative_work: self.relative_work(request.request_class),
            worker_capacity: self.worker_capacity(None),
        }
    }
}
