//! Removal of expired cache entries, of names of idle functions and of workers gone for long, and the maximum
//! sizes of the tables that clients can fill with names. Both bound the scheduler's memory.
use super::constants::{
    FREED_SHARE_DIVISOR, GONE_WORKER_RETENTION, MAX_CACHE_ENTRIES, MAX_FUNCTIONS, SWEEP_INTERVAL,
};
use crate::interface::EndpointState;
use crate::state::{Scheduler, Worker};
use std::collections::BTreeSet;
use std::time::Duration;

impl Scheduler {
    /// Removes expired state once per [`SWEEP_INTERVAL`], and expired cache entries whenever there may be
    /// more than [`MAX_CACHE_ENTRIES`].
    pub(super) fn sweep_if_due(&mut self) {
        if self.cache_insertions >= MAX_CACHE_ENTRIES {
            self.limit_cache_entries();
        }
        if self.now < self.last_sweep_at + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep_at = self.now;
        self.remove_cache_entries_expired_by(self.now);
        self.sweep_function_names();
        self.sweep_worker_names();
    }

    /// Returns the index of a function. If the function is new and the name table is full, forgets others
    /// first.
    pub(super) fn function_index(&mut self, name: &str) -> usize {
        let is_full = self.function_names.len() >= self.function_limit.max(MAX_FUNCTIONS);
        if is_full && !self.function_names.contains(name) {
            self.forget_least_requested_functions();
        }
        self.function_names.index(name, self.now)
    }

    /// Forgets the functions with the least requested work, those with cached copies last. Functions of open
    /// requests and of attempts stay, and may keep the table above its limit.
    fn forget_least_requested_functions(&mut self) {
        let in_use = self.functions_in_use();
        let cached = self.cached_functions();
        let mut removable: Vec<(bool, f64, usize)> = self
            .function_names
            .indexes()
            .filter(|index| !in_use.contains(index))
            .map(|index| (cached.contains(&index), self.requested_work.get(index, self.now), index))
            .collect();
        removable.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let retained = MAX_FUNCTIONS - MAX_FUNCTIONS / FREED_SHARE_DIVISOR;
        let excess = self.function_names.len().saturating_sub(retained);
        let forgotten: BTreeSet<usize> = removable.iter().take(excess).map(|&(.., index)| index).collect();
        self.forgotten_functions += forgotten.len() as u64;
        let removed = self.function_names.remove_if(|index| forgotten.contains(&index));
        self.remove_function_state(removed);
        self.function_limit = self.function_names.len() + MAX_FUNCTIONS / FREED_SHARE_DIVISOR;
    }

    /// Removes what is stored under the indexes of removed functions, which other functions will get.
    fn remove_function_state(&mut self, mut removed: Vec<usize>) {
        if removed.is_empty() {
            return;
        }
        removed.sort_unstable();
        for &function in &removed {
            self.requested_work.remove(function);
        }
        for worker in &mut self.workers {
            worker.cache.retain(|function, _| removed.binary_search(function).is_err());
        }
    }

    /// Returns the functions with an unexpired cache entry at any worker.
    fn cached_functions(&self) -> BTreeSet<usize> {
        let entries = self.workers.iter().flat_map(|worker| &worker.cache);
        entries.filter(|(_, entry)| entry.expires_at() > self.now).map(|(&function, _)| function).collect()
    }

    /// Removes expired cache entries. If too many are left, also removes those that expire first.
    fn limit_cache_entries(&mut self) {
        self.remove_cache_entries_expired_by(self.now);
        let retained = MAX_CACHE_ENTRIES - MAX_CACHE_ENTRIES / FREED_SHARE_DIVISOR;
        if self.cache_insertions <= retained {
            return;
        }
        let entries = self.workers.iter().flat_map(|worker| worker.cache.values());
        let mut expiries: Vec<Duration> = entries.map(|entry| entry.expires_at()).collect();
        let excess = expiries.len() - retained;
        let (_, &mut last_removed, _) = expiries.select_nth_unstable(excess - 1);
        self.remove_cache_entries_expired_by(last_removed);
    }

    /// Removes the cache entries that expire by the time `at`, and counts the others.
    fn remove_cache_entries_expired_by(&mut self, at: Duration) {
        for worker in &mut self.workers {
            worker.cache.retain(|_, entry| entry.expires_at() > at);
        }
        self.cache_insertions = self.workers.iter().map(|worker| worker.cache.len()).sum();
    }

    fn sweep_function_names(&mut self) {
        let max_idle = SWEEP_INTERVAL + self.settings.keep_alive * 2;
        let in_use = self.functions_in_use();
        let oldest = self.now.saturating_sub(max_idle);
        let removed = self.function_names.remove_unused_since(oldest, &in_use);
        self.remove_function_state(removed);
    }

    fn sweep_worker_names(&mut self) {
        let in_use = self.workers_in_use();
        let oldest = self.now.saturating_sub(GONE_WORKER_RETENTION + self.settings.slow_start_duration);
        let (workers, replaced) = (&mut self.workers, &self.addresses.replaced);
        self.worker_names.remove_if(|index| {
            let worker = &workers[index];
            let is_gone = worker.endpoint.state == EndpointState::Gone && worker.gone_since < oldest;
            let is_listed = replaced.contains_key(&index);
            let is_removable = is_gone && !is_listed && !in_use.contains(&index);
            if is_removable {
                workers[index] = Worker::new(index);
            }
            is_removable
        });
    }
}

#[cfg(test)]
mod tests;
