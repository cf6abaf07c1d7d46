//! Asynchronous invocations: each attempt is a request to the request table, like a client's, and its final answer goes back to
//! the queue.
use super::clients::new_request;
use super::{Gateway, Origin, RequestContext};
use crate::settings::Function;
use quartzdrift_async_queue::{
    AttemptOutcome, CompletionCondition, Destination, DueAttempt, Invocation, InvocationId, NextStep,
    QueueFull,
};
use quartzdrift_http::Response;
use quartzdrift_lifecycle::FinalResponse;
use quartzdrift_scheduler::interface::{DeduplicationScope, Idempotency};
use std::rc::Rc;
use std::time::Duration;

/// The outcome of an attempt that the gateway itself did not send.
const NOT_SENT: AttemptOutcome = AttemptOutcome::Rejected {
    retry_after: None,
    may_have_executed: None,
};

impl Gateway {
    /// An invocation of a function as its settings have it, without a client context.
    pub(super) fn new_invocation(
        &mut self,
        name: &str,
        function: &Function,
        tenant: u32,
        payload: Rc<[u8]>,
    ) -> Invocation {
        let request_class = &self.settings.scheduler.request_classes[function.request_class as usize];
        let idempotency = request_class.idempotency;
        let deduplicated_by_all = request_class.deduplication_scope == DeduplicationScope::All;
        let deduplication_window = request_class.deduplication_window.unwrap_or_default();
        let on_success = or_default(&function.on_success, &self.settings.on_success);
        let on_failure = or_default(&function.on_failure, &self.settings.on_failure);
        // One key for all attempts: workers recognise a further one by it.
        let needs_key = idempotency == Idempotency::IdempotentWithKey;
        let idempotency_key = needs_key.then(|| self.draw_id().to_string());
        Invocation {
            function: name.to_owned(),
            tenant,
            idempotency,
            deduplicated_by_all,
            deduplication_window,
            payload,
            context: None,
            idempotency_key,
            on_success,
            on_failure,
            schedule: None,
            hops: 0,
        }
    }

    /// Accepts an invocation.
    pub(super) fn submit(&mut self, invocation: Invocation) -> Result<InvocationId, QueueFull> {
        let id = self.asynchronous.submit(self.now(), invocation)?;
        self.counts.asynchronous += 1;
        Ok(id)
    }

    /// When the next attempt is due here. With a store, waiting invocations outlast this process: one that stops starts no
    /// attempt.
    pub(super) fn next_attempt_due(&self) -> Option<Duration> {
        let may_start = !self.is_draining() || self.store.is_none();
        self.asynchronous.next_due().filter(|_| may_start)
    }

    /// Starts the attempts that are due.
    pub(super) fn start_due_attempts(&mut self, now: Duration) {
        while self.next_attempt_due().is_some_and(|due_at| due_at <= now)
            && let Some(attempt) = self.asynchronous.take_due(now)
        {
            self.send_when_durable(attempt);
        }
    }

    /// Sends an attempt to the request table.
    pub(super) fn send_attempt(&mut self, attempt: DueAttempt) {
        let DueAttempt {
            id,
            invocation,
            time_left,
            ..
        } = attempt;
        let Some(function) = self.settings.function(&invocation.function) else {
            return self.invocation_attempt_ended(id, AttemptOutcome::Failed, None);
        };
        let request_class = &self.settings.scheduler.request_classes[function.request_class as usize];
        let timeout = request_class.timeout.unwrap_or(Duration::MAX);
        let time_left = time_left.map_or(timeout, |left| left.min(timeout));
        let context = RequestContext {
            id: self.draw_id(),
            origin: Origin::Asynchronous(id),
            payload: invocation.payload,
            client_context: invocation.context,
            idempotency_key: invocation.idempotency_key,
            tenant: self.tenant_name(invocation.tenant),
            streams: false,
            request_class: function.request_class,
            accepted_at: self.now(),
            ramp_probe: None,
        };
        self.record_use(&invocation.function, &function, invocation.tenant, time_left);
        let request = new_request(
            &function,
            invocation.function.into(),
            invocation.tenant,
            time_left,
            false,
            Rc::new(context),
        );
        match self.request_table.submit(self.now(), request) {
            Ok(_) => self.carry_out(),
            Err(_) => self.invocation_attempt_ended(id, NOT_SENT, None),
        }
    }

    /// Takes the final answer to an attempt.
    pub(super) fn attempt_answered(
        &mut self,
        id: InvocationId,
        answer: FinalResponse,
        response: Option<Response>,
    ) {
        let outcome = match answer {
            FinalResponse::Succeeded => AttemptOutcome::Succeeded {
                function_error: response
                    .as_ref()
                    .is_some_and(|response| response.headers.get("x-amz-function-error").is_some()),
            },
            FinalResponse::Rejected {
                retry_after,
                may_have_executed,
                ..
            } => AttemptOutcome::Rejected {
                retry_after,
                may_have_executed,
            },
            FinalResponse::Failed { .. } | FinalResponse::Cancelled => AttemptOutcome::Failed,
        };
        self.invocation_attempt_ended(id, outcome, response);
    }

    /// Carries out what follows from an attempt, or from a restart.
    pub(super) fn follow_step(
        &mut self,
        id: InvocationId,
        step: Option<NextStep>,
        response: Option<Response>,
    ) {
        match step {
            Some(NextStep::Retry { at }) => tracing::debug!(id = id.0, ?at, "deferred job waits again"),
            Some(NextStep::Completed(completed)) => {
                if let Some(schedule) = &completed.invocation.schedule {
                    self.schedules.record_completion(schedule);
                }
                if completed.condition != CompletionCondition::Success {
                    let function = &completed.invocation.function;
                    let condition = completed.condition.as_str();
                    tracing::warn!(id = id.0, %function, condition, "deferred job is dead");
                }
                self.send_to_destination(&completed, response);
            }
            None => {}
        }
    }

    /// Logs the invocations that this process leaves open: lost ones by name.
    pub(super) fn log_open_invocations(&self) {
        let requests = self.asynchronous.len();
        if self.store.is_some() {
            return tracing::info!(requests, "deferred jobs are kept for the next start");
        }
        if requests == 0 {
            return;
        }
        tracing::error!(requests, "deferred jobs are lost with this process");
        for open in self.asynchronous.open_invocations() {
            let function = &open.invocation.function;
            let may_have_run = open.attempt_running;
            tracing::error!(id = open.id.0, %function, may_have_run, "lost deferred job");
        }
    }

    fn invocation_attempt_ended(
        &mut self,
        id: InvocationId,
        outcome: AttemptOutcome,
        response: Option<Response>,
    ) {
        let step = self.asynchronous.attempt_ended(self.now(), id, outcome);
        self.follow_step(id, step, response);
    }

    fn tenant_name(&self, tenant: u32) -> Option<String> {
        let tenant = self.settings.scheduler.tenants.get(tenant as usize)?;
        Some(tenant.name.clone())
    }
}

/// The destination of a function, or that of all functions.
fn or_default(own: &Option<Destination>, default: &Option<Destination>) -> Option<Destination> {
    own.clone().or_else(|| default.clone())
}
