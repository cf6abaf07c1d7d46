//! Pseudo-random numbers of the simulations.
use std::time::Duration;

/// The SplitMix64 pseudo-random number generator.
pub(crate) struct SplitMix64(pub(crate) u64);

impl SplitMix64 {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 up to, but not including, `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Returns true with a probability of `percent`.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Returns a duration from `min` up to, but not including, `max` milliseconds.
    pub(crate) fn duration_ms(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_micros(min * 1000 + self.below((max - min) * 1000))
    }
}
