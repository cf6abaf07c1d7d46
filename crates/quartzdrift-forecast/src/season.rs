//! Uses of a function by the time within a period, like a day or a week.
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Slots that a period is divided into.
const SLOTS: usize = 96;
/// Weight of the newest period in a slot's mean.
const NEW_PERIOD_WEIGHT: f64 = 0.5;
/// Least part of a slot that a step of the summation covers, so that rounding cannot stop it.
const MIN_STEP: f64 = 1e-6;

/// A mean count of uses for each slot, over the periods seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Season {
    /// Length of the period, in seconds.
    period: f64,
    /// Mean uses by slot.
    means: Vec<f32>,
    /// Uses by slot of the period under way, until they go into the means.
    counts: Vec<u16>,
    /// The slot that counts now, as a number of slots since 1970.
    slot: u64,
    /// Whole periods that the means rest on.
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

    /// Counts a use; one from before the current slot is ignored.
    pub(crate) fn used(&mut self, at: Duration) {
        let slot = self.slot_at(at.as_secs_f64());
        if slot < self.slot {
            return;
        }
        if self.slot == 0 {
            self.slot = slot;
        }
        self.close_slots_before(slot);
        let index = Season::index(slot);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Uses expected between two times, in seconds since 1970; `None` before a whole period was seen.
    pub(crate) fn expected(&self, from: f64, to: f64) -> Option<f64> {
        if self.periods == 0 {
            return None;
        }
        let width = self.slot_width();
        let to = to.min(from + self.period);
        let mut at = from;
        let mut uses = 0.0;
        while at < to {
            let slot = self.slot_at(at);
            let end = ((slot + 1) as f64 * width).min(to).max(at + width * MIN_STEP);
            uses += f64::from(self.means[Season::index(slot)]) * (end - at) / width;
            at = end;
        }
        Some(uses)
    }

    /// Uses a second expected just after a time, in seconds since 1970.
    pub(crate) fn rate(&self, at: f64) -> Option<f64> {
        let width = self.slot_width();
        self.expected(at, at + width).map(|uses| uses / width)
    }

    /// Moves the counts of slots that have ended into the means. Of a longer silence one period is enough.
    fn close_slots_before(&mut self, slot: u64) {
        let ended = (slot - self.slot).min(SLOTS as u64);
        for closed in self.slot..self.slot + ended {
            let index = Season::index(closed);
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

    fn slot_width(&self) -> f64 {
        self.period / SLOTS as f64
    }

    fn slot_at(&self, at: f64) -> u64 {
        (at / self.period * SLOTS as f64) as u64
    }

    /// Index of a slot within its period.
    fn index(slot: u64) -> usize {
        (slot % SLOTS as u64) as usize
    }
}
