//! How much time has passed between a clock sample taken before a restart and now, when the wall clock may be wrong.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// What the clocks of a machine say at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockSample {
    /// Since 1970, by a clock that anybody may set.
    pub wall: Duration,
    /// Identifies this boot of the machine's kernel; empty where it is unknown.
    #[serde(rename = "boot")]
    pub boot_id: String,
    /// Since that boot; nobody sets it.
    pub since_boot: Duration,
}

/// Time between two clock samples, by how well it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElapsedTime {
    /// By the time since boot: the machine has run all the while.
    Monotonic(Duration),
    /// By the wall clock alone, over a reboot: it may have been set ahead.
    WallClock(Duration),
    /// The wall clock went backwards: all that is known is how long the machine has been up.
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

    /// The time that has certainly passed, as of the later sample.
    pub fn lower_bound(self, now: &ClockSample) -> Duration {
        match self {
            ElapsedTime::Monotonic(age) | ElapsedTime::AtLeast(age) => age,
            ElapsedTime::WallClock(age) => age.min(now.since_boot),
        }
    }
}

/// As operators read it in the log.
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
    /// Time since 1970 that continues from `before`: it never runs backwards, and forwards as far as is known.
    pub fn steady_time(&self, before: &ClockSample) -> Duration {
        match ElapsedTime::between(before, self) {
            ElapsedTime::Monotonic(age) | ElapsedTime::AtLeast(age) => before.wall + age,
            ElapsedTime::WallClock(_) => self.wall,
        }
    }
}

#[cfg(test)]
mod tests;
