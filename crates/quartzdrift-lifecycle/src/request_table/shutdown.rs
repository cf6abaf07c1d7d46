//! Shutdown: sets the deadline of the drain, and concludes the requests that are still open at the deadline.
use super::table::RequestTable;
use crate::attempt::{AttemptId, AttemptResult};
use crate::final_response::{FailureReason, FinalResponse};
use crate::output::Output;
use quartzdrift_scheduler::interface::{Outcome, RejectReason, RequestId};
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Starts the drain, which ends at `at` with a call of [`RequestTable::shut_down`]. The deadlines of
    /// requests that are submitted from now on are no later than `at`.
    pub fn set_shutdown_deadline(&mut self, at: Duration) {
        self.shutdown_deadline = Some(at);
    }

    /// Concludes all open requests at the end of the drain.
    ///
    /// A request is rejected if it never executed, or if it is idempotent and its attempts can be cancelled;
    /// otherwise it fails. `may_have_been_sent` tells whether a byte of an attempt may have been sent. Unsent
    /// attempts are cancelled.
    pub fn shut_down(&mut self, now: Duration, may_have_been_sent: impl Fn(RequestId, u32) -> bool) {
        self.advance_clock(now);
        let open_requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for request in open_requests {
            self.shut_down_request(request, &may_have_been_sent);
        }
        self.process_pending_ends();
    }

    fn shut_down_request(
        &mut self,
        request: RequestId,
        may_have_been_sent: &impl Fn(RequestId, u32) -> bool,
    ) {
        let Some(open_request) = self.requests.get(&request) else {
            return;
        };
        let may_have_executed = open_request.may_have_executed;
        let may_run_again = open_request.is_idempotent && !open_request.is_streaming();
        let (sent, unsent): (Vec<u32>, Vec<u32>) = self
            .attempts_of(request)
            .partition(|&attempt| may_have_been_sent(request, attempt));
        let never_executed = sent.is_empty() && may_have_executed.is_none();
        let can_end_attempts = sent.is_empty() || self.limits.allows_cancellation;
        let is_rejected = never_executed || may_run_again && can_end_attempts;
        let (cancelled, response) = if is_rejected {
            let response = FinalResponse::Rejected {
                retry_after: None,
                may_have_executed,
                reason: RejectReason::ShuttingDown,
            };
            (sent, response)
        } else {
            let response = FinalResponse::Failed {
                why: FailureReason::ShuttingDown,
            };
            (Vec::new(), response)
        };
        for &attempt in unsent.iter().chain(&cancelled) {
            self.outputs.push(Output::CancelAttempt { request, attempt });
        }
        self.conclude(request, response);
        self.end_attempts(request, unsent, Outcome::NeverSent);
        self.end_attempts(request, cancelled, Outcome::Cancelled);
    }

    fn end_attempts(&mut self, request: RequestId, attempts: Vec<u32>, outcome: Outcome) {
        for attempt in attempts {
            let id = AttemptId { request, attempt };
            self.end_attempt(id, AttemptResult::without_response(outcome));
        }
    }
}
