//! Sums and peaks that decay exponentially.
//!
//! They are stored: the order of their fields stays, and renamed fields are stored under their old names.
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
    /// The value at the time `now`.
    pub fn value(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-age / half_life.as_secs_f64()).exp2()
    }

    /// Adds to the value at the time `now`.
    pub fn add(&mut self, amount: f64, now: Duration, half_life: Duration) {
        let value = self.value(now, half_life) + amount;
        *self = DecayingSum { value, updated_at: now };
    }
}

/// Decaying sums by a key, and their total.
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
    /// Sums of zero that lose half their value in each half-life.
    pub fn new(half_life: Duration) -> DecayingSums {
        DecayingSums { half_life, ..DecayingSums::default() }
    }

    /// Adds to the key's sum and to the total.
    pub fn add(&mut self, key: usize, amount: f64, now: Duration) {
        self.first_added.get_or_insert(now);
        self.total.add(amount, now, self.half_life);
        self.sums.entry(key).or_default().add(amount, now, self.half_life);
    }

    /// The key's sum; zero for one that nothing was added to.
    pub fn get(&self, key: usize, now: Duration) -> f64 {
        self.sums.get(&key).map_or(0.0, |sum| sum.value(now, self.half_life))
    }

    /// The sum over all keys.
    pub fn total(&self, now: Duration) -> f64 {
        self.total.value(now, self.half_life)
    }

    /// What was added in a second, over the time since the first was (a second at least).
    pub fn per_second(&self, now: Duration) -> f64 {
        let first_added = self.first_added.unwrap_or(now);
        let age = now.saturating_sub(first_added).as_secs_f64() + 1.0;
        let half_life = self.half_life.as_secs_f64();
        let remembered = 1.0 - (-age / half_life).exp2();
        self.total(now) * std::f64::consts::LN_2 / half_life / remembered
    }
}

/// The most that was added in a second; it decays too, with a half-life of its own.
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
    /// A peak of zero; `half_life` is that of the rate, `peak_half_life` that of its peak.
    pub fn new(half_life: Duration, peak_half_life: Duration) -> DecayingPeak {
        DecayingPeak { recent: DecayingSums::new(half_life), peak_half_life, peak: DecayingSum::default() }
    }

    /// Adds to the rate, and raises the peak to it.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.recent.add(0, amount, now);
        let above = self.recent.per_second(now) - self.value(now);
        self.peak.add(above.max(0.0), now, self.peak_half_life);
    }

    /// The peak at the time `now`, a second.
    pub fn value(&self, now: Duration) -> f64 {
        self.peak.value(now, self.peak_half_life)
    }
}
