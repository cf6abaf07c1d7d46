//! The handling of events after each wait of the event loop: first the events of the sockets, then the timers
//! that are due.
use super::{Gateway, fleet, prefetch};
use quartzdrift_http::HttpEvent;
use std::time::{Duration, Instant};

impl Gateway {
    /// Maximum time that the event loop may wait for events before it calls [`Gateway::process_events`].
    pub fn poll_timeout(&self) -> Duration {
        if self.http.has_events() {
            return Duration::ZERO;
        }
        let deadlines = [
            self.request_table.next_deadline(),
            self.next_attempt_due(),
            self.next_trigger_due(),
            self.next_recovery_due(),
            self.discovery.next_due(),
            self.prefetch.as_ref().and_then(prefetch::Prefetch::next_due),
            self.fleet.as_ref().map(fleet::Fleet::next_due),
            self.drain_deadline,
        ];
        self.clock.time_until_next(deadlines, [self.http.next_deadline()])
    }

    /// Handles the events that arrived during the last wait of the event loop, and fires the timers that are
    /// due.
    pub fn process_events(&mut self) {
        self.http.expire_connections(Instant::now());
        for event in self.http.take_events() {
            self.handle_http_event(event);
        }
        let now = self.now();
        self.fire_request_timers(now);
        self.fire_discovery_timers(now);
        self.fire_prefetch_timers(now);
        self.fire_fleet_timers(now);
        self.fire_recovery_timers(now);
        self.submit_due_triggers(now);
        self.start_due_attempts(now);
        self.submit_changes();
    }

    fn handle_http_event(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Request { exchange, request } => self.client_request_received(exchange, request),
            HttpEvent::ClientDisconnected { exchange } => self.client_disconnected(exchange),
            HttpEvent::Response { call, response } => self.response_received(call, response),
            HttpEvent::ResponsePart { call, bytes } => self.response_part_received(call, bytes),
            HttpEvent::ResponseEnd { call } => self.response_stream_ended(call),
            HttpEvent::CallFailed { call, failure } => self.call_failed(call, failure),
        }
    }

    fn fire_request_timers(&mut self, now: Duration) {
        let is_due = self.request_table.next_deadline().is_some_and(|at| at <= now);
        if !is_due {
            return;
        }
        let attempts = self.calls.attempts();
        let http = &self.http;
        self.request_table.fire_timers(now, |request, attempt| {
            attempts.may_have_been_sent(request, attempt, |call| http.is_unsent(call))
        });
        self.carry_out();
    }
}
