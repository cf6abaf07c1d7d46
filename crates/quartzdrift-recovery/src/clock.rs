//! Clock samples taken before and after a restart, and the time between them, although the wall clock may be
//! wrong.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// The readings of a machine's clocks at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockSample {
    /// Time since 1970 by the wall clock, which may be set at any time.
    pub wall: Duration,
    /// Identifies this boot of the machine's kernel; empty where it is unknown.
    #[serde(rename = "boot")]
    pub boot_id: String,
    /// Time since that boot, by a monotonic clock.
    pub since_boot: Duration,
}

/// The time between two clock samples, with its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElapsedTime {
    /// Measured by the time since boot: the machine was up all the time.
    Monotonic(Duration),
    /// Measured by the wall clock alone, across a reboot: the wall clock may have been set ahead.
    WallClock(Duration),
    /// A lower bound, the time since the last boot: the wall clock went backwards.
    AtLeast(Duration),
}

impl ElapsedTime {
    /// The time from `before` to `now`.
    pub fn between(before: &ClockSample, now: &ClockSample) -> ElapsedTime {
        let same_boot = !before.boot_id.is_empty() && before.boot_id == now.boot_id;
        if same_boot && now.since_boot >= before.since_boot {
            return ElapsedTime::Monotonic(now.since_boot - before.since_boot);
        }
        match now.wall.checked_sub(before.wall) {
            Some(wall) if wall >= now.since_boot => ElapsedTime::WallClock(wall),
            Some(_) | None => ElapsedTime::AtLeast(now.since_boot),
        }
    }

    /// The time that has certainly passed until the later sample `now`.
    pub fn lower_bound(self, now: &ClockSample) -> Duration {
        match self {
            ElapsedTime::Monotonic(age) | ElapsedTime::AtLeast(age) => age,
            ElapsedTime::WallClock(age) => age.min(now.since_boot),
        }
    }
}

/// The form in the log, with the names of earlier releases.
impl fmt::Display for ElapsedTime {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ElapsedTime::Monotonic(age) => write!(formatter, "Told({age:?})"),
            ElapsedTime::WallClock(age) => write!(formatter, "Claimed({age:?})"),
            ElapsedTime::AtLeast(age) => write!(formatter, "AtLeast({age:?})"),
        }
    }
}

impl ClockSample {
    /// Time since 1970 that continues from the earlier sample `before`. It never runs backwards, and it
    /// advances by the elapsed time as far as that is known.
    pub fn steady_time(&self, before: &ClockSample) -> Duration {
        match ElapsedTime::between(before, self) {
            ElapsedTime::Monotonic(age) | ElapsedTime::AtLeast(age) => before.wall + age,
            ElapsedTime::WallClock(_) => self.wall,
        }
    }
}

#[cfg(test)]
mod tests;
