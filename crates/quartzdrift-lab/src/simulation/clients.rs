//! Clients: their requests, timeouts, responses and retries.
use super::*;
use quartzdrift_scheduler::interface::RejectReason;

/// Time beyond its timeout that a client waits for the response.
const CLIENT_TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// Wait before the retry when the gateway is down.
const RETRY_AFTER_GATEWAY_DOWN: Duration = Duration::from_millis(50);
/// Wait before the retry of a rejected request whose response has no retry-after.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Simulation<'_> {
    /// Starts the client of an arrival and schedules the next arrival.
    pub(super) fn client_arrived(&mut self, n: usize) {
        if let Some(next) = self.arrivals.get(n + 1) {
            self.schedule(START + traffic::arrival_time(next), Event::ClientArrival(n + 1));
        }
        let client = Client {
            arrival: n,
            retries: 0,
            gateway: self.arrivals[n].gateway_index(self.schedulers.len()),
            first_sent_at: self.now,
            request_number: 0,
            awaits_response: false,
            request: None,
            recovery_load: None,
        };
        self.clients.push(client);
        self.send_request(self.clients.len() - 1);
    }

    /// Delivers a request of a client to its gateway.
    pub(super) fn send_request(&mut self, client: usize) {
        let (n, s) = (self.clients[client].arrival, self.clients[client].gateway);
        let arrival = &self.arrivals[n];
        let request_class = &self.scenario.request_classes[arrival.request_class];
        if self.schedulers[s].paused_until > self.now {
            return self.schedule(self.schedulers[s].paused_until, Event::ClientRetry(client));
        }
        self.figures.requests += 1;
        self.clients[client].awaits_response = true;
        self.clients[client].request_number += 1;
        let request_number = self.clients[client].request_number;
        if self.schedulers[s].request_table.is_none() {
            self.clients[client].awaits_response = false;
            self.figures.unanswered += 1;
            return self.schedule_retry(client, RETRY_AFTER_GATEWAY_DOWN);
        }
        self.schedule(
            self.now + request_class.time_limit + CLIENT_TIMEOUT_SLACK,
            Event::ClientTimeout(client, request_number),
        );
        let (now, incarnation) = (self.now, self.schedulers[s].incarnation);
        if let Some(recovery) = &mut self.schedulers[s].recovery.machine {
            match recovery.admit(now, &arrival.function) {
                Ok(load) => self.clients[client].recovery_load = load.map(|load| (incarnation, load)),
                Err(retry_after) => {
                    return self.response_received(
                        client,
                        FinalResponse::Rejected {
                            retry_after: Some(retry_after),
                            may_have_executed: None,
                            reason: RejectReason::NoCapacity,
                        },
                    );
                }
            }
        }
        let scheduler = &mut self.schedulers[s];
        scheduler.request_times.push(self.now);
        if let Some(planner) = &mut scheduler.prefetch_planner {
            planner.record_use(self.now, &arrival.function, Some(request_class.load_time));
        }
        let new_request = NewRequest {
            request_class: arrival.request_class as u32,
            tenant: 0,
            function: Rc::from(arrival.function.as_str()),
            time_left: request_class.time_limit,
            work_hint: None,
            memory_mb: Some(request_class.memory_mb),
            concurrency_slots: Some(request_class.slots as f64),
            load_hint: Some(request_class.load_time),
            is_retry: request_number > 1,
            has_side_effects: false,
            payload: client,
        };
        if let Some(request_table) = &mut scheduler.request_table
            && let Ok(request) = request_table.submit(self.now, new_request)
            && self.clients[client].awaits_response
        {
            self.clients[client].request = Some((s, request));
        }
        self.process_scheduler_outputs(s);
    }

    /// Schedules a retry at the next gateway, unless the client has no retry left or the retry could outlive
    /// the deduplication window of its idempotency key.
    fn schedule_retry(&mut self, client: usize, delay: Duration) {
        let failed = &mut self.clients[client];
        let request_class = &self.scenario.request_classes[self.arrivals[failed.arrival].request_class];
        let latest_end = self.now + delay + request_class.time_limit;
        let key_is_remembered = request_class.idempotency != Idempotency::IdempotentWithKey
            || latest_end < failed.first_sent_at + request_class.deduplication_window;
        if failed.retries >= self.scenario.max_retries || !key_is_remembered {
            return;
        }
        failed.retries += 1;
        failed.gateway = (failed.gateway + 1) % self.schedulers.len();
        let retry = Client {
            awaits_response: false,
            request: None,
            recovery_load: None,
            ..*failed
        };
        self.clients.push(retry);
        let retrying_client = self.clients.len() - 1;
        self.schedule(self.now + delay, Event::ClientRetry(retrying_client));
    }

    /// Handles the timeout of a client: a request that is still open counts as unanswered.
    pub(super) fn client_timed_out(&mut self, client: usize, request_number: u32) {
        let client = &mut self.clients[client];
        if !client.awaits_response || client.request_number != request_number {
            return;
        }
        client.awaits_response = false;
        self.figures.unanswered += 1;
        if let Some((s, request)) = client.request {
            if let Some(request_table) = &mut self.schedulers[s].request_table {
                request_table.client_disconnected(self.now, request);
            }
            self.process_scheduler_outputs(s);
        }
    }

    /// Records the final response to a request; a rejected request may be retried.
    pub(super) fn response_received(&mut self, client: usize, response: FinalResponse) {
        if !std::mem::take(&mut self.clients[client].awaits_response) {
            return;
        }
        let succeeded = response == FinalResponse::Succeeded;
        let arrival = &self.arrivals[self.clients[client].arrival];
        let latency = self.now - self.clients[client].first_sent_at;
        let on_time = latency <= self.scenario.request_classes[arrival.request_class].latency_objective;
        let work_ms = arrival.work_us as f64 / 1000.0;
        self.record_recovery_response(client, succeeded, succeeded && on_time);
        match response {
            FinalResponse::Succeeded => {
                self.figures.succeeded += 1;
                let wait_ms = (latency.as_secs_f64() * 1000.0 - work_ms).max(0.0);
                self.wait_times_ms.push(wait_ms);
                if on_time {
                    self.on_time_arrivals.insert(self.clients[client].arrival);
                }
            }
            FinalResponse::Rejected { retry_after, .. } => {
                self.figures.rejected += 1;
                self.figures.power_rejected += u64::from(self.power_loss.first_at.is_some());
                let retry_after = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                let jitter = self.rng.random_range(1.0..2.0);
                let delay = retry_after.mul_f64(self.scenario.retry_wait_factor * jitter);
                self.schedule_retry(client, delay);
            }
            FinalResponse::Failed { .. } => self.figures.failed += 1,
            FinalResponse::Cancelled => {}
        }
    }
}
