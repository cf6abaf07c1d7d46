//! Executions, orders and probes on workers' sockets. What an end on a socket proves is the table in
//! `quartzdrift_invoke::verdict`.
use super::{Gateway, NOT_SENT, Origin, Use, Work};
use quartzdrift_choice::interface::{Found, JobId, Outcome};
use quartzdrift_desk::Ended;
use quartzdrift_http::{CallId, Failure, Headers, Outgoing, Response};
use quartzdrift_invoke::orca::{self, Report};
use quartzdrift_invoke::verdict::{self, Seen};
use quartzdrift_invoke::{call, models};
use quartzdrift_roster::list;
use std::rc::Rc;

/// Bytes of a streamed answer that wait for a slow client at most; more, and the client is cut off.
const STREAM_MOST: usize = 1 << 20;

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
        if let Some(me) = self.settings.choice.me {
            headers.push("x-quartzdrift-scheduler", &me.to_string());
        }
        Outgoing { method, target, headers, body, connect_timeout, streams: false }
    }

    pub(super) fn execute(
        &mut self,
        job: JobId,
        execution: u32,
        worker: Rc<str>,
        function: Rc<str>,
        work: Rc<Work>,
    ) {
        self.counts.executions += 1;
        let Ok(address) = list::address(&worker) else {
            // Lists are read by the same function: a name that is no address is on none of them.
            return self.desk.ended(self.now(), job, execution, Ended::silent(NOT_SENT));
        };
        let mut headers = Headers::new()
            .with("content-type", "application/json")
            .with("x-amz-invocation-type", "RequestResponse")
            .with("x-amzn-requestid", &work.id.to_string())
            .with("x-quartzdrift-execution", &execution.to_string());
        let told = [
            ("x-amz-client-context", &work.context),
            ("idempotency-key", &work.mark),
            ("x-quartzdrift-customer", &work.customer),
        ];
        for (name, value) in told {
            if let Some(value) = value {
                headers.push(name, value);
            }
        }
        let outgoing = self.outgoing("POST", call::target(&function), headers, work.payload.clone());
        let streams = work.streams && matches!(work.origin, Origin::Client(_));
        let call = self.http.call(address, Outgoing { streams, ..outgoing });
        tracing::trace!(job, execution, %worker, %function, "execution sent");
        self.executions.insert((job, execution), call);
        self.calls.insert(call, Use::Execution { job, execution, work, worker, began: false });
    }

    /// Closes an execution's connection; nothing more of it is heard.
    pub(super) fn drop_execution(&mut self, job: JobId, execution: u32) {
        if let Some(call) = self.executions.remove(&(job, execution)) {
            self.calls.remove(&call);
            self.http.cancel(call);
        }
    }

    /// The execution whose answer is on its way to the client, if there is one.
    pub(super) fn streaming_call(&self, job: JobId) -> Option<u32> {
        let of = |of: &Use| match of {
            Use::Execution { job: of, execution, began: true, .. } if *of == job => Some(*execution),
            _ => None,
        };
        // Few workloads stream: only for those is every call looked at.
        let streams = self.settings.choice.workloads.iter().any(|workload| workload.streams);
        if streams { self.calls.values().find_map(of) } else { None }
    }

    fn figures(&self, report: &Report) -> Vec<Option<f64>> {
        self.settings.metrics.iter().map(|metric| report.get(metric)).collect()
    }

    fn report(answer: &Response) -> Report {
        answer.headers.get(orca::FIELD).map(Report::read).unwrap_or_default()
    }

    fn end(&mut self, job: JobId, execution: u32, outcome: Outcome, answer: Option<Response>) {
        self.executions.remove(&(job, execution));
        let report = answer.as_ref().map(Self::report).unwrap_or_default();
        let (found, crowd) = (verdict::found(&report), verdict::crowd(&report));
        let ended = Ended { outcome, found, crowd, report: self.figures(&report) };
        tracing::trace!(job, execution, ?outcome, "execution ended");
        self.in_hand = answer.filter(|_| outcome == Outcome::Finished);
        self.load_failed = found == Found::LoadFailed;
        self.desk.ended(self.now(), job, execution, ended);
        self.carry_out();
        (self.in_hand, self.load_failed) = (None, false);
    }

    pub(super) fn answered(&mut self, call: CallId, answer: Response) {
        let error_type = answer.headers.get("x-amzn-errortype");
        let outcome = verdict::outcome(Seen::Answered { status: answer.status, error_type });
        let streamed = matches!(self.calls.get(&call), Some(Use::Execution { work, .. }) if work.streams
            && matches!(work.origin, Origin::Client(_)));
        if streamed {
            return self.stream_began(call, answer, outcome);
        }
        match self.calls.get(&call) {
            Some(Use::Stream) => return self.roster_stream_began(call, answer.status),
            Some(_) => {}
            None => return,
        }
        match self.calls.remove(&call) {
            Some(Use::Execution { job, execution, .. }) => self.end(job, execution, outcome, Some(answer)),
            Some(Use::Probe { order }) => {
                self.orders.remove(&order);
                let report = self.figures(&Self::report(&answer));
                // A worker that says it is not ready has answered, but not well.
                let outcome = if answer.status == 200 { Outcome::Finished } else { Outcome::Error };
                self.desk.order_ended(self.now(), order, outcome, 0, report);
                self.carry_out();
            }
            Some(Use::Load { order }) => {
                self.orders.remove(&order);
                let copies = models::copies(&answer.body).unwrap_or(0);
                self.ahead_loaded(order, outcome);
                self.desk.order_ended(self.now(), order, outcome, copies, Vec::new());
                self.carry_out();
            }
            Some(Use::List) => self.list_came(answer.status, &answer.body),
            Some(Use::Destination { left, to, record }) => {
                if !(200..300).contains(&answer.status) {
                    self.tell_destination(left, to, record);
                }
            }
            Some(Use::Unload | Use::Stream) | None => {}
        }
    }

    fn stream_began(&mut self, call: CallId, answer: Response, outcome: Outcome) {
        let Some(Use::Execution { job, execution, work, began, .. }) = self.calls.get_mut(&call) else {
            return;
        };
        let (job, execution, origin, id) = (*job, *execution, work.origin, work.id);
        let (Outcome::Finished, Origin::Client(exchange)) = (outcome, origin) else {
            self.drop_execution(job, execution);
            return self.end(job, execution, outcome, Some(answer));
        };
        *began = true;
        let mut headers = Headers::new().with("x-amzn-requestid", &id.to_string());
        let passed = answer.headers.iter().filter(|(name, _)| *name == "content-type");
        passed.for_each(|(name, value)| headers.push(name, value));
        self.desk.streaming(self.now(), job, execution);
        self.http.begin(exchange, 200, &headers);
        self.carry_out();
    }

    pub(super) fn part(&mut self, call: CallId, bytes: Vec<u8>) {
        match self.calls.get(&call) {
            Some(Use::Execution { work, .. }) => {
                if let Origin::Client(exchange) = work.origin
                    && !self.http.push(exchange, &bytes, STREAM_MOST)
                {
                    self.http.cut(exchange);
                    self.client_gone(exchange);
                }
            }
            Some(Use::Stream) => self.roster_part(call, &bytes),
            Some(_) | None => {}
        }
    }

    pub(super) fn stream_ended(&mut self, call: CallId) {
        match self.calls.remove(&call) {
            Some(Use::Execution { job, execution, work, .. }) => {
                if let Origin::Client(exchange) = work.origin {
                    self.http.finish(exchange);
                }
                self.end(job, execution, Outcome::Finished, None);
            }
            Some(Use::Stream) => self.roster_stream_lost("it ended"),
            Some(_) | None => {}
        }
    }

    pub(super) fn call_failed(&mut self, call: CallId, how: Failure) {
        let outcome = verdict::outcome(seen(how));
        match self.calls.remove(&call) {
            Some(Use::Execution { job, execution, work, worker, began }) => {
                tracing::debug!(job, execution, %worker, ?how, "execution failed");
                if let (true, Origin::Client(exchange)) = (began, work.origin) {
                    // Cut off, so that the client does not take half an answer for a whole one.
                    self.http.cut(exchange);
                }
                self.end(job, execution, outcome, None);
            }
            Some(Use::Probe { order } | Use::Load { order }) => {
                self.orders.remove(&order);
                self.ahead_loaded(order, outcome);
                self.desk.order_ended(self.now(), order, outcome, 0, Vec::new());
                self.carry_out();
            }
            Some(Use::List) => self.list_failed(&format!("{how:?}")),
            Some(Use::Stream) => self.roster_stream_lost(&format!("{how:?}")),
            Some(Use::Destination { left, to, record }) => self.tell_destination(left, to, record),
            Some(Use::Unload) | None => {}
        }
    }

    fn order(&mut self, worker: &str, outgoing: Outgoing, order: u64, of: Use) {
        let Ok(address) = list::address(worker) else {
            return self.desk.order_ended(self.now(), order, NOT_SENT, 0, Vec::new());
        };
        let call = self.http.call(address, outgoing);
        self.orders.insert(order, call);
        self.calls.insert(call, of);
    }

    pub(super) fn probe(&mut self, order: u64, worker: &str) {
        let outgoing = self.outgoing("GET", models::READY.to_owned(), Headers::new(), Rc::from([]));
        self.order(worker, outgoing, order, Use::Probe { order });
    }

    pub(super) fn load(&mut self, order: u64, worker: &str, function: &str, copies: u32) {
        let headers = Headers::new().with("content-type", "application/json");
        let body = models::order(copies).into();
        self.ahead_ordered(order, function);
        let outgoing = self.outgoing("POST", models::load_target(function), headers, body);
        self.order(worker, outgoing, order, Use::Load { order });
    }

    pub(super) fn unload(&mut self, worker: &str, function: &str) {
        let Ok(address) = list::address(worker) else { return };
        let headers = Headers::new().with("content-type", "application/json");
        let outgoing = self.outgoing("POST", models::unload_target(function), headers, Rc::from(&b"{}"[..]));
        let call = self.http.call(address, outgoing);
        self.calls.insert(call, Use::Unload);
    }
}
