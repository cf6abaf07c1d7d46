//! Handles the results of outgoing calls: responses, parts of streamed responses, and failures. The table in
//! `quartzdrift_invoke::outcome` says what each result proves about an attempt.
use super::Gateway;
use super::calls::{AttemptCall, CallPurpose};
use quartzdrift_http::{CallFailure, CallId, Exchange, Headers, Response};
use quartzdrift_invoke::load_report::{self, LoadReport};
use quartzdrift_invoke::models;
use quartzdrift_invoke::outcome::{self, CallResult};
use quartzdrift_lifecycle::AttemptResult;
use quartzdrift_scheduler::interface::{CacheResult, Outcome, RequestId};

/// Maximum bytes of a streamed response that may wait for a slow client. Beyond it the client's connection is
/// aborted.
const MAX_UNSENT_STREAM_BYTES: usize = 1 << 20;

impl Gateway {
    /// Handles a complete response, or the head of a streamed one.
    pub(super) fn response_received(&mut self, call: CallId, response: Response) {
        match self.calls.get(&call) {
            Some(CallPurpose::Attempt(attempt)) => match attempt.context.streaming_client() {
                Some(client) => self.response_stream_started(call, client, response),
                None => self.response_completed(call, response),
            },
            Some(CallPurpose::EndpointStream) => self.endpoint_stream_opened(call, response.status),
            Some(_) => self.response_completed(call, response),
            None => {}
        }
    }

    fn response_completed(&mut self, call: CallId, response: Response) {
        let outcome = response_outcome(&response);
        match self.calls.remove(&call) {
            Some(CallPurpose::Attempt(ended)) => {
                self.attempt_ended(ended.request, ended.attempt, outcome, Some(response));
            }
            Some(CallPurpose::HealthCheck { command }) => self.health_check_ended(command, &response),
            Some(CallPurpose::Load { command }) => {
                let copies = models::decode_replicas(&response.body).unwrap_or(0);
                self.load_command_ended(command, outcome);
                self.command_ended(command, outcome, copies, Vec::new());
            }
            Some(CallPurpose::EndpointList) => self.poll_response_received(response.status, &response.body),
            Some(CallPurpose::Destination(event)) => {
                if !(200..300).contains(&response.status) {
                    self.send_destination_event(event);
                }
            }
            Some(CallPurpose::Unload | CallPurpose::EndpointStream) | None => {}
        }
    }

    /// Handles the head of a response that is to be streamed to the client.
    fn response_stream_started(&mut self, call: CallId, client: Exchange, response: Response) {
        let Some(attempt_call) = self.calls.attempt_mut(&call) else {
            return;
        };
        let (request, attempt) = (attempt_call.request, attempt_call.attempt);
        let outcome = response_outcome(&response);
        if outcome != Outcome::Succeeded {
            self.cancel_attempt(request, attempt);
            return self.attempt_ended(request, attempt, outcome, Some(response));
        }
        attempt_call.is_streaming = true;
        let id = attempt_call.context.id.to_string();
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

    /// Handles a part of the body of a streamed response.
    pub(super) fn response_part_received(&mut self, call: CallId, bytes: Vec<u8>) {
        match self.calls.get(&call) {
            Some(CallPurpose::Attempt(attempt)) => {
                let client = attempt.context.streaming_client();
                if let Some(client) = client
                    && !self.http.send_part(client, &bytes, MAX_UNSENT_STREAM_BYTES)
                {
                    self.http.abort(client);
                    self.client_disconnected(client);
                }
            }
            Some(CallPurpose::EndpointStream) => self.endpoint_stream_received(call, &bytes),
            Some(_) | None => {}
        }
    }

    /// Handles the end of a streamed response.
    pub(super) fn response_stream_ended(&mut self, call: CallId) {
        match self.calls.remove(&call) {
            Some(CallPurpose::Attempt(ended)) => {
                if let Some(client) = ended.context.streaming_client() {
                    self.http.end_response(client);
                }
                self.attempt_ended(ended.request, ended.attempt, Outcome::Succeeded, None);
            }
            Some(CallPurpose::EndpointStream) => self.endpoint_stream_lost("the source ended the stream"),
            Some(_) | None => {}
        }
    }

    /// Handles a call that ended without a complete response.
    pub(super) fn call_failed(&mut self, call: CallId, failure: CallFailure) {
        let outcome = outcome::call_outcome(call_result(failure));
        match self.calls.remove(&call) {
            Some(CallPurpose::Attempt(failed)) => self.attempt_failed(&failed, failure, outcome),
            Some(CallPurpose::HealthCheck { command } | CallPurpose::Load { command }) => {
                self.load_command_ended(command, outcome);
                self.command_ended(command, outcome, 0, Vec::new());
            }
            Some(CallPurpose::EndpointList) => self.poll_failed(&format!("{failure:?}")),
            Some(CallPurpose::EndpointStream) => self.endpoint_stream_lost(&format!("{failure:?}")),
            Some(CallPurpose::Destination(event)) => self.send_destination_event(event),
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
            // The connection is aborted, so that the client does not mistake a partial response for a
            // complete one.
            self.http.abort(client);
        }
        self.attempt_ended(request, attempt, outcome, None);
    }

    /// Reports the end of an attempt to the request table. The response is available in `pending_response` in
    /// case the table outputs the final response of the request.
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
            report: self.report_metrics(&report),
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

    fn health_check_ended(&mut self, command: u64, response: &Response) {
        let report = self.report_metrics(&load_report(response));
        // A worker that responds but is not ready is unhealthy.
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

    /// The values of the configured metrics in a load report, in the order of the settings.
    fn report_metrics(&self, report: &LoadReport) -> Vec<Option<f64>> {
        let names = &self.settings.report_metrics;
        names.iter().map(|name| report.get(name)).collect()
    }
}

fn load_report(response: &Response) -> LoadReport {
    let field = response.headers.get(load_report::HEADER_NAME);
    field.map(LoadReport::parse).unwrap_or_default()
}

fn response_outcome(response: &Response) -> Outcome {
    outcome::call_outcome(CallResult::Response {
        status: response.status,
        error_type: response.headers.get("x-amzn-errortype"),
    })
}

fn call_result(failure: CallFailure) -> CallResult<'static> {
    match failure {
        CallFailure::Connect => CallResult::ConnectFailed,
        CallFailure::ConnectionLimit => CallResult::NoConnectionAvailable,
        CallFailure::Reset => CallResult::ConnectionClosed,
        CallFailure::Malformed | CallFailure::TooLarge => CallResult::InvalidResponse,
    }
}
