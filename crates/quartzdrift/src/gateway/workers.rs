//! Attempts, orders and probes on workers' sockets. What an end on a socket proves is the table in
//! `quartzdrift_invoke::verdict`.
use super::{Gateway, NOT_SENT, Origin, Use, Work};
use quartzdrift_discovery::list;
use quartzdrift_http::{CallId, Failure, Headers, Outgoing, Response};
use quartzdrift_invoke::orca::{self, Report};
use quartzdrift_invoke::verdict::{self, Seen};
use quartzdrift_invoke::{call, models};
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_scheduler::interface::{CacheResult, Outcome, RequestId};
use std::rc::Rc;

/// Bytes of a streamed answer that wait for a slow client at most; more, and the client is cut off.
const MAX_STREAM: usize = 1 << 20;

fn seen(how: Failure) -> Seen<'static> {
    match how {
        Failure::Connect => Seen::NotConnected,
        Failure::NoRoom => Seen::NoConnectionLeft,
        Failure::Reset => Seen::Closed,
        Failure::Malformed | Failure::TooLarge => Seen::Unreadable,
    }
}

impl Gateway {
    fn outgoing(
        &self,
        method: &'static str,
        target: String,
        mut headers: Headers,
        body: Rc<[u8]>,
    ) -> Outgoing {
        let connect_timeout = self.settings.connect_timeout;
        if let Some(me) = self.settings.scheduler.me {
            headers.push("x-quartzdrift-scheduler", &me.to_string());
        }
        Outgoing {
            method,
            target,
            headers,
            body,
            connect_timeout,
            streams: false,
        }
    }

    pub(super) fn execute(
        &mut self,
        request: RequestId,
        attempt: u32,
        worker: Rc<str>,
        function: Rc<str>,
        work: Rc<Work>,
    ) {
        self.counts.attempts += 1;
        let Ok(address) = list::address(&worker) else {
            // Lists are read by the same function: a name that is no address is on none of them.
            return self.request_table.attempt_ended(
                self.now(),
                request,
                attempt,
                AttemptResult::silent(NOT_SENT),
            );
        };
        let mut headers = Headers::new()
            .with("content-type", "application/json")
            .with("x-amz-invocation-type", "RequestResponse")
            .with("x-amzn-requestid", &work.id.to_string())
            .with("x-quartzdrift-execution", &attempt.to_string());
        let told = [
            ("x-amz-client-context", &work.context),
            ("idempotency-key", &work.mark),
            ("x-quartzdrift-customer", &work.tenant),
        ];
        for (name, value) in told {
            if let Some(value) = value {
                headers.push(name, value);
            }
        }
        let outgoing = self.outgoing("POST", call::target(&function), headers, work.payload.clone());
        let streams = work.streams && matches!(work.origin, Origin::Client(_));
        let call = self.http.call(address, Outgoing { streams, ..outgoing });
        tracing::trace!(request, attempt, %worker, %function, "execution sent");
        self.attempts.insert((request, attempt), call);
        self.calls.insert(
            call,
            Use::Attempt {
                request,
                attempt,
                work,
                worker,
                began: false,
            },
        );
    }

    /// Closes an attempt's connection; nothing more of it is heard.
    pub(super) fn drop_attempt(&mut self, request: RequestId, attempt: u32) {
        if let Some(call) = self.attempts.remove(&(request, attempt)) {
            self.calls.remove(&call);
            self.http.cancel(call);
        }
    }

    /// The attempt whose answer is on its way to the client, if there is one.
    pub(super) fn streaming_call(&self, request: RequestId) -> Option<u32> {
        let of = |of: &Use| match of {
            Use::Attempt {
                request: of,
                attempt,
                began: true,
                ..
            } if *of == request => Some(*attempt),
            _ => None,
        };
        // Few request classes stream: only for those is every call looked at.
        let streams = self
            .settings
            .scheduler
            .request_classes
            .iter()
            .any(|request_class| request_class.streams);
        if streams {
            self.calls.values().find_map(of)
        } else {
            None
        }
    }

    fn figures(&self, report: &Report) -> Vec<Option<f64>> {
        self.settings
            .metrics
            .iter()
            .map(|metric| report.get(metric))
            .collect()
    }

    fn report(answer: &Response) -> Report {
        answer
            .headers
            .get(orca::FIELD)
            .map(Report::read)
            .unwrap_or_default()
    }

    fn end(&mut self, request: RequestId, attempt: u32, outcome: Outcome, answer: Option<Response>) {
        self.attempts.remove(&(request, attempt));
        let report = answer.as_ref().map(Self::report).unwrap_or_default();
        let (cache_result, concurrency) = (verdict::cache_result(&report), verdict::concurrency(&report));
        let ended = AttemptResult {
            outcome,
            cache_result,
            concurrency,
            report: self.figures(&report),
        };
        tracing::trace!(request, attempt, ?outcome, "execution ended");
        self.in_hand = answer.filter(|_| outcome == Outcome::Succeeded);
        self.load_failed = cache_result == CacheResult::LoadFailed;
        self.request_table
            .attempt_ended(self.now(), request, attempt, ended);
        self.carry_out();
        (self.in_hand, self.load_failed) = (None, false);
    }

    pub(super) fn answered(&mut self, call: CallId, answer: Response) {
        let error_type = answer.headers.get("x-amzn-errortype");
        let outcome = verdict::outcome(Seen::Answered {
            status: answer.status,
            error_type,
        });
        let streamed = matches!(self.calls.get(&call), Some(Use::Attempt { work, .. }) if work.streams
            && matches!(work.origin, Origin::Client(_)));
        if streamed {
            return self.stream_began(call, answer, outcome);
        }
        match self.calls.get(&call) {
            Some(Use::Stream) => return self.endpoint_stream_began(call, answer.status),
            Some(_) => {}
            None => return,
        }
        match self.calls.remove(&call) {
            Some(Use::Attempt { request, attempt, .. }) => self.end(request, attempt, outcome, Some(answer)),
            Some(Use::Probe { command }) => {
                self.commands.remove(&command);
                let report = self.figures(&Self::report(&answer));
                // A worker that says it is not ready has answered, but not well.
                let outcome = if answer.status == 200 {
                    Outcome::Succeeded
                } else {
                    Outcome::Error
                };
                self.request_table
                    .command_ended(self.now(), command, outcome, 0, report);
                self.carry_out();
            }
            Some(Use::Load { command }) => {
                self.commands.remove(&command);
                let copies = models::copies(&answer.body).unwrap_or(0);
                self.load_ended(command, outcome);
                self.request_table
                    .command_ended(self.now(), command, outcome, copies, Vec::new());
                self.carry_out();
            }
            Some(Use::List) => self.poll_answered(answer.status, &answer.body),
            Some(Use::Destination(event)) => {
                if !(200..300).contains(&answer.status) {
                    self.send_event(event);
                }
            }
            Some(Use::Unload | Use::Stream) | None => {}
        }
    }

    fn stream_began(&mut self, call: CallId, answer: Response, outcome: Outcome) {
        let Some(Use::Attempt {
            request,
            attempt,
            work,
            began,
            ..
        }) = self.calls.get_mut(&call)
        else {
            return;
        };
        let (request, attempt, origin, id) = (*request, *attempt, work.origin, work.id);
        let (Outcome::Succeeded, Origin::Client(exchange)) = (outcome, origin) else {
            self.drop_attempt(request, attempt);
            return self.end(request, attempt, outcome, Some(answer));
        };
        *began = true;
        let mut headers = Headers::new().with("x-amzn-requestid", &id.to_string());
        let passed = answer.headers.iter().filter(|(name, _)| *name == "content-type");
        passed.for_each(|(name, value)| headers.push(name, value));
        self.request_table.streaming_started(self.now(), request, attempt);
        self.http.begin(exchange, 200, &headers);
        self.carry_out();
    }

    pub(super) fn part(&mut self, call: CallId, bytes: Vec<u8>) {
        match self.calls.get(&call) {
            Some(Use::Attempt { work, .. }) => {
                if let Origin::Client(exchange) = work.origin
                    && !self.http.push(exchange, &bytes, MAX_STREAM)
                {
                    self.http.cut(exchange);
                    self.client_gone(exchange);
                }
            }
            Some(Use::Stream) => self.endpoint_stream_bytes(call, &bytes),
            Some(_) | None => {}
        }
    }

    pub(super) fn stream_ended(&mut self, call: CallId) {
        match self.calls.remove(&call) {
            Some(Use::Attempt {
                request,
                attempt,
                work,
                ..
            }) => {
                if let Origin::Client(exchange) = work.origin {
                    self.http.finish(exchange);
                }
                self.end(request, attempt, Outcome::Succeeded, None);
            }
            Some(Use::Stream) => self.endpoint_stream_lost("it ended"),
            Some(_) | None => {}
        }
    }

    pub(super) fn call_failed(&mut self, call: CallId, how: Failure) {
        let outcome = verdict::outcome(seen(how));
        match self.calls.remove(&call) {
            Some(Use::Attempt {
                request,
                attempt,
                work,
                worker,
                began,
            }) => {
                tracing::debug!(request, attempt, %worker, ?how, "execution failed");
                if let (true, Origin::Client(exchange)) = (began, work.origin) {
                    // Cut off, so that the client does not take half an answer for a whole one.
                    self.http.cut(exchange);
                }
                self.end(request, attempt, outcome, None);
            }
            Some(Use::Probe { command } | Use::Load { command }) => {
                self.commands.remove(&command);
                self.load_ended(command, outcome);
                self.request_table
                    .command_ended(self.now(), command, outcome, 0, Vec::new());
                self.carry_out();
            }
            Some(Use::List) => self.poll_failed(&format!("{how:?}")),
            Some(Use::Stream) => self.endpoint_stream_lost(&format!("{how:?}")),
            Some(Use::Destination(event)) => self.send_event(event),
            Some(Use::Unload) | None => {}
        }
    }

    fn command(&mut self, worker: &str, outgoing: Outgoing, command: u64, of: Use) {
        let Ok(address) = list::address(worker) else {
            return self
                .request_table
                .command_ended(self.now(), command, NOT_SENT, 0, Vec::new());
        };
        let call = self.http.call(address, outgoing);
        self.commands.insert(command, call);
        self.calls.insert(call, of);
    }

    pub(super) fn probe(&mut self, command: u64, worker: &str) {
        let outgoing = self.outgoing("GET", models::READY.to_owned(), Headers::new(), Rc::from([]));
        self.command(worker, outgoing, command, Use::Probe { command });
    }

    pub(super) fn load(&mut self, command: u64, worker: &str, function: &str, copies: u32) {
        let headers = Headers::new().with("content-type", "application/json");
        let body = models::load_command(copies).into();
        self.load_sent(command, function);
        let outgoing = self.outgoing("POST", models::load_target(function), headers, body);
        self.command(worker, outgoing, command, Use::Load { command });
    }

    pub(super) fn unload(&mut self, worker: &str, function: &str) {
        let Ok(address) = list::address(worker) else {
            return;
        };
        let headers = Headers::new().with("content-type", "application/json");
        let outgoing = self.outgoing(
            "POST",
            models::unload_target(function),
            headers,
            Rc::from(&b"{}"[..]),
        );
        let call = self.http.call(address, outgoing);
        self.calls.insert(call, Use::Unload);
    }
}
