//! Handling of expired timers: request deadlines, timeouts of attempts and commands, and the scheduler's own
//! timers.
use super::table::RequestTable;
use crate::attempt::{AttemptId, AttemptResult};
use crate::final_response::{FailureReason, FinalResponse};
use crate::output::Output;
use quartzdrift_scheduler::interface::{Event, Outcome, RequestId};
use std::time::Duration;

/// Event that a timer triggers when it fires.
#[derive(Debug)]
pub(super) enum TimerEvent {
    RequestDeadline(RequestId),
    AttemptTimeout(AttemptId),
    CommandTimeout(u64),
    SchedulerTimer(&'static str),
}

impl<P: Clone> RequestTable<P> {
    /// Handles every timer that has expired by `now`.
    ///
    /// `may_have_been_sent` tells whether a byte of an attempt may have been sent. An unsent attempt cannot
    /// have executed, so it ends as never sent instead of timed out.
    pub fn fire_timers(&mut self, now: Duration, may_have_been_sent: impl Fn(RequestId, u32) -> bool) {
        self.advance_clock(now);
        while let Some(event) = self.timers.pop(self.now) {
            match event {
                TimerEvent::RequestDeadline(request) => self.expire_request(request, &may_have_been_sent),
                TimerEvent::AttemptTimeout(id) => self.time_out_attempt(id, &may_have_been_sent),
                TimerEvent::CommandTimeout(command) => self.time_out_command(command),
                TimerEvent::SchedulerTimer(name) => self.notify_scheduler(Event::Timer { name }),
            }
            self.process_pending_ends();
        }
    }

    /// Times out the attempts of a request. The scheduler then decides on the final response.
    fn expire_request(&mut self, request: RequestId, may_have_been_sent: &impl Fn(RequestId, u32) -> bool) {
        let attempts: Vec<u32> = self.attempts_of(request).collect();
        for attempt in attempts {
            self.time_out_attempt(AttemptId { request, attempt }, may_have_been_sent);
        }
        self.process_pending_ends();
        // Concludes the request even if the scheduler has not decided on it, so that the deadline always
        // holds.
        let response = FinalResponse::Failed {
            why: FailureReason::DeadlineExceeded,
        };
        if self.conclude(request, response) {
            self.notify_scheduler(Event::RequestCancelled { request });
        }
    }

    fn time_out_attempt(&mut self, id: AttemptId, may_have_been_sent: &impl Fn(RequestId, u32) -> bool) {
        if !self.attempts.contains_key(&id) {
            return;
        }
        let AttemptId { request, attempt } = id;
        self.outputs.push(Output::CancelAttempt { request, attempt });
        let outcome = if may_have_been_sent(request, attempt) {
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
