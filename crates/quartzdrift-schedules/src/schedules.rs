//! All schedules of the settings: when each triggers next, and which invocations of theirs are under way.
use crate::schedule::{MisfirePolicy, Schedule};
use crate::trigger::{DueTriggers, ScheduleWarning, Trigger};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A trigger that is taken later than this has misfired: far longer than a busy turn of the event loop.
pub const MISFIRE_THRESHOLD: Duration = Duration::from_secs(5);
/// Maximum misfired triggers that are made up for at once: a clock set forward by a year must not cause a storm.
const MAX_CATCH_UP: usize = 100;

/// The next trigger of a schedule, ordered by the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlannedTrigger {
    /// With jitter.
    due_at: Duration,
    /// Index of the schedule.
    schedule: usize,
    /// Without jitter.
    scheduled_for: Duration,
}

/// The schedules of the settings.
pub struct Schedules {
    /// Seed of the jitter.
    seed: u64,
    schedules: Vec<Schedule>,
    /// At most one for each schedule.
    planned: BTreeSet<PlannedTrigger>,
    /// Invocations under way, by index of the schedule.
    running: BTreeMap<usize, usize>,
}

impl Schedules {
    /// Plans the first trigger of each schedule after `start`.
    pub fn new(schedules: Vec<Schedule>, seed: u64, start: Duration) -> Schedules {
        let mut all = Schedules {
            seed,
            schedules,
            planned: BTreeSet::new(),
            running: BTreeMap::new(),
        };
        for schedule in 0..all.schedules.len() {
            all.plan_next(schedule, start);
        }
        all
    }

    /// When [`Schedules::take_due`] has the next trigger.
    pub fn next_due(&self) -> Option<Duration> {
        self.planned.first().map(|planned| planned.due_at)
    }

    /// Takes what is due at `now`, and plans the next trigger of each schedule that was due.
    pub fn take_due(&mut self, now: Duration) -> DueTriggers {
        let mut due = DueTriggers::default();
        while let Some(planned) = self.planned.first().copied()
            && planned.due_at <= now
        {
            self.planned.remove(&planned);
            if now - planned.due_at <= MISFIRE_THRESHOLD {
                self.trigger(planned.schedule, planned.scheduled_for, &mut due);
                self.plan_next(planned.schedule, planned.scheduled_for);
            } else {
                self.handle_misfires(&planned, now, &mut due);
                self.plan_next(planned.schedule, now);
            }
        }
        due
    }

    /// An invocation that a schedule triggered has completed.
    pub fn record_completion(&mut self, name: &str) {
        let index = self.schedules.iter().position(|schedule| schedule.name == name);
        if let Some(running) = index.and_then(|index| self.running.get_mut(&index)) {
            *running = running.saturating_sub(1);
        }
    }

    /// Plans the first trigger of a schedule after a time.
    fn plan_next(&mut self, index: usize, after: Duration) {
        let schedule = &self.schedules[index];
        let Some(scheduled_for) = schedule.next_after(after) else {
            return;
        };
        let delay = schedule
            .jitter
            .mul_f64(self.jitter_share(schedule, scheduled_for));
        self.planned.insert(PlannedTrigger {
            due_at: scheduled_for + delay,
            schedule: index,
            scheduled_for,
        });
    }

    /// The share of the jitter by which a trigger is delayed, from 0 to 1. It depends on the trigger alone, so that planning
    /// it anew delays it by as much.
    fn jitter_share(&self, schedule: &Schedule, scheduled_for: Duration) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, &schedule.name, scheduled_for).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    /// Treats a trigger that is taken too late, and all of its schedule that were due since, by the schedule's policy.
    fn handle_misfires(&mut self, first: &PlannedTrigger, now: Duration, due: &mut DueTriggers) {
        let schedule = &self.schedules[first.schedule];
        let misfired = latest_occurrences(schedule, first.scheduled_for, now);
        due.warnings.push(ScheduleWarning::Misfired {
            schedule: schedule.name.clone(),
            count: misfired.len(),
        });
        let made_up = match schedule.misfire_policy {
            MisfirePolicy::Skip => &[],
            MisfirePolicy::Once => &misfired[misfired.len() - 1..],
            MisfirePolicy::All => &misfired[..],
        };
        for &scheduled_for in made_up {
            self.trigger(first.schedule, scheduled_for, due);
        }
    }

    /// Triggers a schedule, unless it may not overlap with an invocation that is under way.
    fn trigger(&mut self, index: usize, scheduled_for: Duration, due: &mut DueTriggers) {
        let schedule = &self.schedules[index];
        let running = self.running.entry(index).or_default();
        if *running > 0 && !schedule.allow_overlap {
            due.warnings.push(ScheduleWarning::Overlapped {
                schedule: schedule.name.clone(),
                scheduled_for,
            });
            return;
        }
        *running += 1;
        due.triggers.push(Trigger {
            schedule: schedule.name.clone(),
            function: schedule.function.clone(),
            scheduled_for,
        });
    }
}

/// The occurrences from `first` up to `now`, the last [`MAX_CATCH_UP`] of them.
fn latest_occurrences(schedule: &Schedule, first: Duration, now: Duration) -> Vec<Duration> {
    let mut occurrences = vec![first];
    let mut last = first;
    while let Some(next) = schedule.next_after(last).filter(|next| *next <= now) {
        occurrences.push(next);
        if occurrences.len() > MAX_CATCH_UP {
            occurrences.remove(0);
        }
        last = next;
    }
    occurrences
}
