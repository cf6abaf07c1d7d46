//! Parses, checks and admits client calls, and submits them as requests. Their responses are sent in
//! `responses`.
use super::responses::to_http_response;
use super::{Gateway, RequestContext, RequestOrigin};
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

/// `Retry-After` of calls that arrive during the drain. Another gateway takes over within this time.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The response to a client call, or that it is sent later.
enum ClientReply {
    /// The response, which is sent at once.
    Immediate(ApiResponse),
    /// The response is sent when the request is concluded, or when the queued invocation is durable.
    Deferred,
}

/// The tenant of a client call.
struct CallTenant {
    /// Index of the tenant in the settings.
    index: u32,
    /// Name of the tenant; `None`: the settings name no header for it.
    name: Option<String>,
}

/// A client call that has been checked against the settings.
struct InvokeCall {
    exchange: Exchange,
    /// Request id, sent to the client and to workers.
    id: Uuid,
    invocation: InvokeRequest,
    /// Name of the function with its version or alias, as workers load it.
    name: String,
    function: Rc<Function>,
    tenant: CallTenant,
    payload: Vec<u8>,
    /// Whether the client marked the call as a retry.
    is_retry: bool,
}

impl Gateway {
    /// Handles a request of a client, or the error of one that could not be received.
    pub(super) fn client_request_received(
        &mut self,
        exchange: Exchange,
        request: Result<Request, RequestError>,
    ) {
        let id = self.new_request_id();
        let reply = request
            .map_err(api_error)
            .and_then(|request| self.handle_request(exchange, id, request));
        let response = match reply {
            Ok(ClientReply::Deferred) => return,
            Ok(ClientReply::Immediate(response)) => response,
            Err(error) => {
                self.counts.refused += 1;
                tracing::debug!(%id, ?error, "client call refused");
                error.response()
            }
        };
        self.respond(exchange, to_http_response(response, Some(id)));
    }

    fn handle_request(
        &mut self,
        exchange: Exchange,
        id: Uuid,
        request: Request,
    ) -> Result<ClientReply, ApiError> {
        let Request { head, body, .. } = request;
        match request::parse(&head.method, &head.target, |name| head.headers.get(name))? {
            ApiRequest::ReadinessCheck => {
                let is_ready = !self.is_draining() && self.request_table.workers_up() > 0;
                Ok(ClientReply::Immediate(response::readiness(is_ready)))
            }
            ApiRequest::Invoke(invocation) => {
                let call = self.validate_call(exchange, id, invocation, &head.headers, body)?;
                self.admit_call(call)
            }
        }
    }

    fn validate_call(
        &self,
        exchange: Exchange,
        id: Uuid,
        invocation: InvokeRequest,
        headers: &Headers,
        payload: Vec<u8>,
    ) -> Result<InvokeCall, ApiError> {
        if self.settings.require_json && !request::is_json(&payload) {
            return Err(ApiError::InvalidContent("the payload is not JSON"));
        }
        let name = invocation.function.qualified_name();
        let function = self.settings.function(&name).ok_or(ApiError::UnknownFunction)?;
        let tenant = self.identify_tenant(headers)?;
        Ok(InvokeCall {
            exchange,
            id,
            invocation,
            name,
            function,
            tenant,
            payload,
            is_retry: headers.get("x-quartzdrift-retry").is_some(),
        })
    }

    fn admit_call(&mut self, call: InvokeCall) -> Result<ClientReply, ApiError> {
        let mode = call.invocation.invocation_type;
        if mode == InvocationType::DryRun {
            return Ok(ClientReply::Immediate(response::dry_run()));
        }
        // With a shared port a successor takes new connections, and open ones are served here until they
        // close.
        let serves_open_connections = self.settings.share_port && mode == InvocationType::Synchronous;
        if self.is_draining() && !serves_open_connections {
            return Err(ApiError::Rejected(Some(DRAIN_RETRY_AFTER)));
        }
        self.counts.accepted += 1;
        match mode {
            InvocationType::Asynchronous => self.queue_asynchronous_call(call),
            InvocationType::Synchronous | InvocationType::DryRun => self.submit_synchronous_call(call),
        }
    }

    /// Submits a synchronous call to the request table.
    fn submit_synchronous_call(&mut self, call: InvokeCall) -> Result<ClientReply, ApiError> {
        let settings = self.settings.clone();
        let class = &settings.scheduler.request_classes[call.function.request_class as usize];
        let time_left = time_left(&call.invocation, class);
        let has_own_key = call.invocation.idempotency_key.is_some();
        self.admit_repeat(call.function.request_class, has_own_key, call.is_retry)
            .map_err(|retry_after| ApiError::Rejected(Some(retry_after)))?;
        let ramp_function = self
            .admit_function(&call.name)
            .map_err(|retry_after| ApiError::Rejected(Some(retry_after)))?;
        let context = RequestContext {
            id: call.id,
            origin: RequestOrigin::Client(call.exchange),
            payload: call.payload.into(),
            client_context: call.invocation.client_context,
            idempotency_key: idempotency_key(call.invocation.idempotency_key, class, call.id),
            tenant: call.tenant.name,
            streams_response: class.streams_responses,
            request_class: call.function.request_class,
            accepted_at: self.now(),
            ramp_function,
        };
        self.record_use(&call.name, &call.function, call.tenant.index, time_left);
        let request = new_request(
            &call.function,
            call.name.into(),
            call.tenant.index,
            time_left,
            call.is_retry,
            Rc::new(context),
        );
        let Ok(request_id) = self.request_table.submit(self.now(), request) else {
            return Err(ApiError::Rejected(None));
        };
        self.exchanges.insert(call.exchange, request_id);
        self.carry_out();
        Ok(ClientReply::Deferred)
    }

    /// Queues an asynchronous call. With a store, the client gets its response when the invocation is
    /// durable, unless the settings ask for an early response.
    fn queue_asynchronous_call(&mut self, call: InvokeCall) -> Result<ClientReply, ApiError> {
        if self.store.as_ref().is_some_and(|store| !store.has_capacity()) {
            return Err(ApiError::Rejected(Some(
                self.settings.asynchronous.first_retry_delay,
            )));
        }
        let invocation =
            self.new_invocation(&call.name, &call.function, call.tenant.index, call.payload.into());
        let invocation = Invocation {
            context: call.invocation.client_context,
            idempotency_key: call.invocation.idempotency_key.or(invocation.idempotency_key),
            ..invocation
        };
        match self.queue_invocation(invocation) {
            Ok(_) if self.respond_when_durable(call.exchange, call.id) => Ok(ClientReply::Deferred),
            Ok(_) => Ok(ClientReply::Immediate(response::accepted())),
            Err(why) => {
                tracing::warn!(
                    ?why,
                    function = call.name,
                    "asynchronous invocation rejected: the queue is full"
                );
                Err(ApiError::Rejected(Some(
                    self.settings.asynchronous.first_retry_delay,
                )))
            }
        }
    }

    /// Identifies the tenant of a call by its headers.
    fn identify_tenant(&self, headers: &Headers) -> Result<CallTenant, ApiError> {
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

    /// Handles a client that disconnected before its response was complete.
    pub(super) fn client_disconnected(&mut self, exchange: Exchange) {
        let Some(request) = self.exchanges.remove(&exchange) else {
            return;
        };
        // Few request classes stream responses. The scan of all calls is needed only if one of them does.
        let mut classes = self.settings.scheduler.request_classes.iter();
        let may_stream = classes.any(|class| class.streams_responses);
        let streaming = may_stream
            .then(|| self.calls.streaming_attempt(request))
            .flatten();
        self.request_table.client_disconnected(self.now(), request);
        self.carry_out();
        if let Some(attempt) = streaming {
            // The client does not read the rest of the response, and a streaming attempt has no time limit.
            self.cancel_attempt(request, attempt);
            let result = AttemptResult::without_response(Outcome::Cancelled);
            self.request_table
                .attempt_ended(self.now(), request, attempt, result);
            self.carry_out();
        }
    }
}

/// Time until the client gives up: the timeout of the request class, or the client's own if it is shorter.
fn time_left(call: &InvokeRequest, class: &RequestClass) -> Duration {
    let timeout = class.timeout.unwrap_or(Duration::MAX);
    let client_timeout = call.time_left_ms.map(Duration::from_millis);
    client_timeout.map_or(timeout, |limit| timeout.min(limit))
}

/// The client's idempotency key. If there is none, the request id, for request classes that need a key for
/// retries.
fn idempotency_key(client_key: Option<String>, class: &RequestClass, id: Uuid) -> Option<String> {
    let needs_key = class.idempotency == Idempotency::IdempotentWithKey;
    client_key.or_else(|| needs_key.then(|| id.to_string()))
}

fn api_error(error: RequestError) -> ApiError {
    match error {
        RequestError::HeadTooLarge => ApiError::HeadersTooLarge,
        RequestError::BodyTooLarge => ApiError::PayloadTooLarge,
        RequestError::Malformed => ApiError::MalformedRequest,
        RequestError::UnsupportedTransferCoding => ApiError::UnsupportedTransferCoding,
        RequestError::Timeout => ApiError::RequestTimeout,
    }
}

/// Builds a request for the request table from the settings of its function.
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
