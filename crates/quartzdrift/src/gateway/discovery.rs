//! Endpoint discovery: polls the endpoint list at intervals, and receives pushed changes of it as server-sent
//! events.
use super::{CallPurpose, Gateway};
use crate::settings::Settings;
use quartzdrift_discovery::event_stream::{EventReader, ServerSentEvent};
use quartzdrift_discovery::list::ListError;
use quartzdrift_discovery::{DiscoveredEndpoint, ListDecision, list};
use quartzdrift_http::{CallId, Headers, OutgoingRequest};
use quartzdrift_scheduler::interface::{DiscoveryMode, EndpointListKind};
use std::rc::Rc;
use std::time::Duration;

/// Delay before a lost stream is opened again, because its source may be restarting.
const STREAM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A poll whose response has not arrived yet.
struct PendingPoll {
    call: CallId,
    sent_at: Duration,
    deadline: Duration,
}

/// The extent to which a full endpoint list was accepted.
#[derive(Clone, Copy)]
enum ListAcceptance {
    /// The list replaces all accepted workers.
    Full,
    /// The list is suspect: accepted workers that it lacks are kept for now.
    Partial,
}

/// The state of endpoint discovery. Times are since 1970.
pub(super) struct EndpointDiscovery {
    /// Whether the scheduler watches endpoint changes. Polls are repeated and the stream is opened only while
    /// it does.
    is_watching: bool,
    pending_poll: Option<PendingPoll>,
    next_poll_at: Option<Duration>,
    stream_call: Option<CallId>,
    next_stream_open_at: Option<Duration>,
    event_reader: EventReader,
    /// The last full list that was accepted completely; empty if changes were applied since.
    last_full_list: Vec<DiscoveredEndpoint>,
    has_received_list: bool,
}

impl EndpointDiscovery {
    /// Creates the state of discovery. If the scheduler takes pushed changes, the first poll is due at once,
    /// and so is the opening of the stream if the source has one.
    pub(super) fn new(settings: &Settings) -> EndpointDiscovery {
        let is_watching =
            settings.discovery.is_some() && settings.scheduler.discovery_mode == DiscoveryMode::Push;
        let first_due = is_watching.then_some(Duration::ZERO);
        EndpointDiscovery {
            is_watching,
            pending_poll: None,
            next_poll_at: first_due,
            stream_call: None,
            next_stream_open_at: first_due.filter(|_| pushes_changes(settings)),
            event_reader: EventReader::default(),
            last_full_list: Vec::new(),
            has_received_list: false,
        }
    }

    /// Whether a full list has been received since the start.
    pub(super) fn has_received_list(&self) -> bool {
        self.has_received_list
    }

    /// Time at which [`Gateway::fire_discovery_timers`] has to be called next.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let deadline = self.pending_poll.as_ref().map(|poll| poll.deadline);
        [deadline, self.next_poll_at, self.next_stream_open_at]
            .into_iter()
            .flatten()
            .min()
    }
}

/// Whether the configured source of the endpoint list pushes changes.
fn pushes_changes(settings: &Settings) -> bool {
    settings
        .discovery
        .as_ref()
        .is_some_and(|discovery| discovery.watch)
}

impl Gateway {
    /// Handles the timeout of a poll, and sends the next poll or opens the stream if that is due.
    pub(super) fn fire_discovery_timers(&mut self, now: Duration) {
        let timed_out = self.discovery.pending_poll.take_if(|poll| poll.deadline <= now);
        if let Some(poll) = timed_out {
            self.cancel_call(poll.call);
            self.poll_failed("no response within the timeout");
        }
        if self.discovery.next_poll_at.take_if(|at| *at <= now).is_some() {
            self.poll_endpoints();
        }
        if self
            .discovery
            .next_stream_open_at
            .take_if(|at| *at <= now)
            .is_some()
        {
            self.open_endpoint_stream();
        }
    }

    /// Polls the endpoint list, unless a poll is in progress. Without a configured source, the endpoint list
    /// consists of the configured workers.
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
            let call = self.send_discovery_request("application/json", false, CallPurpose::EndpointList);
            self.discovery.pending_poll = call.map(|call| PendingPoll {
                call,
                sent_at,
                deadline,
            });
        }
    }

    /// Starts or stops watching endpoint changes, as the scheduler requests.
    pub(super) fn watch_endpoints(&mut self, enabled: bool) {
        if self.settings.discovery.is_none() {
            if enabled {
                self.use_configured_workers();
            }
            return;
        }
        self.discovery.is_watching = enabled;
        if enabled {
            self.poll_endpoints();
            if pushes_changes(&self.settings) {
                self.open_endpoint_stream();
            }
        } else {
            self.stop_watching();
        }
    }

    /// Passes an endpoint list, or changes of it, to the request table.
    pub(super) fn update_endpoints(&mut self, kind: EndpointListKind, workers: &[DiscoveredEndpoint]) {
        let endpoints = workers.iter().map(DiscoveredEndpoint::as_endpoint).collect();
        self.request_table.update_endpoints(self.now(), kind, endpoints);
        self.carry_out();
    }

    /// Handles the response to a poll.
    pub(super) fn poll_response_received(&mut self, status: u16, body: &[u8]) {
        let sent_at = self.discovery.pending_poll.take().map(|poll| poll.sent_at);
        if status != 200 {
            return self.poll_failed(&format!("the source responded with status {status}"));
        }
        match self.receive_full_list(body) {
            Ok(acceptance) => {
                self.confirm_endpoints(acceptance, sent_at);
                self.schedule_poll();
            }
            Err(error) => self.poll_failed(&error.to_string()),
        }
    }

    /// Confirms the endpoint list as of the time at which the poll was sent, unless the list is suspect.
    fn confirm_endpoints(&mut self, acceptance: ListAcceptance, sent_at: Option<Duration>) {
        if let (ListAcceptance::Full, Some(sent_at)) = (acceptance, sent_at) {
            self.request_table.confirm_endpoints(self.now(), sent_at);
            self.carry_out();
        }
    }

    /// Handles a failed poll. The accepted endpoints are kept. The scheduler is notified only if it requests
    /// the polls itself.
    pub(super) fn poll_failed(&mut self, reason: &str) {
        self.discovery.pending_poll = None;
        tracing::warn!(
            why = reason,
            "cannot poll the endpoint list, keeping the last one"
        );
        if self.settings.scheduler.discovery_mode == DiscoveryMode::Poll {
            self.discovery.is_watching = false;
            self.update_endpoints(EndpointListKind::Failed, &[]);
        }
        self.schedule_poll();
    }

    /// Handles the head of the response that carries the stream of endpoint changes.
    pub(super) fn endpoint_stream_opened(&mut self, call: CallId, status: u16) {
        if status != 200 {
            self.cancel_call(call);
            self.endpoint_stream_lost(&format!("the source responded with status {status}"));
        }
    }

    /// Handles bytes received on the stream of endpoint changes.
    pub(super) fn endpoint_stream_received(&mut self, call: CallId, bytes: &[u8]) {
        match self.discovery.event_reader.feed(bytes) {
            Ok(events) => events.iter().for_each(|event| self.handle_stream_event(event)),
            Err(error) => {
                self.cancel_call(call);
                self.endpoint_stream_lost(&error.to_string());
            }
        }
    }

    /// Handles the loss of the stream of endpoint changes. Changes may have been missed, so the full list is
    /// polled at once, and the stream is opened again after [`STREAM_RETRY_DELAY`]. If the scheduler requests
    /// the polls itself, it is notified instead.
    pub(super) fn endpoint_stream_lost(&mut self, reason: &str) {
        tracing::warn!(why = reason, "stream of endpoint changes lost");
        self.discovery.stream_call = None;
        if self.settings.scheduler.discovery_mode == DiscoveryMode::Poll {
            self.discovery.is_watching = false;
            return self.update_endpoints(EndpointListKind::Failed, &[]);
        }
        if self.discovery.is_watching {
            self.discovery.next_stream_open_at = Some(self.now() + STREAM_RETRY_DELAY);
            self.poll_endpoints();
        }
    }

    fn cancel_call(&mut self, call: CallId) {
        self.calls.remove(&call);
        self.http.cancel(call);
    }

    fn send_discovery_request(
        &mut self,
        accept: &str,
        streams_response: bool,
        purpose: CallPurpose,
    ) -> Option<CallId> {
        let discovery = self.settings.discovery.as_ref()?;
        let request = OutgoingRequest {
            method: "GET",
            target: discovery.target.clone(),
            headers: Headers::new().with("accept", accept),
            body: Rc::from([]),
            connect_timeout: discovery.poll_timeout,
            streams_response,
        };
        let call = self.http.call(discovery.address, request);
        self.calls.insert(call, purpose);
        Some(call)
    }

    fn open_endpoint_stream(&mut self) {
        if self.discovery.stream_call.is_none() {
            self.discovery.event_reader = EventReader::default();
            self.discovery.stream_call =
                self.send_discovery_request("text/event-stream", true, CallPurpose::EndpointStream);
        }
    }

    fn stop_watching(&mut self) {
        self.discovery.next_poll_at = None;
        self.discovery.next_stream_open_at = None;
        if let Some(call) = self.discovery.stream_call.take() {
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
        self.discovery.next_poll_at = interval
            .filter(|_| self.discovery.is_watching)
            .map(|interval| self.now() + interval);
    }

    fn receive_full_list(&mut self, body: &[u8]) -> Result<ListAcceptance, ListError> {
        let list = list::read(body, &self.settings.configured_names)?;
        for error in &list.rejected {
            tracing::warn!(
                why = error.to_string(),
                "invalid entry of the endpoint list ignored"
            );
        }
        self.discovery.has_received_list = true;
        let complete = list.rejected.is_empty();
        let unchanged = list.workers == self.discovery.last_full_list;
        if complete && unchanged && !list.workers.is_empty() {
            return Ok(ListAcceptance::Full);
        }
        let acceptance = match self.accepted_endpoints.accept_full(list) {
            ListDecision::Full(workers) => {
                tracing::info!(workers = workers.len(), "endpoint list accepted");
                self.update_endpoints(EndpointListKind::Full, &workers);
                self.discovery.last_full_list = workers;
                ListAcceptance::Full
            }
            ListDecision::Partial { workers, reason } => {
                tracing::warn!(
                    why = reason.to_string(),
                    "suspect endpoint list: the workers that it lacks are kept for now"
                );
                self.update_endpoints(EndpointListKind::Changes, &workers);
                self.discovery.last_full_list.clear();
                ListAcceptance::Partial
            }
        };
        self.save_endpoints();
        Ok(acceptance)
    }

    fn handle_stream_event(&mut self, event: &ServerSentEvent) {
        let received = match event.name.as_str() {
            "full" => self.receive_full_list(event.data.as_bytes()).map(drop),
            "changes" => self.receive_changes(event.data.as_bytes()),
            _ => Ok(()),
        };
        if let Err(error) = received {
            tracing::warn!(
                why = error.to_string(),
                "cannot parse an event of the endpoint stream, keeping the last endpoint list"
            );
        }
    }

    fn receive_changes(&mut self, body: &[u8]) -> Result<(), ListError> {
        let list = list::read(body, &self.settings.configured_names)?;
        for error in &list.rejected {
            tracing::warn!(why = error.to_string(), "invalid endpoint change ignored");
        }
        self.accepted_endpoints.apply_changes(&list.workers);
        self.discovery.last_full_list.clear();
        self.update_endpoints(EndpointListKind::Changes, &list.workers);
        self.save_endpoints();
        Ok(())
    }

    /// Saves the accepted endpoints for the next start.
    fn save_endpoints(&self) {
        if let Some(writer) = &self.snapshot_writer {
            let list = list::write(
                &self.accepted_endpoints.workers(),
                &self.settings.configured_names,
            );
            writer.enqueue(crate::snapshots::WORKERS, list);
        }
    }
}
