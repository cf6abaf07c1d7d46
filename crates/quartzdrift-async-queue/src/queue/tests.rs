use super::completion::MAX_HOPS;
use super::{InvocationQueue, RestoreContext};
use crate::invocation::{Destination, Invocation, InvocationId, StoredInvocation};
use crate::outcome::{AttemptOutcome, NextStep};
use crate::settings::QueueSettings;
use crate::store::{ChangeBuffer, NoStore};
use proptest::prelude::*;
use quartzdrift_scheduler::interface::Idempotency;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

fn settings() -> QueueSettings {
    QueueSettings {
        max_attempts: 3,
        first_retry_delay: Duration::from_secs(1),
        max_retry_delay: Duration::from_secs(60),
        max_age: Duration::from_secs(600),
        max_invocations: 10,
        max_bytes: 10_000,
        max_concurrent_attempts: 2,
    }
}

fn invocation(idempotency: Idempotency) -> Invocation {
    Invocation {
        function: "f".into(),
        tenant: 0,
        idempotency,
        deduplicated_by_all: true,
        deduplication_window: Duration::from_secs(5),
        payload: Rc::from(&b"{}"[..]),
        context: None,
        idempotency_key: None,
        on_success: None,
        on_failure: Some(Destination::Function("dead".into())),
        schedule: None,
        hops: 0,
    }
}

fn queue() -> InvocationQueue<NoStore> {
    InvocationQueue::new(settings(), NoStore, 1)
}

fn step_name(step: Option<NextStep>) -> &'static str {
    match step {
        Some(NextStep::Completed(completed)) => completed.condition.as_str(),
        Some(NextStep::Retry { .. }) => "retry",
        None => "none",
    }
}

#[test]
fn an_attempt_that_may_have_executed_is_retried_only_if_its_request_class_allows_it() {
    let error = AttemptOutcome::Succeeded { function_error: true };
    for (idempotency, outcome, expected) in [
        (Idempotency::Idempotent, error, "retry"),
        (Idempotency::Idempotent, AttemptOutcome::Failed, "retry"),
        (Idempotency::IdempotentWithKey, error, "RetriesExhausted"),
        (Idempotency::NonIdempotent, error, "RetriesExhausted"),
        (
            Idempotency::NonIdempotent,
            AttemptOutcome::Failed,
            "RetriesExhausted",
        ),
        (
            Idempotency::NonIdempotent,
            AttemptOutcome::Rejected {
                retry_after: None,
                may_have_executed: None,
            },
            "retry",
        ),
        (
            Idempotency::NonIdempotent,
            AttemptOutcome::Succeeded {
                function_error: false,
            },
            "Success",
        ),
    ] {
        let mut queue = queue();
        let id = queue.submit(Duration::ZERO, invocation(idempotency)).unwrap();
        queue.take_due(Duration::ZERO).unwrap();
        let step = queue.attempt_ended(Duration::ZERO, id, outcome);
        assert_eq!(step_name(step), expected, "{idempotency:?} {outcome:?}");
    }
}

#[test]
fn an_invocation_with_a_key_is_not_retried_after_its_deduplication_window() {
    let mut queue = queue();
    let start = Duration::from_secs(100);
    let id = queue
        .submit(start, invocation(Idempotency::IdempotentWithKey))
        .unwrap();
    queue.take_due(start).unwrap();
    let outcome = AttemptOutcome::Rejected {
        retry_after: Some(Duration::from_millis(10)),
        may_have_executed: Some(start),
    };
    let Some(NextStep::Retry { at }) = queue.attempt_ended(start, id, outcome) else {
        panic!()
    };
    let attempt = queue.take_due(at).unwrap();
    assert_eq!(attempt.time_left, Some(start + Duration::from_secs(5) - at));
    let rejected_after_window = AttemptOutcome::Rejected {
        retry_after: Some(Duration::from_secs(5)),
        may_have_executed: Some(at),
    };
    assert_eq!(
        step_name(queue.attempt_ended(at, id, rejected_after_window)),
        "RetriesExhausted"
    );
}

#[test]
fn rejected_attempts_are_limited_by_age_and_not_by_number() {
    let mut queue = queue();
    let id = queue
        .submit(Duration::ZERO, invocation(Idempotency::NonIdempotent))
        .unwrap();
    let mut now = Duration::ZERO;
    let mut rejections = 0;
    loop {
        queue.take_due(now).unwrap();
        rejections += 1;
        let retry_after = Duration::from_secs(1);
        match queue
            .attempt_ended(
                now,
                id,
                AttemptOutcome::Rejected {
                    retry_after: Some(retry_after),
                    may_have_executed: None,
                },
            )
            .unwrap()
        {
            NextStep::Retry { at } => {
                assert!(at >= now + retry_after);
                now = at;
            }
            NextStep::Completed(completed) => {
                assert_eq!(
                    (completed.condition.as_str(), completed.attempts),
                    ("EventAgeExceeded", 0)
                );
                assert_eq!(completed.destination, Some(Destination::Function("dead".into())));
                break;
            }
        }
    }
    assert!(rejections > 3 && queue.is_empty() && queue.bytes() == 0);
}

/// A restart of the gateway alone, with the current store.
const WORKERS_KEPT_RUNNING: RestoreContext = RestoreContext {
    keys_retained: true,
    store_is_outdated: false,
};
const KEYS_LOST: RestoreContext = RestoreContext {
    keys_retained: false,
    store_is_outdated: false,
};
const OUTDATED_STORE: RestoreContext = RestoreContext {
    keys_retained: true,
    store_is_outdated: true,
};

/// Restores invocation 7 at second 100. Returns the queue, and the condition of the completion, `retry` or
/// `none`. `started`: the second at which the interrupted attempt started.
fn queue_after_restore(
    idempotency: Idempotency,
    deduplicated_by_all: bool,
    started: Option<u64>,
    context: RestoreContext,
) -> (InvocationQueue<ChangeBuffer>, &'static str) {
    let mut queue = InvocationQueue::new(settings(), ChangeBuffer::new(true), 1);
    let stored = StoredInvocation {
        id: InvocationId(7),
        invocation: Invocation {
            deduplicated_by_all,
            ..invocation(idempotency)
        },
        accepted_at: Duration::from_secs(80),
        due_at: Duration::from_secs(85),
        attempts: u32::from(started.is_some()),
        deduplication_deadline: None,
        attempt_started_at: started.map(Duration::from_secs),
    };
    let step = queue.restore(Duration::from_secs(100), stored, context);
    (queue, step_name(step))
}

#[test]
fn an_attempt_interrupted_by_a_restart_is_retried_only_if_that_is_safe() {
    use Idempotency::{Idempotent, IdempotentWithKey, NonIdempotent};
    for (idempotency, deduplicated_by_all, started, context, expected) in [
        (NonIdempotent, true, None, WORKERS_KEPT_RUNNING, "none"),
        (
            NonIdempotent,
            true,
            Some(99),
            WORKERS_KEPT_RUNNING,
            "RetriesExhausted",
        ),
        (Idempotent, true, Some(99), WORKERS_KEPT_RUNNING, "retry"),
        (IdempotentWithKey, true, Some(99), WORKERS_KEPT_RUNNING, "retry"),
        (
            IdempotentWithKey,
            true,
            Some(90),
            WORKERS_KEPT_RUNNING,
            "RetriesExhausted",
        ),
        (
            IdempotentWithKey,
            false,
            Some(99),
            WORKERS_KEPT_RUNNING,
            "RetriesExhausted",
        ),
        (IdempotentWithKey, true, Some(99), KEYS_LOST, "RetriesExhausted"),
        (IdempotentWithKey, true, None, KEYS_LOST, "none"),
        (NonIdempotent, true, None, OUTDATED_STORE, "RetriesExhausted"),
        (IdempotentWithKey, true, None, OUTDATED_STORE, "RetriesExhausted"),
        (Idempotent, true, None, OUTDATED_STORE, "none"),
    ] {
        let (mut queue, step) = queue_after_restore(idempotency, deduplicated_by_all, started, context);
        assert_eq!(
            step, expected,
            "{idempotency:?} {deduplicated_by_all} {started:?}"
        );
        assert_eq!(queue.store_mut().take().len(), usize::from(expected != "none"));
        if expected == "none" {
            let attempt = queue.take_due(Duration::from_secs(100)).unwrap();
            assert_eq!(attempt.id, InvocationId(7));
        }
        let next = queue.submit(Duration::from_secs(101), invocation(idempotency));
        assert_eq!(next, Ok(InvocationId(8)));
    }
}

#[test]
fn tenants_are_served_round_robin_within_the_attempt_limit() {
    let mut queue = InvocationQueue::new(
        QueueSettings {
            max_invocations: 100,
            max_bytes: 100_000,
            max_concurrent_attempts: 64,
            ..settings()
        },
        NoStore,
        1,
    );
    queue.reserve_ids(InvocationId(40));
    for n in 0..30 {
        let invocation = Invocation {
            tenant: u32::from(n >= 24) + u32::from(n >= 27),
            ..invocation(Idempotency::Idempotent)
        };
        assert_eq!(
            queue.submit(Duration::from_millis(n), invocation),
            Ok(InvocationId(41 + n))
        );
    }
    let now = Duration::from_secs(1);
    queue.set_attempt_limit(0);
    assert!(queue.next_due().is_none());
    assert!(queue.take_due(now).is_none());
    queue.set_attempt_limit(9);
    let tenants: Vec<u32> = std::iter::from_fn(|| queue.take_due(now))
        .map(|attempt| attempt.invocation.tenant)
        .collect();
    assert_eq!(tenants, [0, 1, 2, 0, 1, 2, 0, 1, 2]);
    queue.set_attempt_limit(1000);
    assert_eq!(std::iter::from_fn(|| queue.take_due(now)).count(), 21);
}

#[test]
fn a_cycle_of_destinations_ends_after_the_maximum_chain_length() {
    let mut queue = queue();
    let id = queue
        .submit(
            Duration::ZERO,
            Invocation {
                hops: MAX_HOPS,
                ..invocation(Idempotency::NonIdempotent)
            },
        )
        .unwrap();
    queue.take_due(Duration::ZERO).unwrap();
    let Some(NextStep::Completed(completed)) =
        queue.attempt_ended(Duration::ZERO, id, AttemptOutcome::Failed)
    else {
        panic!()
    };
    assert_eq!(completed.destination, None);
}

proptest! {
    /// In any order of events the limits hold, and each invocation has at most one running attempt.
    #[test]
    fn limits_hold_in_any_order_of_events(
        steps in proptest::collection::vec((0u8..4, 0u64..12, 0u64..3000), 1..200),
    ) {
        let mut queue = queue();
        let mut now = Duration::ZERO;
        let mut running = BTreeSet::new();
        for (event, id, elapsed_ms) in steps {
            now += Duration::from_millis(elapsed_ms);
            match event {
                0 => drop(queue.submit(now, invocation(Idempotency::Idempotent))),
                1 => while let Some(attempt) = queue.take_due(now) {
                    prop_assert!(running.insert(attempt.id), "two attempts run: {:?}", attempt.id);
                },
                _ => {
                    let outcome = match event {
                        2 => AttemptOutcome::Failed,
                        _ => AttemptOutcome::Rejected { retry_after: None, may_have_executed: None },
                    };
                    let step = queue.attempt_ended(now, InvocationId(id), outcome);
                    prop_assert_eq!(step.is_some(), running.remove(&InvocationId(id)));
                }
            }
            prop_assert!(queue.len() <= 10 && queue.bytes() <= 10_000 && running.len() <= 2);
        }
    }
}
