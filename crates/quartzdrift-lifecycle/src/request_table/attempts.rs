//! Attempts, from the scheduler's decision to their end.
use super::deadlines::Expiry;
use super::table::{PendingEnd, RequestTable};
use crate::answer::FinalAnswer;
use crate::attempt::{Attempt, AttemptId, AttemptResult};
use crate::output::Output;
use quartzdrift_scheduler::interface::{Event, Outcome, RequestId};
use std::rc::Rc;
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// An attempt ended, as observed on its connection. Without effect if it has ended before.
    pub fn attempt_ended(&mut self, now: Duration, request: RequestId, attempt: u32, result: AttemptResult) {
        self.advance(now);
        self.end_attempt(AttemptId { request, attempt }, result);
        self.settle();
    }

    /// An attempt that [`Output::RecallAttempt`] named was recalled before sending.
    pub fn attempt_recalled(&mut self, now: Duration, request: RequestId, attempt: u32) {
        self.attempt_ended(
            now,
            request,
            attempt,
            AttemptResult::without_response(Outcome::NeverSent),
        );
    }

    /// The answer has begun to reach the client: from now on neither the deadline nor an attempt timeout applies.
    pub fn streaming_started(&mut self, now: Duration, request: RequestId, attempt: u32) {
        self.advance(now);
        let Some(streaming) = self.attempts.get_mut(&AttemptId { request, attempt }) else {
            return;
        };
        let worker = streaming.worker.clone();
        let duration = self.now.saturating_sub(streaming.sent_at);
        let attempt_timer = streaming.start_streaming();
        let open = self.requests.get_mut(&request);
        let deadline_timer = open.and_then(|open| open.start_streaming());
        for timer in attempt_timer.into_iter().chain(deadline_timer) {
            self.timers.cancel(timer);
        }
        self.feed(Event::StreamingStarted {
            request,
            attempt,
            worker: &worker,
            duration,
        });
        self.settle();
    }

    /// Sends an attempt, unless a limit forbids it: then the scheduler is notified that it was never sent.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        worker: Rc<str>,
        timeout: Option<Duration>,
        send_by: Option<Duration>,
    ) {
        let has_attempts = self.attempts_of(request).next().is_some();
        let Some(open) = self.requests.get_mut(&request) else {
            self.outputs.push(Output::Log {
                text: format!("an attempt of request {request} is not sent: the request is concluded"),
            });
            return;
        };
        let attempt = open.next_attempt();
        let id = AttemptId { request, attempt };
        let left = open.deadline.saturating_sub(self.now);
        let is_refused = has_attempts && !self.limits.hedging
            || attempt >= self.limits.max_attempts
            || left.is_zero()
            || !self.workers.contains_key(&worker);
        if is_refused {
            return self.refuse_attempt(id, worker);
        }
        let timeout = timeout.filter(|timeout| *timeout < left);
        let timer = timeout.map(|timeout| self.timers.set(self.now + timeout, Expiry::AttemptTimeout(id)));
        self.outputs.push(Output::StartAttempt {
            request,
            attempt,
            worker: worker.clone(),
            function: open.function.clone(),
            timeout: timeout.unwrap_or(left),
            send_by,
            payload: open.payload.clone(),
        });
        self.attempts.insert(id, Attempt::sent(worker, self.now, timer));
    }

    fn refuse_attempt(&mut self, id: AttemptId, worker: Rc<str>) {
        self.attempts.insert(id, Attempt::never_sent(worker, self.now));
        let result = AttemptResult::without_response(Outcome::NeverSent);
        self.pending_ends.push_back(PendingEnd::Attempt(id, result));
    }

    /// Cancels an attempt, unless its request's answer has begun to reach the client.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        let id = AttemptId { request, attempt };
        let open = self.requests.get(&request);
        let is_streaming = open.is_some_and(|open| open.is_streaming());
        if !self.attempts.contains_key(&id) || is_streaming {
            return;
        }
        self.outputs.push(Output::CancelAttempt { request, attempt });
        let result = AttemptResult::without_response(Outcome::Cancelled);
        self.pending_ends.push_back(PendingEnd::Attempt(id, result));
    }

    /// Removes an attempt, concludes its request if the end is the request's answer, and notifies the scheduler.
    pub(super) fn end_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(timer) = attempt.timer() {
            self.timers.cancel(timer);
        }
        let mut is_streaming = false;
        if let Some(open) = self.requests.get_mut(&id.request) {
            open.attempt_ended(&attempt, result.outcome);
            is_streaming = open.is_streaming();
        }
        // The client has the begun answer even where that breaks off.
        if result.outcome == Outcome::Succeeded || is_streaming {
            self.conclude(id.request, FinalAnswer::Succeeded);
        }
        self.feed(Event::AttemptEnded {
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
