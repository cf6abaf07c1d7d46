//! One turn of the event loop: the events of the sockets, then everything that is due.
use super::{Gateway, fleet, prefetch};
use quartzdrift_http::HttpEvent;
use std::time::{Duration, Instant};

impl Gateway {
    /// How long the event loop may wait for events before the next [`Gateway::turn`].
    pub fn poll_timeout(&self) -> Duration {
        if self.http.has_events() {
            return Duration::ZERO;
        }
        let deadlines = [
            self.request_table.next_deadline(),
            self.next_attempt_due(),
            self.next_trigger_due(),
            self.recovery_next_due(),
            self.discovery.next_due(),
            self.prefetch.as_ref().and_then(prefetch::Prefetch::next_due),
            self.fleet.as_ref().map(fleet::Fleet::next_due),
            self.drain_deadline,
        ];
        self.clock.time_until_next(deadlines, [self.http.next_deadline()])
    }

    /// Handles the events that the last wait of the event loop brought, and everything that is due.
    pub fn turn(&mut self) {
        self.http.expire_connections(Instant::now());
        for event in self.http.take_events() {
            self.handle_http(event);
        }
        let now = self.now();
        self.request_table_due(now);
        self.discovery_due(now);
        self.prefetch_due(now);
        self.fleet_due(now);
        self.recovery_due(now);
        self.start_due_triggers(now);
        self.start_due_attempts(now);
        self.submit_changes();
    }

    fn handle_http(&mut self, event: HttpEvent) {
        match event {
            HttpEvent::Request { exchange, request } => self.request_received(exchange, request),
            HttpEvent::ClientDisconnected { exchange } => self.client_gone(exchange),
            HttpEvent::Response { call, response } => self.response_received(call, response),
            HttpEvent::ResponsePart { call, bytes } => self.part_received(call, bytes),
            HttpEvent::ResponseEnd { call } => self.stream_ended(call),
            HttpEvent::CallFailed { call, failure } => self.call_failed(call, failure),
        }
    }

    fn request_table_due(&mut self, now: Duration) {
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
