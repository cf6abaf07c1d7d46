//! The drain after a termination signal, and the end of everything that is open once it is over.
use super::Gateway;
use super::store::Store;

impl Gateway {
    /// Begins the drain: accepts no new connections, and ends what is open within the drain time of the settings.
    pub fn start_drain(&mut self) {
        if self.drain_deadline.is_some() {
            return;
        }
        let deadline = self.now() + self.settings.drain_timeout;
        self.drain_deadline = Some(deadline);
        self.http.stop_listening();
        tracing::info!(
            open = self.request_table.open_requests(),
            asynchronous = self.asynchronous.len(),
            drain = ?self.settings.drain_timeout,
            "draining: no new requests are accepted"
        );
    }

    /// Whether the drain has begun.
    pub(super) fn is_draining(&self) -> bool {
        self.drain_deadline.is_some()
    }

    /// Whether the drain is over: nothing is open any more, or its time is up.
    pub fn is_drained(&self) -> bool {
        let Some(deadline) = self.drain_deadline else {
            return false;
        };
        let now = self.now();
        if now >= deadline {
            return true;
        }
        // Beside a successor at the same address, existing connections are served to their end here.
        let serves_clients = self.settings.share_port && self.http.client_count() > 0;
        let has_due_invocations = self.next_attempt_due().is_some_and(|at| at <= now);
        let is_stored = self.store.as_ref().is_none_or(Store::idle);
        let has_open_requests = self.request_table.open_requests() > 0;
        !has_open_requests
            && !serves_clients
            && is_stored
            && !has_due_invocations
            && !self.http.has_unsent_responses()
    }

    /// Gives everything that is still open its final answer, logs what is lost, and saves the state.
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
        tracing::info!(counts = ?self.counts, "stopped");
    }

    /// Drops events that come after [`Gateway::shut_down`], while the last responses are flushed.
    pub fn discard_events(&mut self) {
        self.http.take_events();
    }

    /// Whether responses still wait to be sent.
    pub fn has_unsent_responses(&self) -> bool {
        self.http.has_unsent_responses()
    }
}
