//! How much time lies between a moment that was noted before a start and now, when the wall clock may be wrong.
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What the clocks of a machine say at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// Since 1970, by a clock that anybody may set.
    pub wall: Duration,
    /// Names this run of the machine's kernel; empty where it cannot be told.
    pub boot: String,
    /// Since that run began; nobody sets it.
    pub since_boot: Duration,
}

/// Time between two moments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// By a clock that nobody sets: the machine has run all the while.
    Told(Duration),
    /// By the wall clock alone, over a restart of the machine: it may have been set ahead.
    Claimed(Duration),
    /// The wall clock went backwards: no more is known than that the machine has run for this long.
    AtLeast(Duration),
}

impl Age {
    pub fn between(before: &Moment, now: &Moment) -> Age {
        let same = !before.boot.is_empty() && before.boot == now.boot;
        if same && now.since_boot >= before.since_boot {
            return Age::Told(now.since_boot - before.since_boot);
        }
        match now.wall.checked_sub(before.wall) {
            Some(wall) if wall >= now.since_boot => Age::Claimed(wall),
            Some(_) | None => Age::AtLeast(now.since_boot),
        }
    }

    /// What has surely passed.
    pub fn surely(self, now: &Moment) -> Duration {
        match self {
            Age::Told(age) | Age::AtLeast(age) => age,
            Age::Claimed(age) => age.min(now.since_boot),
        }
    }
}

impl Moment {
    /// Time since 1970 that goes on from `before`: never back, and as far as was told.
    pub fn steady(&self, before: &Moment) -> Duration {
        match Age::between(before, self) {
            Age::Told(age) | Age::AtLeast(age) => before.wall + age,
            Age::Claimed(_) => self.wall,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: u64 = 3600;

    fn at(wall: u64, boot: &str, since_boot: u64) -> Moment {
        let s = Duration::from_secs;
        Moment {
            wall: s(wall),
            boot: boot.to_owned(),
            since_boot: s(since_boot),
        }
    }

    #[test]
    fn a_clock_that_was_set_changes_no_age_that_is_told_otherwise() {
        let s = Duration::from_secs;
        let before = at(10 * HOUR, "a", 100);
        for (wall, boot, since, age) in [
            (9 * HOUR, "a", 130, Age::Told(s(30))),
            (11 * HOUR, "a", 130, Age::Told(s(30))),
            (11 * HOUR, "b", 20, Age::Claimed(s(HOUR))),
            (9 * HOUR, "b", 20, Age::AtLeast(s(20))),
            // It claims less than the machine has run for.
            (10 * HOUR + 5, "b", 20, Age::AtLeast(s(20))),
            (10 * HOUR + 5, "", 0, Age::Claimed(s(5))),
        ] {
            let now = at(wall, boot, since);
            assert_eq!(Age::between(&before, &now), age, "{now:?}");
            assert!(now.steady(&before) >= before.wall, "time goes back: {now:?}");
        }
        let ahead = at(11 * HOUR, "b", 20);
        let age = Age::between(&before, &ahead);
        assert_eq!((age, age.surely(&ahead)), (Age::Claimed(s(HOUR)), s(20)));
    }
}
