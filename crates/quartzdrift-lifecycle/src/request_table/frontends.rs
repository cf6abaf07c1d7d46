//! Requests of frontends, and clients that leave.
use super::deadlines::Expiry;
use super::table::RequestTable;
use crate::answer::FinalAnswer;
use crate::request::{NewRequest, OpenRequest};
use quartzdrift_scheduler::interface::{Event, Request, RequestId};
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Takes a request and has the scheduler decide on it.
    ///
    /// # Errors
    ///
    /// Returns the payload where as many requests are open as the settings allow, or the shutdown deadline has passed.
    /// Nothing has run, so a retry is harmless.
    pub fn submit(&mut self, now: Duration, new: NewRequest<P>) -> Result<RequestId, P> {
        self.advance(now);
        let until_shutdown = self.shutdown_deadline.map(|at| at.saturating_sub(self.now));
        let has_shut_down = until_shutdown.is_some_and(|left| left.is_zero());
        if self.requests.len() >= self.limits.max_open || has_shut_down {
            return Err(new.payload);
        }
        let request = self.next_id();
        let left = new
            .left
            .saturating_sub(self.limits.answer_slack)
            .min(until_shutdown.unwrap_or(Duration::MAX));
        let event = Event::Request(Request {
            id: request,
            request_class: new.request_class,
            tenant: new.tenant,
            function: &new.function,
            time_left: left,
            work_hint: new.work_hint,
            memory_mb: new.memory_mb,
            concurrency_slots: new.concurrency_slots,
            load_hint: new.load_hint,
            is_retry: new.is_retry,
            has_side_effects: new.writes,
        });
        let deadline = self.now + left;
        let open = OpenRequest::new(
            new.payload,
            new.function.clone(),
            self.limits.is_idempotent(new.request_class),
            deadline,
            self.timers.set(deadline, Expiry::RequestDeadline(request)),
        );
        self.requests.insert(request, open);
        self.feed(event);
        self.settle();
        Ok(request)
    }

    /// The client left before its answer. Without effect on a request that has had its final answer.
    pub fn client_gone(&mut self, now: Duration, request: RequestId) {
        self.advance(now);
        if self.conclude(request, FinalAnswer::Cancelled) {
            self.feed(Event::RequestCancelled { request });
            self.settle();
        }
    }
}
