//! A request table without sockets: the outputs are recorded, and the test decides how attempts end.
use quartzdrift_lifecycle::{AttemptResult, FinalAnswer, NewRequest, Output, RequestTable};
use quartzdrift_scheduler::interface::{
    ActionLimits, Endpoint, EndpointListKind, EndpointState, Idempotency, Outcome, RequestClass, RequestId,
    Rules, Settings,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

pub(crate) const MS: Duration = Duration::from_millis(1);
/// The request classes' timeout.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(1000);
pub(crate) const SLACK: Duration = Duration::from_millis(50);

pub(crate) fn settings(idempotency_kinds: &[Idempotency]) -> Settings {
    let request_class = |idempotency: &Idempotency| RequestClass {
        idempotency: *idempotency,
        timeout: Some(TIMEOUT),
        deduplication_window: Some(Duration::from_secs(5)),
        ..RequestClass::default()
    };
    Settings {
        request_classes: idempotency_kinds.iter().map(request_class).collect(),
        limits: ActionLimits {
            cancel: true,
            max_attempts: Some(3),
            ..ActionLimits::default()
        },
        rules: Rules {
            response_slack: Some(SLACK),
            drain_grace: Some(250 * MS),
            ..Rules::default()
        },
        ..Settings::default()
    }
}

pub(crate) fn new_request(request_class: u32) -> NewRequest<u32> {
    NewRequest {
        request_class,
        tenant: 0,
        function: Rc::from("f"),
        left: TIMEOUT,
        work_hint: None,
        memory_mb: None,
        concurrency_slots: None,
        load_hint: None,
        is_retry: false,
        writes: false,
        payload: 7,
    }
}

/// A request table whose outputs are recorded in place of being sent.
pub(crate) struct Harness {
    pub(crate) request_table: RequestTable<u32>,
    pub(crate) now: Duration,
    /// Each final answer with its time.
    pub(crate) final_answers: BTreeMap<RequestId, Vec<(Duration, FinalAnswer)>>,
    /// Attempts in flight, by their workers.
    pub(crate) in_flight: BTreeMap<(RequestId, u32), String>,
    pub(crate) recalled: Vec<(RequestId, u32)>,
    /// Every attempt so far, in order.
    pub(crate) sent: Vec<(RequestId, String)>,
    /// Whether bytes of the attempts in flight have been sent.
    pub(crate) has_left: bool,
}

impl Harness {
    pub(crate) fn new(idempotency: Idempotency, workers: &[&str]) -> Harness {
        Harness::with_settings(&settings(&[idempotency]), workers)
    }

    pub(crate) fn with_settings(settings: &Settings, workers: &[&str]) -> Harness {
        let now = Duration::from_secs(1000);
        let mut harness = Harness {
            request_table: RequestTable::new(settings, 5),
            now,
            final_answers: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            recalled: Vec::new(),
            sent: Vec::new(),
            has_left: true,
        };
        harness.update_endpoints(EndpointListKind::Snapshot, workers, EndpointState::Up);
        harness
    }

    pub(crate) fn update_endpoints(
        &mut self,
        kind: EndpointListKind,
        workers: &[&str],
        state: EndpointState,
    ) {
        let entries = workers
            .iter()
            .map(|worker| Endpoint {
                worker,
                state,
                ..Endpoint::default()
            })
            .collect();
        self.request_table.update_endpoints(self.now, kind, entries);
        self.record_outputs();
    }

    pub(crate) fn record_outputs(&mut self) {
        for output in self.request_table.outputs() {
            match output {
                Output::StartAttempt {
                    request,
                    attempt,
                    worker,
                    ..
                } => {
                    let other = self.in_flight.keys().any(|(other, _)| *other == request);
                    assert!(!other, "request {request} has two attempts in flight");
                    self.sent.push((request, worker.to_string()));
                    self.in_flight.insert((request, attempt), worker.to_string());
                }
                Output::CancelAttempt { request, attempt } => {
                    drop(self.in_flight.remove(&(request, attempt)))
                }
                Output::RecallAttempt { request, attempt } => self.recalled.push((request, attempt)),
                Output::Respond { request, answer, .. } => self
                    .final_answers
                    .entry(request)
                    .or_default()
                    .push((self.now, answer)),
                _ => {}
            }
        }
    }

    pub(crate) fn request(&mut self, request_class: u32) -> RequestId {
        let request = self
            .request_table
            .submit(self.now, new_request(request_class))
            .unwrap();
        self.record_outputs();
        request
    }

    /// Moves the clock to `at`, handling every timer at its time.
    pub(crate) fn advance_to(&mut self, at: Duration) {
        while let Some(due) = self.request_table.next_deadline().filter(|due| *due <= at) {
            self.now = self.now.max(due);
            let has_left = self.has_left;
            self.request_table.due(self.now, |_, _| has_left);
            self.record_outputs();
        }
        self.now = at;
    }

    pub(crate) fn end_attempt(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        self.in_flight.remove(&(request, attempt));
        self.request_table
            .attempt_ended(self.now, request, attempt, AttemptResult::silent(outcome));
        self.record_outputs();
    }

    pub(crate) fn answer(&self, request: RequestId) -> FinalAnswer {
        let answers = &self.final_answers[&request];
        assert_eq!(answers.len(), 1, "{answers:?}");
        answers[0].1
    }
}
