//! How many schedulers the decision module is told of. While in doubt it is more, never fewer: each then takes its own
//! share of a limit for smaller.
//!
//! A member that is silent may be dead, or alive on the other side of a broken network and still sending. It counts until
//! it is back, has said that it leaves, or was silent for as long as the operators say that none lives on unseen.
use crate::news::{Member, State};
use std::time::Duration;

pub struct Count {
    least: u32,
    silent: Duration,
    /// What was told last, and since when less would do.
    told: u32,
    less_since: Option<Duration>,
    looked: Option<Duration>,
}

/// The members are looked at anew this often, where nothing is said to have changed.
const LOOK_AGAIN: Duration = Duration::from_secs(1);

/// For so long less must do before less is told: news of a member takes that long to come round.
const CALM: Duration = Duration::from_secs(10);

impl Count {
    /// `least`: what the settings say; `before`: what was told before a restart; `silent`: how long a silent member counts.
    pub fn new(least: u32, before: u32, silent: Duration) -> Count {
        Count {
            least: least.max(1),
            silent,
            told: before.max(least).max(1),
            less_since: None,
            looked: None,
        }
    }

    pub fn told(&self) -> u32 {
        self.told
    }

    /// The number from now on, this scheduler among them; it rises at once and falls once it was lower for a while.
    /// Unless the state of a member `changed` it is worked out once a while only: others are many, datagrams more.
    pub fn now<'a>(&mut self, now: Duration, changed: bool, others: impl Iterator<Item = &'a Member>) -> u32 {
        if !changed && self.looked.is_some_and(|at| now < at + LOOK_AGAIN) {
            return self.told;
        }
        self.looked = Some(now);
        let counts = |m: &&Member| match m.state {
            State::Alive | State::Suspect => true,
            State::Dead => now.saturating_sub(m.since) < self.silent,
            State::Left => false,
        };
        let wanted = (1 + others.filter(counts).count() as u32).max(self.least);
        let more = wanted >= self.told;
        if more || now.saturating_sub(*self.less_since.get_or_insert(now)) >= CALM {
            (self.told, self.less_since) = (wanted, None);
        }
        self.told
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(state: State, since: u64) -> Member {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let since = Duration::from_secs(since);
        Member {
            name: "m".into(),
            address,
            life: 1,
            incarnation: 0,
            state,
            since,
        }
    }

    #[test]
    fn it_rises_at_once_and_falls_late() {
        let mut count = Count::new(2, 5, Duration::from_secs(100));
        let s = Duration::from_secs;
        assert_eq!(count.told(), 5);
        let alive = vec![member(State::Alive, 0); 7];
        assert_eq!(count.now(s(1), true, alive.iter()), 8);
        // Nothing changed: it is not looked at so soon, and is later.
        let more = vec![member(State::Alive, 0); 8];
        assert_eq!(count.now(s(1) + s(1) / 2, false, more.iter()), 8);
        assert_eq!(count.now(s(2), false, alive.iter()), 8);
        // Silent members count until the operators' time is over, and a while more.
        let dead = vec![member(State::Dead, 10); 7];
        assert_eq!(count.now(s(109), true, dead.iter()), 8);
        assert_eq!(count.now(s(111), true, dead.iter()), 8);
        assert_eq!(count.now(s(122), true, dead.iter()), 2);
        // One that said that it leaves does not; and doubt in between begins the while anew.
        let left = vec![member(State::Left, 10); 7];
        assert_eq!(count.now(s(130), true, alive.iter()), 8);
        assert_eq!(count.now(s(131), true, left.iter()), 8);
        assert_eq!(count.now(s(140), true, alive.iter()), 8);
        assert_eq!(count.now(s(145), true, left.iter()), 8);
        assert_eq!(count.now(s(156), true, left.iter()), 2);
    }
}
