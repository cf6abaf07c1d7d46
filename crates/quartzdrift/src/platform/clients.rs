//! Clients over FastCGI: requests become requests, and every one that is owed an answer gets it at once.
use super::{Node, Peer, RequestContext};
use quartzdrift_fastcgi::{self as fastcgi, Answer, Bad, Params, Responder, Told};
use quartzdrift_http::links::{Link, LinkId, Links};
use quartzdrift_lifecycle::{AttemptResult, FailureReason, FinalAnswer, NewRequest};
use quartzdrift_platform::request_fields::{self, FieldError, RequestFields};
use quartzdrift_scheduler::interface::{Outcome, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Bounds of the platform's pages, and a bound on parameters that is far above what they need.
const LIMITS: fastcgi::Limits = fastcgi::Limits {
    params: 8 << 10,
    body: 16 << 10,
    open: 32,
};
/// For a first request to come whole, and for any that has begun: whoever cannot be served is owed an end in 3 s.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// For a client to take the last that is written before its connection is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// For a client to take what waits for it; then it is cut, so that it can tell.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that wait for a client at most: its 32 answers with room; more, and it is cut off.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// Told to those for whom there is no room at all.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What a client's connection is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Limit {
    /// Its first whole request.
    FirstRequest,
    /// The rest of a request.
    PartialRequest,
    /// To take what is written to it.
    UnreadAnswers,
    /// It may take its time.
    None,
    /// The last bytes to leave, then it is closed.
    Closing,
}

pub(crate) struct Client {
    responder: Responder,
    requests: BTreeMap<u16, RequestId>,
    limit: Limit,
    /// The request whose rest is waited for.
    awaited: Option<u64>,
}

fn client(links: &mut Links<Node, Peer>, id: LinkId) -> Option<&mut Client> {
    match &mut links.get_mut(id)?.state {
        Peer::Client(client) => Some(client),
        Peer::WorkerConnection(_) => None,
    }
}

/// A parameter that may be left out, but not be given as no text, or twice.
fn optional<'a>(params: &'a Params, name: &str, invalid: FieldError) -> Result<Option<&'a str>, FieldError> {
    match params.iter().any(|(n, _)| n == name.as_bytes()) {
        false => Ok(None),
        true => params.text(name).map(Some).ok_or(invalid),
    }
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

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Internal Server Error",
    }
}

impl Node {
    pub(super) fn accept(&mut self) {
        for stream in self.links.accept(is_silent) {
            if !self.has_room() {
                // Nobody is silent: the newcomer is closed unread.
                self.counts.dropped += 1;
                continue;
            }
            let responder = Responder::new(LIMITS);
            let client = Client {
                responder,
                requests: BTreeMap::new(),
                limit: Limit::FirstRequest,
                awaited: None,
            };
            if let Ok(id) = self.links.insert(stream, Peer::Client(client)) {
                self.clients += 1;
                self.links.set_deadline(id, Some(RECEIVE_TIMEOUT));
            }
        }
    }

    /// Whether there is room for one more client; the one that has been silent longest makes it, unless something
    /// has come from it that the loop has not yet told of.
    fn has_room(&mut self) -> bool {
        for _ in 0..=self.clients {
            if self.clients < self.budget.clients {
                return true;
            }
            let Some(silent) = self.links.longest_silent(is_silent) else {
                return false;
            };
            if !self.read_pending_input(silent) {
                self.counts.dropped += 1;
                self.close_client(silent);
            }
        }
        false
    }

    /// Looks whether something has come from a client that the loop has not yet told of, and works it.
    fn read_pending_input(&mut self, id: LinkId) -> bool {
        let Some(had) = self.links.get(id).map(|link| link.input.len()) else {
            return true;
        };
        self.links.look(id);
        let news = self
            .links
            .get(id)
            .is_none_or(|link| link.ended() || link.input.len() > had);
        if news {
            self.drive_client(id);
        }
        news
    }

    /// Whether nothing has come, and no request has begun, that the loop has not yet worked.
    pub(super) fn is_quiet(&mut self) -> bool {
        let before = self.links.opened();
        self.links.look_for_connections();
        self.accept();
        if self.links.opened() > before {
            return false;
        }
        let clients: Vec<LinkId> = self.client_links().map(|(id, _)| id).collect();
        let begun = |node: &mut Node, id| {
            client(&mut node.links, id).is_some_and(|client| client.responder.is_partial())
                || node.links.get(id).is_some_and(|link| !link.input.is_empty())
        };
        // All of them are parsed, as each may have something to be worked.
        clients
            .into_iter()
            .filter(|&id| self.read_pending_input(id) || begun(self, id))
            .count()
            == 0
    }

    fn client_links(&self) -> impl Iterator<Item = (LinkId, &Link<Peer>)> {
        self.links
            .iter()
            .filter(|(_, link)| matches!(link.state, Peer::Client(_)))
    }

    /// Whether bytes wait for a client.
    pub(super) fn has_unsent_answers(&self) -> bool {
        self.client_links().any(|(_, link)| link.waiting() > 0)
    }

    /// Takes no more connections, and tells all clients that theirs end.
    pub(super) fn send_close_notice(&mut self) {
        self.links.stop_listening();
        let clients: Vec<LinkId> = self.client_links().map(|(id, _)| id).collect();
        for id in clients {
            if let Some(link) = self.links.get(id) {
                link.finish();
            }
            if let Some(client) = client(&mut self.links, id) {
                client.limit = Limit::Closing;
            }
            self.links.set_deadline(id, None);
        }
    }

    pub(super) fn drive_client(&mut self, id: LinkId) {
        self.links.flush_one(id);
        self.links.read(id);
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let ended = link.ended();
        let Peer::Client(of) = &mut link.state else { return };
        if of.limit == Limit::Closing {
            let unread = link.input.len();
            link.consume(unread);
            if ended {
                self.close_client(id);
            }
            return;
        }
        let (mut out, mut told) = (Vec::new(), Vec::new());
        let read = of.responder.read(&link.input, &mut out, &mut told);
        if let Ok(used) = read {
            link.consume(used);
        }
        if !out.is_empty() {
            self.write(id, &out);
        }
        for told in told {
            if self.links.get(id).is_none() {
                // Cut off over an answer: nobody waits for what else it sent.
                return;
            }
            match told {
                Told::Request { number, params, body } => self.request(id, number, &params, body),
                Told::Bad {
                    number,
                    bad: Bad::Params,
                } => self.respond(id, number, 400, "parameters", None),
                Told::Bad {
                    number,
                    bad: Bad::TooLarge,
                } => self.respond(id, number, 413, "too large", None),
                Told::Aborted { number } => {
                    let request =
                        client(&mut self.links, id).and_then(|client| client.requests.remove(&number));
                    request
                        .into_iter()
                        .for_each(|request| self.abandon_request(request));
                }
            }
        }
        match read {
            Err(broken) => {
                tracing::debug!(?broken, "a client is out of step");
                self.counts.dropped += 1;
                self.close_client(id);
            }
            Ok(_) if ended => self.close_client(id),
            Ok(_) => self.update_client_deadline(id),
        }
    }

    fn write(&mut self, id: LinkId, bytes: &[u8]) {
        if let Some(output) = self.links.output(id) {
            output.extend_from_slice(bytes);
        }
    }

    /// Sets what the connection is waited for now.
    fn update_client_deadline(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(id) else {
            return;
        };
        let (partial, unread) = (!link.input.is_empty(), link.waiting());
        let Peer::Client(client) = &mut link.state else {
            return;
        };
        let responder = &client.responder;
        let (spoilt, awaited) = (responder.is_spoilt(), responder.awaited(partial));
        if client.limit == Limit::Closing {
            return;
        }
        if spoilt && responder.waiting().next().is_none() {
            return self.close_when_flushed(id);
        }
        let (limit, after) = if unread > MAX_UNREAD_BYTES {
            self.counts.dropped += 1;
            return self.close_client(id);
        } else if !spoilt && !responder.has_asked() {
            (Limit::FirstRequest, Some(RECEIVE_TIMEOUT))
        } else if !spoilt && awaited.is_some() {
            (Limit::PartialRequest, Some(RECEIVE_TIMEOUT))
        } else if unread > 0 {
            (Limit::UnreadAnswers, Some(SEND_TIMEOUT))
        } else {
            (Limit::None, None)
        };
        // A limit that stands is not moved: bytes that drip in win no time. Each request that is not yet whole has its own.
        let other = limit == Limit::PartialRequest && client.awaited != awaited;
        if client.limit != limit || other {
            (client.limit, client.awaited) = (limit, awaited);
            self.links.set_deadline(id, after);
        }
    }

    /// Closes a client's connection once what is written to it has left.
    fn close_when_flushed(&mut self, id: LinkId) {
        if let Some(client) = client(&mut self.links, id) {
            client.limit = Limit::Closing;
            self.links.set_deadline(id, Some(FLUSH_TIMEOUT));
            self.closing.push(id);
        }
    }

    /// Closes those whose last words have left.
    pub(super) fn close_flushed_clients(&mut self) {
        for id in std::mem::take(&mut self.closing) {
            match self.links.get(id).map(|link| link.waiting()) {
                Some(0) => self.close_client(id),
                Some(_) => self.closing.push(id),
                None => {}
            }
        }
    }

    pub(super) fn client_overdue(&mut self, id: LinkId) {
        // What has come in the meantime came in time.
        let read_pending_input = self.read_pending_input(id);
        if read_pending_input && self.links.deadline(id).is_some() {
            return;
        }
        let stuck = self.links.get(id).and_then(|link| link.stuck_since());
        let Some(client) = client(&mut self.links, id) else {
            return;
        };
        match client.limit {
            // Overdue without a limit: there was no descriptor for a newcomer, and this one is to make room.
            Limit::None if !read_pending_input && client.requests.is_empty() => {
                self.counts.dropped += 1;
                self.close_client(id);
            }
            Limit::None => {}
            // The limit was set before it was tried to send: all has left since, or began to wait later.
            Limit::UnreadAnswers if stuck.is_none() => {
                client.limit = Limit::None;
                self.update_client_deadline(id);
            }
            Limit::UnreadAnswers if stuck.is_some_and(|since| since.elapsed() < SEND_TIMEOUT) => {
                let time_remaining = stuck.map(|since| SEND_TIMEOUT.saturating_sub(since.elapsed()));
                self.links.set_deadline(id, time_remaining);
            }
            // Others are open on it: they are answered first.
            Limit::PartialRequest if !client.requests.is_empty() => {
                client.responder.spoil();
                self.update_client_deadline(id);
            }
            Limit::FirstRequest | Limit::PartialRequest | Limit::UnreadAnswers | Limit::Closing => {
                self.counts.dropped += 1;
                self.close_client(id);
            }
        }
    }

    /// Closes a client's connection; what is open on it is over.
    fn close_client(&mut self, id: LinkId) {
        let Some(Peer::Client(client)) = self.links.close(id) else {
            return;
        };
        self.clients -= 1;
        client
            .requests
            .into_values()
            .for_each(|request| self.abandon_request(request));
    }

    /// Nobody waits for a request any more. What has not left is taken back whatever the settings say, so that nothing of
    /// it reaches a worker from now on; an attempt that is out is given up where they allow it.
    fn abandon_request(&mut self, request: RequestId) {
        let now = self.now();
        let cancel = self.config.settings.allowed.cancel;
        let out: Vec<u32> = self.request_table.attempts_of(request).collect();
        self.request_table.client_gone(now, request);
        self.carry_out();
        for attempt in out {
            if self.recall_unsent(request, attempt) {
                self.request_table.attempt_recalled(now, request, attempt);
            } else if cancel {
                self.cancel_attempt(request, attempt);
                self.request_table.attempt_ended(
                    now,
                    request,
                    attempt,
                    AttemptResult::silent(Outcome::Cancelled),
                );
            }
        }
        self.carry_out();
    }

    fn request(&mut self, id: LinkId, number: u16, params: &Params, body: Vec<u8>) {
        if params.get("SCRIPT_NAME") == Some(b"/check") {
            let ready = self.shutdown.is_none() && self.request_table.workers_up() > 0;
            let (status, text) = if ready { (200, "ready") } else { (503, "not ready") };
            return self.respond(id, number, status, text, None);
        }
        let parsed = fields(params, body.len()).and_then(|f| request_fields::read(&f, &self.config.settings));
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(invalid) => {
                self.counts.invalid += 1;
                tracing::debug!(?invalid, "no job");
                return self.respond(id, number, invalid.status(), invalid.text(), None);
            }
        };
        if let Some(&other) = self.open.get(&parsed.id) {
            return self.reject_duplicate_id(id, number, other);
        }
        let idempotency_key = parsed.idempotency_key.map(str::to_owned);
        let context = RequestContext {
            id: parsed.id,
            client: id,
            number,
            request_class: parsed.request_class,
            idempotency_key,
            body,
        };
        let new = NewRequest {
            request_class: parsed.request_class,
            tenant: parsed.tenant,
            function: parsed.function.into(),
            left: parsed.time_remaining,
            work_hint: parsed.work,
            memory_mb: parsed.memory_mb,
            concurrency_slots: parsed.concurrency_slots,
            load_hint: parsed.load,
            is_retry: false,
            writes: false,
            payload: Rc::new(context),
        };
        match self.request_table.submit(self.now(), new) {
            Ok(request) => {
                self.counts.taken += 1;
                self.open.insert(parsed.id, request);
                if let Some(client) = client(&mut self.links, id) {
                    client.requests.insert(number, request);
                }
                self.carry_out();
            }
            Err(_) => self.respond(id, number, 503, "full", Some(FULL_RETRY_AFTER)),
        }
    }

    /// The id of an open request: workers would take the one for the other. Where both came over one connection,
    /// neither can be trusted.
    fn reject_duplicate_id(&mut self, id: LinkId, number: u16, other: RequestId) {
        self.counts.invalid += 1;
        self.respond(id, number, 409, "this id is open", None);
        let Some(client) = client(&mut self.links, id) else {
            return;
        };
        let first = client
            .requests
            .iter()
            .find(|(_, request)| **request == other)
            .map(|(number, _)| *number);
        if let Some(first) = first {
            client.requests.remove(&first);
            self.abandon_request(other);
            self.respond(id, first, 409, "this id came twice", None);
        }
    }

    /// An answer of our own.
    fn respond(&mut self, id: LinkId, number: u16, status: u16, text: &str, retry_after: Option<Duration>) {
        self.answer(id, number, status, text.as_bytes(), retry_after);
    }

    fn answer(&mut self, id: LinkId, number: u16, status: u16, body: &[u8], retry_after: Option<Duration>) {
        let ms = retry_after.map(|frame_span| frame_span.as_nanos().div_ceil(1_000_000).to_string());
        let field = ms.as_deref().map(|ms| ("Retry-After-Ms", ms));
        let answer = Answer {
            status,
            reason: reason(status),
            fields: field.as_slice(),
            body,
        };
        let unread = self.links.get(id).is_some_and(|link| link.waiting() > 0);
        let Some(client) = client(&mut self.links, id) else {
            return;
        };
        let mut out = Vec::with_capacity(body.len() + 128);
        let ended = client.responder.answer(number, &answer, &mut out);
        self.write(id, &out);
        match ended {
            fastcgi::Ended::Close => self.close_when_flushed(id),
            // It may never be heard of again: what it does not read sets its limit.
            fastcgi::Ended::Keep | fastcgi::Ended::NotOpen if unread => self.update_client_deadline(id),
            fastcgi::Ended::Keep | fastcgi::Ended::NotOpen => {}
        }
    }

    pub(super) fn final_answer(&mut self, request: RequestId, context: &RequestContext, answer: FinalAnswer) {
        if self.open.get(&context.id) == Some(&request) {
            self.open.remove(&context.id);
        }
        let said = self
            .pending_response
            .take_if(|(of, _)| *of == request)
            .map(|(_, body)| body);
        if let Some(client) = client(&mut self.links, context.client)
            && client.requests.get(&context.number) == Some(&request)
        {
            client.requests.remove(&context.number);
        }
        let (id, number) = (context.client, context.number);
        let count = match answer {
            FinalAnswer::Succeeded => &mut self.counts.succeeded,
            FinalAnswer::Rejected { .. } => &mut self.counts.rejected,
            FinalAnswer::Failed { .. } => &mut self.counts.failed,
            FinalAnswer::Cancelled => &mut self.counts.cancelled,
        };
        *count += 1;
        match (answer, said) {
            (FinalAnswer::Succeeded, Some(body)) => self.answer(id, number, 200, &body, None),
            (FinalAnswer::Succeeded, None) => self.respond(id, number, 500, "no answer", None),
            (FinalAnswer::Rejected { retry_after, .. }, _) => {
                self.respond(id, number, 503, "come back", retry_after)
            }
            (
                FinalAnswer::Failed {
                    why: FailureReason::DeadlineExceeded,
                },
                _,
            ) => self.respond(id, number, 504, "its time is up", None),
            (
                FinalAnswer::Failed {
                    why: FailureReason::OutcomeUnknown | FailureReason::ShuttingDown,
                },
                _,
            ) => self.respond(id, number, 500, "it may have run", None),
            (FinalAnswer::Cancelled, _) => {}
        }
    }
}

/// A client without a request, which may make room for another.
fn is_silent(link: &Link<Peer>) -> bool {
    match &link.state {
        Peer::Client(client) => client.requests.is_empty() && client.limit != Limit::Closing,
        Peer::WorkerConnection(_) => false,
    }
}
