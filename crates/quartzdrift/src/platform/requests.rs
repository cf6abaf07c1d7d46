//! Admits clients' requests: their fields are checked, they are submitted to the request table, and abandoned where the client
//! has left.
use super::client_connection::client;
use super::{Node, RequestContext};
use quartzdrift_fastcgi::Params;
use quartzdrift_http::sockets::SocketId;
use quartzdrift_lifecycle::{AttemptResult, NewRequest};
use quartzdrift_platform::request_fields::{self, FieldError, PlatformRequest, RequestFields};
use quartzdrift_scheduler::interface::{Outcome, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A scheduler that has not heard the coordinator since its start says for so long that it is not ready: it can send to no worker
/// yet, and clients are served better by others. After that it says that it is, as a longer start would count as a failed one.
const MAX_UNREADY_START: Duration = Duration::from_secs(5);
/// Told to clients for whom there is no room at all.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A parameter that may be left out, but not be given as something that is no text, or twice.
fn optional<'a>(params: &'a Params, name: &str, invalid: FieldError) -> Result<Option<&'a str>, FieldError> {
    let is_given = params.iter().any(|(given, _)| given == name.as_bytes());
    if !is_given {
        return Ok(None);
    }
    params.text(name).map(Some).ok_or(invalid)
}

fn fields(params: &Params, body: usize) -> Result<RequestFields<'_>, FieldError> {
    Ok(RequestFields {
        path: params.text("SCRIPT_NAME"),
        id: params.text("HTTP_X_REQUEST_ID"),
        time: params.text("HTTP_X_TIMEOUT_MS"),
        function: params.text("HTTP_X_OBJECT"),
        idempotency_key: optional(params, "HTTP_IDEMPOTENCY_KEY", FieldError::IdempotencyKey)?,
        tenant: optional(params, "HTTP_X_TENANT", FieldError::Tenant)?,
        resource_hints: optional(params, "HTTP_X_SPEC", FieldError::ResourceHints)?,
        length: optional(params, "CONTENT_LENGTH", FieldError::Length)?,
        body,
    })
}

impl Node {
    /// Works a whole request of a client: a readiness check is answered, anything else is admitted or refused. `arrived`: when it
    /// may have come; its time has run since.
    pub(super) fn request(
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
        let request = fields(params, body.len())
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
        if let Some(&other) = self.open.get(&request.id) {
            return self.reject_duplicate_id(socket, request_id, other);
        }
        let context = RequestContext {
            id: request.id,
            client: socket,
            request_id,
            request_class: request.request_class,
            idempotency_key: request.idempotency_key.map(str::to_owned),
            body,
        };
        let now = self.now();
        let deadline = self.clock.at(arrived) + request.time_remaining;
        let left = deadline.saturating_sub(now);
        match self
            .request_table
            .submit(now, new_request(request, left, context))
        {
            Ok(submitted) => {
                self.counts.taken += 1;
                self.open.insert(request.id, submitted);
                if let Some(client) = client(&mut self.sockets, socket) {
                    client.requests.insert(request_id, submitted);
                }
                self.carry_out();
            }
            Err(_) => self.respond(socket, request_id, 503, "full", Some(FULL_RETRY_AFTER)),
        }
    }

    /// Refuses a request under the id of an open one: workers would take the one for the other. Where both came over one
    /// connection, neither can be trusted.
    fn reject_duplicate_id(&mut self, id: SocketId, request_id: u16, other: RequestId) {
        self.counts.invalid += 1;
        self.respond(id, request_id, 409, "this id is open", None);
        let Some(client) = client(&mut self.sockets, id) else {
            return;
        };
        let first = client
            .requests
            .iter()
            .find(|(_, request)| **request == other)
            .map(|(request_id, _)| *request_id);
        if let Some(first) = first {
            client.requests.remove(&first);
            self.abandon_request(other);
            self.respond(id, first, 409, "this id came twice", None);
        }
    }

    /// Nobody waits for a request any more. Attempts that have not left are recalled whatever the settings say, so that
    /// nothing of them reaches a worker from now on; those that are in flight are cancelled where the settings allow it.
    pub(super) fn abandon_request(&mut self, request: RequestId) {
        let now = self.now();
        let may_cancel = self.config.settings.limits.cancel;
        let attempts: Vec<u32> = self.request_table.attempts_of(request).collect();
        self.request_table.client_gone(now, request);
        self.carry_out();
        for attempt in attempts {
            if self.recall_unsent(request, attempt) {
                self.request_table.attempt_recalled(now, request, attempt);
            } else if may_cancel {
                self.cancel_attempt(request, attempt);
                let result = AttemptResult::silent(Outcome::Cancelled);
                self.request_table.attempt_ended(now, request, attempt, result);
            }
        }
        self.carry_out();
    }
}

fn new_request(
    request: &PlatformRequest<'_>,
    left: Duration,
    context: RequestContext,
) -> NewRequest<Rc<RequestContext>> {
    NewRequest {
        request_class: request.request_class,
        tenant: request.tenant,
        function: request.function.into(),
        left,
        work_hint: request.work,
        memory_mb: request.memory_mb,
        concurrency_slots: request.concurrency_slots,
        load_hint: request.load,
        is_retry: false,
        writes: false,
        payload: Rc::new(context),
    }
}
