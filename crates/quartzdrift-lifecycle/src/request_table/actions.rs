//! Applies what the scheduler decides.
use super::deadlines::Expiry;
use super::table::RequestTable;
use crate::answer::{FailureReason, FinalAnswer};
use crate::limits::MAX_LOG_BYTES;
use crate::output::Output;
use quartzdrift_scheduler::interface::{Action, RejectReason, RequestId};
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    pub(super) fn apply(&mut self, action: Action) {
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
            } => self.reject(request, retry_after, reason),
            Action::Fail { request } => self.fail(request),
            Action::SetTimer { delay, name } => self.set_scheduler_timer(delay, name),
            Action::CheckHealth { worker } => self.check_health(worker),
            Action::Load {
                worker,
                function,
                copies,
            } => self.load(worker, function, copies),
            Action::Unload { worker, function } => self.outputs.push(Output::Unload { worker, function }),
            Action::CloseIdleConnections { worker } => self.outputs.push(Output::CloseIdle { worker }),
            Action::SendToPeer { to, bytes } => self.outputs.push(Output::SendToPeer { to, bytes }),
            Action::WatchEndpoints { enabled: on } => self.outputs.push(Output::Watch { on }),
            Action::PollEndpoints => self.outputs.push(Output::PollEndpoints),
            Action::Notice(notice) => self.outputs.push(Output::Notice(notice)),
            Action::Log { text } => self.log(text),
        }
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>, reason: RejectReason) {
        let open = self.requests.get(&request);
        let may_have_executed = open.and_then(|open| open.may_have_executed);
        let answer = FinalAnswer::Rejected {
            retry_after,
            may_have_executed,
            reason,
        };
        self.conclude(request, answer);
    }

    fn fail(&mut self, request: RequestId) {
        let open = self.requests.get(&request);
        let is_overdue = open.is_some_and(|open| open.deadline <= self.now);
        let why = if is_overdue {
            FailureReason::DeadlineExceeded
        } else {
            FailureReason::OutcomeUnknown
        };
        self.conclude(request, FinalAnswer::Failed { why });
    }

    fn set_scheduler_timer(&mut self, delay: Duration, name: &'static str) {
        self.timers.set(self.now + delay, Expiry::SchedulerTimer(name));
    }

    fn log(&mut self, mut text: String) {
        text.truncate(text.floor_char_boundary(MAX_LOG_BYTES));
        self.outputs.push(Output::Log { text });
    }
}
