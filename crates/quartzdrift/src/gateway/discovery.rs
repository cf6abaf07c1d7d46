//! Where the endpoint list comes from: polled at intervals, and pushed over server-sent events.
use super::{CallPurpose, Gateway};
use crate::settings::Settings;
use quartzdrift_discovery::event_stream::{EventReader, ServerSentEvent};
use quartzdrift_discovery::list::ListError;
use quartzdrift_discovery::{DiscoveredEndpoint, ListDecision, list};
use quartzdrift_http::{CallId, Headers, OutgoingRequest};
use quartzdrift_scheduler::interface::{DiscoveryMode, EndpointListKind};
use std::rc::Rc;
use std::time::Duration;

/// Delay before a lost stream is opened again, as its source may be restarting.
const STREAM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A poll without an answer yet.
struct PendingPoll {
    call: CallId,
    sent_at: Duration,
    deadline: Duration,
}

/// Whether a full list was accepted as it is.
#[derive(Clone, Copy)]
enum Acceptance {
    Accepted,
    /// Workers that it lacks stay for now.
    Doubted,
}

/// How the endpoint list is followed. Times are since 1970.
pub(super) struct Source {
    /// Whether the scheduler wants changes; there are polls and a stream only then.
    watching: bool,
    pending_poll: Option<PendingPoll>,
    poll_at: Option<Duration>,
    stream: Option<CallId>,
    open_stream_at: Option<Duration>,
    reader: EventReader,
    /// The last full list that was accepted, unless a change has come since.
    last_full: Vec<DiscoveredEndpoint>,
    list_received: bool,
}

impl Source {
    /// A source that is polled, and whose stream is opened, at once.
    pub(super) fn new(settings: &Settings) -> Source {
        let watching =
            settings.discovery.is_some() && settings.scheduler.discovery_mode == DiscoveryMode::Push;
        let at_once = watching.then_some(Duration::ZERO);
        Source {
            watching,
            pending_poll: None,
            poll_at: at_once,
            stream: None,
            open_stream_at: at_once.filter(|_| has_stream(settings)),
            reader: EventReader::default(),
            last_full: Vec::new(),
            list_received: false,
        }
    }

    /// Whether a list was received since the start.
    pub(super) fn has_received_list(&self) -> bool {
        self.list_received
    }

    /// When [`Gateway::discovery_due`] has something to do.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let deadline = self.pending_poll.as_ref().map(|poll| poll.deadline);
        [deadline, self.poll_at, self.open_stream_at]
            .into_iter()
            .flatten()
            .min()
    }
}

/// Whether the settings name a source that pushes changes.
fn has_stream(settings: &Settings) -> bool {
    settings
        .discovery
        .as_ref()
        .is_some_and(|discovery| discovery.watch)
}

impl Gateway {
    pub(super) fn discovery_due(&mut self, now: Duration) {
        let timed_out = self.discovery.pending_poll.take_if(|poll| poll.deadline <= now);
        if let Some(poll) = timed_out {
            self.cancel_call(poll.call);
            self.poll_failed("no answer in time");
        }
        if self.discovery.poll_at.take_if(|at| *at <= now).is_some() {
            self.poll_endpoints();
        }
        if self.discovery.open_stream_at.take_if(|at| *at <= now).is_some() {
            self.open_stream();
        }
    }

    /// Polls the source, unless a poll is under way. Without a source the workers of the settings are the list.
    pub(super) fn poll_endpoints(&mut self) {
        let Some(timeout) = self
            .settings
            .discovery
            .as_ref()
            .map(|discovery| discovery.poll_timeout)
        else {
            return self.use_configured_workers();
        };
        if self.discovery.pending_poll.is_none() {
            let sent_at = self.now();
            let deadline = sent_at + timeout;
            let call = self.call_source("application/json", false, CallPurpose::EndpointList);
            self.discovery.pending_poll = call.map(|call| PendingPoll {
                call,
                sent_at,
                deadline,
            });
        }
    }

    /// Starts or stops following changes, as the scheduler wants it.
    pub(super) fn watch(&mut self, on: bool) {
        if self.settings.discovery.is_none() {
            if on {
                self.use_configured_workers();
            }
            return;
        }
        self.discovery.watching = on;
        if on {
            self.poll_endpoints();
            if has_stream(&self.settings) {
                self.open_stream();
            }
        } else {
            self.stop_watching();
        }
    }

    /// Hands a list to the request table.
    pub(super) fn update_endpoints(&mut self, kind: EndpointListKind, workers: &[DiscoveredEndpoint]) {
        let endpoints = workers.iter().map(DiscoveredEndpoint::as_endpoint).collect();
        self.request_table.update_endpoints(self.now(), kind, endpoints);
        self.carry_out();
    }

    /// Takes the answer to a poll.
    pub(super) fn poll_answered(&mut self, status: u16, body: &[u8]) {
        let sent_at = self.discovery.pending_poll.take().map(|poll| poll.sent_at);
        if status != 200 {
            return self.poll_failed(&format!("status {status}"));
        }
        match self.receive_full_list(body) {
            Ok(acceptance) => {
                self.confirm_endpoints(acceptance, sent_at);
                self.schedule_poll();
            }
            Err(error) => self.poll_failed(&error.to_string()),
        }
    }

    /// The list is current as of when it was asked for, unless it is doubted.
    fn confirm_endpoints(&mut self, acceptance: Acceptance, sent_at: Option<Duration>) {
        if let (Acceptance::Accepted, Some(sent_at)) = (acceptance, sent_at) {
            self.request_table.confirm_endpoints(self.now(), sent_at);
            self.carry_out();
        }
    }

    /// The accepted endpoints stay; the scheduler hears of the failure only if it polls itself.
    pub(super) fn poll_failed(&mut self, reason: &str) {
        self.discovery.pending_poll = None;
        tracing::warn!(
            why = reason,
            "the list of workers cannot be had; the last one stands"
        );
        if self.settings.scheduler.discovery_mode == DiscoveryMode::Poll {
            self.discovery.watching = false;
            self.update_endpoints(EndpointListKind::Failed, &[]);
        }
        self.schedule_poll();
    }

    /// Takes the head of the answer that opens the stream.
    pub(super) fn endpoint_stream_began(&mut self, call: CallId, status: u16) {
        if status != 200 {
            self.cancel_call(call);
            self.endpoint_stream_lost(&format!("status {status}"));
        }
    }

    /// Takes bytes of the stream.
    pub(super) fn endpoint_stream_bytes(&mut self, call: CallId, bytes: &[u8]) {
        match self.discovery.reader.feed(bytes) {
            Ok(events) => events.iter().for_each(|event| self.endpoint_event(event)),
            Err(error) => {
                self.cancel_call(call);
                self.endpoint_stream_lost(&error.to_string());
            }
        }
    }

    /// Changes may have been missed: the whole list is polled at once, and the stream is opened again soon after.
    pub(super) fn endpoint_stream_lost(&mut self, reason: &str) {
        tracing::warn!(why = reason, "the stream of changes was lost");
        self.discovery.stream = None;
        if self.settings.scheduler.discovery_mode == DiscoveryMode::Poll {
            self.discovery.watching = false;
            return self.update_endpoints(EndpointListKind::Failed, &[]);
        }
        if self.discovery.watching {
            self.discovery.open_stream_at = Some(self.now() + STREAM_RETRY_DELAY);
            self.poll_endpoints();
        }
    }

    fn cancel_call(&mut self, call: CallId) {
        self.calls.remove(&call);
        self.http.cancel(call);
    }

    fn call_source(&mut self, accept: &str, streams: bool, purpose: CallPurpose) -> Option<CallId> {
        let discovery = self.settings.discovery.as_ref()?;
        let request = OutgoingRequest {
            method: "GET",
            target: discovery.target.clone(),
            headers: Headers::new().with("accept", accept),
            body: Rc::from([]),
            connect_timeout: discovery.poll_timeout,
            streams_response: streams,
        };
        let call = self.http.call(discovery.address, request);
        self.calls.insert(call, purpose);
        Some(call)
    }

    fn open_stream(&mut self) {
        if self.discovery.stream.is_none() {
            self.discovery.reader = EventReader::default();
            self.discovery.stream = self.call_source("text/event-stream", true, CallPurpose::EndpointStream);
        }
    }

    fn stop_watching(&mut self) {
        self.discovery.poll_at = None;
        self.discovery.open_stream_at = None;
        if let Some(call) = self.discovery.stream.take() {
            self.cancel_call(call);
        }
    }

    fn use_configured_workers(&mut self) {
        let workers = self.settings.workers.clone();
        self.update_endpoints(EndpointListKind::Full, &workers);
        self.carry_out();
    }

    fn schedule_poll(&mut self) {
        let interval = self
            .settings
            .discovery
            .as_ref()
            .map(|discovery| discovery.poll_interval);
        self.discovery.poll_at = interval
            .filter(|_| self.discovery.watching)
            .map(|interval| self.now() + interval);
    }

    fn receive_full_list(&mut self, body: &[u8]) -> Result<Acceptance, ListError> {
        let list = list::read(body, &self.settings.configured_names)?;
        for error in &list.rejected {
            tracing::warn!(
                why = error.to_string(),
                "a line of the list of workers is left out"
            );
        }
        self.discovery.list_received = true;
        let complete = list.rejected.is_empty();
        let unchanged = list.workers == self.discovery.last_full;
        if complete && unchanged && !list.workers.is_empty() {
            return Ok(Acceptance::Accepted);
        }
        let acceptance = match self.accepted.accept_full(list) {
            ListDecision::Full(workers) => {
                tracing::info!(workers = workers.len(), "list of workers");
                self.update_endpoints(EndpointListKind::Full, &workers);
                self.discovery.last_full = workers;
                Acceptance::Accepted
            }
            ListDecision::Partial { workers, reason } => {
                tracing::warn!(why = reason.to_string(), "a list of workers is doubted");
                self.update_endpoints(EndpointListKind::Changes, &workers);
                self.discovery.last_full.clear();
                Acceptance::Doubted
            }
        };
        self.save_endpoints();
        Ok(acceptance)
    }

    fn endpoint_event(&mut self, event: &ServerSentEvent) {
        let received = match event.name.as_str() {
            "full" => self.receive_full_list(event.data.as_bytes()).map(drop),
            "changes" => self.receive_changes(event.data.as_bytes()),
            _ => Ok(()),
        };
        if let Err(error) = received {
            tracing::warn!(
                why = error.to_string(),
                "news of workers cannot be read; the last list stands"
            );
        }
    }

    fn receive_changes(&mut self, body: &[u8]) -> Result<(), ListError> {
        let list = list::read(body, &self.settings.configured_names)?;
        for error in &list.rejected {
            tracing::warn!(why = error.to_string(), "a change is left out");
        }
        self.accepted.apply_changes(&list.workers);
        self.discovery.last_full.clear();
        self.update_endpoints(EndpointListKind::Changes, &list.workers);
        self.save_endpoints();
        Ok(())
    }

    /// Saves the accepted endpoints for the next start.
    fn save_endpoints(&self) {
        if let Some(writer) = &self.snapshot_writer {
            let list = list::write(&self.accepted.workers(), &self.settings.configured_names);
            writer.enqueue(crate::snapshots::WORKERS, list);
        }
    }
}
