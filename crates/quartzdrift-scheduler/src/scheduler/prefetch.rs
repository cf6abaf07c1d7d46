//! Prefetch: load commands for functions with forecast requests, within the load quota.
use super::constants::{
    DEFAULT_ATTEMPT_TIMEOUT, FLEET_OVERLOAD_BOUND, MAX_UNRECLAIMABLE_SHARE, MEDIAN, MIN_LOAD_PROBABILITY,
};
use super::constants::{
    MAX_QUOTA_EVENTS, MIN_RENEWAL_PROBABILITY, MIN_SAMPLES, PREFETCH_PAUSE, SLOW_LOAD_RATIO,
};
use crate::interface::{Action, EndpointState, Outcome, UsageForecast};
use crate::messages::PrefetchEnd;
use crate::state::{CacheEntry, Scheduler, Worker};
use std::cmp::Reverse;

impl Scheduler {
    /// Sends load commands for a forecast function to its preferred workers, as far as the load is worth its
    /// price.
    pub(super) fn prefetch(&mut self, forecast: &UsageForecast) {
        let request_class = forecast.request_class as usize;
        let is_paused = self.now < self.prefetch_paused_until;
        if !self.settings.allows_load_commands || request_class >= self.classes.len() || is_paused {
            return;
        }
        let function = self.function_index(forecast.function);
        let is_accepting = |worker: &&Worker| self.accepts_prefetch(worker, request_class);
        let mut workers: Vec<usize> =
            self.workers.iter().filter(is_accepting).map(|worker| worker.index).collect();
        let local_load: usize = workers.iter().map(|&worker| self.workers[worker].attempts.len()).sum();
        let requests = local_load as f64 * self.settings.scheduler_count;
        if requests > FLEET_OVERLOAD_BOUND * self.worker_size() * workers.len() as f64 {
            return;
        }
        workers.sort_by_cached_key(|&worker| Reverse(self.affinity_score(forecast.function, worker)));
        let preferred = self.prefetch_count(forecast, function, workers.len());
        for worker in workers.into_iter().take(preferred) {
            if !self.needs_load(forecast, function, worker) {
                continue;
            }
            if !self.consume_load_quota() {
                return;
            }
            self.cache_insertions += 1;
            let entry = self.workers[worker].cache.entry(function).or_default();
            entry.assumed_until = self.now + self.settings.keep_alive;
            let worker = self.worker_names.name(worker);
            let function = self.function_names.name(function);
            self.actions.push(Action::Load { worker, function, copies: 1 });
        }
    }

    /// Whether a worker may receive a load command: it is up, warmed up, healthy, eligible and not at
    /// capacity.
    fn accepts_prefetch(&self, worker: &Worker, request_class: usize) -> bool {
        let is_up = worker.endpoint.state == EndpointState::Up && worker.warming_since.is_none();
        let is_healthy = worker.health.get(&request_class).is_none_or(|health| health.ejections == 0);
        let context = self.context();
        let is_eligible = worker.may_receive_work(context) && !worker.is_suspected(context);
        is_up && is_healthy && is_eligible && worker.at_capacity_until <= self.now
    }

    /// Whether a worker should load the function. It should not if the function is being loaded there, or
    /// stays cached for the horizon of the forecast anyway.
    fn needs_load(&self, forecast: &UsageForecast, function: usize, worker: usize) -> bool {
        let entry = self.workers[worker].cache_entry(function);
        let until = entry.expires_at();
        let is_cached = entry.is_cached && until > self.now;
        let is_loading = !entry.is_cached && until > self.now;
        let stays_cached = until >= self.now + forecast.horizon;
        !stays_cached && !is_loading && self.is_worth_loading(forecast, worker, is_cached)
    }

    /// Whether the expected waiting time that a load saves exceeds the price of its fetch and of its memory.
    /// All three are expressed in requests.
    fn is_worth_loading(&self, forecast: &UsageForecast, worker: usize, is_cached: bool) -> bool {
        let class = &self.classes[forecast.request_class as usize];
        let load_time =
            class.duration_quantile(MEDIAN, true).or(forecast.load_hint).unwrap_or(DEFAULT_ATTEMPT_TIMEOUT);
        let relative_time = load_time.as_secs_f64() / class.latency_objective.as_secs_f64();
        let saved = forecast.probability * relative_time.min(1.0);
        let share = forecast.memory_mb.map_or(0.0, |copy_mb| self.memory_share(worker, copy_mb));
        let rate = self.requested_work.per_second(self.now) * self.settings.scheduler_count;
        let requests = rate * forecast.horizon.as_secs_f64();
        let memory_cost = self.settings.idle_memory_price * share * requests;
        if is_cached {
            return forecast.probability >= MIN_RENEWAL_PROBABILITY && saved > memory_cost;
        }
        let evicts = self.workers[worker].unreclaimable_share > MAX_UNRECLAIMABLE_SHARE;
        let exceeds_price = saved > memory_cost + self.settings.origin_fetch_price;
        !evicts && exceeds_price && forecast.probability >= MIN_LOAD_PROBABILITY
    }

    /// Takes one load command from the load quota. Returns false if the quota is used up.
    fn consume_load_quota(&mut self) -> bool {
        let requests = self.load_quota_requests.count(self.now) as f64;
        let quota = self.settings.load_quota_burst + self.settings.load_quota_share * requests;
        let commands = self.load_quota_commands.count(self.now);
        // The window must not forget a command, since the quota would be exceeded.
        let is_spent = commands as f64 + 1.0 > quota || commands >= MAX_QUOTA_EVENTS;
        if !is_spent {
            self.load_quota_commands.add(self.now);
        }
        !is_spent
    }

    /// Records the end of a load command. A failed or slow load shows that the origin store is overloaded or
    /// down: the prefetch pauses, because further loads would make that worse.
    pub(super) fn end_prefetch(&mut self, end: &PrefetchEnd) {
        let is_loaded = end.outcome == Outcome::Succeeded && end.copies > 0;
        let until = self.now + self.settings.keep_alive;
        let loaded = CacheEntry { is_cached: true, known_until: until, assumed_until: until };
        let entry = if is_loaded { loaded } else { CacheEntry::default() };
        self.cache_insertions += 1;
        self.workers[end.worker].cache.insert(end.function, entry);
        let has_samples = self.prefetch_durations.count() >= MIN_SAMPLES;
        let slow_threshold = self.prefetch_durations.quantile(MEDIAN).mul_f64(SLOW_LOAD_RATIO);
        let is_slow = is_loaded && has_samples && end.duration > slow_threshold;
        if is_loaded {
            self.prefetch_durations.add(end.duration);
        }
        if is_slow || matches!(end.outcome, Outcome::Error | Outcome::TimedOut | Outcome::CacheMiss) {
            self.prefetch_paused_until = self.now + PREFETCH_PAUSE;
        }
    }
}
