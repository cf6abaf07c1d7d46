//! Everything that timers end: requests at their deadline, attempts and commands at their timeout.
use super::table::RequestTable;
use crate::answer::{FailureReason, FinalAnswer};
use crate::attempt::{AttemptId, AttemptResult};
use crate::output::Output;
use quartzdrift_scheduler::interface::{Event, Outcome, RequestId};
use std::time::Duration;

/// What happens when a timer fires.
#[derive(Debug)]
pub(super) enum Expiry {
    RequestDeadline(RequestId),
    AttemptTimeout(AttemptId),
    CommandTimeout(u64),
    SchedulerTimer(&'static str),
}

impl<P: Clone> RequestTable<P> {
    /// Handles every timer that has fired by `now`.
    ///
    /// `has_left` says whether a byte of an attempt may have been sent. An attempt of which nothing was sent cannot have
    /// executed, and ends as never sent instead of timed out.
    pub fn fire_timers(&mut self, now: Duration, has_left: impl Fn(RequestId, u32) -> bool) {
        self.advance(now);
        while let Some(expiry) = self.timers.pop(self.now) {
            match expiry {
                Expiry::RequestDeadline(request) => self.exceed_deadline(request, &has_left),
                Expiry::AttemptTimeout(id) => self.time_out_attempt(id, &has_left),
                Expiry::CommandTimeout(command) => self.time_out_command(command),
                Expiry::SchedulerTimer(name) => self.feed(Event::Timer { name }),
            }
            self.settle();
        }
    }

    /// Times out the attempts of a request, after which the scheduler decides on its final answer.
    fn exceed_deadline(&mut self, request: RequestId, has_left: &impl Fn(RequestId, u32) -> bool) {
        let attempts: Vec<u32> = self.attempts_of(request).collect();
        for attempt in attempts {
            self.time_out_attempt(AttemptId { request, attempt }, has_left);
        }
        self.settle();
        // The deadline holds even where the scheduler would rather wait on.
        let answer = FinalAnswer::Failed {
            why: FailureReason::DeadlineExceeded,
        };
        if self.conclude(request, answer) {
            self.feed(Event::RequestCancelled { request });
        }
    }

    fn time_out_attempt(&mut self, id: AttemptId, has_left: &impl Fn(RequestId, u32) -> bool) {
        if !self.attempts.contains_key(&id) {
            return;
        }
        let AttemptId { request, attempt } = id;
        self.outputs.push(Output::CancelAttempt { request, attempt });
        let outcome = if has_left(request, attempt) {
            Outcome::TimedOut
        } else {
            Outcome::NeverSent
        };
        self.end_attempt(id, AttemptResult::without_response(outcome));
    }

    fn time_out_command(&mut self, command: u64) {
        self.outputs.push(Output::AbandonCommand { command });
        self.end_command(command, Outcome::TimedOut, 0, Vec::new());
    }
}
