//! What comes back on the gateway's calls: responses, streamed parts and failures. What each proves about an attempt is
//! the table in `quartzdrift_invoke::outcome`.
use super::Gateway;
use super::calls::{AttemptCall, CallPurpose};
use quartzdrift_http::{CallFailure, CallId, Exchange, Headers, Response};
use quartzdrift_invoke::load_report::{self, LoadReport};
use quartzdrift_invoke::models;
use quartzdrift_invoke::outcome::{self, CallResult};
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_scheduler::interface::{CacheResult, Outcome, RequestId};

/// Bytes of a streamed answer that may wait for a slow client; beyond that the client is cut off.
const MAX_STREAM_BACKLOG: usize = 1 << 20;

impl Gateway {
    /// A response is complete; of a streamed one, its head.
    pub(super) fn response_received(&mut self, call: CallId, response: Response) {
        match self.calls.get(&call) {
            Some(CallPurpose::Attempt(attempt)) => match attempt.context.streaming_client() {
                Some(client) => self.stream_started(call, client, response),
                None => self.call_ended(call, response),
            },
            Some(CallPurpose::EndpointStream) => self.endpoint_stream_began(call, response.status),
            Some(_) => self.call_ended(call, response),
            None => {}
        }
    }

    fn call_ended(&mut self, call: CallId, response: Response) {
        let outcome = outcome(&response);
        match self.calls.remove(&call) {
            Some(CallPurpose::Attempt(ended)) => {
                self.attempt_ended(ended.request, ended.attempt, outcome, Some(response));
            }
            Some(CallPurpose::HealthCheck { command }) => self.health_checked(command, &response),
            Some(CallPurpose::Load { command }) => {
                let copies = models::decode_replicas(&response.body).unwrap_or(0);
                self.load_ended(command, outcome);
                self.command_ended(command, outcome, copies, Vec::new());
            }
            Some(CallPurpose::EndpointList) => self.poll_answered(response.status, &response.body),
            Some(CallPurpose::Destination(event)) => {
                if !(200..300).contains(&response.status) {
                    self.send_event(event);
                }
            }
            Some(CallPurpose::Unload | CallPurpose::EndpointStream) | None => {}
        }
    }

    /// The head of an answer that is streamed to its client.
    fn stream_started(&mut self, call: CallId, client: Exchange, response: Response) {
        let Some(started) = self.calls.attempt_mut(&call) else {
            return;
        };
        let (request, attempt) = (started.request, started.attempt);
        let outcome = outcome(&response);
        if outcome != Outcome::Succeeded {
            self.cancel_attempt(request, attempt);
            return self.attempt_ended(request, attempt, outcome, Some(response));
        }
        started.is_streaming = true;
        let id = started.context.id.to_string();
        let mut headers = Headers::new().with("x-amzn-requestid", &id);
        for (name, value) in response.headers.iter() {
            if name == "content-type" {
                headers.push(name, value);
            }
        }
        self.request_table.streaming_started(self.now(), request, attempt);
        self.http.begin_response(client, 200, &headers);
        self.carry_out();
    }

    /// A part of a streamed response's body.
    pub(super) fn part_received(&mut self, call: CallId, bytes: Vec<u8>) {
        match self.calls.get(&call) {
            Some(CallPurpose::Attempt(attempt)) => {
                let client = attempt.context.streaming_client();
                if let Some(client) = client
                    && !self.http.send_part(client, &bytes, MAX_STREAM_BACKLOG)
                {
                    self.http.abort(client);
                    self.client_gone(client);
                }
            }
            Some(CallPurpose::EndpointStream) => self.endpoint_stream_bytes(call, &bytes),
            Some(_) | None => {}
        }
    }

    /// A streamed response is complete.
    pub(super) fn stream_ended(&mut self, call: CallId) {
        match self.calls.remove(&call) {
            Some(CallPurpose::Attempt(ended)) => {
                if let Some(client) = ended.context.streaming_client() {
                    self.http.end_response(client);
                }
                self.attempt_ended(ended.request, ended.attempt, Outcome::Succeeded, None);
            }
            Some(CallPurpose::EndpointStream) => self.endpoint_stream_lost("it ended"),
            Some(_) | None => {}
        }
    }

    /// A call ended without a complete response.
    pub(super) fn call_failed(&mut self, call: CallId, failure: CallFailure) {
        let outcome = outcome::call_outcome(observed(failure));
        match self.calls.remove(&call) {
            Some(CallPurpose::Attempt(failed)) => self.attempt_failed(&failed, failure, outcome),
            Some(CallPurpose::HealthCheck { command } | CallPurpose::Load { command }) => {
                self.load_ended(command, outcome);
                self.command_ended(command, outcome, 0, Vec::new());
            }
            Some(CallPurpose::EndpointList) => self.poll_failed(&format!("{failure:?}")),
            Some(CallPurpose::EndpointStream) => self.endpoint_stream_lost(&format!("{failure:?}")),
            Some(CallPurpose::Destination(event)) => self.send_event(event),
            Some(CallPurpose::Unload) | None => {}
        }
    }

    fn attempt_failed(&mut self, failed: &AttemptCall, failure: CallFailure, outcome: Outcome) {
        let AttemptCall {
            request,
            attempt,
            ref worker,
            ..
        } = *failed;
        tracing::debug!(request, attempt, %worker, ?failure, "attempt failed");
        if let Some(client) = failed.context.streaming_client().filter(|_| failed.is_streaming) {
            // Cut off, so that the client does not take half an answer for a whole one.
            self.http.abort(client);
        }
        self.attempt_ended(request, attempt, outcome, None);
    }

    /// Notifies the request table of an attempt's end. Its response is at hand for the final answer meanwhile.
    fn attempt_ended(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        response: Option<Response>,
    ) {
        let report = response.as_ref().map(load_report).unwrap_or_default();
        let cache_result = outcome::reported_cache_result(&report);
        let result = AttemptResult {
            outcome,
            cache_result,
            concurrency: outcome::reported_concurrency(&report),
            report: self.metrics(&report),
        };
        tracing::trace!(request, attempt, ?outcome, "attempt ended");
        self.pending_response = response.filter(|_| outcome == Outcome::Succeeded);
        self.load_failed = cache_result == CacheResult::LoadFailed;
        self.request_table
            .attempt_ended(self.now(), request, attempt, result);
        self.carry_out();
        self.pending_response = None;
        self.load_failed = false;
    }

    fn health_checked(&mut self, command: u64, response: &Response) {
        let report = self.metrics(&load_report(response));
        // A worker that says it is not ready has answered, but is not healthy.
        let outcome = if response.status == 200 {
            Outcome::Succeeded
        } else {
            Outcome::Error
        };
        self.command_ended(command, outcome, 0, report);
    }

    fn command_ended(&mut self, command: u64, outcome: Outcome, copies: u32, report: Vec<Option<f64>>) {
        self.request_table
            .command_ended(self.now(), command, outcome, copies, report);
        self.carry_out();
    }

    /// The metrics of a load report that the settings name, in their order.
    fn metrics(&self, report: &LoadReport) -> Vec<Option<f64>> {
        let names = &self.settings.report_metrics;
        names.iter().map(|name| report.get(name)).collect()
    }
}

fn load_report(response: &Response) -> LoadReport {
    let field = response.headers.get(load_report::HEADER_NAME);
    field.map(LoadReport::parse).unwrap_or_default()
}

fn outcome(response: &Response) -> Outcome {
    outcome::call_outcome(CallResult::Response {
        status: response.status,
        error_type: response.headers.get("x-amzn-errortype"),
    })
}

fn observed(failure: CallFailure) -> CallResult<'static> {
    match failure {
        CallFailure::Connect => CallResult::ConnectFailed,
        CallFailure::ConnectionLimit => CallResult::NoConnectionAvailable,
        CallFailure::Reset => CallResult::ConnectionClosed,
        CallFailure::Malformed | CallFailure::TooLarge => CallResult::InvalidResponse,
    }
}
