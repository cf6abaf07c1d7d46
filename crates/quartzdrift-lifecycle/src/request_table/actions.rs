//! Execution of the scheduler's actions.
use super::deadlines::TimerEvent;
use super::table::RequestTable;
use crate::final_response::{FailureReason, FinalResponse};
use crate::limits::MAX_LOG_BYTES;
use crate::output::Output;
use quartzdrift_scheduler::interface::{Action, RejectReason, RequestId};
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                worker,
                timeout,
                send_by,
            } => self.start_attempt(request, worker, timeout, send_by),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject {
                request,
                retry_after,
                reason,
            } => self.reject_request(request, retry_after, reason),
            Action::Fail { request } => self.fail_request(request),
            Action::SetTimer { delay, name } => self.set_scheduler_timer(delay, name),
            Action::CheckHealth { worker } => self.start_health_check(worker),
            Action::Load {
                worker,
                function,
                copies,
            } => self.start_load(worker, function, copies),
            Action::Unload { worker, function } => self.outputs.push(Output::Unload { worker, function }),
            Action::CloseIdleConnections { worker } => {
                self.outputs.push(Output::CloseIdleConnections { worker })
            }
            Action::SendToPeer { to, bytes } => self.outputs.push(Output::SendToPeer { to, bytes }),
            Action::WatchEndpoints { enabled } => self.outputs.push(Output::WatchEndpoints { enabled }),
            Action::PollEndpoints => self.outputs.push(Output::PollEndpoints),
            Action::Notice(notice) => self.outputs.push(Output::Notice(notice)),
            Action::Log { text } => self.log_scheduler_text(text),
        }
    }

    fn reject_request(&mut self, request: RequestId, retry_after: Option<Duration>, reason: RejectReason) {
        let open_request = self.requests.get(&request);
        let may_have_executed = open_request.and_then(|open_request| open_request.may_have_executed);
        let response = FinalResponse::Rejected {
            retry_after,
            may_have_executed,
            reason,
        };
        self.conclude(request, response);
    }

    fn fail_request(&mut self, request: RequestId) {
        let open_request = self.requests.get(&request);
        let is_overdue = open_request.is_some_and(|open_request| open_request.deadline <= self.now);
        let why = if is_overdue {
            FailureReason::DeadlineExceeded
        } else {
            FailureReason::OutcomeUnknown
        };
        self.conclude(request, FinalResponse::Failed { why });
    }

    fn set_scheduler_timer(&mut self, delay: Duration, name: &'static str) {
        self.timers
            .set(self.now + delay, TimerEvent::SchedulerTimer(name));
    }

    fn log_scheduler_text(&mut self, mut text: String) {
        text.truncate(text.floor_char_boundary(MAX_LOG_BYTES));
        self.outputs.push(Output::Log { text });
    }
}
