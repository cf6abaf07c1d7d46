//! Harness that drives a request table without sockets: it records the outputs, and the test decides how
//! attempts end.
use quartzdrift_lifecycle::{AttemptResult, FinalResponse, NewRequest, Output, RequestTable};
use quartzdrift_scheduler::interface::{
    ActionLimits, Endpoint, EndpointListKind, EndpointState, Idempotency, Outcome, RequestClass, RequestId,
    Rules, Settings,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

pub(crate) const MS: Duration = Duration::from_millis(1);
/// Timeout of all request classes, and of the client for each request.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(1000);
/// Response slack in the settings.
pub(crate) const SLACK: Duration = Duration::from_millis(50);

/// Settings with one request class for each of `idempotency_kinds`.
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
        time_left: TIMEOUT,
        work_hint: None,
        memory_mb: None,
        concurrency_slots: None,
        load_hint: None,
        is_retry: false,
        has_side_effects: false,
        payload: 7,
    }
}

/// A request table with a simulated clock and a record of its outputs.
pub(crate) struct Harness {
    pub(crate) request_table: RequestTable<u32>,
    pub(crate) now: Duration,
    /// Final responses of each request, each with the time at which it was given.
    pub(crate) final_responses: BTreeMap<RequestId, Vec<(Duration, FinalResponse)>>,
    /// Workers of the attempts in flight, by request and attempt number.
    pub(crate) in_flight: BTreeMap<(RequestId, u32), String>,
    /// Attempts that the table has recalled, in order.
    pub(crate) recalled: Vec<(RequestId, u32)>,
    /// Request and worker of every attempt that was sent so far, in order.
    pub(crate) sent: Vec<(RequestId, String)>,
    /// Reported to the table for every attempt: whether a byte of it may have been sent.
    pub(crate) may_have_been_sent: bool,
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
            final_responses: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            recalled: Vec::new(),
            sent: Vec::new(),
            may_have_been_sent: true,
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

    /// Records the outputs of the table. Fails the test if a request has two attempts in flight.
    pub(crate) fn record_outputs(&mut self) {
        for output in self.request_table.take_outputs() {
            match output {
                Output::StartAttempt {
                    request,
                    attempt,
                    worker,
                    ..
                } => {
                    let has_attempt = self.in_flight.keys().any(|(other, _)| *other == request);
                    assert!(!has_attempt, "request {request} has two attempts in flight");
                    self.sent.push((request, worker.to_string()));
                    self.in_flight.insert((request, attempt), worker.to_string());
                }
                Output::CancelAttempt { request, attempt } => {
                    drop(self.in_flight.remove(&(request, attempt)))
                }
                Output::RecallAttempt { request, attempt } => self.recalled.push((request, attempt)),
                Output::Respond {
                    request, response, ..
                } => self
                    .final_responses
                    .entry(request)
                    .or_default()
                    .push((self.now, response)),
                _ => {}
            }
        }
    }

    pub(crate) fn submit(&mut self, request_class: u32) -> RequestId {
        let request = self
            .request_table
            .submit(self.now, new_request(request_class))
            .unwrap();
        self.record_outputs();
        request
    }

    /// Moves the clock to `at`. Fires each timer that is due by then, with the clock at its due time.
    pub(crate) fn advance_to(&mut self, at: Duration) {
        while let Some(deadline) = self
            .request_table
            .next_deadline()
            .filter(|deadline| *deadline <= at)
        {
            self.now = self.now.max(deadline);
            let may_have_been_sent = self.may_have_been_sent;
            self.request_table
                .fire_timers(self.now, |_, _| may_have_been_sent);
            self.record_outputs();
        }
        self.now = at;
    }

    pub(crate) fn end_attempt(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        self.in_flight.remove(&(request, attempt));
        self.request_table.attempt_ended(
            self.now,
            request,
            attempt,
            AttemptResult::without_response(outcome),
        );
        self.record_outputs();
    }

    /// The only final response of a request.
    pub(crate) fn final_response(&self, request: RequestId) -> FinalResponse {
        let responses = &self.final_responses[&request];
        assert_eq!(
            responses.len(),
            1,
            "final responses of request {request}: {responses:?}"
        );
        responses[0].1
    }
}
