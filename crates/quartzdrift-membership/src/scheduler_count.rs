//! The number of schedulers that each scheduler divides shared limits by. In doubt it is too high rather than too low: each
//! scheduler then takes a smaller share of a limit.
//!
//! A silent member may be dead, or alive behind a network partition and still sending requests. It counts until it is back,
//! has announced that it leaves, or was silent for longer than operators say that a partitioned scheduler can live.
use crate::member::{Member, MemberState};
use std::time::Duration;

/// How often members are counted again while no change is reported.
const RECOUNT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a lower count must hold before it is reported: updates about a member take that long to reach all.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Counts schedulers: rises at once, falls late.
pub struct SchedulerCount {
    minimum: u32,
    silence_limit: Duration,
    reported: u32,
    /// Since when a lower count would do.
    lower_since: Option<Duration>,
    counted_at: Option<Duration>,
}

impl SchedulerCount {
    /// `minimum`: the count that the settings ask for at least; `before`: what was reported before a restart;
    /// `silence_limit`: how long a dead member still counts.
    pub fn new(minimum: u32, before: u32, silence_limit: Duration) -> SchedulerCount {
        SchedulerCount {
            minimum: minimum.max(1),
            silence_limit,
            reported: before.max(minimum).max(1),
            lower_since: None,
            counted_at: None,
        }
    }

    /// The count that was last reported.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// The count as of `now`, this scheduler included. Unless the state of a member `changed`, members are counted again
    /// only once a second: calls come with each datagram.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        changed: bool,
        others: impl Iterator<Item = &'a Member>,
    ) -> u32 {
        let is_fresh = self.counted_at.is_some_and(|at| now < at + RECOUNT_INTERVAL);
        if !changed && is_fresh {
            return self.reported;
        }
        self.counted_at = Some(now);
        let counted = others.filter(|member| self.counts(now, member)).count() as u32;
        let current = (1 + counted).max(self.minimum);
        if current >= self.reported || self.lower_for(now) >= SETTLE_TIME {
            self.reported = current;
            self.lower_since = None;
        }
        self.reported
    }

    fn counts(&self, now: Duration, member: &Member) -> bool {
        match member.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Dead => now.saturating_sub(member.state_since) < self.silence_limit,
            MemberState::Left => false,
        }
    }

    fn lower_for(&mut self, now: Duration) -> Duration {
        now.saturating_sub(*self.lower_since.get_or_insert(now))
    }
}

#[cfg(test)]
mod tests;
