//! Cache affinity: all schedulers prefer the same workers for a function, so that few copies of it are
//! loaded.
use super::constants::{MAX_CONCURRENCY_SLOTS, PREFERRED_PER_SHARE, PREFERRED_SLOT_USE};
use crate::interface::UsageForecast;
use crate::messages::{CacheStatus, Candidate, PlacementQuery};
use crate::names::stable_hash;
use crate::state::{OpenRequest, Scheduler};
use std::cmp::Reverse;

impl Scheduler {
    /// Sets the cache status of the function's preferred workers to warm, because each scheduler knows only
    /// the cache entries of its own traffic. The request itself does not count towards the function's
    /// popularity: a single request is no evidence of it.
    pub(super) fn mark_preferred(
        &self,
        request: &OpenRequest,
        query: &PlacementQuery,
        candidates: &mut [Candidate],
    ) {
        let slots = request.concurrency_slots;
        let preferred = self.preferred_count(request.function, slots, query.relative_work, candidates.len());
        let preferred = preferred.max(self.min_preferred_count());
        let name = self.function_names.name(request.function);
        let order = |(position, candidate): (usize, &Candidate)| {
            let score = self.affinity_score(&name, candidate.worker);
            (candidate.tenant_rejected, Reverse(score), position)
        };
        let mut ranked: Vec<_> = candidates.iter().enumerate().map(order).collect();
        if preferred < ranked.len() {
            ranked.select_nth_unstable(preferred);
        }
        let status =
            if self.settings.reports_cache_status { CacheStatus::Known } else { CacheStatus::Assumed };
        for (.., position) in ranked.into_iter().take(preferred) {
            candidates[position].cache_status = status;
        }
    }

    /// Returns how many of `workers` prefetch a function: as many as its expected requests need.
    pub(super) fn prefetch_count(&self, forecast: &UsageForecast, function: usize, workers: usize) -> usize {
        let slots = forecast.concurrency_slots.unwrap_or(1.0).clamp(1.0, MAX_CONCURRENCY_SLOTS);
        let needed = |rate: f64| rate * self.mean_attempt_seconds() / (PREFERRED_SLOT_USE * slots);
        let expected = forecast.requests_per_second.map_or(0.0, needed) as usize;
        self.preferred_count(function, slots, 0.0, workers).max(expected)
    }

    /// Returns how many of `workers` are preferred for a function, by the function's share of the requested
    /// work. The amount `excluded` is subtracted from the function's work.
    fn preferred_count(&self, function: usize, slots: f64, excluded: f64, workers: usize) -> usize {
        let work = (self.requested_work.get(function, self.now) - excluded).max(0.0);
        let share = work / self.requested_work.total(self.now);
        let rate = share * self.requested_work.per_second(self.now) * self.settings.scheduler_count;
        let needed = rate * self.mean_attempt_seconds() / (PREFERRED_SLOT_USE * slots);
        1 + (share * PREFERRED_PER_SHARE * workers as f64).min(needed) as usize
    }

    /// Returns the score of a worker for a function by weighted rendezvous hashing. All schedulers compute
    /// equal scores as far as they measure equal speeds; the highest score is preferred.
    pub(super) fn affinity_score(&self, function: &str, worker: usize) -> u64 {
        let draw = stable_hash(function, self.workers[worker].name_hash) as f64 / u64::MAX as f64;
        (draw.powf(1.0 / self.relative_speed(worker)) * u64::MAX as f64) as u64
    }
}
