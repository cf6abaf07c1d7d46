//! The fronts beside clients' calls: asynchronous requests and timers. They make requests and receive final answers.
use super::clients::new_request;
use super::{Gateway, Origin, Use, Work};
use crate::settings::{Function, destination};
use quartzdrift_async_queue::{
    AttemptOutcome, CompletedInvocation, Condition, Destination, DueAttempt, Invocation, InvocationId,
    NextStep, QueueFull,
};
use quartzdrift_http::{Headers, Outgoing, Response};
use quartzdrift_lifecycle::FinalAnswer;
use quartzdrift_scheduler::interface::Idempotency;
use quartzdrift_schedules::Note;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Tries of a record at an HTTP destination.
const DESTINATION_TRIES: u32 = 3;
/// Records on their way to HTTP destinations at a time; more are given up with a log line.
const MAX_DESTINATIONS: usize = 1024;
/// Bytes of payloads in a record; longer ones are left out of it.
const MAX_RECORD: usize = 128 << 10;

impl Gateway {
    pub(super) fn submitted(
        &mut self,
        name: &str,
        function: &Function,
        tenant: u32,
        payload: Rc<[u8]>,
    ) -> Invocation {
        let request_class = &self.settings.scheduler.request_classes[function.request_class as usize];
        let (idempotency, window) = (
            request_class.idempotency,
            request_class.window.unwrap_or_default(),
        );
        let anywhere =
            request_class.deduplication_scope == quartzdrift_scheduler::interface::DeduplicationScope::All;
        let or = |own: &Option<Destination>, all: &Option<Destination>| own.clone().or_else(|| all.clone());
        let on_success = or(&function.on_success, &self.settings.on_success);
        let on_failure = or(&function.on_failure, &self.settings.on_failure);
        // One mark for all tries: workers know the second by it.
        let mark = (idempotency == Idempotency::IdempotentWithKey).then(|| self.draw_id().to_string());
        let (function, context, timer, hops) = (name.to_owned(), None, None, 0);
        Invocation {
            function,
            tenant,
            idempotency,
            deduplicated_by_all: anywhere,
            deduplication_window: window,
            payload,
            context,
            idempotency_key: mark,
            on_success,
            on_failure,
            schedule: timer,
            hops,
        }
    }

    pub(super) fn submit(&mut self, request: Invocation) -> Result<InvocationId, QueueFull> {
        let id = self.asynchronous.submit(self.now(), request)?;
        self.counts.asynchronous += 1;
        Ok(id)
    }

    pub(super) fn fronts_due(&mut self, now: Duration) {
        if self.timers_due().is_some_and(|at| at <= now) {
            self.fire(now);
        }
        while self.asynchronous_due().is_some_and(|at| at <= now)
            && let Some(attempt) = self.asynchronous.take_due(now)
        {
            self.send_when_durable(attempt);
        }
    }

    fn fire(&mut self, now: Duration) {
        let (firings, notes) = self.timers.due(now);
        for note in notes {
            match note {
                Note::Missed { timer, count } => tracing::warn!(timer, count, "firings were missed"),
                Note::Overlapped { timer, at } => {
                    tracing::warn!(timer, ?at, "not fired: its last job is not over")
                }
            }
        }
        if !firings.is_empty() {
            self.note_mark();
        }
        for firing in firings {
            let of = self
                .settings
                .timers
                .iter()
                .find(|(timer, _)| timer.name == firing.timer);
            let payload = of.map_or_else(|| Rc::from([]), |(_, payload)| payload.clone());
            let Some(function) = self.settings.function(&firing.function) else {
                continue;
            };
            let request = self.submitted(&firing.function, &function, 0, payload);
            let request = Invocation {
                schedule: Some(firing.timer.clone()),
                ..request
            };
            self.counts.fired += 1;
            if let Err(why) = self.submit(request) {
                tracing::error!(
                    timer = firing.timer,
                    ?why,
                    "a firing was lost: no room for deferred jobs"
                );
                self.timers.over(&firing.timer);
            }
        }
    }

    pub(super) fn send_attempt(&mut self, attempt: DueAttempt) {
        let DueAttempt {
            id,
            invocation: request,
            time_left: left,
            ..
        } = attempt;
        let Some(function) = self.settings.function(&request.function) else {
            return self.attempt_ended(id, AttemptOutcome::Failed, None);
        };
        let limit = self.settings.scheduler.request_classes[function.request_class as usize].timeout;
        let limit = limit.unwrap_or(Duration::MAX);
        let work = Work {
            id: self.draw_id(),
            origin: Origin::Asynchronous(id),
            payload: request.payload,
            context: request.context,
            mark: request.idempotency_key,
            tenant: self
                .settings
                .scheduler
                .tenants
                .get(request.tenant as usize)
                .map(|c| c.name.clone()),
            streams: false,
            request_class: function.request_class,
            taken: self.now(),
            tries: None,
        };
        let left = left.map_or(limit, |left| left.min(limit));
        self.note_use(&request.function, &function, request.tenant, left);
        let new = new_request(
            &function,
            request.function.into(),
            request.tenant,
            left,
            false,
            Rc::new(work),
        );
        match self.request_table.submit(self.now(), new) {
            Ok(_) => self.carry_out(),
            Err(_) => self.attempt_ended(
                id,
                AttemptOutcome::Rejected {
                    retry_after: None,
                    may_have_executed: None,
                },
                None,
            ),
        }
    }

    pub(super) fn try_ended(&mut self, id: InvocationId, answer: FinalAnswer, said: Option<Response>) {
        let end = match answer {
            FinalAnswer::Succeeded => {
                let failed = said
                    .as_ref()
                    .is_some_and(|said| said.headers.get("x-amz-function-error").is_some());
                AttemptOutcome::Succeeded {
                    function_error: failed,
                }
            }
            FinalAnswer::Rejected {
                retry_after,
                may_have_executed,
            } => AttemptOutcome::Rejected {
                retry_after,
                may_have_executed,
            },
            FinalAnswer::Failed { .. } | FinalAnswer::Cancelled => AttemptOutcome::Failed,
        };
        self.attempt_ended(id, end, said);
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: InvocationId,
        outcome: AttemptOutcome,
        said: Option<Response>,
    ) {
        let step = self.asynchronous.attempt_ended(self.now(), id, outcome);
        self.follow_step(id, step, said);
    }

    /// What came of a try, or of a restart.
    pub(super) fn follow_step(&mut self, id: InvocationId, step: Option<NextStep>, said: Option<Response>) {
        match step {
            Some(NextStep::Retry { at }) => tracing::debug!(id = id.0, ?at, "deferred job waits again"),
            Some(NextStep::Completed(calls)) => {
                if let Some(timer) = &calls.invocation.schedule {
                    self.timers.over(timer);
                }
                if calls.condition != Condition::Success {
                    let function = &calls.invocation.function;
                    tracing::warn!(id = id.0, %function, condition = calls.condition.as_str(), "deferred job is dead");
                }
                self.destination(&calls, said);
            }
            None => {}
        }
    }

    fn destination(&mut self, calls: &CompletedInvocation, said: Option<Response>) {
        let Some(to) = &calls.destination else { return };
        let record: Rc<[u8]> = record(calls, said.as_ref(), self.now()).into();
        match to {
            Destination::Function(name) => {
                let Some(function) = self.settings.function(name) else {
                    return;
                };
                let request = self.submitted(name, &function, calls.invocation.tenant, record);
                let request = Invocation {
                    hops: calls.invocation.hops + 1,
                    ..request
                };
                if let Err(why) = self.submit(request) {
                    tracing::error!(to = %name, ?why, "a record for a destination was lost: no room");
                }
            }
            Destination::Url(url) => match destination(url) {
                Ok(to) => self.tell_destination(DESTINATION_TRIES, to, record),
                Err(why) => tracing::error!(url, why, "a record for a destination was lost"),
            },
        }
    }

    pub(super) fn tell_destination(&mut self, left: u32, to: (SocketAddr, String), record: Rc<[u8]>) {
        let on_their_way = self
            .calls
            .values()
            .filter(|of| matches!(of, Use::Destination { .. }))
            .count();
        if left == 0 || on_their_way >= MAX_DESTINATIONS {
            return tracing::error!(to = %to.0, target = to.1, "a record for a destination was lost");
        }
        let request = Outgoing {
            method: "POST",
            target: to.1.clone(),
            headers: Headers::new().with("content-type", "application/json"),
            body: record.clone(),
            connect_timeout: self.settings.connect_timeout,
            streams: false,
        };
        let call = self.http.call(to.0, request);
        self.calls.insert(
            call,
            Use::Destination {
                left: left - 1,
                to,
                record,
            },
        );
    }

    /// Names what this instance held and nobody will hear of again.
    pub(super) fn say_lost(&self) {
        let left: Vec<_> = self.asynchronous.open_invocations().collect();
        if self.store.as_ref().is_some_and(|store| !store.failed) {
            return tracing::info!(requests = left.len(), "deferred jobs are kept for the next start");
        }
        if left.is_empty() {
            return;
        }
        tracing::error!(requests = left.len(), "deferred jobs are lost with this process");
        for open in left {
            tracing::error!(id = open.id.0, function = %open.invocation.function, may_have_run = open.attempt_running, "lost deferred job");
        }
    }
}

/// The published record of an asynchronous invocation.
fn record(calls: &CompletedInvocation, said: Option<&Response>, now: Duration) -> Vec<u8> {
    let body = |bytes: &[u8]| match bytes.len() <= MAX_RECORD {
        true => serde_json::from_slice(bytes).unwrap_or(Value::Null),
        false => Value::Null,
    };
    let time = humantime::format_rfc3339_millis(std::time::UNIX_EPOCH + now).to_string();
    let error = said.and_then(|said| said.headers.get("x-amz-function-error"));
    let response = said
        .map(|said| json!({"statusCode": said.status, "executedVersion": "$LATEST", "functionError": error}));
    let record = json!({
        "version": "1.0",
        "timestamp": time,
        "requestContext": {
            "requestId": calls.id.0.to_string(),
            "functionArn": calls.invocation.function,
            "condition": calls.condition.as_str(),
            "approximateInvokeCount": calls.attempts,
        },
        "requestPayload": body(&calls.invocation.payload),
        "responseContext": response,
        "responsePayload": said.map(|said| body(&said.body)),
    });
    record.to_string().into_bytes()
}
