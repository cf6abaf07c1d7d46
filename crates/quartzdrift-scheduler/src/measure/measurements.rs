//! Measurements that are persisted across runs of the scheduler.
//!
//! The serialized type keeps its field order, and a renamed field keeps its stored name through a serde
//! attribute.
use super::DecayingPeak;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Measured throughput, worker counts and attempt duration. Maps are keyed by kind of machine; the key `None`
/// stands for all kinds. Times are on the clock of the scheduler that measured them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Measurements {
    /// Highest rate of successful work, in mean requests per second.
    #[serde(rename = "peaks")]
    pub peak_throughput: BTreeMap<Option<u32>, DecayingPeak>,
    /// Maximum number of workers that were up at the same time.
    #[serde(rename = "most_up")]
    pub max_workers_up: BTreeMap<Option<u32>, usize>,
    /// Mean duration of an attempt whose function was cached, averaged over the request classes.
    #[serde(rename = "usual")]
    pub mean_duration: Option<Duration>,
    /// The values were measured before a possible loss of many workers, and most workers may still be warming
    /// up.
    #[serde(rename = "lost")]
    pub predates_loss: bool,
}

impl Measurements {
    /// Marks the measurements as those of an earlier run, at whose end many workers may have been lost.
    pub(crate) fn assume_worker_loss(self) -> Measurements {
        Measurements { predates_loss: true, ..self }
    }

    /// Adds work that a worker of this kind of machine has completed. A new kind starts with a clone of
    /// `no_peak`.
    pub(crate) fn record_throughput(&mut self, kind: u32, work: f64, now: Duration, no_peak: &DecayingPeak) {
        for kind in [None, Some(kind)] {
            let peak = self.peak_throughput.entry(kind).or_insert_with(|| no_peak.clone());
            peak.add(work, now);
        }
    }

    /// Updates the maximum number of workers up. `kinds` holds the kind of machine of each worker that is up
    /// now.
    pub(crate) fn record_workers_up(&mut self, kinds: impl Iterator<Item = u32>) {
        let mut up_by_kind: BTreeMap<Option<u32>, usize> = BTreeMap::new();
        for kind in kinds {
            *up_by_kind.entry(None).or_default() += 1;
            *up_by_kind.entry(Some(kind)).or_default() += 1;
        }
        for (kind, up) in up_by_kind {
            let max_up = self.max_workers_up.entry(kind).or_default();
            *max_up = up.max(*max_up);
        }
    }
}
