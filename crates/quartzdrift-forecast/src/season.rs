//! Uses of a function by the time within a recurring period, like a day or a week.
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of slots in a period.
const SLOTS: usize = 96;
/// Weight of the newest period in the mean of a slot.
const NEW_PERIOD_WEIGHT: f64 = 0.5;
/// Minimum step of the summation over slots, as a share of a slot: rounding must not stop its progress.
const MIN_STEP_SHARE: f64 = 1e-6;

/// Mean number of uses in each slot of a period, over the past periods.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Season {
    /// Length of the period, in seconds.
    period: f64,
    /// Mean uses by slot.
    means: Vec<f32>,
    /// Uses by slot that are not part of the means yet.
    counts: Vec<u16>,
    /// The current slot, as a number of slots since 1970.
    slot: u64,
    /// Number of period ends that were processed since the first use.
    periods: u32,
}

impl Season {
    pub(crate) fn new(period: Duration) -> Season {
        Season {
            period: period.as_secs_f64(),
            means: vec![0.0; SLOTS],
            counts: vec![0; SLOTS],
            slot: 0,
            periods: 0,
        }
    }

    /// Counts a use; a use before the current slot is ignored.
    pub(crate) fn record_use(&mut self, at: Duration) {
        let slot = self.slot_at(at.as_secs_f64());
        if slot < self.slot {
            return;
        }
        if self.slot == 0 {
            self.slot = slot;
        }
        self.close_slots_before(slot);
        let index = Season::index_in_period(slot);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Number of uses expected between two times, in seconds since 1970; `None` before the end of the first
    /// period.
    pub(crate) fn expected_uses(&self, from: f64, to: f64) -> Option<f64> {
        if self.periods == 0 {
            return None;
        }
        let width = self.slot_width();
        let to = to.min(from + self.period);
        let mut at = from;
        let mut uses = 0.0;
        while at < to {
            let slot = self.slot_at(at);
            let end = ((slot + 1) as f64 * width)
                .min(to)
                .max(at + width * MIN_STEP_SHARE);
            uses += f64::from(self.means[Season::index_in_period(slot)]) * (end - at) / width;
            at = end;
        }
        Some(uses)
    }

    /// Uses per second expected just after a time, in seconds since 1970.
    pub(crate) fn use_rate(&self, at: f64) -> Option<f64> {
        let width = self.slot_width();
        self.expected_uses(at, at + width).map(|uses| uses / width)
    }

    /// Merges the counts of slots that have ended into the means. After more than a period without uses one
    /// period of empty slots is merged.
    fn close_slots_before(&mut self, slot: u64) {
        let ended = (slot - self.slot).min(SLOTS as u64);
        for closed in self.slot..self.slot + ended {
            let index = Season::index_in_period(closed);
            let weight = if self.periods == 0 {
                1.0
            } else {
                NEW_PERIOD_WEIGHT as f32
            };
            self.means[index] += (f32::from(self.counts[index]) - self.means[index]) * weight;
            self.counts[index] = 0;
            if index + 1 == SLOTS {
                self.periods += 1;
            }
        }
        self.slot = slot;
    }

    /// Length of a slot, in seconds.
    fn slot_width(&self) -> f64 {
        self.period / SLOTS as f64
    }

    /// The slot at a time in seconds since 1970, as a number of slots since 1970.
    fn slot_at(&self, at: f64) -> u64 {
        (at / self.period * SLOTS as f64) as u64
    }

    /// Index of a slot within its period.
    fn index_in_period(slot: u64) -> usize {
        (slot % SLOTS as u64) as usize
    }
}
