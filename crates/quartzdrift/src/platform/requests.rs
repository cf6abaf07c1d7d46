//! Admits clients' requests: checks their fields, submits them to the request table, and abandons those whose
//! client has disconnected.
use super::client_connection::find_client;
use super::{Node, RequestContext};
use quartzdrift_fastcgi::Params;
use quartzdrift_http::sockets::SocketId;
use quartzdrift_lifecycle::{AttemptResult, NewRequest};
use quartzdrift_platform::request_fields::{self, FieldError, PlatformRequest, RequestFields};
use quartzdrift_scheduler::interface::{Outcome, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time after the start for which a scheduler reports that it is not ready because the coordinator
/// has not confirmed the list of workers. Until then it can send to no worker, and other schedulers serve
/// clients better. After that it reports that it is ready, since the platform counts a longer start as
/// failed.
const MAX_UNREADY_START: Duration = Duration::from_secs(5);
/// Retry delay that clients receive when the request table or the memory for clients is full.
pub(super) const FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reads an optional parameter: `None` if it is missing, and an error if it is not text or given twice.
fn optional_param<'a>(
    params: &'a Params,
    name: &str,
    invalid: FieldError,
) -> Result<Option<&'a str>, FieldError> {
    let is_given = params.iter().any(|(given, _)| given == name.as_bytes());
    if !is_given {
        return Ok(None);
    }
    params.text(name).map(Some).ok_or(invalid)
}

/// Collects the fields of a request from its parameters. `body` is the length of the body in bytes.
fn collect_fields(params: &Params, body: usize) -> Result<RequestFields<'_>, FieldError> {
    Ok(RequestFields {
        path: params.text("SCRIPT_NAME"),
        id: params.text("HTTP_X_REQUEST_ID"),
        timeout_ms: params.text("HTTP_X_TIMEOUT_MS"),
        function: params.text("HTTP_X_OBJECT"),
        idempotency_key: optional_param(params, "HTTP_IDEMPOTENCY_KEY", FieldError::IdempotencyKey)?,
        tenant: optional_param(params, "HTTP_X_TENANT", FieldError::Tenant)?,
        resource_hints: optional_param(params, "HTTP_X_SPEC", FieldError::ResourceHints)?,
        content_length: optional_param(params, "CONTENT_LENGTH", FieldError::Length)?,
        body_bytes: body,
    })
}

impl Node {
    /// Handles a complete request: answers a readiness check, and admits or refuses any other request.
    /// `arrived` is the earliest time at which the request may have arrived, from which its deadline counts.
    pub(super) fn handle_request(
        &mut self,
        client: SocketId,
        request_id: u16,
        params: &Params,
        body: Vec<u8>,
        arrived: Instant,
    ) {
        if params.get("SCRIPT_NAME") == Some(b"/check") {
            return self.respond_to_check(client, request_id);
        }
        let request = collect_fields(params, body.len())
            .and_then(|fields| request_fields::read(&fields, &self.config.settings));
        match request {
            Ok(request) => self.admit(client, request_id, &request, body, arrived),
            Err(invalid) => {
                self.counts.invalid += 1;
                tracing::debug!(?invalid, "request refused");
                self.respond(client, request_id, invalid.status(), invalid.text(), None);
            }
        }
    }

    fn respond_to_check(&mut self, client: SocketId, request_id: u16) {
        let has_list = self.coordinator.was_confirmed() || self.now() >= self.started_at + MAX_UNREADY_START;
        let is_ready = self.shutdown.is_none() && self.request_table.workers_up() > 0 && has_list;
        let (status, text) = if is_ready {
            (200, "ready")
        } else {
            (503, "not ready")
        };
        self.respond(client, request_id, status, text, None);
    }

    fn admit(
        &mut self,
        socket: SocketId,
        request_id: u16,
        request: &PlatformRequest<'_>,
        body: Vec<u8>,
        arrived: Instant,
    ) {
        if let Some(&open_request) = self.open_by_client_id.get(&request.id) {
            return self.reject_duplicate_id(socket, request_id, open_request);
        }
        let Some(charge) = self.charge_request(socket, body.len()) else {
            return self.refuse_without_memory(socket, request_id);
        };
        let context = RequestContext {
            client_request_id: request.id,
            client: socket,
            request_id,
            request_class: request.request_class,
            idempotency_key: request.idempotency_key.map(str::to_owned),
            body,
            _charge: charge,
        };
        let now = self.now();
        let deadline = self.clock.time_at(arrived) + request.time_remaining;
        let time_remaining = deadline.saturating_sub(now);
        match self
            .request_table
            .submit(now, new_request(request, time_remaining, context))
        {
            Ok(submitted) => {
                self.counts.taken += 1;
                self.open_by_client_id.insert(request.id, submitted);
                if let Some(client) = find_client(&mut self.sockets, socket) {
                    client.requests.insert(request_id, submitted);
                }
                self.carry_out();
            }
            Err(_) => self.respond(socket, request_id, 503, "full", Some(FULL_RETRY_AFTER)),
        }
    }

    /// Refuses a request with the id of another open request, since workers could not tell the two apart. If
    /// both arrived on the same connection, the open one is abandoned and answered with an error too.
    fn reject_duplicate_id(&mut self, socket: SocketId, request_id: u16, open_request: RequestId) {
        self.counts.invalid += 1;
        self.respond(socket, request_id, 409, "this id is open", None);
        let Some(client) = find_client(&mut self.sockets, socket) else {
            return;
        };
        let open_request_id = client
            .requests
            .iter()
            .find(|(_, request)| **request == open_request)
            .map(|(request_id, _)| *request_id);
        if let Some(open_request_id) = open_request_id {
            client.requests.remove(&open_request_id);
            self.abandon_request(open_request);
            self.respond(socket, open_request_id, 409, "this id came twice", None);
        }
    }

    /// Abandons a request for which no client waits any more. Unsent attempts are recalled regardless of the
    /// settings, so that they never reach a worker; attempts in flight are cancelled if the settings allow
    /// it.
    pub(super) fn abandon_request(&mut self, request: RequestId) {
        let now = self.now();
        let may_cancel = self.config.settings.limits.cancel;
        let attempts: Vec<u32> = self.request_table.attempts_of(request).collect();
        self.request_table.client_disconnected(now, request);
        self.carry_out();
        for attempt in attempts {
            if self.recall_unsent(request, attempt) {
                self.request_table.attempt_recalled(now, request, attempt);
            } else if may_cancel {
                self.cancel_attempt(request, attempt);
                let result = AttemptResult::without_response(Outcome::Cancelled);
                self.request_table.attempt_ended(now, request, attempt, result);
            }
        }
        self.carry_out();
    }
}

fn new_request(
    request: &PlatformRequest<'_>,
    time_remaining: Duration,
    context: RequestContext,
) -> NewRequest<Rc<RequestContext>> {
    NewRequest {
        request_class: request.request_class,
        tenant: request.tenant,
        function: request.function.into(),
        time_left: time_remaining,
        work_hint: request.work_hint,
        memory_mb: request.memory_mb,
        concurrency_slots: request.concurrency_slots,
        load_hint: request.load_hint,
        is_retry: false,
        has_side_effects: false,
        payload: Rc::new(context),
    }
}
