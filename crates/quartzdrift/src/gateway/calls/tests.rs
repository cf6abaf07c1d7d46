use super::{AttemptCall, CallPurpose, OutgoingCalls};
use crate::gateway::{RequestContext, RequestOrigin};
use quartzdrift_async_queue::InvocationId;
use quartzdrift_http::CallId;
use std::rc::Rc;
use std::time::Duration;
use uuid::Uuid;

fn attempt(attempt: u32) -> CallPurpose {
    let context = RequestContext {
        id: Uuid::nil(),
        origin: RequestOrigin::Asynchronous(InvocationId(1)),
        payload: Rc::from([]),
        client_context: None,
        idempotency_key: None,
        tenant: None,
        streams_response: false,
        request_class: 0,
        accepted_at: Duration::ZERO,
        ramp_function: None,
    };
    CallPurpose::Attempt(AttemptCall {
        request: 7,
        attempt,
        context: Rc::new(context),
        worker: Rc::from("127.0.0.1:1"),
        is_streaming: false,
    })
}

#[test]
fn a_call_is_found_by_its_attempt_or_command_until_it_is_removed() {
    let mut calls = OutgoingCalls::default();
    calls.insert(CallId(1), attempt(0));
    calls.insert(CallId(2), CallPurpose::HealthCheck { command: 4 });
    calls.insert(CallId(3), CallPurpose::Load { command: 5 });
    assert_eq!(calls.attempts().get(7, 0), Some(CallId(1)));
    assert_eq!(
        (calls.command_call(4), calls.command_call(5)),
        (Some(CallId(2)), Some(CallId(3)))
    );
    for call in [CallId(1), CallId(2), CallId(3)] {
        assert!(calls.remove(&call).is_some());
        assert!(calls.remove(&call).is_none());
    }
    assert_eq!(calls.attempts().get(7, 0), None);
    assert_eq!((calls.command_call(4), calls.command_call(5)), (None, None));
}

#[test]
fn an_attempt_is_streaming_only_after_its_response_has_begun() {
    let mut calls = OutgoingCalls::default();
    calls.insert(CallId(1), attempt(0));
    calls.insert(CallId(2), attempt(1));
    assert_eq!(calls.streaming_attempt(7), None);
    calls.attempt_mut(&CallId(2)).unwrap().is_streaming = true;
    assert_eq!(calls.streaming_attempt(7), Some(1));
    assert_eq!(calls.streaming_attempt(8), None);
    assert!(calls.attempt_mut(&CallId(3)).is_none());
}
