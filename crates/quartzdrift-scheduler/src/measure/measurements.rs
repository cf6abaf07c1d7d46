//! The measurements that outlive a start of the scheduler.
//!
//! They are stored: the order of their fields stays, and renamed fields are stored under their old names.
use super::DecayingPeak;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// What workers do, by kind of machine (`None`: of all). Times are those of the clock that measured.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Measurements {
    /// The most work that succeeded in a second, in usual requests.
    #[serde(rename = "peaks")]
    pub peak_throughput: BTreeMap<Option<u32>, DecayingPeak>,
    /// The most workers that were up at a time.
    #[serde(rename = "most_up")]
    pub max_workers_up: BTreeMap<Option<u32>, usize>,
    /// Duration of the usual attempt, the mean over request classes.
    #[serde(rename = "usual")]
    pub mean_duration: Option<Duration>,
    /// They were measured before many workers were lost, and most have been warming up since.
    #[serde(rename = "lost")]
    pub predates_loss: bool,
}

impl Measurements {
    /// The measurements of an earlier start: many workers may have been lost with it.
    pub(crate) fn assume_worker_loss(self) -> Measurements {
        Measurements { predates_loss: true, ..self }
    }

    /// Adds work that succeeded now at a worker of this kind; a kind that is new begins with `no_peak`.
    pub(crate) fn record_throughput(&mut self, kind: u32, work: f64, now: Duration, no_peak: &DecayingPeak) {
        for kind in [None, Some(kind)] {
            let peak = self.peak_throughput.entry(kind).or_insert_with(|| no_peak.clone());
            peak.add(work, now);
        }
    }

    /// Raises the most workers up to those that are up now, given by the kind of each.
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
