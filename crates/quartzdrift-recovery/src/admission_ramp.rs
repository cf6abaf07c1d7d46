//! Which functions' calls are admitted while caches are cold after a mass failure, so that the origin store is asked once
//! for each function and no more than it bears.
//!
//! A function that is not known to be cached is loaded by one call; others for it are asked to retry once that load should
//! be over. How many such loads a scheduler has in flight is limited by additive increase and multiplicative decrease
//! (AIMD, Chiu and Jain 1989): one more for each load that did not take much longer than the quickest, half as many after
//! one that the store rejected. Members share what is loading and what is cached by [`cache_gossip`](crate::cache_gossip).
use crate::cache_gossip::{CacheGossip, CacheMessage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Longest retry delay: by then the limit has changed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Functions with a known cache state at most; calls for others are then admitted.
const MAX_FUNCTIONS: usize = 65_536;
/// A load that has not finished by then is given up on: one in a crowded store takes less.
const LOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The assumed duration of a load before one was measured.
const DEFAULT_LOAD_DURATION: Duration = Duration::from_millis(500);
/// A load that took so many times the quickest shows a crowded store: the limit does not grow.
const CROWDED_FACTOR: u32 = 2;
/// Loads in flight at first.
const INITIAL_LIMIT: f64 = 2.0;
/// Loads in flight at least; below one there are pauses between loads.
const MIN_LIMIT: f64 = 0.0625;
/// The inverse weight of a measurement in the moving average of load durations.
const AVERAGE_WEIGHT: u32 = 8;

/// The cache state of a function, as members share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CacheState {
    /// A load came to nothing: another may begin.
    NotCached,
    /// A load is in flight.
    Loading,
    /// Some worker has it cached.
    Cached,
}

/// A function's cache state in gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    /// A hash of the function's name.
    pub function: u32,
    /// Its state.
    pub state: CacheState,
}

/// What came of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadResult {
    /// The function is cached.
    Cached,
    /// The origin store rejected the load.
    Rejected,
    /// The request did not get as far, or was cancelled.
    Inconclusive,
}

/// How an admitted call relates to its function's cache state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// No load is expected of it, or it is not tracked.
    Unlimited,
    /// It loads the function; its end is reported with [`AdmissionRamp::load_finished`].
    Load,
}

/// What operators see of a ramp. Serialized as a triple.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(usize, usize, f64)", into = "(usize, usize, f64)")]
pub struct RampView {
    /// Functions that are known to be cached.
    pub cached: usize,
    /// Functions that are known to be loading, here or elsewhere.
    pub loading: usize,
    /// Loads of this scheduler in flight at most.
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

/// A deterministic source of random numbers.
#[derive(Debug)]
pub(crate) struct Jitter {
    seed: u64,
    drawn: u64,
}

impl Jitter {
    pub(crate) fn new(seed: u64) -> Jitter {
        Jitter { seed, drawn: 0 }
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        hasher.finish()
    }

    /// Between 0 and 1.
    fn next_share(&mut self) -> f64 {
        self.next() as f64 / u64::MAX as f64
    }
}

#[derive(Debug)]
struct KnownFunction {
    state: CacheState,
    /// When a load is given up on.
    load_deadline: Duration,
}

/// Limits loads of functions by AIMD.
#[derive(Debug)]
pub(crate) struct AdmissionRamp {
    jitter: Jitter,
    functions: BTreeMap<u32, KnownFunction>,
    /// When each own load in flight began.
    own_loads: BTreeMap<u32, Duration>,
    limit: f64,
    /// No load before, where the limit is below one.
    next_load: Duration,
    /// Loads that are rejected before then began before the limit was last halved.
    next_decrease: Duration,
    quickest_load: Option<Duration>,
    average_load: Duration,
    gossip: CacheGossip,
}

impl AdmissionRamp {
    pub(crate) fn new(now: Duration, seed: u64) -> AdmissionRamp {
        AdmissionRamp {
            jitter: Jitter::new(seed),
            functions: BTreeMap::new(),
            own_loads: BTreeMap::new(),
            limit: INITIAL_LIMIT,
            next_load: now,
            next_decrease: now,
            quickest_load: None,
            average_load: DEFAULT_LOAD_DURATION,
            gossip: CacheGossip::new(now),
        }
    }

    /// What operators see.
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

    /// When gossip is to be sent next, if there is any.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.gossip.next_due()
    }

    /// The gossip that is due to some of these members.
    pub(crate) fn next_message(&mut self, now: Duration, members: &[&String]) -> Option<CacheMessage> {
        self.gossip.next_message(now, members, &mut self.jitter)
    }

    /// Whether a call for this function is admitted; `Err`: when to retry.
    pub(crate) fn admit(&mut self, now: Duration, function: u32) -> Result<Admission, Duration> {
        match self.functions.get(&function) {
            Some(known) if known.state == CacheState::Cached => return Ok(Admission::Unlimited),
            Some(known) if known.state == CacheState::Loading && known.load_deadline > now => {
                return Err(self.retry_after(0.5));
            }
            None if self.functions.len() >= MAX_FUNCTIONS => return Ok(Admission::Unlimited),
            Some(_) | None => {}
        }
        self.own_loads.retain(|_, begun| *begun + LOAD_TIMEOUT > now);
        if self.own_loads.len() as f64 >= self.limit.max(1.0) || now < self.next_load {
            // The lower the limit, the longer until there is room for another load.
            let loads = 1.0 / self.limit.min(1.0);
            return Err(self.retry_after(loads));
        }
        if self.limit < 1.0 {
            self.next_load = now + self.average_load.mul_f64(1.0 / self.limit);
        }
        self.own_loads.insert(function, now);
        self.learn(now, function, CacheState::Loading);
        Ok(Admission::Load)
    }

    /// The duration of so many average loads, once to twice: rejected calls do not retry in one wave.
    fn retry_after(&mut self, loads: f64) -> Duration {
        let jitter = self.jitter.next_share();
        self.average_load
            .mul_f64(loads * (1.0 + jitter))
            .min(MAX_RETRY_AFTER)
    }

    /// The request of a call that was admitted as [`Admission::Load`] has its final answer.
    pub(crate) fn load_finished(&mut self, now: Duration, function: u32, result: LoadResult) {
        let Some(begun) = self.own_loads.remove(&function) else {
            return;
        };
        let state = match result {
            LoadResult::Cached => {
                self.measure_load(now.saturating_sub(begun));
                CacheState::Cached
            }
            LoadResult::Rejected => {
                self.decrease_limit(now);
                CacheState::NotCached
            }
            LoadResult::Inconclusive => CacheState::NotCached,
        };
        self.learn(now, function, state);
    }

    fn measure_load(&mut self, duration: Duration) {
        let quickest = self
            .quickest_load
            .map_or(duration, |quickest| quickest.min(duration));
        self.quickest_load = Some(quickest);
        self.average_load = (self.average_load * (AVERAGE_WEIGHT - 1) + duration) / AVERAGE_WEIGHT;
        if duration <= quickest.max(DEFAULT_LOAD_DURATION / 2) * CROWDED_FACTOR {
            self.limit += 1.0;
        }
    }

    /// Loads that are rejected together, within the duration of a load, halve the limit once.
    fn decrease_limit(&mut self, now: Duration) {
        if now < self.next_decrease {
            return;
        }
        self.limit = (self.limit / 2.0).max(MIN_LIMIT);
        self.next_decrease = now + self.average_load;
        self.next_load = now + self.retry_after(1.0);
    }

    /// Takes over what another member reports; its loads are none of ours.
    pub(crate) fn learn_all(&mut self, now: Duration, updates: &[CacheUpdate]) {
        for update in updates {
            self.learn(now, update.function, update.state);
        }
    }

    /// Records a state and, if it is new, gossips it.
    fn learn(&mut self, now: Duration, function: u32, state: CacheState) {
        let is_new = match self.functions.get(&function).map(|known| known.state) {
            Some(CacheState::Cached) => false,
            Some(known) => known != state,
            None => self.functions.len() < MAX_FUNCTIONS && state != CacheState::NotCached,
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
