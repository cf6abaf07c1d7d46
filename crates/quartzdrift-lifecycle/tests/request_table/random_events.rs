//! Property test of the request table's guarantees under random sequences of events.
use crate::harness::{Harness, MS, SLACK, TIMEOUT, settings};
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use quartzdrift_lifecycle::FinalResponse;
use quartzdrift_scheduler::interface::{EndpointListKind, EndpointState, Idempotency, Outcome, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Workers that occur in a sequence; the first three are up from the start.
const WORKERS: [&str; 4] = ["a", "b", "c", "d"];
/// Index of the non-idempotent request class in the settings.
const NON_IDEMPOTENT_CLASS: u32 = 2;

/// One event of a random sequence. An index into a collection is taken modulo the size of the collection.
#[derive(Clone, Debug)]
enum Step {
    /// A client submits a request of a class.
    Submit(u32),
    /// Time passes, in milliseconds.
    Wait(u64),
    /// An attempt in flight ends with an outcome.
    EndAttempt(usize, Outcome),
    /// The client of a request disconnects.
    ClientDisconnected(usize),
    /// A worker changes its state on the endpoint list.
    UpdateEndpoint(usize, EndpointState),
    /// A full endpoint list arrives that names only worker "a".
    ReplaceEndpoints,
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(Outcome::Succeeded),
        Just(Outcome::Error),
        Just(Outcome::AtCapacity),
        Just(Outcome::ConnectFailed),
        Just(Outcome::Reset),
        Just(Outcome::CacheMiss),
    ];
    let state = prop_oneof![
        Just(EndpointState::Up),
        Just(EndpointState::Draining),
        Just(EndpointState::Gone)
    ];
    prop_oneof![
        4 => (0u32..3).prop_map(Step::Submit),
        4 => (1u64..700).prop_map(Step::Wait),
        4 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::EndAttempt(index, outcome)),
        1 => any::<usize>().prop_map(Step::ClientDisconnected),
        1 => (0usize..4, state).prop_map(|(index, state)| Step::UpdateEndpoint(index, state)),
        1 => Just(Step::ReplaceEndpoints),
    ]
}

/// State of a run of one sequence of events.
struct Run {
    harness: Harness,
    /// Request class and submission time of each request.
    submitted: BTreeMap<RequestId, (u32, Duration)>,
    /// Requests with an ended attempt that may have executed.
    may_have_executed: BTreeSet<RequestId>,
}

impl Run {
    fn apply(&mut self, step: Step) {
        let harness = &mut self.harness;
        match step {
            Step::Submit(request_class) => {
                let at = harness.now;
                self.submitted
                    .insert(harness.submit(request_class), (request_class, at));
            }
            Step::Wait(ms) => self.wait(ms),
            Step::EndAttempt(index, outcome) => self.end_attempt(index, outcome),
            Step::ClientDisconnected(index) => self.disconnect_client(index),
            Step::UpdateEndpoint(index, state) => {
                harness.update_endpoints(EndpointListKind::Changes, &[WORKERS[index]], state);
            }
            Step::ReplaceEndpoints => {
                harness.update_endpoints(EndpointListKind::Full, &["a"], EndpointState::Up);
            }
        }
    }

    fn requests_in_flight(&self) -> BTreeSet<RequestId> {
        let attempts = self.harness.in_flight.keys();
        attempts.map(|(request, _)| *request).collect()
    }

    fn wait(&mut self, ms: u64) {
        let before = self.requests_in_flight();
        let at = self.harness.now + ms as u32 * MS;
        self.harness.advance_to(at);
        // Attempts that ended while time passed were timed out or cancelled, so they may have executed.
        let after = self.requests_in_flight();
        self.may_have_executed.extend(before.difference(&after));
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        let attempts: Vec<(RequestId, u32)> = self.harness.in_flight.keys().copied().collect();
        let Some(&(request, attempt)) = attempts.get(index % attempts.len().max(1)) else {
            return;
        };
        if matches!(outcome, Outcome::Error | Outcome::Reset) {
            self.may_have_executed.insert(request);
        }
        self.harness.end_attempt(request, attempt, outcome);
    }

    fn disconnect_client(&mut self, index: usize) {
        let requests: Vec<RequestId> = self.submitted.keys().copied().collect();
        let Some(&request) = requests.get(index % requests.len().max(1)) else {
            return;
        };
        let now = self.harness.now;
        self.harness.request_table.client_disconnected(now, request);
        self.harness.record_outputs();
    }
}

proptest! {
    /// For any sequence of events, each request gets one final response by its deadline and never has two
    /// attempts in flight, which the harness checks when an attempt is sent. A non-idempotent request is
    /// retried only if its earlier attempts cannot have executed.
    #[test]
    fn any_sequence_of_events_keeps_the_guarantees(steps in proptest::collection::vec(step(), 1..120)) {
        let idempotency_kinds = [
            Idempotency::Idempotent,
            Idempotency::IdempotentWithKey,
            Idempotency::NonIdempotent,
        ];
        let mut run = Run {
            harness: Harness::with_settings(&settings(&idempotency_kinds), &WORKERS[..3]),
            submitted: BTreeMap::new(),
            may_have_executed: BTreeSet::new(),
        };
        let mut sent_before = 0;
        for step in steps {
            run.apply(step);
            for (request, _) in &run.harness.sent[sent_before..] {
                let is_idempotent = run.submitted[request].0 != NON_IDEMPOTENT_CLASS;
                prop_assert!(
                    is_idempotent || !run.may_have_executed.contains(request),
                    "non-idempotent request {request} was retried although it may have executed"
                );
            }
            sent_before = run.harness.sent.len();
        }
        let end = run.harness.now + TIMEOUT * 2;
        run.harness.advance_to(end);
        for (request, (request_class, at)) in run.submitted {
            let responses = run.harness.final_responses.get(&request).cloned().unwrap_or_default();
            prop_assert_eq!(
                responses.len(), 1,
                "final responses of request {} of class {}: {:?}", request, request_class, responses
            );
            prop_assert!(responses[0].0 <= at + TIMEOUT - SLACK);
            let rejected = matches!(responses[0].1, FinalResponse::Rejected { .. });
            let is_non_idempotent = request_class == NON_IDEMPOTENT_CLASS;
            prop_assert!(
                !(is_non_idempotent && rejected && run.may_have_executed.contains(&request)),
                "non-idempotent request {} was rejected although it may have executed", request
            );
        }
        let table = &run.harness.request_table;
        prop_assert_eq!((table.open_requests(), table.attempts_in_flight()), (0, 0));
    }
}
