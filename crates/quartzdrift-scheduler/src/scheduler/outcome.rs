//! End of an attempt: updates the state of its request, its request class and its worker.
use super::constants::{
    AT_CAPACITY_PAUSE, MAX_AT_CAPACITY_RESPONSES, MIN_OVERLOAD_BOUND, PEAK_HALF_LIFE, THROUGHPUT_HALF_LIFE,
};
use crate::interface::{CacheResult, Outcome};
use crate::measure::DecayingPeak;
use crate::messages::{AttemptEnd, CacheStatus, Message};
use crate::state::{CacheEntry, DecisionContext, RemoteLoad, Scheduler, Worker};
use std::time::Duration;

impl Scheduler {
    /// Records the end of an attempt, and places its request again unless the request is concluded.
    pub(super) fn end_attempt(&mut self, worker: usize, end: AttemptEnd, concluded: bool) {
        // A worker with few requests has free capacity: its rejection concerns only this tenant.
        let has_room = end.load.is_some_and(|load| load < MIN_OVERLOAD_BOUND);
        let tenant_rejected = self.settings.tenants_share_workers && has_room;
        self.record_outcome(worker, &end, tenant_rejected);
        // A success concludes the request even without the flag: a retry would repeat its side effects.
        if concluded || end.outcome == Outcome::Succeeded {
            self.requests.remove(&end.request);
        }
        self.mailbox.send_to_worker(worker, Message::AttemptEnded { end, tenant_rejected });
        if self.requests.contains_key(&end.request) {
            self.mailbox.send_to_request_table(Message::PlaceRequest(end.request));
        }
    }

    /// Updates the request of an attempt, and the measurements of its class, by the attempt's outcome.
    fn record_outcome(&mut self, worker: usize, end: &AttemptEnd, tenant_rejected: bool) {
        let is_unconfirmed = self.lease_view().is_unconfirmed;
        let endpoint = self.workers[worker].endpoint;
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let ended_attempt = request.take_current_attempt(self.now, endpoint);
        match end.outcome {
            Outcome::Succeeded => {
                let (request_class, tenant) = (request.request_class, request.tenant);
                let was_cached = match end.cache_result {
                    CacheResult::Warm => true,
                    CacheResult::StartedLoad | CacheResult::AwaitedLoad | CacheResult::LoadFailed => false,
                    CacheResult::Unknown => ended_attempt.cache_status != CacheStatus::NotWarm,
                };
                let relative_duration = self.classes[request_class].record_duration(end.duration, was_cached);
                self.record_success(worker, request_class, tenant, relative_duration);
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                request.record_uncertain(ended_attempt);
            }
            // A draining worker rejects every attempt, which is no evidence about the other workers.
            Outcome::AtCapacity if is_unconfirmed => {}
            Outcome::AtCapacity => request.at_capacity_responses += u32::from(!tenant_rejected),
            // The load would fail at every worker, so the request must not be placed again.
            Outcome::CacheMiss if end.cache_result == CacheResult::LoadFailed => {
                request.at_capacity_responses = MAX_AT_CAPACITY_RESPONSES;
            }
            Outcome::ConnectFailed | Outcome::NeverSent | Outcome::CacheMiss => {}
        }
    }

    /// Adds a successful attempt to the measurements. `relative_duration` is relative to the class's mean;
    /// `None`: the attempt waited for a load.
    fn record_success(&mut self, worker: usize, class: usize, tenant: u32, relative_duration: Option<f64>) {
        let kind = self.workers[worker].endpoint.machine_kind;
        if let Some(duration) = relative_duration {
            self.relative_speeds.add(kind as usize, duration, self.now);
        }
        let relative_work = self.relative_work(class);
        self.succeeded_work.add(tenant as usize, relative_work, self.now);
        let no_peak = DecayingPeak::new(THROUGHPUT_HALF_LIFE, PEAK_HALF_LIFE);
        self.measurements.record_throughput(kind, relative_work, self.now, &no_peak);
        self.measurements.mean_duration = Some(Duration::from_secs_f64(self.mean_attempt_seconds()));
    }
}

impl Worker {
    /// Removes an attempt that has ended, and updates the worker's cache entries, health, load and proof.
    pub(super) fn end_attempt(&mut self, end: &AttemptEnd, tenant_rejected: bool, context: DecisionContext) {
        let DecisionContext { now, settings, .. } = context;
        let local_load = self.attempts.len() as f64;
        let Some(attempt) = self.remove_attempt(end.request, end.attempt) else { return };
        if let Some(load) = end.load {
            let value = if settings.reports_count_requests { (load - local_load).max(0.0) } else { load };
            self.remote_load = Some(RemoteLoad { value, reported_at: now });
        }
        if matches!(end.outcome, Outcome::Succeeded | Outcome::Error | Outcome::Reset | Outcome::AtCapacity) {
            self.last_response_at = now;
        }
        match end.outcome {
            Outcome::Succeeded if !attempt.query.has_key => self.record_accepted(attempt.sent_at, context),
            Outcome::AtCapacity => self.record_rejected(context),
            Outcome::Reset | Outcome::ConnectFailed => self.record_disconnected(context),
            _ => {}
        }
        let entry = self.cache.entry(attempt.query.function).or_default();
        let health = self.health.entry(attempt.query.request_class).or_default();
        let until = now + settings.keep_alive;
        match end.outcome {
            Outcome::Succeeded => {
                entry.is_cached = true;
                entry.assumed_until = until;
                entry.known_until = if settings.reports_cache_status { until } else { entry.known_until };
                health.record_success();
            }
            // A single connection reset is not taken for a restart, which resets all connections and then
            // refuses new ones.
            Outcome::Error | Outcome::Reset => health.record_error(now),
            Outcome::AtCapacity if tenant_rejected => {
                self.tenant_rejected_until.insert(attempt.query.tenant, until);
            }
            Outcome::AtCapacity => self.at_capacity_until = now + AT_CAPACITY_PAUSE,
            // The process is down. Its successor starts warming up with an empty cache, possibly before the
            // endpoint list contains the new start time.
            Outcome::ConnectFailed => {
                self.cache.clear();
                self.warming_since = Some(now);
                self.health.values_mut().for_each(|health| health.eject(now, Duration::ZERO));
            }
            Outcome::CacheMiss => *entry = CacheEntry::default(),
            Outcome::TimedOut => self.record_timeout(&attempt, now),
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
        // Without request counts in the load reports, the load estimate includes attempts that may still run.
        let is_abandoned = matches!(end.outcome, Outcome::Cancelled | Outcome::TimedOut);
        if is_abandoned && !settings.reports_count_requests {
            self.abandoned_until.push(now + attempt.timeout);
        }
    }
}
