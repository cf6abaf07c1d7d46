//! Tracks prefetches: the cost of each, and whether a use followed.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum share of unused prefetches among the recent ones of a function. Above it a quiet period starts.
const MAX_UNUSED_SHARE: f64 = 0.6;
/// Minimum number of recent prefetches before a quiet period may start.
const MIN_PREFETCHES: u32 = 4;
/// Length of the first quiet period. Each further one is twice as long, until a prefetch is used.
const FIRST_QUIET_PERIOD: Duration = Duration::from_secs(60);
/// Maximum number of doublings of the quiet period.
const MAX_QUIET_DOUBLINGS: u32 = 6;
/// Maximum number of functions with statistics. Beyond it the least recently changed ones are dropped.
const MAX_FUNCTIONS: usize = 10_000;
/// Maximum number of pending prefetches. The use of further ones is not tracked.
const MAX_PENDING: usize = 10_000;

/// Totals over prefetches.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefetchTotals {
    /// Load commands that were sent.
    pub commands: u64,
    /// Commands that fetched the function from the origin store; other successful commands found a cached
    /// copy.
    pub fetches: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Prefetches that a use followed within the keep-alive.
    pub used: u64,
    /// Prefetches that no use followed within the keep-alive.
    pub unused: u64,
    /// Memory of prefetched copies, times the time until the first use or the expiry, in MB seconds.
    pub mb_seconds: f64,
    /// Waiting time that prefetches saved requests, in seconds: the part of each load that was done before
    /// the use.
    pub avoided_wait_seconds: f64,
}

/// A period without forecasts for a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuietPeriod {
    /// Name of the function.
    pub function: String,
    /// End of the period.
    pub until: Duration,
}

/// Statistics of the prefetches of one function.
#[derive(Clone, Debug, Default)]
struct FunctionStats {
    totals: PrefetchTotals,
    /// Number of recent prefetches that `recent_unused_share` covers; at most twice [`MIN_PREFETCHES`].
    recent_count: u32,
    /// Moving average of the share of unused prefetches, from 0 to 1.
    recent_unused_share: f64,
    /// Number of quiet periods since the last used prefetch.
    quiet_periods: u32,
    changed_at: Duration,
}

/// A prefetch that is neither used nor expired.
#[derive(Clone, Debug)]
struct PendingPrefetch {
    sent_at: Duration,
    /// Time at which the load command succeeded; `None` before.
    loaded_at: Option<Duration>,
    load_duration: Duration,
    memory_mb: f64,
    fetched: bool,
    /// Time from which on the prefetch counts as unused.
    expires_at: Duration,
}

impl PendingPrefetch {
    /// Waiting time that the prefetch saves a request at `now`.
    fn avoided_wait(&self, now: Duration) -> Duration {
        match (self.fetched, self.loaded_at) {
            (true, Some(_)) => self.load_duration,
            // The load is in progress: the time since its start is saved.
            (false, None) => now.saturating_sub(self.sent_at),
            (true, None) | (false, Some(_)) => Duration::ZERO,
        }
    }
}

/// Tracks pending prefetches, and counts their results.
#[derive(Debug, Default)]
pub struct PrefetchTracker {
    keep_alive: Duration,
    totals: PrefetchTotals,
    functions: BTreeMap<String, FunctionStats>,
    pending: BTreeMap<String, PendingPrefetch>,
    /// Pending prefetches by expiry: the event loop reads the next expiry on every turn.
    expiries: BTreeSet<(Duration, String)>,
}

impl PrefetchTracker {
    /// Creates an empty tracker. A prefetch counts as unused after `keep_alive` without a use.
    pub fn new(keep_alive: Duration) -> PrefetchTracker {
        PrefetchTracker {
            keep_alive,
            ..PrefetchTracker::default()
        }
    }

    /// Totals over all functions.
    pub fn totals(&self) -> PrefetchTotals {
        self.totals
    }

    /// Totals by function. Beyond `MAX_FUNCTIONS` the least recently changed functions are missing.
    pub fn totals_by_function(&self) -> impl Iterator<Item = (&str, PrefetchTotals)> {
        self.functions
            .iter()
            .map(|(function, stats)| (function.as_str(), stats.totals))
    }

    /// Time of the next expiry, when [`PrefetchTracker::due`] has to be called.
    pub fn next_due(&self) -> Option<Duration> {
        self.expiries.first().map(|(expires_at, _)| *expires_at)
    }

    /// Records that a load command was sent.
    pub fn record_load_command(&mut self, now: Duration, function: &str, memory_mb: f64) {
        self.add_to_totals(function, now, |totals| totals.commands += 1);
        if self.pending.len() >= MAX_PENDING || self.pending.contains_key(function) {
            return;
        }
        let pending = PendingPrefetch {
            sent_at: now,
            loaded_at: None,
            load_duration: Duration::ZERO,
            memory_mb,
            fetched: false,
            expires_at: now + self.keep_alive,
        };
        self.expiries.insert((pending.expires_at, function.to_owned()));
        self.pending.insert(function.to_owned(), pending);
    }

    /// Records that a load command ended. `fetched`: the function was not cached, and was fetched from the
    /// origin store.
    pub fn record_load_end(&mut self, now: Duration, function: &str, succeeded: bool, fetched: bool) {
        if !succeeded {
            self.add_to_totals(function, now, |totals| totals.failed += 1);
            self.close_pending(function);
            return;
        }
        if fetched {
            self.add_to_totals(function, now, |totals| totals.fetches += 1);
        }
        let expires_at = now + self.keep_alive;
        if let Some(pending) = self.pending.get_mut(function) {
            self.expiries.remove(&(pending.expires_at, function.to_owned()));
            pending.load_duration = now.saturating_sub(pending.sent_at);
            pending.loaded_at = Some(now);
            pending.fetched = fetched;
            pending.expires_at = expires_at;
            self.expiries.insert((expires_at, function.to_owned()));
        }
    }

    /// Records a request to the function, and closes its pending prefetch as used.
    pub fn record_use(&mut self, now: Duration, function: &str) {
        let Some(pending) = self.close_pending(function) else {
            return;
        };
        let held_for = pending
            .loaded_at
            .map_or(Duration::ZERO, |loaded_at| now.saturating_sub(loaded_at));
        let avoided_wait = pending.avoided_wait(now).as_secs_f64();
        self.add_to_totals(function, now, |totals| {
            totals.used += 1;
            totals.mb_seconds += pending.memory_mb * held_for.as_secs_f64();
            totals.avoided_wait_seconds += avoided_wait;
        });
        if let Some(stats) = self.functions.get_mut(function) {
            stats.record_used();
        }
    }

    /// Closes expired prefetches, and returns the quiet periods that start, in the order of the function
    /// names.
    pub fn due(&mut self, now: Duration) -> Vec<QuietPeriod> {
        let mut expired: Vec<String> = self
            .expiries
            .iter()
            .take_while(|(expires_at, _)| *expires_at <= now)
            .map(|(_, function)| function.clone())
            .collect();
        expired.sort();
        expired
            .into_iter()
            .filter_map(|function| self.expire(now, function))
            .collect()
    }

    /// Closes a prefetch as unused, and returns the quiet period if one starts.
    fn expire(&mut self, now: Duration, function: String) -> Option<QuietPeriod> {
        let pending = self.close_pending(&function)?;
        let mb_seconds = pending.memory_mb * self.keep_alive.as_secs_f64();
        self.add_to_totals(&function, now, |totals| {
            totals.unused += 1;
            totals.mb_seconds += mb_seconds;
        });
        let quiet_for = self.functions.get_mut(&function)?.record_unused()?;
        Some(QuietPeriod {
            function,
            until: now + quiet_for,
        })
    }

    /// Applies `change` to the totals of the function and to those of all functions.
    fn add_to_totals(&mut self, function: &str, now: Duration, change: impl Fn(&mut PrefetchTotals)) {
        change(&mut self.totals);
        if !self.functions.contains_key(function) && self.functions.len() >= MAX_FUNCTIONS {
            self.drop_least_recently_changed();
        }
        let stats = self.functions.entry(function.to_owned()).or_default();
        change(&mut stats.totals);
        stats.changed_at = now;
    }

    fn drop_least_recently_changed(&mut self) {
        let oldest = self
            .functions
            .iter()
            .min_by_key(|(_, stats)| stats.changed_at)
            .map(|(function, _)| function.clone());
        if let Some(function) = oldest {
            self.functions.remove(&function);
        }
    }

    /// Removes a pending prefetch and its expiry, and returns the prefetch.
    fn close_pending(&mut self, function: &str) -> Option<PendingPrefetch> {
        let pending = self.pending.remove(function)?;
        self.expiries.remove(&(pending.expires_at, function.to_owned()));
        Some(pending)
    }
}

impl FunctionStats {
    /// Records a used prefetch, which resets the length of quiet periods.
    fn record_used(&mut self) {
        self.record_recent(0.0);
        self.quiet_periods = 0;
    }

    /// Records an unused prefetch. Returns the length of the quiet period to start, if too many recent
    /// prefetches went unused.
    fn record_unused(&mut self) -> Option<Duration> {
        self.record_recent(1.0);
        if self.recent_count < MIN_PREFETCHES || self.recent_unused_share <= MAX_UNUSED_SHARE {
            return None;
        }
        let doublings = self.quiet_periods.min(MAX_QUIET_DOUBLINGS);
        self.quiet_periods += 1;
        self.recent_count = 0;
        self.recent_unused_share = 0.0;
        Some(FIRST_QUIET_PERIOD * (1 << doublings))
    }

    /// Updates the moving average of unused prefetches. `unused` is 0 for a used prefetch, 1 for an unused
    /// one.
    fn record_recent(&mut self, unused: f64) {
        self.recent_count = (self.recent_count + 1).min(2 * MIN_PREFETCHES);
        let weight = f64::from(self.recent_count.min(MIN_PREFETCHES));
        self.recent_unused_share += (unused - self.recent_unused_share) / weight;
    }
}
