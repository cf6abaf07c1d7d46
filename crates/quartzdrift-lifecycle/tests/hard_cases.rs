//! Hard cases at the request table, with the real decision module and without sockets.
use proptest::prelude::*;
use quartzdrift_lifecycle::*;
use quartzdrift_scheduler::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const LIMIT: Duration = Duration::from_millis(1000);
const SLACK: Duration = Duration::from_millis(50);

fn settings(idempotency_kinds: &[Idempotency]) -> Settings {
    let request_class = |idempotency: &Idempotency| RequestClass {
        idempotency: *idempotency,
        timeout: Some(LIMIT),
        window: Some(Duration::from_secs(5)),
        ..RequestClass::default()
    };
    Settings {
        request_classes: idempotency_kinds.iter().map(request_class).collect(),
        allowed: Allowed {
            cancel: true,
            max_attempts: Some(3),
            ..Allowed::default()
        },
        rules: Rules {
            answer_slack: Some(SLACK),
            drain_grace: Some(250 * MS),
            ..Rules::default()
        },
        ..Settings::default()
    }
}

fn new_request(request_class: u32) -> NewRequest<u32> {
    NewRequest {
        request_class,
        tenant: 0,
        function: Rc::from("f"),
        left: LIMIT,
        work_hint: None,
        memory_mb: None,
        concurrency_slots: None,
        load_hint: None,
        is_retry: false,
        writes: false,
        payload: 7,
    }
}

struct Stage {
    request_table: RequestTable<u32>,
    now: Duration,
    finals: BTreeMap<RequestId, Vec<(Duration, FinalAnswer)>>,
    out: BTreeMap<(RequestId, u32), String>,
    recall: Vec<(RequestId, u32)>,
    sent: Vec<(RequestId, String)>,
    /// What is out has left.
    left: bool,
}

impl Stage {
    fn new(idempotency: Idempotency, workers: &[&str]) -> Stage {
        Stage::of(&settings(&[idempotency]), workers)
    }

    fn of(settings: &Settings, workers: &[&str]) -> Stage {
        let now = Duration::from_secs(1000);
        let mut stage = Stage {
            request_table: RequestTable::new(settings, 5),
            now,
            finals: BTreeMap::new(),
            out: BTreeMap::new(),
            recall: Vec::new(),
            sent: Vec::new(),
            left: true,
        };
        stage.list(EndpointListKind::Snapshot, workers, EndpointState::Up);
        stage
    }

    fn list(&mut self, form: EndpointListKind, workers: &[&str], state: EndpointState) {
        let entries = workers
            .iter()
            .map(|worker| Endpoint {
                worker,
                state,
                ..Endpoint::default()
            })
            .collect();
        self.request_table.update_endpoints(self.now, form, entries);
        self.look();
    }

    fn look(&mut self) {
        for output in self.request_table.outputs() {
            match output {
                Output::StartAttempt {
                    request,
                    attempt,
                    worker,
                    ..
                } => {
                    let other = self.out.keys().any(|(of, _)| *of == request);
                    assert!(!other, "job {request} has two executions out");
                    self.sent.push((request, worker.to_string()));
                    self.out.insert((request, attempt), worker.to_string());
                }
                Output::CancelAttempt { request, attempt } => drop(self.out.remove(&(request, attempt))),
                Output::RecallAttempt { request, attempt } => self.recall.push((request, attempt)),
                Output::Respond { request, answer, .. } => {
                    self.finals.entry(request).or_default().push((self.now, answer))
                }
                _ => {}
            }
        }
    }

    fn request(&mut self, request_class: u32) -> RequestId {
        let request = self
            .request_table
            .submit(self.now, new_request(request_class))
            .unwrap();
        self.look();
        request
    }

    /// Goes on in time, doing what is due.
    fn until(&mut self, at: Duration) {
        while let Some(due) = self.request_table.next_deadline().filter(|due| *due <= at) {
            self.now = self.now.max(due);
            let left = self.left;
            self.request_table.due(self.now, |_, _| left);
            self.look();
        }
        self.now = at;
    }

    fn end(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        self.out.remove(&(request, attempt));
        self.request_table
            .attempt_ended(self.now, request, attempt, AttemptResult::silent(outcome));
        self.look();
    }

    fn answer(&self, request: RequestId) -> FinalAnswer {
        let finals = &self.finals[&request];
        assert_eq!(finals.len(), 1, "{finals:?}");
        finals[0].1
    }
}

#[test]
fn a_worker_that_takes_a_request_and_goes_silent_costs_no_final_answer() {
    let mut stage = Stage::new(Idempotency::NonIdempotent, &["a", "b"]);
    let (start, request) = (stage.now, stage.request(0));
    stage.until(start + LIMIT);
    assert_eq!(
        stage.answer(request),
        FinalAnswer::Failed {
            why: FailureReason::DeadlineExceeded
        }
    );
    assert_eq!(stage.finals[&request][0].0, start + LIMIT - SLACK);
    assert!(stage.out.is_empty());
}

#[test]
fn an_answer_just_after_its_time_out_changes_nothing() {
    let mut stage = Stage::new(Idempotency::NonIdempotent, &["a"]);
    let (start, request) = (stage.now, stage.request(0));
    stage.until(start + LIMIT);
    stage.end(request, 0, Outcome::Succeeded);
    stage.until(start + LIMIT * 3);
    assert_eq!(
        stage.answer(request),
        FinalAnswer::Failed {
            why: FailureReason::DeadlineExceeded
        }
    );
}

#[test]
fn a_drain_heard_before_the_request_has_left_sends_it_elsewhere() {
    let mut stage = Stage::new(Idempotency::NonIdempotent, &["a", "b"]);
    let request = stage.request(0);
    let first = stage.sent[0].1.clone();
    stage.list(
        EndpointListKind::Changes,
        &[first.as_str()],
        EndpointState::Draining,
    );
    assert_eq!(stage.recall, [(request, 0)]);
    stage.out.clear();
    stage.request_table.attempt_recalled(stage.now, request, 0);
    stage.look();
    assert_eq!(stage.sent.len(), 2);
    assert_ne!(stage.sent[1].1, first);
    stage.end(request, 1, Outcome::Succeeded);
    assert_eq!(stage.answer(request), FinalAnswer::Succeeded);
}

#[test]
fn a_client_that_hangs_up_is_owed_nothing_and_its_non_idempotent_request_is_not_sent_again() {
    let mut stage = Stage::new(Idempotency::NonIdempotent, &["a", "b"]);
    let request = stage.request(0);
    stage.request_table.client_gone(stage.now, request);
    stage.look();
    assert_eq!(stage.answer(request), FinalAnswer::Cancelled);
    stage.end(request, 0, Outcome::Reset);
    let later = stage.now + LIMIT * 2;
    stage.until(later);
    assert_eq!(stage.sent.len(), 1);
    assert_eq!(
        (
            stage.request_table.open_requests(),
            stage.request_table.attempts_in_flight()
        ),
        (0, 0)
    );
}

#[test]
fn an_attempt_whose_client_left_ends_by_its_limit() {
    let mut stage = Stage::new(Idempotency::NonIdempotent, &["a"]);
    let request = stage.request(0);
    stage.request_table.client_gone(stage.now, request);
    stage.look();
    let later = stage.now + LIMIT;
    stage.until(later);
    assert_eq!(
        (stage.request_table.attempts_in_flight(), stage.out.len()),
        (0, 0)
    );
}

#[test]
fn with_every_worker_gone_requests_are_rejected_at_once() {
    let mut stage = Stage::new(Idempotency::NonIdempotent, &["a", "b"]);
    stage.list(EndpointListKind::Full, &[], EndpointState::Up);
    let request = stage.request(0);
    assert!(matches!(
        stage.answer(request),
        FinalAnswer::Rejected {
            may_have_executed: None,
            ..
        }
    ));
}

#[test]
fn a_reject_tells_since_when_the_request_may_have_run() {
    let mut stage = Stage::new(Idempotency::IdempotentWithKey, &["a"]);
    let (start, request) = (stage.now, stage.request(0));
    stage.until(start + 10 * MS);
    stage.end(request, 0, Outcome::Reset);
    assert!(
        matches!(stage.answer(request), FinalAnswer::Rejected { may_have_executed: Some(at), .. } if at == start)
    );
}

#[test]
fn a_streamed_answer_has_no_limit_and_none_follows_it() {
    let mut stage = Stage::new(Idempotency::Idempotent, &["a", "b"]);
    let (start, request) = (stage.now, stage.request(0));
    stage.request_table.streaming_started(start, request, 0);
    stage.until(start + LIMIT * 5);
    assert!(stage.finals.is_empty());
    stage.end(request, 0, Outcome::Reset);
    assert_eq!(stage.answer(request), FinalAnswer::Succeeded);
    assert_eq!(stage.sent.len(), 1);
}

#[test]
fn what_has_never_left_at_its_limit_is_rejected_whatever_its_kind() {
    for idempotency in [
        Idempotency::NonIdempotent,
        Idempotency::IdempotentWithKey,
        Idempotency::Idempotent,
    ] {
        let mut stage = Stage {
            left: false,
            ..Stage::new(idempotency, &["a"])
        };
        let (start, request) = (stage.now, stage.request(0));
        stage.until(start + LIMIT);
        assert!(
            matches!(
                stage.answer(request),
                FinalAnswer::Rejected {
                    may_have_executed: None,
                    ..
                }
            ),
            "{idempotency:?}"
        );
        assert_eq!(
            (stage.sent.len(), stage.request_table.attempts_in_flight()),
            (1, 0)
        );
    }
}

#[test]
fn a_stop_answers_all_that_is_open() {
    let mut stage = Stage::new(Idempotency::NonIdempotent, &["a"]);
    let request = stage.request(0);
    stage.request_table.shut_down(stage.now, |_, _| true);
    stage.look();
    assert_eq!(
        stage.answer(request),
        FinalAnswer::Failed {
            why: FailureReason::ShuttingDown
        }
    );
    assert_eq!(stage.request_table.open_requests(), 0);
}

#[test]
fn a_stop_ends_each_as_its_kind_demands_and_places_nothing_anew() {
    use Idempotency::*;
    for (idempotency, cancel, left, rejected) in [
        (Idempotent, true, true, true),
        // It would run on, with its client told to come again.
        (Idempotent, false, true, false),
        (Idempotent, false, false, true),
        (IdempotentWithKey, true, true, false),
        (IdempotentWithKey, true, false, true),
        (NonIdempotent, true, true, false),
        (NonIdempotent, false, false, true),
    ] {
        let mut settings = settings(&[idempotency]);
        settings.allowed.cancel = cancel;
        let mut stage = Stage::of(&settings, &["a", "b"]);
        let request = stage.request(0);
        stage.request_table.shut_down(stage.now, |_, _| left);
        stage.look();
        let answer = stage.answer(request);
        let back = matches!(
            answer,
            FinalAnswer::Rejected {
                retry_after: None,
                may_have_executed: None
            }
        );
        assert_eq!(back, rejected, "{idempotency:?} {cancel} {left}: {answer:?}");
        assert!(
            back || answer
                == FinalAnswer::Failed {
                    why: FailureReason::ShuttingDown
                }
        );
        // Rejected, nothing of it is out any more.
        assert_eq!(stage.out.is_empty(), back, "{idempotency:?} {cancel} {left}");
        assert_eq!((stage.sent.len(), stage.request_table.open_requests()), (1, 0));
    }
}

#[test]
fn whoever_comes_during_a_stop_has_no_more_time_than_that_leaves() {
    let mut stage = Stage::new(Idempotency::NonIdempotent, &["a"]);
    let (start, ends) = (stage.now, stage.now + LIMIT / 4);
    stage.request_table.set_shutdown_deadline(ends);
    let request = stage.request(0);
    stage.until(ends - MS);
    assert!(stage.finals.is_empty());
    stage.until(ends);
    assert_eq!(
        stage.finals[&request],
        [(
            start + LIMIT / 4,
            FinalAnswer::Failed {
                why: FailureReason::DeadlineExceeded
            }
        )]
    );
    // Nothing of it ran, so trying again is harmless.
    assert_eq!(stage.request_table.submit(stage.now, new_request(0)), Err(7));
}

#[test]
fn more_requests_than_may_be_open_are_handed_back() {
    let mut settings = settings(&[Idempotency::Idempotent]);
    settings.allowed.max_open = Some(2);
    let mut stage = Stage::of(&settings, &["a"]);
    stage.request(0);
    stage.request(0);
    assert_eq!(stage.request_table.submit(stage.now, new_request(0)), Err(7));
}

/// One step of a random day.
#[derive(Clone, Debug)]
enum Step {
    Request(u32),
    Wait(u64),
    End(usize, Outcome),
    Leave(usize),
    List(usize, EndpointState),
    Empty,
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
        4 => (0u32..3).prop_map(Step::Request),
        4 => (1u64..700).prop_map(Step::Wait),
        4 => (any::<usize>(), outcome).prop_map(|(n, outcome)| Step::End(n, outcome)),
        1 => any::<usize>().prop_map(Step::Leave),
        1 => (0usize..4, state).prop_map(|(n, state)| Step::List(n, state)),
        1 => Just(Step::Empty),
    ]
}

proptest! {
    /// Whatever workers, clients and lists do: one final answer for each request, by its limit; never two attempts
    /// at once (checked as they are sent); non-idempotent requests are sent again only after proof that they never ran.
    #[test]
    fn any_day_keeps_the_rules(steps in proptest::collection::vec(step(), 1..120)) {
        let idempotency_kinds = [Idempotency::Idempotent, Idempotency::IdempotentWithKey, Idempotency::NonIdempotent];
        let mut stage = Stage::of(&settings(&idempotency_kinds), &["a", "b", "c"]);
        let names = ["a", "b", "c", "d"];
        let (mut taken, mut doubtful) = (BTreeMap::new(), BTreeSet::new());
        let mut sent_before = 0;
        for step in steps {
            match step {
                Step::Request(request_class) => {
                    let at = stage.now;
                    taken.insert(stage.request(request_class), (request_class, at));
                }
                Step::Wait(ms) => {
                    let at = stage.now + ms as u32 * MS;
                    let before: Vec<RequestId> = stage.out.keys().map(|(request, _)| *request).collect();
                    stage.until(at);
                    // Timed out or called off: these may have run.
                    let still: BTreeSet<RequestId> = stage.out.keys().map(|(request, _)| *request).collect();
                    doubtful.extend(before.into_iter().filter(|request| !still.contains(request)));
                }
                Step::End(n, outcome) => {
                    let keys: Vec<(RequestId, u32)> = stage.out.keys().copied().collect();
                    if let Some(&(request, attempt)) = keys.get(n % keys.len().max(1)) {
                        if matches!(outcome, Outcome::Error | Outcome::Reset) {
                            doubtful.insert(request);
                        }
                        stage.end(request, attempt, outcome);
                    }
                }
                Step::Leave(n) => {
                    let requests: Vec<RequestId> = taken.keys().copied().collect();
                    if let Some(&request) = requests.get(n % requests.len().max(1)) {
                        stage.request_table.client_gone(stage.now, request);
                        stage.look();
                    }
                }
                Step::List(n, state) => stage.list(EndpointListKind::Changes, &[names[n]], state),
                Step::Empty => stage.list(EndpointListKind::Full, &["a"], EndpointState::Up),
            }
            for (request, _) in &stage.sent[sent_before..] {
                prop_assert!(taken[request].0 != 2 || !doubtful.contains(request), "run-once job {request} sent again");
            }
            sent_before = stage.sent.len();
        }
        let end = stage.now + LIMIT * 2;
        stage.until(end);
        for (request, (request_class, at)) in taken {
            let finals = stage.finals.get(&request).cloned().unwrap_or_default();
            prop_assert_eq!(finals.len(), 1, "job {} of workload {}: {:?}", request, request_class, finals);
            prop_assert!(finals[0].0 <= at + LIMIT - SLACK);
            let rejected = matches!(finals[0].1, FinalAnswer::Rejected { .. });
            prop_assert!(!(request_class == 2 && rejected && doubtful.contains(&request)), "pushed back in doubt");
        }
        prop_assert_eq!((stage.request_table.open_requests(), stage.request_table.attempts_in_flight()), (0, 0));
    }
}
