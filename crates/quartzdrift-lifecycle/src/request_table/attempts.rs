//! Start and end of attempts.
use super::deadlines::TimerEvent;
use super::table::{PendingEnd, RequestTable};
use crate::attempt::{Attempt, AttemptId, AttemptResult};
use crate::final_response::FinalResponse;
use crate::output::Output;
use quartzdrift_scheduler::interface::{Event, Outcome, RequestId};
use std::rc::Rc;
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Reports the end of an attempt, as observed on its connection. Has no effect if the attempt has already
    /// ended.
    pub fn attempt_ended(&mut self, now: Duration, request: RequestId, attempt: u32, result: AttemptResult) {
        self.advance_clock(now);
        self.end_attempt(AttemptId { request, attempt }, result);
        self.process_pending_ends();
    }

    /// Reports that an attempt was dropped before any byte of it was sent.
    pub fn attempt_recalled(&mut self, now: Duration, request: RequestId, attempt: u32) {
        let result = AttemptResult::without_response(Outcome::NeverSent);
        self.attempt_ended(now, request, attempt, result);
    }

    /// Reports that streaming of the response to the client has started. From then on neither the request's
    /// deadline nor an attempt timeout applies.
    pub fn streaming_started(&mut self, now: Duration, request: RequestId, attempt: u32) {
        self.advance_clock(now);
        let Some(streaming) = self.attempts.get_mut(&AttemptId { request, attempt }) else {
            return;
        };
        let worker = streaming.worker.clone();
        let duration = self.now.saturating_sub(streaming.sent_at);
        let attempt_timer = streaming.start_streaming();
        let open_request = self.requests.get_mut(&request);
        let deadline_timer = open_request.and_then(|open_request| open_request.start_streaming());
        for timer in attempt_timer.into_iter().chain(deadline_timer) {
            self.timers.cancel(timer);
        }
        self.notify_scheduler(Event::StreamingStarted {
            request,
            attempt,
            worker: &worker,
            duration,
        });
        self.process_pending_ends();
    }

    /// Sends an attempt. If a limit forbids the attempt, it ends as never sent instead.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        worker: Rc<str>,
        timeout: Option<Duration>,
        send_by: Option<Duration>,
    ) {
        let has_attempts = self.attempts_of(request).next().is_some();
        let Some(open_request) = self.requests.get_mut(&request) else {
            self.outputs.push(Output::Log {
                text: format!("attempt of request {request} not sent: the request is no longer open"),
            });
            return;
        };
        let attempt = open_request.next_attempt();
        let id = AttemptId { request, attempt };
        let time_left = open_request.deadline.saturating_sub(self.now);
        let is_refused = has_attempts && !self.limits.allows_hedging
            || attempt >= self.limits.max_attempts
            || time_left.is_zero()
            || !self.workers.contains_key(&worker);
        if is_refused {
            return self.refuse_attempt(id, worker);
        }
        let timeout = timeout.filter(|timeout| *timeout < time_left);
        let timer = timeout.map(|timeout| {
            self.timers
                .set(self.now + timeout, TimerEvent::AttemptTimeout(id))
        });
        self.outputs.push(Output::StartAttempt {
            request,
            attempt,
            worker: worker.clone(),
            function: open_request.function.clone(),
            timeout: timeout.unwrap_or(time_left),
            send_by,
            payload: open_request.payload.clone(),
        });
        self.attempts.insert(id, Attempt::sent(worker, self.now, timer));
    }

    fn refuse_attempt(&mut self, id: AttemptId, worker: Rc<str>) {
        self.attempts.insert(id, Attempt::never_sent(worker, self.now));
        let result = AttemptResult::without_response(Outcome::NeverSent);
        self.pending_ends.push_back(PendingEnd::Attempt(id, result));
    }

    /// Cancels an attempt. Has no effect once the request's response is being streamed to the client.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        let id = AttemptId { request, attempt };
        let open_request = self.requests.get(&request);
        let is_streaming = open_request.is_some_and(|open_request| open_request.is_streaming());
        if !self.attempts.contains_key(&id) || is_streaming {
            return;
        }
        self.outputs.push(Output::CancelAttempt { request, attempt });
        let result = AttemptResult::without_response(Outcome::Cancelled);
        self.pending_ends.push_back(PendingEnd::Attempt(id, result));
    }

    /// Removes an attempt, concludes its request if the attempt has answered it, and notifies the scheduler.
    pub(super) fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(timer) = attempt.timer() {
            self.timers.cancel(timer);
        }
        let mut is_streaming = false;
        if let Some(open_request) = self.requests.get_mut(&id.request) {
            open_request.record_attempt_end(&attempt, result.outcome);
            is_streaming = open_request.is_streaming();
        }
        // A response that breaks off during streaming is still the final response: the client has received
        // part of it.
        if result.outcome == Outcome::Succeeded || is_streaming {
            self.conclude(id.request, FinalResponse::Succeeded);
        }
        self.notify_scheduler(Event::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            worker: &attempt.worker,
            outcome: result.outcome,
            duration: self.now.saturating_sub(attempt.sent_at),
            concluded: !self.requests.contains_key(&id.request),
            cache_result: result.cache_result,
            concurrency: result.concurrency,
            report: result.report,
        });
    }
}
