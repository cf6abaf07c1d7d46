//! Which timer fires when. No I/O, no clock: times are since 1970 and come from the caller.
//!
//! [`Timers::new`] from the settings and the moment up to which an earlier start looked, or that of this start; [`Timers::due`] for what fires now. A firing is a
//! request like any other; [`Timers::over`] tells that it has had its final answer, for timers that may not overlap.
//!
//! A firing is *missed* where the process was busy or asleep past its moment by more than [`LATE`], or where the
//! clock was set ahead, or where the process was down since its last look. In the hour that a zone repeats in autumn, a time of day comes once; in the hour that
//! it skips in spring, the firing is at the first moment that exists (both as the cron library has it).
use chrono::{DateTime, Utc};
use chrono_tz::Tz;
use croner::Cron;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Past its moment by more than this, a firing counts as missed: far longer than a busy turn of the loop.
pub const LATE: Duration = Duration::from_secs(5);
/// Missed firings made up for at once, where all are to be: a clock set ahead by a year must not be a storm.
const MAX_MADE_UP: usize = 100;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Missed {
    /// As if it had not been due.
    #[default]
    Skip,
    /// However many were missed, one firing makes up for them.
    Once,
    /// Each is made up for, up to a bound.
    All,
}

#[derive(Clone, Debug)]
pub struct Timer {
    pub name: String,
    pub function: String,
    pub cron: Cron,
    pub zone: Tz,
    /// Firings are put off by a chance part of this.
    pub jitter: Duration,
    pub missed: Missed,
    /// May fire while its last request is not over.
    pub overlap: bool,
}

/// Reads a cron expression of five fields, or six with seconds first.
pub fn cron(text: &str) -> Result<Cron, String> {
    text.parse::<Cron>()
        .map_err(|e| format!("'{text}' is no cron expression: {e}"))
}

pub fn zone(text: &str) -> Result<Tz, String> {
    text.parse::<Tz>()
        .map_err(|_| format!("'{text}' is no time zone of the tz database, like Europe/Amsterdam"))
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Firing {
    pub timer: String,
    pub function: String,
    /// The moment it stands for, without jitter.
    pub at: Duration,
}

/// What became of a moment that was due without a request for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    Missed { timer: String, count: usize },
    Overlapped { timer: String, at: Duration },
}

pub struct Timers {
    seed: u64,
    timers: Vec<Timer>,
    /// The moment with jitter, the timer, and the moment without.
    due: BTreeSet<(Duration, usize, Duration)>,
    out: BTreeMap<usize, usize>,
}

impl Timers {
    pub fn new(timers: Vec<Timer>, seed: u64, now: Duration) -> Timers {
        let mut all = Timers {
            seed,
            timers,
            due: BTreeSet::new(),
            out: BTreeMap::new(),
        };
        (0..all.timers.len()).for_each(|ix| all.plan(ix, now));
        all
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|(at, ..)| *at)
    }

    /// The next moment of a timer after `after`.
    fn plan(&mut self, ix: usize, after: Duration) {
        let timer = &self.timers[ix];
        let Some(at) = next(timer, after) else { return };
        let mut hasher = DefaultHasher::new();
        (self.seed, &timer.name, at).hash(&mut hasher);
        let part = hasher.finish() as f64 / u64::MAX as f64;
        self.due.insert((at + timer.jitter.mul_f64(part), ix, at));
    }

    /// What fires now, and what does not though it was due.
    pub fn due(&mut self, now: Duration) -> (Vec<Firing>, Vec<Note>) {
        let (mut firings, mut notes) = (Vec::new(), Vec::new());
        while let Some(&(when, ix, at)) = self.due.first().filter(|(when, ..)| *when <= now) {
            self.due.remove(&(when, ix, at));
            if now - when <= LATE {
                self.fire(ix, at, &mut firings, &mut notes);
                self.plan(ix, at);
                continue;
            }
            let timer = &self.timers[ix];
            let mut missed = vec![at];
            while let Some(more) = missed
                .last()
                .and_then(|last| next(timer, *last))
                .filter(|at| *at <= now)
            {
                missed.push(more);
                if missed.len() > MAX_MADE_UP {
                    missed.remove(0);
                }
            }
            let made_up = match timer.missed {
                Missed::Skip => Vec::new(),
                Missed::Once => missed.last().copied().into_iter().collect(),
                Missed::All => missed.clone(),
            };
            notes.push(Note::Missed {
                timer: timer.name.clone(),
                count: missed.len(),
            });
            made_up
                .into_iter()
                .for_each(|at| self.fire(ix, at, &mut firings, &mut notes));
            self.plan(ix, now);
        }
        (firings, notes)
    }

    fn fire(&mut self, ix: usize, at: Duration, firings: &mut Vec<Firing>, notes: &mut Vec<Note>) {
        let (timer, out) = (&self.timers[ix], self.out.entry(ix).or_default());
        if *out > 0 && !timer.overlap {
            return notes.push(Note::Overlapped {
                timer: timer.name.clone(),
                at,
            });
        }
        *out += 1;
        firings.push(Firing {
            timer: timer.name.clone(),
            function: timer.function.clone(),
            at,
        });
    }

    /// The request of a firing is over.
    pub fn over(&mut self, timer: &str) {
        let ix = self.timers.iter().position(|t| t.name == timer);
        if let Some(out) = ix.and_then(|ix| self.out.get_mut(&ix)) {
            *out = out.saturating_sub(1);
        }
    }
}

fn next(timer: &Timer, after: Duration) -> Option<Duration> {
    let after = DateTime::<Utc>::from_timestamp(after.as_secs().try_into().ok()?, after.subsec_nanos())?;
    let next = timer
        .cron
        .find_next_occurrence(&after.with_timezone(&timer.zone), false)
        .ok()?;
    let next = next.with_timezone(&Utc);
    let seconds = u64::try_from(next.timestamp()).ok()?;
    Some(Duration::from_secs(seconds))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn timer(cron: &str, zone: &str, missed: Missed, overlap: bool) -> Timer {
        Timer {
            name: "t".into(),
            function: "f".into(),
            cron: super::cron(cron).unwrap(),
            zone: super::zone(zone).unwrap(),
            jitter: Duration::ZERO,
            missed,
            overlap,
        }
    }

    fn at(text: &str) -> Duration {
        Duration::from_secs(DateTime::parse_from_rfc3339(text).unwrap().timestamp() as u64)
    }

    #[test]
    fn a_time_of_day_follows_the_zone_over_its_changes() {
        let start = at("2026-03-27T12:00:00Z");
        let mut timers = Timers::new(
            vec![timer("30 2 * * *", "Europe/Amsterdam", Missed::Skip, true)],
            1,
            start,
        );
        let mut seen = Vec::new();
        for _ in 0..3 {
            let now = timers.next_due().unwrap();
            seen.extend(timers.due(now).0.into_iter().map(|f| f.at));
        }
        // On the 29th there is no half past two there: clocks go from two to three.
        let expected = [
            "2026-03-28T01:30:00Z",
            "2026-03-29T01:00:00Z",
            "2026-03-30T00:30:00Z",
        ];
        assert_eq!(seen, expected.map(at));
        let autumn = at("2026-10-24T12:00:00Z");
        let mut timers = Timers::new(
            vec![timer("30 2 * * *", "Europe/Amsterdam", Missed::Skip, true)],
            1,
            autumn,
        );
        let first = timers.next_due().unwrap();
        timers.due(first);
        assert_eq!(
            [first, timers.next_due().unwrap()],
            ["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"].map(at)
        );
    }

    #[test]
    fn missed_firings_follow_the_policy() {
        let start = at("2026-06-01T00:00:30Z");
        for (missed, fired) in [(Missed::Skip, 0), (Missed::Once, 1), (Missed::All, 10)] {
            let mut timers = Timers::new(vec![timer("* * * * *", "UTC", missed, true)], 1, start);
            let (firings, notes) = timers.due(start + Duration::from_secs(600));
            assert_eq!(firings.len(), fired, "{missed:?}");
            assert_eq!(
                notes,
                [Note::Missed {
                    timer: "t".into(),
                    count: 10
                }]
            );
            assert!(timers.next_due().unwrap() > start + Duration::from_secs(600));
        }
        let mut timers = Timers::new(vec![timer("* * * * *", "UTC", Missed::All, true)], 1, start);
        assert_eq!(
            timers.due(start + Duration::from_secs(86_400 * 30)).0.len(),
            MAX_MADE_UP
        );
    }

    #[test]
    fn overlap_is_kept_out_where_it_is_not_allowed() {
        let start = at("2026-06-01T00:00:30Z");
        let mut timers = Timers::new(vec![timer("* * * * *", "UTC", Missed::Skip, false)], 1, start);
        let first = timers.next_due().unwrap();
        assert_eq!(timers.due(first).0.len(), 1);
        let second = timers.next_due().unwrap();
        assert!(matches!(timers.due(second).1[..], [Note::Overlapped { .. }]));
        timers.over("t");
        let third = timers.next_due().unwrap();
        assert_eq!(timers.due(third).0.len(), 1);
    }

    #[test]
    fn a_clock_set_back_fires_nothing_twice() {
        let start = at("2026-06-01T00:00:30Z");
        let mut timers = Timers::new(vec![timer("* * * * *", "UTC", Missed::All, true)], 1, start);
        let first = timers.next_due().unwrap();
        assert_eq!(timers.due(first).0.len(), 1);
        assert!(timers.due(start).0.is_empty());
        assert!(timers.due(first).0.is_empty());
    }

    proptest::proptest! {
        #[test]
        fn jitter_puts_off_by_no_more_than_told(seed: u64, minutes in 0u64..100_000) {
            let mut one = timer("*/7 * * * *", "America/New_York", Missed::Skip, true);
            one.jitter = Duration::from_secs(30);
            let start = Duration::from_secs(1_780_000_000 + minutes * 60);
            let mut timers = Timers::new(vec![one], seed, start);
            let when = timers.next_due().unwrap();
            let firing = timers.due(when).0.remove(0);
            proptest::prop_assert!(firing.at > start && firing.at <= when && when - firing.at <= Duration::from_secs(30));
        }
    }
}
