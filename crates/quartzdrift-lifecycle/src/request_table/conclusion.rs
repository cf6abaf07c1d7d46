//! The one final answer of a request.
use super::deadlines::Expiry;
use super::table::RequestTable;
use crate::answer::FinalAnswer;
use crate::attempt::AttemptId;
use crate::output::Output;
use quartzdrift_scheduler::interface::RequestId;
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Gives a request its final answer. `false` if it has had one.
    ///
    /// Its attempts in flight go on to their own end, by the request's deadline at the latest: the worker cannot be
    /// notified that their answers no longer count.
    pub(super) fn conclude(&mut self, request: RequestId, answer: FinalAnswer) -> bool {
        let Some(open) = self.requests.remove(&request) else {
            return false;
        };
        if let Some(timer) = open.deadline_timer() {
            self.timers.cancel(timer);
            self.bound_attempts(request, open.deadline);
        }
        self.outputs.push(Output::Respond {
            request,
            payload: open.payload,
            answer,
        });
        true
    }

    /// Sets a timer at `deadline` for each attempt that the request's deadline timer has bounded so far.
    fn bound_attempts(&mut self, request: RequestId, deadline: Duration) {
        let unbounded = self
            .attempts
            .range_mut(AttemptId::range_of(request))
            .filter(|(_, attempt)| attempt.relies_on_deadline_timer());
        for (id, attempt) in unbounded {
            let timer = self.timers.set(deadline, Expiry::AttemptTimeout(*id));
            attempt.set_timer(timer);
        }
    }
}
