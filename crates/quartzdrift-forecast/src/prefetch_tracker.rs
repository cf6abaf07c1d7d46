//! The ledger of prefetches: what each load ahead of need cost, and whether it was used.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Share of a function's recent prefetches that may go unused before it is not forecast for a while.
const MAX_UNUSED_SHARE: f64 = 0.6;
/// Prefetches that this share rests on at least.
const MIN_PREFETCHES: u32 = 4;
/// Length of the first quiet period.
const FIRST_QUIET_PERIOD: Duration = Duration::from_secs(60);
/// Maximum doublings of the quiet period.
const MAX_QUIET_DOUBLINGS: u32 = 6;
/// Maximum functions with an account of their own; past it the one with the oldest change is dropped.
const MAX_ACCOUNTS: usize = 10_000;
/// Maximum prefetches whose use is awaited.
const MAX_PENDING: usize = 10_000;

/// PrefetchTotals over prefetches.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefetchTotals {
    /// Load commands sent.
    pub commands: u64,
    /// Commands that fetched from the origin store; the others found the copy cached.
    pub fetches: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Prefetches followed by a use within the keep-alive.
    pub used: u64,
    /// Prefetches without one.
    pub unused: u64,
    /// Memory held before its first use, in MB seconds.
    pub mb_seconds: f64,
    /// Waiting that requests were spared, in seconds: the duration of the load for each prefetch that was used.
    pub avoided_wait_seconds: f64,
}

/// A function that is not to be forecast for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuietPeriod {
    /// The function's name.
    pub function: String,
    /// When the period ends.
    pub until: Duration,
}

/// The account of one function.
#[derive(Clone, Debug, Default)]
struct Account {
    totals: PrefetchTotals,
    /// Recent prefetches that the share of unused ones rests on.
    recent: u32,
    recent_unused_share: f64,
    /// Quiet periods since the last use.
    quiet_periods: u32,
    changed_at: Duration,
}

/// A prefetch whose use is awaited.
#[derive(Clone, Debug)]
struct Pending {
    sent_at: Duration,
    /// When the command succeeded.
    loaded_at: Option<Duration>,
    load_duration: Duration,
    memory_mb: f64,
    fetched: bool,
    /// When the prefetch counts as unused.
    expires_at: Duration,
}

impl Pending {
    /// Waiting that a use at `now` is spared.
    fn avoided_wait(&self, now: Duration) -> Duration {
        match (self.fetched, self.loaded_at) {
            (true, Some(_)) => self.load_duration,
            // The load is under way: the time that has passed of it is spared.
            (false, None) => now.saturating_sub(self.sent_at),
            (true, None) | (false, Some(_)) => Duration::ZERO,
        }
    }
}

/// What became of all prefetches.
#[derive(Debug, Default)]
pub struct PrefetchTracker {
    keep_alive: Duration,
    totals: PrefetchTotals,
    accounts: BTreeMap<String, Account>,
    pending: BTreeMap<String, Pending>,
    /// The pending prefetches by expiry, which the event loop asks for on every turn.
    expiries: BTreeSet<(Duration, String)>,
}

impl PrefetchTracker {
    /// An empty ledger. A prefetch counts as unused after `keep_alive` without a use.
    pub fn new(keep_alive: Duration) -> PrefetchTracker {
        PrefetchTracker {
            keep_alive,
            ..PrefetchTracker::default()
        }
    }

    /// PrefetchTotals over all functions.
    pub fn totals(&self) -> PrefetchTotals {
        self.totals
    }

    /// PrefetchTotals by function; the least recently changed functions may be missing.
    pub fn totals_by_function(&self) -> impl Iterator<Item = (&str, PrefetchTotals)> {
        self.accounts
            .iter()
            .map(|(function, account)| (function.as_str(), account.totals))
    }

    /// When [`PrefetchTracker::due`] has the next prefetch to close.
    pub fn next_due(&self) -> Option<Duration> {
        self.expiries.first().map(|(expires_at, _)| *expires_at)
    }

    /// A load command was sent.
    pub fn record_load_command(&mut self, now: Duration, function: &str, memory_mb: f64) {
        self.add(function, now, |totals| totals.commands += 1);
        if self.pending.len() >= MAX_PENDING || self.pending.contains_key(function) {
            return;
        }
        let pending = Pending {
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

    /// A load command was answered. `fetched`: it took as long as a load, so that the copy had not been cached.
    pub fn record_load_end(&mut self, now: Duration, function: &str, succeeded: bool, fetched: bool) {
        if !succeeded {
            self.add(function, now, |totals| totals.failed += 1);
            self.close(function);
            return;
        }
        if fetched {
            self.add(function, now, |totals| totals.fetches += 1);
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

    /// A request of the function came, which a prefetch may have been for.
    pub fn record_use(&mut self, now: Duration, function: &str) {
        let Some(pending) = self.close(function) else {
            return;
        };
        let unused_for = pending
            .loaded_at
            .map_or(Duration::ZERO, |loaded_at| now.saturating_sub(loaded_at));
        let avoided_wait = pending.avoided_wait(now).as_secs_f64();
        self.add(function, now, |totals| {
            totals.used += 1;
            totals.mb_seconds += pending.memory_mb * unused_for.as_secs_f64();
            totals.avoided_wait_seconds += avoided_wait;
        });
        if let Some(account) = self.accounts.get_mut(function) {
            account.learn_used();
        }
    }

    /// Closes the prefetches that expired, and returns the functions that are to be quiet, by name.
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

    /// Closes a prefetch as unused.
    fn expire(&mut self, now: Duration, function: String) -> Option<QuietPeriod> {
        let pending = self.close(&function)?;
        let held = pending.memory_mb * self.keep_alive.as_secs_f64();
        self.add(&function, now, |totals| {
            totals.unused += 1;
            totals.mb_seconds += held;
        });
        let quiet_for = self.accounts.get_mut(&function)?.learn_unused()?;
        Some(QuietPeriod {
            function,
            until: now + quiet_for,
        })
    }

    /// Changes the sums of a function, and the total.
    fn add(&mut self, function: &str, now: Duration, change: impl Fn(&mut PrefetchTotals)) {
        change(&mut self.totals);
        if !self.accounts.contains_key(function) && self.accounts.len() >= MAX_ACCOUNTS {
            self.drop_oldest_account();
        }
        let account = self.accounts.entry(function.to_owned()).or_default();
        change(&mut account.totals);
        account.changed_at = now;
    }

    fn drop_oldest_account(&mut self) {
        let oldest = self
            .accounts
            .iter()
            .min_by_key(|(_, account)| account.changed_at)
            .map(|(function, _)| function.clone());
        if let Some(function) = oldest {
            self.accounts.remove(&function);
        }
    }

    fn close(&mut self, function: &str) -> Option<Pending> {
        let pending = self.pending.remove(function)?;
        self.expiries.remove(&(pending.expires_at, function.to_owned()));
        Some(pending)
    }
}

impl Account {
    fn learn_used(&mut self) {
        self.learn(0.0);
        self.quiet_periods = 0;
    }

    /// The length of the quiet period that is due, if too many recent prefetches went unused.
    fn learn_unused(&mut self) -> Option<Duration> {
        self.learn(1.0);
        if self.recent < MIN_PREFETCHES || self.recent_unused_share <= MAX_UNUSED_SHARE {
            return None;
        }
        let doublings = self.quiet_periods.min(MAX_QUIET_DOUBLINGS);
        self.quiet_periods += 1;
        self.recent = 0;
        self.recent_unused_share = 0.0;
        Some(FIRST_QUIET_PERIOD * (1 << doublings))
    }

    /// Moves the mean share towards 0 for a prefetch that was used, and 1 for one that was not.
    fn learn(&mut self, unused: f64) {
        self.recent = (self.recent + 1).min(2 * MIN_PREFETCHES);
        let weight = f64::from(self.recent.min(MIN_PREFETCHES));
        self.recent_unused_share += (unused - self.recent_unused_share) / weight;
    }
}
