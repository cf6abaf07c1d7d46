//! Submission of requests by frontends, and clients that disconnect.
use super::deadlines::TimerEvent;
use super::table::RequestTable;
use crate::final_response::FinalResponse;
use crate::request::{NewRequest, OpenRequest};
use quartzdrift_scheduler::interface::{Event, Request, RequestId};
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Opens a request and has the scheduler decide on it.
    ///
    /// # Errors
    ///
    /// Returns the payload if the maximum number of open requests is reached or the shutdown deadline has
    /// passed. The request has not executed, so a retry is safe.
    pub fn submit(&mut self, now: Duration, new_request: NewRequest<P>) -> Result<RequestId, P> {
        self.advance_clock(now);
        let until_shutdown = self.shutdown_deadline.map(|at| at.saturating_sub(self.now));
        let has_shut_down = until_shutdown.is_some_and(|until_shutdown| until_shutdown.is_zero());
        if self.requests.len() >= self.limits.max_open_requests || has_shut_down {
            return Err(new_request.payload);
        }
        let request = self.next_id();
        let time_left = new_request
            .time_left
            .saturating_sub(self.limits.response_slack)
            .min(until_shutdown.unwrap_or(Duration::MAX));
        let event = Event::Request(Request {
            id: request,
            request_class: new_request.request_class,
            tenant: new_request.tenant,
            function: &new_request.function,
            time_left,
            work_hint: new_request.work_hint,
            memory_mb: new_request.memory_mb,
            concurrency_slots: new_request.concurrency_slots,
            load_hint: new_request.load_hint,
            is_retry: new_request.is_retry,
            has_side_effects: new_request.has_side_effects,
        });
        let deadline = self.now + time_left;
        let open_request = OpenRequest::new(
            new_request.payload,
            new_request.function.clone(),
            self.limits.is_idempotent(new_request.request_class),
            deadline,
            self.timers.set(deadline, TimerEvent::RequestDeadline(request)),
        );
        self.requests.insert(request, open_request);
        self.notify_scheduler(event);
        self.process_pending_ends();
        Ok(request)
    }

    /// Reports that the client of a request disconnected. Has no effect if the request has had its final
    /// response.
    pub fn client_disconnected(&mut self, now: Duration, request: RequestId) {
        self.advance_clock(now);
        if self.conclude(request, FinalResponse::Cancelled) {
            self.notify_scheduler(Event::RequestCancelled { request });
            self.process_pending_ends();
        }
    }
}
