//! Destinations: the event of a completed asynchronous invocation goes to a function or a URL.
use super::{CallPurpose, Gateway};
use crate::settings::parse_http_url;
use quartzdrift_async_queue::{CompletedInvocation, Destination, Invocation};
use quartzdrift_http::{Headers, OutgoingRequest, Response};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum attempts to send an event to a URL.
const MAX_SEND_ATTEMPTS: u32 = 3;
/// Maximum events on their way to URLs at a time; further ones are lost, with a line in the log.
const MAX_EVENTS_IN_FLIGHT: usize = 1024;
/// Maximum bytes of a payload in an event; a longer one is left out of it.
const MAX_PAYLOAD: usize = 128 << 10;

/// An event on its way to a URL.
#[derive(Debug)]
pub(super) struct DestinationEvent {
    /// Attempts that are still allowed.
    attempts_left: u32,
    address: SocketAddr,
    /// Path and query of the URL.
    target: String,
    body: Rc<[u8]>,
}

impl Gateway {
    /// Sends the event of an invocation to its destination, if it has one. `response`: the answer to its last attempt.
    pub(super) fn send_to_destination(
        &mut self,
        completed: &CompletedInvocation,
        response: Option<Response>,
    ) {
        let Some(destination) = &completed.destination else {
            return;
        };
        let body: Rc<[u8]> = event_body(completed, response.as_ref(), self.now()).into();
        match destination {
            Destination::Function(name) => self.invoke_destination(name, completed, body),
            Destination::Url(url) => self.post_to_destination(url, body),
        }
    }

    /// Makes an attempt to send an event, while attempts are left.
    pub(super) fn send_event(&mut self, event: DestinationEvent) {
        let in_flight = self
            .calls
            .values()
            .filter(|purpose| matches!(purpose, CallPurpose::Destination(_)))
            .count();
        if event.attempts_left == 0 || in_flight >= MAX_EVENTS_IN_FLIGHT {
            return tracing::error!(
                to = %event.address,
                target = event.target,
                "a record for a destination was lost"
            );
        }
        let request = OutgoingRequest {
            method: "POST",
            target: event.target.clone(),
            headers: Headers::new().with("content-type", "application/json"),
            body: event.body.clone(),
            connect_timeout: self.settings.connect_timeout,
            streams_response: false,
        };
        let call = self.http.call(event.address, request);
        let event = DestinationEvent {
            attempts_left: event.attempts_left - 1,
            ..event
        };
        self.calls.insert(call, CallPurpose::Destination(event));
    }

    fn invoke_destination(&mut self, name: &str, completed: &CompletedInvocation, payload: Rc<[u8]>) {
        let Some(function) = self.settings.function(name) else {
            return;
        };
        let tenant = completed.invocation.tenant;
        let invocation = Invocation {
            hops: completed.invocation.hops + 1,
            ..self.new_invocation(name, &function, tenant, payload)
        };
        if let Err(reason) = self.submit(invocation) {
            tracing::error!(to = %name, why = ?reason, "a record for a destination was lost: no room");
        }
    }

    fn post_to_destination(&mut self, url: &str, body: Rc<[u8]>) {
        match parse_http_url(url) {
            Ok((address, target)) => self.send_event(DestinationEvent {
                attempts_left: MAX_SEND_ATTEMPTS,
                address,
                target,
                body,
            }),
            Err(reason) => tracing::error!(
                url,
                why = reason.to_string(),
                "a record for a destination was lost"
            ),
        }
    }
}

/// The event in the published form of AWS Lambda's asynchronous invocation record, version 1.0.
fn event_body(completed: &CompletedInvocation, response: Option<&Response>, now: Duration) -> Vec<u8> {
    let time = humantime::format_rfc3339_millis(std::time::UNIX_EPOCH + now).to_string();
    let response_context = response.map(|response| {
        let error = response.headers.get("x-amz-function-error");
        json!({"statusCode": response.status, "executedVersion": "$LATEST", "functionError": error})
    });
    let event = json!({
        "version": "1.0",
        "timestamp": time,
        "requestContext": {
            "requestId": completed.id.0.to_string(),
            "functionArn": completed.invocation.function,
            "condition": completed.condition.as_str(),
            "approximateInvokeCount": completed.attempts,
        },
        "requestPayload": payload_value(&completed.invocation.payload),
        "responseContext": response_context,
        "responsePayload": response.map(|response| payload_value(&response.body)),
    });
    event.to_string().into_bytes()
}

/// A payload as JSON; null where it is not JSON, or too long.
fn payload_value(payload: &[u8]) -> Value {
    if payload.len() > MAX_PAYLOAD {
        return Value::Null;
    }
    serde_json::from_slice(payload).unwrap_or(Value::Null)
}
