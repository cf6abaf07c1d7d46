//! Calls of clients: read, made into requests, and answered.
use super::{Gateway, Origin, Work};
use crate::settings::Function;
use quartzdrift_async_queue::Invocation;
use quartzdrift_http::{BadRequest, Exchange, Headers, Request, Response};
use quartzdrift_invoke::answer::{self, FailureKind, Problem, Said};
use quartzdrift_invoke::call::{self, Asked, Call, Mode};
use quartzdrift_lifecycle::{FailureReason, FinalAnswer, NewRequest};
use quartzdrift_scheduler::interface::Idempotency;
use std::rc::Rc;
use std::time::Duration;
use uuid::Uuid;

/// Fields of a worker's answer that go on to the client.
const PASSED_ON: [&str; 4] = [
    "content-type",
    "x-amz-function-error",
    "x-amz-executed-version",
    "x-amz-log-result",
];
/// Told to those who come while the gateway stops: another instance is a moment away.
const STOPPING: Duration = Duration::from_secs(1);

pub(super) fn response(said: Said, id: Option<Uuid>) -> Response {
    let mut headers = Headers::new();
    said.fields
        .iter()
        .for_each(|(name, value)| headers.push(name, value));
    if let Some(id) = id {
        headers.push("x-amzn-requestid", &id.to_string());
    }
    Response {
        status: said.status,
        headers,
        body: said.body,
    }
}

fn problem(bad: BadRequest) -> Problem {
    match bad {
        BadRequest::HeadTooLarge => Problem::HeadTooLarge,
        BadRequest::BodyTooLarge => Problem::TooLarge,
        BadRequest::Malformed => Problem::Malformed,
        BadRequest::Coding => Problem::Coding,
        BadRequest::TooSlow => Problem::TooSlow,
    }
}

impl Gateway {
    pub(super) fn request(&mut self, exchange: Exchange, request: Result<Request, BadRequest>) {
        let id = self.draw_id();
        let said = match request
            .map_err(problem)
            .and_then(|request| self.take(exchange, request, id))
        {
            Ok(None) => return,
            Ok(Some(said)) => said,
            Err(problem) => {
                self.counts.refused += 1;
                tracing::debug!(%id, ?problem, "no job");
                problem.said()
            }
        };
        let mut answer = response(said, Some(id));
        if self.stopping.is_some() {
            answer.headers.push("connection", "close");
        }
        self.http.answer(exchange, &answer);
    }

    /// Makes a request into a request; `Some` where it is answered at once.
    fn take(&mut self, exchange: Exchange, request: Request, id: Uuid) -> Result<Option<Said>, Problem> {
        let Request { head, body, .. } = request;
        let call = match call::read(&head.method, &head.target, |name| head.headers.get(name))? {
            Asked::Ready => {
                let ready = self.stopping.is_none() && self.request_table.workers_up() > 0;
                return Ok(Some(answer::ready(ready)));
            }
            Asked::Invoke(call) => call,
        };
        if self.settings.require_json && !call::is_json(&body) {
            return Err(Problem::BadContent("the payload is not JSON"));
        }
        let name = call.function.loaded();
        let function = self.settings.function(&name).ok_or(Problem::NoSuchFunction)?;
        let tenant = self.tenant(&head.headers)?;
        if call.mode == Mode::DryRun {
            return Ok(Some(answer::dry_run()));
        }
        if self.stopping.is_some() && !(self.settings.share_port && call.mode == Mode::Synchronous) {
            return Err(Problem::Busy(Some(STOPPING)));
        }
        self.counts.taken += 1;
        if call.mode == Mode::Asynchronous {
            return self.defer(exchange, id, call, &name, &function, tenant, body);
        }
        let request_class = &self.settings.scheduler.request_classes[function.request_class as usize];
        let limit = request_class.timeout.unwrap_or(Duration::MAX);
        let left = call
            .left_ms
            .map_or(limit, |ms| limit.min(Duration::from_millis(ms)));
        let is_retry = head.headers.get("x-quartzdrift-retry").is_some();
        let let_in = self.let_in(function.request_class, call.mark.is_some(), is_retry);
        let_in.map_err(|wait| Problem::Busy(Some(wait)))?;
        // A request with an idempotency key that came without a mark is marked by its own identity, for further attempts.
        let mark = call.mark.or_else(|| {
            (request_class.idempotency == Idempotency::IdempotentWithKey).then(|| id.to_string())
        });
        let streams = request_class.streams;
        let tries = self.paced(&name).map_err(|wait| Problem::Busy(Some(wait)))?;
        let work = Work {
            id,
            origin: Origin::Client(exchange),
            payload: body.into(),
            context: call.context,
            mark,
            tenant: tenant.1,
            streams,
            request_class: function.request_class,
            taken: self.now(),
            tries,
        };
        self.record_use(&name, &function, tenant.0, left);
        let new = new_request(&function, name.into(), tenant.0, left, is_retry, Rc::new(work));
        match self.request_table.submit(self.now(), new) {
            Ok(request) => {
                self.exchanges.insert(exchange, request);
                self.carry_out();
                Ok(None)
            }
            Err(_) => Err(Problem::Busy(None)),
        }
    }

    /// The tenant's place in the settings, and its name for workers.
    fn tenant(&self, headers: &Headers) -> Result<(u32, Option<String>), Problem> {
        let Some(field) = &self.settings.tenant_field else {
            return Ok((0, None));
        };
        let Some(told) = headers.get(field) else {
            return Err(Problem::BadParameter(
                "the field that tells the customer is missing",
            ));
        };
        match self.settings.tenants.get(told) {
            Some(&at) => Ok((at, Some(told.to_owned()))),
            None => Err(Problem::BadParameter("the customer is in no settings")),
        }
    }

    /// Answered once it lasts, where a store keeps it and the settings do not allow less.
    #[allow(clippy::too_many_arguments)]
    fn defer(
        &mut self,
        exchange: Exchange,
        id: Uuid,
        call: Call,
        name: &str,
        function: &Function,
        tenant: (u32, Option<String>),
        body: Vec<u8>,
    ) -> Result<Option<Said>, Problem> {
        if self.store.as_ref().is_some_and(|store| !store.has_capacity()) {
            return Err(Problem::Busy(Some(self.settings.asynchronous.first_retry_delay)));
        }
        let request = self.new_invocation(name, function, tenant.0, body.into());
        let request = Invocation {
            context: call.context,
            idempotency_key: call.mark.or(request.idempotency_key),
            ..request
        };
        match self.submit(request) {
            Ok(_) if self.answer_when_durable(exchange, id) => Ok(None),
            Ok(_) => Ok(Some(answer::taken())),
            Err(why) => {
                tracing::warn!(?why, function = name, "a deferred job was not taken: no room");
                Err(Problem::Busy(Some(self.settings.asynchronous.first_retry_delay)))
            }
        }
    }

    pub(super) fn client_gone(&mut self, exchange: Exchange) {
        let Some(request) = self.exchanges.remove(&exchange) else {
            return;
        };
        let streams = self.streaming_call(request);
        self.request_table.client_gone(self.now(), request);
        self.carry_out();
        if let Some(attempt) = streams {
            // Nobody reads on, and no limit would end it.
            self.drop_attempt(request, attempt);
            let ended = quartzdrift_lifecycle::AttemptResult::silent(
                quartzdrift_scheduler::interface::Outcome::Cancelled,
            );
            self.request_table
                .attempt_ended(self.now(), request, attempt, ended);
            self.carry_out();
        }
    }

    pub(super) fn answer_client(
        &mut self,
        exchange: Exchange,
        work: &Work,
        answer: FinalAnswer,
        said: Option<Response>,
    ) {
        self.exchanges.remove(&exchange);
        let said = match answer {
            FinalAnswer::Succeeded => match said {
                Some(worker) => {
                    let mut headers = Headers::new();
                    let passed = worker.headers.iter().filter(|(name, _)| PASSED_ON.contains(name));
                    passed.for_each(|(name, value)| headers.push(name, value));
                    headers.push("x-amzn-requestid", &work.id.to_string());
                    if headers.get("x-amz-executed-version").is_none() {
                        headers.push("x-amz-executed-version", "$LATEST");
                    }
                    Response {
                        status: 200,
                        headers,
                        body: worker.body,
                    }
                }
                // A streamed answer went out part by part.
                None => return,
            },
            FinalAnswer::Rejected { retry_after, .. } => {
                response(answer::rejected(retry_after), Some(work.id))
            }
            FinalAnswer::Failed { why } => {
                let why = match why {
                    FailureReason::DeadlineExceeded => FailureKind::DeadlineExceeded,
                    FailureReason::OutcomeUnknown => FailureKind::OutcomeUnknown,
                    FailureReason::ShuttingDown => FailureKind::ShuttingDown,
                };
                response(answer::failed(why), Some(work.id))
            }
            FinalAnswer::Cancelled => return,
        };
        let closing = self.stopping.is_some();
        let said = match closing {
            true => Response {
                headers: said.headers.with("connection", "close"),
                ..said
            },
            false => said,
        };
        self.http.answer(exchange, &said);
    }
}

/// A request for the request table, of a function as the settings know it.
pub(super) fn new_request(
    function: &Function,
    name: Rc<str>,
    tenant: u32,
    left: Duration,
    is_retry: bool,
    payload: Rc<Work>,
) -> NewRequest<Rc<Work>> {
    NewRequest {
        request_class: function.request_class,
        tenant,
        function: name,
        left,
        work_hint: function.work,
        memory_mb: function.memory_mb,
        concurrency_slots: function.concurrency_slots,
        load_hint: function.load,
        is_retry,
        writes: function.writes,
        payload,
    }
}
