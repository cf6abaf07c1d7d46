//! Calls to workers: attempts, health checks, load and unload commands as they leave. What comes back is handled in
//! `call_events`.
use super::calls::{AttemptCall, CallPurpose};
use super::{Gateway, RequestContext};
use quartzdrift_discovery::list;
use quartzdrift_http::{Headers, OutgoingRequest};
use quartzdrift_invoke::{models, request};
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_scheduler::interface::{Outcome, RequestId};
use std::rc::Rc;
use std::time::Duration;

/// Outcome of what could not be sent because the worker's name is not an address. Endpoint lists are parsed by the same
/// function, so no worker on one of them has such a name.
const NOT_AN_ADDRESS: Outcome = Outcome::ConnectFailed;

impl Gateway {
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        worker: Rc<str>,
        function: Rc<str>,
        context: Rc<RequestContext>,
        send_by: Option<Duration>,
    ) {
        let now = self.now();
        if send_by.is_some_and(|send_by| now >= send_by) {
            return self.request_table.attempt_recalled(now, request, attempt);
        }
        self.counts.attempts += 1;
        let Ok(address) = list::parse_address(&worker) else {
            let result = AttemptResult::without_response(NOT_AN_ADDRESS);
            return self
                .request_table
                .attempt_ended(self.now(), request, attempt, result);
        };
        let headers = attempt_headers(attempt, &context);
        let payload = context.payload.clone();
        let mut outgoing = self.worker_request("POST", request::invoke_target(&function), headers, payload);
        if let Some(send_by) = send_by {
            // A connection that comes up later would carry the attempt too late.
            outgoing.connect_timeout = outgoing.connect_timeout.min(send_by - now);
        }
        outgoing.streams_response = context.streaming_client().is_some();
        let call = self.http.call(address, outgoing);
        tracing::trace!(request, attempt, %worker, %function, "attempt sent");
        let attempt_call = AttemptCall {
            request,
            attempt,
            context,
            worker,
            is_streaming: false,
        };
        self.calls.insert(call, CallPurpose::Attempt(attempt_call));
    }

    /// Closes an attempt's connection. No event of it follows.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        if let Some(call) = self.calls.attempts().get(request, attempt) {
            self.calls.remove(&call);
            self.http.cancel(call);
        }
    }

    pub(super) fn check_health(&mut self, command: u64, worker: &str) {
        let target = models::READY_PATH.to_owned();
        let outgoing = self.worker_request("GET", target, Headers::new(), Rc::from([]));
        self.send_command(worker, outgoing, command, CallPurpose::HealthCheck { command });
    }

    pub(super) fn load(&mut self, command: u64, worker: &str, function: &str, copies: u32) {
        let headers = Headers::new().with("content-type", "application/json");
        let body = models::encode_replicas(copies).into();
        self.load_sent(command, function);
        let outgoing = self.worker_request("POST", models::load_target(function), headers, body);
        self.send_command(worker, outgoing, command, CallPurpose::Load { command });
    }

    pub(super) fn unload(&mut self, worker: &str, function: &str) {
        let Ok(address) = list::parse_address(worker) else {
            return;
        };
        let headers = Headers::new().with("content-type", "application/json");
        let body = Rc::from(&b"{}"[..]);
        let outgoing = self.worker_request("POST", models::unload_target(function), headers, body);
        let call = self.http.call(address, outgoing);
        self.calls.insert(call, CallPurpose::Unload);
    }

    pub(super) fn close_idle(&mut self, worker: &str) {
        if let Ok(address) = list::parse_address(worker) {
            self.http.close_idle_connections(address);
        }
    }

    fn send_command(&mut self, worker: &str, outgoing: OutgoingRequest, command: u64, purpose: CallPurpose) {
        let Ok(address) = list::parse_address(worker) else {
            return self
                .request_table
                .command_ended(self.now(), command, NOT_AN_ADDRESS, 0, Vec::new());
        };
        let call = self.http.call(address, outgoing);
        self.calls.insert(call, purpose);
    }

    /// A request to a worker, which says which scheduler sends it.
    fn worker_request(
        &self,
        method: &'static str,
        target: String,
        mut headers: Headers,
        body: Rc<[u8]>,
    ) -> OutgoingRequest {
        if let Some(me) = self.settings.scheduler.scheduler_number {
            headers.push("x-quartzdrift-scheduler", &me.to_string());
        }
        OutgoingRequest {
            method,
            target,
            headers,
            body,
            connect_timeout: self.settings.connect_timeout,
            streams_response: false,
        }
    }
}

fn attempt_headers(attempt: u32, context: &RequestContext) -> Headers {
    let mut headers = Headers::new()
        .with("content-type", "application/json")
        .with("x-amz-invocation-type", "RequestResponse")
        .with("x-amzn-requestid", &context.id.to_string())
        .with("x-quartzdrift-execution", &attempt.to_string());
    let optional = [
        ("x-amz-client-context", &context.client_context),
        ("idempotency-key", &context.idempotency_key),
        ("x-quartzdrift-customer", &context.tenant),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            headers.push(name, value);
        }
    }
    headers
}
