//! Admission of calls by function while caches are cold after a mass failure, so that the origin store is
//! asked once for each function and is not overloaded.
//!
//! A function that is not known to be cached is loaded by one call; other calls for it are asked to retry
//! when that load should be over. The number of loads that a scheduler has in flight is limited by additive
//! increase and multiplicative decrease (AIMD, Chiu and Jain 1989): the limit grows by one for each load that
//! did not take much longer than the quickest load, and is halved after a load that the store rejected.
//! Members share the cache states of functions by [`cache_gossip`](crate::cache_gossip).
use crate::cache_gossip::{CacheGossip, CacheMessage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Maximum retry delay: after this time the limit has changed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of functions whose cache state is tracked; calls for further functions are admitted without
/// limit.
const MAX_TRACKED_FUNCTIONS: usize = 65_536;
/// Time after which an unfinished load no longer counts: even a congested store takes less for a load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The assumed duration of a load before the first one is measured.
const DEFAULT_LOAD_DURATION: Duration = Duration::from_millis(500);
/// A load that took more than this multiple of the quickest load shows a congested store: the limit does not
/// grow.
const CONGESTION_FACTOR: u32 = 2;
/// The limit of loads in flight at the start of the ramp.
const INITIAL_LIMIT: f64 = 2.0;
/// The lower bound of the limit of loads in flight. A limit below one adds pauses between single
/// loads.
const MIN_LIMIT: f64 = 0.0625;
/// The inverse of the weight that a new measurement has in the moving average of load durations.
const AVERAGE_INVERSE_WEIGHT: u32 = 8;

/// The cache state of a function on the workers, as members share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CacheState {
    /// A load ended without caching the function: another one may begin.
    NotCached,
    /// A load is in flight.
    Loading,
    /// At least one worker has the function cached.
    Cached,
}

/// A gossip update about the cache state of a function.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    /// The lower 32 bits of the hash of the function's name.
    pub function: u32,
    /// The cache state of the function.
    pub state: CacheState,
}

/// The result of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResult {
    /// The function is cached.
    Cached,
    /// The origin store rejected the load.
    Rejected,
    /// The request failed for another reason or was cancelled.
    Inconclusive,
}

/// Whether an admitted call counts as a load of its function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The call is not expected to load the function, or the function is not tracked.
    Unlimited,
    /// The call loads the function; the end of the load is reported with [`AdmissionRamp::load_finished`].
    Load,
}

/// The state of an admission ramp as operators see it. Serialized as a triple.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(usize, usize, f64)", into = "(usize, usize, f64)")]
pub struct RampView {
    /// The number of functions that are known to be cached.
    pub cached: usize,
    /// The number of functions that are known to be loading, by calls of this scheduler or another.
    pub loading: usize,
    /// The limit of loads in flight of this scheduler.
    pub limit: f64,
}

impl From<(usize, usize, f64)> for RampView {
    fn from((cached, loading, limit): (usize, usize, f64)) -> RampView {
        RampView {
            cached,
            loading,
            limit,
        }
    }
}

impl From<RampView> for (usize, usize, f64) {
    fn from(view: RampView) -> (usize, usize, f64) {
        (view.cached, view.loading, view.limit)
    }
}

/// A pseudorandom number generator; the same seed yields the same sequence.
#[derive(Debug)]
pub(crate) struct SeededRandom {
    seed: u64,
    draws: u64,
}

impl SeededRandom {
    pub(crate) fn new(seed: u64) -> SeededRandom {
        SeededRandom { seed, draws: 0 }
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        hasher.finish()
    }

    /// A random number between 0 and 1.
    fn next_fraction(&mut self) -> f64 {
        self.next_u64() as f64 / u64::MAX as f64
    }
}

#[derive(Debug)]
struct KnownFunction {
    state: CacheState,
    /// The time after which a load that has not ended no longer blocks another load of the function.
    load_deadline: Duration,
}

/// Limits the loads of functions in flight by AIMD.
#[derive(Debug)]
pub(crate) struct AdmissionRamp {
    random: SeededRandom,
    /// The known cache states, by the hash of the function's name.
    functions: BTreeMap<u32, KnownFunction>,
    /// The start time of each load in flight of this scheduler, by the hash of the function's name.
    own_load_starts: BTreeMap<u32, Duration>,
    limit: f64,
    /// The earliest time of the next load, which is delayed after each halving of the limit, and after each
    /// load while the limit is below one.
    next_load_at: Duration,
    /// The earliest time of the next halving: loads that are rejected before then began before the last
    /// halving.
    next_decrease_at: Duration,
    quickest_load: Option<Duration>,
    average_load: Duration,
    gossip: CacheGossip,
}

impl AdmissionRamp {
    pub(crate) fn new(now: Duration, seed: u64) -> AdmissionRamp {
        AdmissionRamp {
            random: SeededRandom::new(seed),
            functions: BTreeMap::new(),
            own_load_starts: BTreeMap::new(),
            limit: INITIAL_LIMIT,
            next_load_at: now,
            next_decrease_at: now,
            quickest_load: None,
            average_load: DEFAULT_LOAD_DURATION,
            gossip: CacheGossip::new(now),
        }
    }

    /// The state of the ramp as operators see it.
    pub(crate) fn view(&self) -> RampView {
        let count = |state| {
            let functions = self.functions.values();
            functions.filter(|function| function.state == state).count()
        };
        RampView {
            cached: count(CacheState::Cached),
            loading: count(CacheState::Loading),
            limit: self.limit,
        }
    }

    /// The time at which the next gossip message is due; `None`: there is none to send.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.gossip.next_due()
    }

    /// The gossip message that is due at `now`, if any, to a few of the `members`.
    pub(crate) fn next_message(&mut self, now: Duration, members: &[&String]) -> Option<CacheMessage> {
        self.gossip.next_message(now, members, &mut self.random)
    }

    /// Admits a call for a function, or returns the delay after which to retry as `Err`.
    pub(crate) fn admit(&mut self, now: Duration, function: u32) -> Result<Admission, Duration> {
        match self.functions.get(&function) {
            Some(known) if known.state == CacheState::Cached => return Ok(Admission::Unlimited),
            Some(known) if known.state == CacheState::Loading && known.load_deadline > now => {
                return Err(self.retry_after(0.5));
            }
            None if self.functions.len() >= MAX_TRACKED_FUNCTIONS => return Ok(Admission::Unlimited),
            Some(_) | None => {}
        }
        self.own_load_starts
            .retain(|_, began_at| *began_at + LOAD_TIMEOUT > now);
        if self.own_load_starts.len() as f64 >= self.limit.max(1.0) || now < self.next_load_at {
            // The lower the limit, the longer the wait until another load may begin.
            let loads = 1.0 / self.limit.min(1.0);
            return Err(self.retry_after(loads));
        }
        if self.limit < 1.0 {
            self.next_load_at = now + self.average_load.mul_f64(1.0 / self.limit);
        }
        self.own_load_starts.insert(function, now);
        self.update_state(now, function, CacheState::Loading);
        Ok(Admission::Load)
    }

    /// A retry delay of once to twice the average duration of a load, times `loads`. It is random, so that
    /// rejected calls do not retry in one wave.
    fn retry_after(&mut self, loads: f64) -> Duration {
        let jitter = self.random.next_fraction();
        self.average_load
            .mul_f64(loads * (1.0 + jitter))
            .min(MAX_RETRY_AFTER)
    }

    /// Reports the result of a load: the final response to a call that was admitted as [`Admission::Load`].
    pub(crate) fn load_finished(&mut self, now: Duration, function: u32, result: LoadResult) {
        let Some(began_at) = self.own_load_starts.remove(&function) else {
            return;
        };
        let state = match result {
            LoadResult::Cached => {
                self.record_load_duration(now.saturating_sub(began_at));
                CacheState::Cached
            }
            LoadResult::Rejected => {
                self.decrease_limit(now);
                CacheState::NotCached
            }
            LoadResult::Inconclusive => CacheState::NotCached,
        };
        self.update_state(now, function, state);
    }

    /// Updates the average and the quickest duration, and raises the limit unless the load shows a congested
    /// store.
    fn record_load_duration(&mut self, duration: Duration) {
        let quickest = self
            .quickest_load
            .map_or(duration, |quickest| quickest.min(duration));
        self.quickest_load = Some(quickest);
        self.average_load =
            (self.average_load * (AVERAGE_INVERSE_WEIGHT - 1) + duration) / AVERAGE_INVERSE_WEIGHT;
        if duration <= quickest.max(DEFAULT_LOAD_DURATION / 2) * CONGESTION_FACTOR {
            self.limit += 1.0;
        }
    }

    /// Halves the limit, once for loads that are rejected within the average duration of a load.
    fn decrease_limit(&mut self, now: Duration) {
        if now < self.next_decrease_at {
            return;
        }
        self.limit = (self.limit / 2.0).max(MIN_LIMIT);
        self.next_decrease_at = now + self.average_load;
        self.next_load_at = now + self.retry_after(1.0);
    }

    /// Applies the cache states that another member reports. Its loads do not count against this scheduler's
    /// limit.
    pub(crate) fn apply_updates(&mut self, now: Duration, updates: &[CacheUpdate]) {
        for update in updates {
            self.update_state(now, update.function, update.state);
        }
    }

    /// Records the cache state of a function and, if it is new, queues it for gossip.
    fn update_state(&mut self, now: Duration, function: u32, state: CacheState) {
        let is_new = match self.functions.get(&function).map(|known| known.state) {
            Some(CacheState::Cached) => false,
            Some(known) => known != state,
            None => self.functions.len() < MAX_TRACKED_FUNCTIONS && state != CacheState::NotCached,
        };
        if is_new {
            let load_deadline = now + LOAD_TIMEOUT;
            let known = KnownFunction { state, load_deadline };
            self.functions.insert(function, known);
            self.gossip.push(CacheUpdate { function, state });
        }
    }
}

#[cfg(test)]
mod tests;
