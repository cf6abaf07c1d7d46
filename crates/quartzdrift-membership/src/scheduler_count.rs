//! The number of schedulers by which each scheduler divides shared limits. If the number is uncertain, the
//! count errs on the high side: each scheduler then uses a smaller share of a limit, and the limit holds.
//!
//! A silent member may be dead, or alive behind a network partition and still sending requests. It is counted
//! until it announces that it leaves, or until it has been dead for the silence limit: the longest time, set
//! by the operator, for which a partitioned scheduler may keep running. A member that returns is counted as
//! alive.
use crate::member::{Member, MemberState};
use std::time::Duration;

/// Time between counts while no member has changed.
const RECOUNT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a lower count must hold before it is reported: gossip takes up to that long to reach all members.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Counts the schedulers of a fleet. A higher count is reported at once, a lower one after a settling time.
pub struct SchedulerCount {
    minimum: u32,
    silence_limit: Duration,
    reported: u32,
    /// When the count first fell below the reported one; `None` while it has not.
    lower_since: Option<Duration>,
    counted_at: Option<Duration>,
}

impl SchedulerCount {
    /// Starts with the count that was reported before a restart. `minimum` is the lowest count to report,
    /// `silence_limit` the time for which a dead member is still counted.
    pub fn new(minimum: u32, previously_reported: u32, silence_limit: Duration) -> SchedulerCount {
        SchedulerCount {
            minimum: minimum.max(1),
            silence_limit,
            reported: previously_reported.max(minimum).max(1),
            lower_since: None,
            counted_at: None,
        }
    }

    /// The count that was last reported.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// Returns the count as of `now`, including this scheduler. This is called for each datagram, so members
    /// are counted again only if the state of one has changed or a second has passed.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        member_changed: bool,
        other_members: impl Iterator<Item = &'a Member>,
    ) -> u32 {
        let counted_recently = self.counted_at.is_some_and(|at| now < at + RECOUNT_INTERVAL);
        if !member_changed && counted_recently {
            return self.reported;
        }
        self.counted_at = Some(now);
        let counted_members = other_members.filter(|member| self.is_counted(now, member));
        let current = (1 + counted_members.count() as u32).max(self.minimum);
        if current >= self.reported || self.time_below_reported(now) >= SETTLE_TIME {
            self.reported = current;
            self.lower_since = None;
        }
        self.reported
    }

    fn is_counted(&self, now: Duration, member: &Member) -> bool {
        match member.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Dead => now.saturating_sub(member.state_since) < self.silence_limit,
            MemberState::Left => false,
        }
    }

    fn time_below_reported(&mut self, now: Duration) -> Duration {
        now.saturating_sub(*self.lower_since.get_or_insert(now))
    }
}

#[cfg(test)]
mod tests;
