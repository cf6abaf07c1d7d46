//! The final response of a request.
use super::deadlines::TimerEvent;
use super::table::RequestTable;
use crate::attempt::AttemptId;
use crate::final_response::FinalResponse;
use crate::output::Output;
use quartzdrift_scheduler::interface::RequestId;
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Gives a request its final response and removes the request. Returns `false` if it has already had one.
    ///
    /// The request's attempts stay in flight until they end, at the latest at the request's deadline: a
    /// worker cannot be notified that its response is no longer needed.
    pub(super) fn conclude(&mut self, request: RequestId, response: FinalResponse) -> bool {
        let Some(open_request) = self.requests.remove(&request) else {
            return false;
        };
        if let Some(timer) = open_request.deadline_timer() {
            self.timers.cancel(timer);
            self.set_attempt_timers(request, open_request.deadline);
        }
        self.outputs.push(Output::Respond {
            request,
            payload: open_request.payload,
            response,
        });
        true
    }

    /// Sets a timer at `deadline` for each attempt that only the request's deadline timer has bounded so far.
    fn set_attempt_timers(&mut self, request: RequestId, deadline: Duration) {
        let unbounded = self
            .attempts
            .range_mut(AttemptId::range_of(request))
            .filter(|(_, attempt)| attempt.relies_on_deadline_timer());
        for (id, attempt) in unbounded {
            let timer = self.timers.set(deadline, TimerEvent::AttemptTimeout(*id));
            attempt.set_timer(timer);
        }
    }
}
