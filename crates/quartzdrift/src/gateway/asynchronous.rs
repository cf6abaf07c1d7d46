//! Attempts of asynchronous invocations. Each attempt is submitted to the request table like a client's
//! request, and its final response is reported to the queue.
use super::clients::new_request;
use super::{Gateway, RequestContext, RequestOrigin};
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

/// Outcome of an attempt that the request table did not accept.
const NOT_ACCEPTED: AttemptOutcome = AttemptOutcome::Rejected {
    retry_after: None,
    may_have_executed: None,
};

impl Gateway {
    /// Builds an invocation of a function from its settings, without a client context.
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
        let on_success = or_gateway_default(&function.on_success, &self.settings.on_success);
        let on_failure = or_gateway_default(&function.on_failure, &self.settings.on_failure);
        // All attempts carry the same key, by which workers detect a repeated attempt.
        let needs_key = idempotency == Idempotency::IdempotentWithKey;
        let idempotency_key = needs_key.then(|| self.new_request_id().to_string());
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

    /// Adds an invocation to the queue.
    pub(super) fn queue_invocation(&mut self, invocation: Invocation) -> Result<InvocationId, QueueFull> {
        let id = self.invocation_queue.submit(self.now(), invocation)?;
        self.counts.asynchronous += 1;
        Ok(id)
    }

    /// Time at which the next attempt is due. With a store, waiting invocations outlast this process, so no
    /// attempt is started during the drain.
    pub(super) fn next_attempt_due(&self) -> Option<Duration> {
        let may_start = !self.is_draining() || self.store.is_none();
        self.invocation_queue.next_due().filter(|_| may_start)
    }

    /// Starts all attempts that are due.
    pub(super) fn start_due_attempts(&mut self, now: Duration) {
        while self.next_attempt_due().is_some_and(|due_at| due_at <= now)
            && let Some(attempt) = self.invocation_queue.take_due(now)
        {
            self.submit_attempt_when_durable(attempt);
        }
    }

    /// Submits an attempt to the request table.
    pub(super) fn submit_attempt(&mut self, attempt: DueAttempt) {
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
            id: self.new_request_id(),
            origin: RequestOrigin::Asynchronous(id),
            payload: invocation.payload,
            client_context: invocation.context,
            idempotency_key: invocation.idempotency_key,
            tenant: self.tenant_name(invocation.tenant),
            streams_response: false,
            request_class: function.request_class,
            accepted_at: self.now(),
            ramp_function: None,
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
            Err(_) => self.invocation_attempt_ended(id, NOT_ACCEPTED, None),
        }
    }

    /// Reports the final response to an attempt to the queue.
    pub(super) fn conclude_invocation_attempt(
        &mut self,
        id: InvocationId,
        final_response: FinalResponse,
        response: Option<Response>,
    ) {
        let outcome = match final_response {
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

    /// Carries out the next step of an invocation after an attempt or a restart.
    pub(super) fn carry_out_step(
        &mut self,
        id: InvocationId,
        step: Option<NextStep>,
        response: Option<Response>,
    ) {
        match step {
            Some(NextStep::Retry { at }) => {
                tracing::debug!(id = id.0, ?at, "asynchronous invocation will be retried")
            }
            Some(NextStep::Completed(completed)) => {
                if let Some(schedule) = &completed.invocation.schedule {
                    self.schedules.record_completion(schedule);
                }
                if completed.condition != CompletionCondition::Success {
                    let function = &completed.invocation.function;
                    let condition = completed.condition.as_str();
                    tracing::warn!(id = id.0, %function, condition, "asynchronous invocation dead-lettered");
                }
                self.send_to_destination(&completed, response);
            }
            None => {}
        }
    }

    /// Logs the invocations that are open at shutdown. Without a store they are lost, and each is logged by
    /// name.
    pub(super) fn log_open_invocations(&self) {
        let requests = self.invocation_queue.len();
        if self.store.is_some() {
            return tracing::info!(
                requests,
                "open asynchronous invocations stay in the store for the next start"
            );
        }
        if requests == 0 {
            return;
        }
        tracing::error!(
            requests,
            "open asynchronous invocations are lost: no store is configured"
        );
        for open in self.invocation_queue.open_invocations() {
            let function = &open.invocation.function;
            let may_have_run = open.attempt_running;
            tracing::error!(id = open.id.0, %function, may_have_run, "asynchronous invocation lost");
        }
    }

    fn invocation_attempt_ended(
        &mut self,
        id: InvocationId,
        outcome: AttemptOutcome,
        response: Option<Response>,
    ) {
        let step = self.invocation_queue.attempt_ended(self.now(), id, outcome);
        self.carry_out_step(id, step, response);
    }

    fn tenant_name(&self, tenant: u32) -> Option<String> {
        let tenant = self.settings.scheduler.tenants.get(tenant as usize)?;
        Some(tenant.name.clone())
    }
}

/// The destination that is configured for the function, or that of the gateway.
fn or_gateway_default(
    configured: &Option<Destination>,
    default: &Option<Destination>,
) -> Option<Destination> {
    configured.clone().or_else(|| default.clone())
}
