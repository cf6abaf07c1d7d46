//! Shutdown: the drain deadline, and the end of everything that is still open at it.
use super::table::RequestTable;
use crate::answer::{FailureReason, FinalAnswer};
use crate::attempt::{AttemptId, AttemptResult};
use crate::output::Output;
use quartzdrift_scheduler::interface::{Outcome, RejectReason, RequestId};
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// [`RequestTable::shut_down`] will be called at `at`. Requests submitted from now on have that as their deadline
    /// at the latest.
    pub fn set_shutdown_deadline(&mut self, at: Duration) {
        self.shutdown_deadline = Some(at);
    }

    /// Ends everything that is open, for the end of a drain.
    ///
    /// A request is rejected if it never executed, or if it may execute again and its attempts can be cancelled; any
    /// other fails. `has_left` says whether a byte of an attempt may have been sent; attempts of which nothing was sent
    /// are cancelled.
    pub fn shut_down(&mut self, now: Duration, has_left: impl Fn(RequestId, u32) -> bool) {
        self.advance(now);
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for request in open {
            self.shut_down_request(request, &has_left);
        }
        self.settle();
    }

    fn shut_down_request(&mut self, request: RequestId, has_left: &impl Fn(RequestId, u32) -> bool) {
        let Some(open) = self.requests.get(&request) else {
            return;
        };
        let may_have_executed = open.may_have_executed;
        let may_run_again = open.is_idempotent && !open.is_streaming();
        let (sent, unsent): (Vec<u32>, Vec<u32>) = self
            .attempts_of(request)
            .partition(|&attempt| has_left(request, attempt));
        let never_executed = sent.is_empty() && may_have_executed.is_none();
        let can_end_attempts = sent.is_empty() || self.limits.cancel;
        let is_rejected = never_executed || may_run_again && can_end_attempts;
        let (abandoned, answer) = if is_rejected {
            let answer = FinalAnswer::Rejected {
                retry_after: None,
                may_have_executed,
                reason: RejectReason::ShuttingDown,
            };
            (sent, answer)
        } else {
            let answer = FinalAnswer::Failed {
                why: FailureReason::ShuttingDown,
            };
            (Vec::new(), answer)
        };
        for &attempt in unsent.iter().chain(&abandoned) {
            self.outputs.push(Output::CancelAttempt { request, attempt });
        }
        self.conclude(request, answer);
        self.end_attempts(request, unsent, Outcome::NeverSent);
        self.end_attempts(request, abandoned, Outcome::Cancelled);
    }

    fn end_attempts(&mut self, request: RequestId, attempts: Vec<u32>, outcome: Outcome) {
        for attempt in attempts {
            let id = AttemptId { request, attempt };
            self.end_attempt(id, AttemptResult::without_response(outcome));
        }
    }
}
