//! Client calls: parsed, checked, admitted, and made into requests. Their answers are in `responses`.
use super::responses::to_http;
use super::{Gateway, Origin, RequestContext};
use crate::settings::Function;
use quartzdrift_async_queue::Invocation;
use quartzdrift_http::{Exchange, Headers, Request, RequestError};
use quartzdrift_invoke::request::{self, ApiRequest, InvocationType, InvokeRequest};
use quartzdrift_invoke::response::{self, ApiError, ApiResponse};
use quartzdrift_lifecycle::{AttemptResult, NewRequest};
use quartzdrift_scheduler::interface::{Idempotency, Outcome, RequestClass};
use std::rc::Rc;
use std::time::Duration;
use uuid::Uuid;

/// `Retry-After` of calls that come during the drain: another gateway takes over within this time.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When a client call is answered.
enum Reply {
    /// At once.
    Now(ApiResponse),
    /// With a final answer, or once the store has it.
    Later,
}

/// The tenant that a call names.
struct CallTenant {
    /// Index in the settings.
    index: u32,
    /// The name, where the settings have tenants.
    name: Option<String>,
}

/// A call of a function that the settings allow.
struct InvokeCall {
    exchange: Exchange,
    id: Uuid,
    call: InvokeRequest,
    /// The function's name, as workers load it.
    name: String,
    function: Rc<Function>,
    tenant: CallTenant,
    payload: Vec<u8>,
    is_retry: bool,
}

impl Gateway {
    /// A client's request has been received, or could not be read.
    pub(super) fn request_received(&mut self, exchange: Exchange, request: Result<Request, RequestError>) {
        let id = self.draw_id();
        let reply = request
            .map_err(api_error)
            .and_then(|request| self.handle_request(exchange, id, request));
        let response = match reply {
            Ok(Reply::Later) => return,
            Ok(Reply::Now(response)) => response,
            Err(error) => {
                self.counts.refused += 1;
                tracing::debug!(%id, ?error, "request refused");
                error.response()
            }
        };
        self.respond(exchange, to_http(response, Some(id)));
    }

    fn handle_request(&mut self, exchange: Exchange, id: Uuid, request: Request) -> Result<Reply, ApiError> {
        let Request { head, body, .. } = request;
        match request::parse(&head.method, &head.target, |name| head.headers.get(name))? {
            ApiRequest::ReadinessCheck => {
                let is_ready = !self.is_draining() && self.request_table.workers_up() > 0;
                Ok(Reply::Now(response::readiness(is_ready)))
            }
            ApiRequest::Invoke(call) => {
                let call = self.check_call(exchange, id, call, &head.headers, body)?;
                self.handle_call(call)
            }
        }
    }

    fn check_call(
        &self,
        exchange: Exchange,
        id: Uuid,
        call: InvokeRequest,
        headers: &Headers,
        payload: Vec<u8>,
    ) -> Result<InvokeCall, ApiError> {
        if self.settings.require_json && !request::is_json(&payload) {
            return Err(ApiError::InvalidContent("the payload is not JSON"));
        }
        let name = call.function.qualified_name();
        let function = self.settings.function(&name).ok_or(ApiError::UnknownFunction)?;
        let tenant = self.tenant(headers)?;
        Ok(InvokeCall {
            exchange,
            id,
            call,
            name,
            function,
            tenant,
            payload,
            is_retry: headers.get("x-quartzdrift-retry").is_some(),
        })
    }

    fn handle_call(&mut self, invoke: InvokeCall) -> Result<Reply, ApiError> {
        let mode = invoke.call.invocation_type;
        if mode == InvocationType::DryRun {
            return Ok(Reply::Now(response::dry_run()));
        }
        // Beside a successor at the same address, existing connections are served to their end here.
        let serves_on = self.settings.share_port && mode == InvocationType::Synchronous;
        if self.is_draining() && !serves_on {
            return Err(ApiError::Rejected(Some(DRAIN_RETRY_AFTER)));
        }
        self.counts.accepted += 1;
        match mode {
            InvocationType::Asynchronous => self.queue_call(invoke),
            InvocationType::Synchronous | InvocationType::DryRun => self.submit_call(invoke),
        }
    }

    /// Makes a synchronous call a request.
    fn submit_call(&mut self, invoke: InvokeCall) -> Result<Reply, ApiError> {
        let settings = self.settings.clone();
        let class = &settings.scheduler.request_classes[invoke.function.request_class as usize];
        let left = time_left(&invoke.call, class);
        let has_own_key = invoke.call.idempotency_key.is_some();
        self.admit_repeat(invoke.function.request_class, has_own_key, invoke.is_retry)
            .map_err(|wait| ApiError::Rejected(Some(wait)))?;
        let ramp_probe = self
            .admit_function(&invoke.name)
            .map_err(|wait| ApiError::Rejected(Some(wait)))?;
        let context = RequestContext {
            id: invoke.id,
            origin: Origin::Client(invoke.exchange),
            payload: invoke.payload.into(),
            client_context: invoke.call.client_context,
            idempotency_key: idempotency_key(invoke.call.idempotency_key, class, invoke.id),
            tenant: invoke.tenant.name,
            streams: class.streams_responses,
            request_class: invoke.function.request_class,
            accepted_at: self.now(),
            ramp_probe,
        };
        self.record_use(&invoke.name, &invoke.function, invoke.tenant.index, left);
        let new = new_request(
            &invoke.function,
            invoke.name.into(),
            invoke.tenant.index,
            left,
            invoke.is_retry,
            Rc::new(context),
        );
        let Ok(request) = self.request_table.submit(self.now(), new) else {
            return Err(ApiError::Rejected(None));
        };
        self.exchanges.insert(invoke.exchange, request);
        self.carry_out();
        Ok(Reply::Later)
    }

    /// Queues an asynchronous call. It is answered once the store has it, unless the settings ask for less.
    fn queue_call(&mut self, invoke: InvokeCall) -> Result<Reply, ApiError> {
        if self.store.as_ref().is_some_and(|store| !store.has_capacity()) {
            return Err(ApiError::Rejected(Some(
                self.settings.asynchronous.first_retry_delay,
            )));
        }
        let request = self.new_invocation(
            &invoke.name,
            &invoke.function,
            invoke.tenant.index,
            invoke.payload.into(),
        );
        let request = Invocation {
            context: invoke.call.client_context,
            idempotency_key: invoke.call.idempotency_key.or(request.idempotency_key),
            ..request
        };
        match self.submit(request) {
            Ok(_) if self.answer_when_durable(invoke.exchange, invoke.id) => Ok(Reply::Later),
            Ok(_) => Ok(Reply::Now(response::accepted())),
            Err(why) => {
                tracing::warn!(
                    ?why,
                    function = invoke.name,
                    "an asynchronous invocation was rejected: at capacity"
                );
                Err(ApiError::Rejected(Some(
                    self.settings.asynchronous.first_retry_delay,
                )))
            }
        }
    }

    /// The tenant that a call's headers name.
    fn tenant(&self, headers: &Headers) -> Result<CallTenant, ApiError> {
        let Some(field) = &self.settings.tenant_header else {
            return Ok(CallTenant { index: 0, name: None });
        };
        let Some(name) = headers.get(field) else {
            return Err(ApiError::InvalidParameter(
                "the field that tells the customer is missing",
            ));
        };
        match self.settings.tenants.get(name) {
            Some(&index) => Ok(CallTenant {
                index,
                name: Some(name.to_owned()),
            }),
            None => Err(ApiError::InvalidParameter("the customer is in no settings")),
        }
    }

    /// A client left before its answer was complete.
    pub(super) fn client_gone(&mut self, exchange: Exchange) {
        let Some(request) = self.exchanges.remove(&exchange) else {
            return;
        };
        // Few request classes stream: only with one of those is every call looked at.
        let mut classes = self.settings.scheduler.request_classes.iter();
        let may_stream = classes.any(|class| class.streams_responses);
        let streaming = may_stream
            .then(|| self.calls.streaming_attempt(request))
            .flatten();
        self.request_table.client_disconnected(self.now(), request);
        self.carry_out();
        if let Some(attempt) = streaming {
            // Nobody reads the rest, and no deadline would end it.
            self.cancel_attempt(request, attempt);
            let result = AttemptResult::without_response(Outcome::Cancelled);
            self.request_table
                .attempt_ended(self.now(), request, attempt, result);
            self.carry_out();
        }
    }
}

/// Time until the client gives up: the class's timeout, or less if the client says so.
fn time_left(call: &InvokeRequest, class: &RequestClass) -> Duration {
    let timeout = class.timeout.unwrap_or(Duration::MAX);
    let client_timeout = call.time_left_ms.map(Duration::from_millis);
    client_timeout.map_or(timeout, |limit| timeout.min(limit))
}

/// The client's key, or else, for requests that need one to be retried, the request's id.
fn idempotency_key(own: Option<String>, class: &RequestClass, id: Uuid) -> Option<String> {
    let needs_key = class.idempotency == Idempotency::IdempotentWithKey;
    own.or_else(|| needs_key.then(|| id.to_string()))
}

fn api_error(bad: RequestError) -> ApiError {
    match bad {
        RequestError::HeadTooLarge => ApiError::HeadersTooLarge,
        RequestError::BodyTooLarge => ApiError::PayloadTooLarge,
        RequestError::Malformed => ApiError::MalformedRequest,
        RequestError::UnsupportedTransferCoding => ApiError::UnsupportedTransferCoding,
        RequestError::Timeout => ApiError::RequestTimeout,
    }
}

/// A request for the request table, with what the settings say of its function.
pub(super) fn new_request(
    function: &Function,
    name: Rc<str>,
    tenant: u32,
    time_left: Duration,
    is_retry: bool,
    payload: Rc<RequestContext>,
) -> NewRequest<Rc<RequestContext>> {
    NewRequest {
        request_class: function.request_class,
        tenant,
        function: name,
        time_left,
        work_hint: function.expected_duration,
        memory_mb: function.memory_mb,
        concurrency_slots: function.concurrency_slots,
        load_hint: function.expected_load_time,
        is_retry,
        has_side_effects: function.has_side_effects,
        payload,
    }
}
