//! The drain after a termination signal, and the shutdown, which concludes all requests that are still open.
use super::Gateway;
use super::store::Store;

impl Gateway {
    /// Starts the drain: accepts no new connections, and gives open requests the configured drain time to
    /// end.
    pub fn start_drain(&mut self) {
        if self.drain_deadline.is_some() {
            return;
        }
        let deadline = self.now() + self.settings.drain_timeout;
        self.drain_deadline = Some(deadline);
        self.http.stop_listening();
        tracing::info!(
            open = self.request_table.open_requests(),
            asynchronous = self.invocation_queue.len(),
            drain = ?self.settings.drain_timeout,
            "drain started: no new connections are accepted"
        );
    }

    /// Whether the drain has started.
    pub(super) fn is_draining(&self) -> bool {
        self.drain_deadline.is_some()
    }

    /// Whether the drain is over: no work is left, or the drain time has elapsed.
    pub fn is_drained(&self) -> bool {
        let Some(deadline) = self.drain_deadline else {
            return false;
        };
        let now = self.now();
        if now >= deadline {
            return true;
        }
        // With a shared port a successor takes new connections, and open ones are served here until they
        // close.
        let serves_clients = self.settings.share_port && self.http.client_count() > 0;
        let has_due_invocations = self.next_attempt_due().is_some_and(|at| at <= now);
        let is_stored = self.store.as_ref().is_none_or(Store::is_idle);
        let has_open_requests = self.request_table.open_requests() > 0;
        !has_open_requests
            && !serves_clients
            && is_stored
            && !has_due_invocations
            && !self.http.has_unsent_responses()
    }

    /// Concludes all open requests, logs the invocations that are lost, and saves the state for the next
    /// start.
    pub fn shut_down(&mut self) {
        let now = self.now();
        let attempts = self.calls.attempts();
        let http = &self.http;
        self.request_table.shut_down(now, |request, attempt| {
            attempts.may_have_been_sent(request, attempt, |call| http.is_unsent(call))
        });
        self.carry_out();
        self.log_open_invocations();
        self.close_store();
        self.save_forecasts();
        self.leave_fleet();
        self.record_stop();
        tracing::info!(counts = ?self.counts, "gateway stopped");
    }

    /// Drops the events that arrive after [`Gateway::shut_down`], while the last responses are sent.
    pub fn discard_events(&mut self) {
        self.http.take_events();
    }

    /// Whether responses are waiting to be sent.
    pub fn has_unsent_responses(&self) -> bool {
        self.http.has_unsent_responses()
    }
}
