//! One test for each guarantee of the request table.
use crate::harness::{Harness, MS, SLACK, TIMEOUT, new_request, settings};
use quartzdrift_lifecycle::{FailureReason, FinalResponse};
use quartzdrift_scheduler::interface::{EndpointListKind, EndpointState, Idempotency, Outcome, RejectReason};

#[test]
fn a_request_whose_worker_does_not_respond_fails_at_its_deadline() {
    let mut harness = Harness::new(Idempotency::NonIdempotent, &["a", "b"]);
    let (start, request) = (harness.now, harness.submit(0));
    harness.advance_to(start + TIMEOUT);
    assert_eq!(
        harness.final_response(request),
        FinalResponse::Failed {
            why: FailureReason::DeadlineExceeded
        }
    );
    assert_eq!(harness.final_responses[&request][0].0, start + TIMEOUT - SLACK);
    assert!(harness.in_flight.is_empty());
}

#[test]
fn a_response_after_the_deadline_has_no_effect() {
    let mut harness = Harness::new(Idempotency::NonIdempotent, &["a"]);
    let (start, request) = (harness.now, harness.submit(0));
    harness.advance_to(start + TIMEOUT);
    harness.end_attempt(request, 0, Outcome::Succeeded);
    harness.advance_to(start + TIMEOUT * 3);
    assert_eq!(
        harness.final_response(request),
        FinalResponse::Failed {
            why: FailureReason::DeadlineExceeded
        }
    );
}

#[test]
fn an_unsent_attempt_to_a_draining_worker_is_retried_on_another_worker() {
    let mut harness = Harness::new(Idempotency::NonIdempotent, &["a", "b"]);
    let request = harness.submit(0);
    let first = harness.sent[0].1.clone();
    harness.update_endpoints(
        EndpointListKind::Changes,
        &[first.as_str()],
        EndpointState::Draining,
    );
    assert_eq!(harness.recalled, [(request, 0)]);
    harness.in_flight.clear();
    harness.request_table.attempt_recalled(harness.now, request, 0);
    harness.record_outputs();
    assert_eq!(harness.sent.len(), 2);
    assert_ne!(harness.sent[1].1, first);
    harness.end_attempt(request, 1, Outcome::Succeeded);
    assert_eq!(harness.final_response(request), FinalResponse::Succeeded);
}

#[test]
fn a_cancelled_non_idempotent_request_is_not_retried() {
    let mut harness = Harness::new(Idempotency::NonIdempotent, &["a", "b"]);
    let request = harness.submit(0);
    harness.request_table.client_disconnected(harness.now, request);
    harness.record_outputs();
    assert_eq!(harness.final_response(request), FinalResponse::Cancelled);
    harness.end_attempt(request, 0, Outcome::Reset);
    let later = harness.now + TIMEOUT * 2;
    harness.advance_to(later);
    assert_eq!(harness.sent.len(), 1);
    assert_eq!(
        (
            harness.request_table.open_requests(),
            harness.request_table.attempts_in_flight()
        ),
        (0, 0)
    );
}

#[test]
fn an_attempt_whose_client_disconnected_ends_by_the_deadline() {
    let mut harness = Harness::new(Idempotency::NonIdempotent, &["a"]);
    let request = harness.submit(0);
    harness.request_table.client_disconnected(harness.now, request);
    harness.record_outputs();
    let later = harness.now + TIMEOUT;
    harness.advance_to(later);
    assert_eq!(
        (
            harness.request_table.attempts_in_flight(),
            harness.in_flight.len()
        ),
        (0, 0)
    );
}

#[test]
fn without_workers_requests_are_rejected_at_once() {
    let mut harness = Harness::new(Idempotency::NonIdempotent, &["a", "b"]);
    harness.update_endpoints(EndpointListKind::Full, &[], EndpointState::Up);
    let request = harness.submit(0);
    assert!(matches!(
        harness.final_response(request),
        FinalResponse::Rejected {
            may_have_executed: None,
            ..
        }
    ));
}

#[test]
fn a_rejection_states_when_the_first_attempt_that_may_have_executed_was_sent() {
    let mut harness = Harness::new(Idempotency::IdempotentWithKey, &["a"]);
    let (start, request) = (harness.now, harness.submit(0));
    harness.advance_to(start + 10 * MS);
    harness.end_attempt(request, 0, Outcome::Reset);
    assert!(matches!(
        harness.final_response(request),
        FinalResponse::Rejected { may_have_executed: Some(at), .. } if at == start
    ));
}

#[test]
fn a_streaming_response_has_no_deadline_and_is_not_retried() {
    let mut harness = Harness::new(Idempotency::Idempotent, &["a", "b"]);
    let (start, request) = (harness.now, harness.submit(0));
    harness.request_table.streaming_started(start, request, 0);
    harness.advance_to(start + TIMEOUT * 5);
    assert!(harness.final_responses.is_empty());
    harness.end_attempt(request, 0, Outcome::Reset);
    assert_eq!(harness.final_response(request), FinalResponse::Succeeded);
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn an_unsent_request_is_rejected_at_its_deadline_whatever_its_idempotency() {
    for idempotency in [
        Idempotency::NonIdempotent,
        Idempotency::IdempotentWithKey,
        Idempotency::Idempotent,
    ] {
        let mut harness = Harness {
            may_have_been_sent: false,
            ..Harness::new(idempotency, &["a"])
        };
        let (start, request) = (harness.now, harness.submit(0));
        harness.advance_to(start + TIMEOUT);
        assert!(
            matches!(
                harness.final_response(request),
                FinalResponse::Rejected {
                    may_have_executed: None,
                    ..
                }
            ),
            "{idempotency:?}"
        );
        assert_eq!(
            (harness.sent.len(), harness.request_table.attempts_in_flight()),
            (1, 0)
        );
    }
}

#[test]
fn shutdown_answers_every_open_request() {
    let mut harness = Harness::new(Idempotency::NonIdempotent, &["a"]);
    let request = harness.submit(0);
    harness.request_table.shut_down(harness.now, |_, _| true);
    harness.record_outputs();
    assert_eq!(
        harness.final_response(request),
        FinalResponse::Failed {
            why: FailureReason::ShuttingDown
        }
    );
    assert_eq!(harness.request_table.open_requests(), 0);
}

#[test]
fn shutdown_answers_by_idempotency_and_starts_no_attempt() {
    use Idempotency::{Idempotent, IdempotentWithKey, NonIdempotent};
    for (idempotency, cancel, may_have_been_sent, is_rejected) in [
        (Idempotent, true, true, true),
        // The attempt cannot be cancelled, so it would still execute while the client retries.
        (Idempotent, false, true, false),
        (Idempotent, false, false, true),
        (IdempotentWithKey, true, true, false),
        (IdempotentWithKey, true, false, true),
        (NonIdempotent, true, true, false),
        (NonIdempotent, false, false, true),
    ] {
        let mut settings = settings(&[idempotency]);
        settings.limits.cancel = cancel;
        let mut harness = Harness::with_settings(&settings, &["a", "b"]);
        let request = harness.submit(0);
        harness
            .request_table
            .shut_down(harness.now, |_, _| may_have_been_sent);
        harness.record_outputs();
        let response = harness.final_response(request);
        let rejected = matches!(
            response,
            FinalResponse::Rejected {
                retry_after: None,
                may_have_executed: None,
                reason: RejectReason::ShuttingDown,
            }
        );
        assert_eq!(
            rejected, is_rejected,
            "{idempotency:?} {cancel} {may_have_been_sent}: {response:?}"
        );
        assert!(
            rejected
                || response
                    == FinalResponse::Failed {
                        why: FailureReason::ShuttingDown
                    }
        );
        // A rejected request leaves no attempt in flight.
        assert_eq!(
            harness.in_flight.is_empty(),
            rejected,
            "{idempotency:?} {cancel} {may_have_been_sent}"
        );
        assert_eq!(
            (harness.sent.len(), harness.request_table.open_requests()),
            (1, 0)
        );
    }
}

#[test]
fn a_request_during_a_drain_has_the_shutdown_deadline() {
    let mut harness = Harness::new(Idempotency::NonIdempotent, &["a"]);
    let start = harness.now;
    let shutdown_deadline = start + TIMEOUT / 4;
    harness.request_table.set_shutdown_deadline(shutdown_deadline);
    let request = harness.submit(0);
    harness.advance_to(shutdown_deadline - MS);
    assert!(harness.final_responses.is_empty());
    harness.advance_to(shutdown_deadline);
    assert_eq!(
        harness.final_responses[&request],
        [(
            start + TIMEOUT / 4,
            FinalResponse::Failed {
                why: FailureReason::DeadlineExceeded
            }
        )]
    );
    // A request after the shutdown deadline is returned before it executes, so a retry is safe.
    assert_eq!(harness.request_table.submit(harness.now, new_request(0)), Err(7));
}

#[test]
fn requests_beyond_the_open_limit_are_returned() {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.limits.max_open_requests = Some(2);
    let mut harness = Harness::with_settings(&settings, &["a"]);
    harness.submit(0);
    harness.submit(0);
    assert_eq!(harness.request_table.submit(harness.now, new_request(0)), Err(7));
}
