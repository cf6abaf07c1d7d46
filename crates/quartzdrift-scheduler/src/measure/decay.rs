//! Exponentially decaying sums and peaks.
//!
//! The serialized types are persisted: their field order must not change, and a renamed field keeps its
//! stored name through a serde attribute.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A sum that loses half its value in each half-life.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DecayingSum {
    #[serde(rename = "sum")]
    value: f64,
    #[serde(rename = "at")]
    updated_at: Duration,
}

impl DecayingSum {
    /// Returns the value at the time `now`.
    pub fn value(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-age / half_life.as_secs_f64()).exp2()
    }

    /// Adds an amount at the time `now`.
    pub fn add(&mut self, amount: f64, now: Duration, half_life: Duration) {
        let value = self.value(now, half_life) + amount;
        *self = DecayingSum { value, updated_at: now };
    }
}

/// Decaying sums by key, and their total.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecayingSums {
    #[serde(rename = "half")]
    half_life: Duration,
    #[serde(rename = "began")]
    first_added: Option<Duration>,
    #[serde(rename = "all")]
    total: DecayingSum,
    #[serde(rename = "parts")]
    sums: BTreeMap<usize, DecayingSum>,
}

impl DecayingSums {
    /// Creates empty sums that lose half their value in each half-life.
    pub fn new(half_life: Duration) -> DecayingSums {
        DecayingSums { half_life, ..DecayingSums::default() }
    }

    /// Adds an amount to the key's sum and to the total.
    pub fn add(&mut self, key: usize, amount: f64, now: Duration) {
        self.first_added.get_or_insert(now);
        self.total.add(amount, now, self.half_life);
        self.sums.entry(key).or_default().add(amount, now, self.half_life);
    }

    /// Returns the sum of a key; zero for an unknown key.
    pub fn get(&self, key: usize, now: Duration) -> f64 {
        self.sums.get(&key).map_or(0.0, |sum| sum.value(now, self.half_life))
    }

    /// Returns the number of keys with a sum.
    pub(crate) fn len(&self) -> usize {
        self.sums.len()
    }

    /// Removes the sum of a key. The total keeps the amounts that were added under the key.
    pub(crate) fn remove(&mut self, key: usize) {
        self.sums.remove(&key);
    }

    /// Returns the sum over all keys.
    pub fn total(&self, now: Duration) -> f64 {
        self.total.value(now, self.half_life)
    }

    /// Returns the mean amount added per second, weighted towards the last half-life. The time since the
    /// first addition is taken to be one second longer than it is, which bounds the rate at the start.
    pub fn per_second(&self, now: Duration) -> f64 {
        let first_added = self.first_added.unwrap_or(now);
        let age = now.saturating_sub(first_added).as_secs_f64() + 1.0;
        let half_life = self.half_life.as_secs_f64();
        let retained_share = 1.0 - (-age / half_life).exp2();
        self.total(now) * std::f64::consts::LN_2 / half_life / retained_share
    }
}

/// Highest rate of addition per second. The peak itself decays with a second half-life.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecayingPeak {
    #[serde(rename = "sums")]
    recent: DecayingSums,
    #[serde(rename = "fade")]
    peak_half_life: Duration,
    #[serde(rename = "most")]
    peak: DecayingSum,
}

impl DecayingPeak {
    /// Creates a peak of zero. `half_life` applies to the rate, `peak_half_life` to the peak.
    pub fn new(half_life: Duration, peak_half_life: Duration) -> DecayingPeak {
        DecayingPeak { recent: DecayingSums::new(half_life), peak_half_life, peak: DecayingSum::default() }
    }

    /// Adds an amount to the rate, and raises the peak if the rate exceeds it.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.recent.add(0, amount, now);
        let excess = self.recent.per_second(now) - self.value(now);
        self.peak.add(excess.max(0.0), now, self.peak_half_life);
    }

    /// Returns the peak at the time `now`, as an amount per second.
    pub fn value(&self, now: Duration) -> f64 {
        self.peak.value(now, self.peak_half_life)
    }
}
