//! The triggers of all schedules: the next trigger of each, and the number of its running invocations.
use crate::schedule::{MisfirePolicy, Schedule};
use crate::trigger::{DueTriggers, ScheduleWarning, Trigger};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A trigger that is taken more than this after it was due has misfired. A busy turn of the event loop is far
/// shorter.
pub const MISFIRE_THRESHOLD: Duration = Duration::from_secs(5);
/// Maximum number of misfired triggers that are caught up at once: a clock that is set forward by a year must
/// not cause a burst of invocations.
const MAX_CATCH_UP: usize = 100;

/// The next trigger of a schedule. Triggers are ordered by the time at which they are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlannedTrigger {
    /// Time of the trigger, with jitter.
    due_at: Duration,
    /// Index of the schedule in the settings.
    schedule_index: usize,
    /// Time of the trigger by the cron expression, without jitter.
    scheduled_for: Duration,
}

/// The configured schedules and their planned triggers.
pub struct Schedules {
    /// Seed of the jitter.
    seed: u64,
    schedules: Vec<Schedule>,
    /// Planned triggers, at most one for each schedule.
    planned: BTreeSet<PlannedTrigger>,
    /// Number of running invocations, by index of the schedule.
    running: BTreeMap<usize, usize>,
}

impl Schedules {
    /// Plans the first trigger of each schedule after `start`.
    pub fn new(schedules: Vec<Schedule>, seed: u64, start: Duration) -> Schedules {
        let mut all_schedules = Schedules {
            seed,
            schedules,
            planned: BTreeSet::new(),
            running: BTreeMap::new(),
        };
        for index in 0..all_schedules.schedules.len() {
            all_schedules.plan_next(index, start);
        }
        all_schedules
    }

    /// Time of the next trigger, when [`Schedules::take_due`] has to be called.
    pub fn next_due(&self) -> Option<Duration> {
        self.planned.first().map(|planned| planned.due_at)
    }

    /// Removes and returns the triggers that are due at `now`, and plans the next trigger of their schedules.
    pub fn take_due(&mut self, now: Duration) -> DueTriggers {
        let mut due = DueTriggers::default();
        while let Some(planned) = self.planned.first().copied()
            && planned.due_at <= now
        {
            self.planned.remove(&planned);
            if now - planned.due_at <= MISFIRE_THRESHOLD {
                self.trigger(planned.schedule_index, planned.scheduled_for, &mut due);
                self.plan_next(planned.schedule_index, planned.scheduled_for);
            } else {
                self.handle_misfires(&planned, now, &mut due);
                self.plan_next(planned.schedule_index, now);
            }
        }
        due
    }

    /// Records that an invocation of the schedule `name` has completed.
    pub fn record_completion(&mut self, name: &str) {
        let index = self.schedules.iter().position(|schedule| schedule.name == name);
        if let Some(running) = index.and_then(|index| self.running.get_mut(&index)) {
            *running = running.saturating_sub(1);
        }
    }

    /// Plans the first trigger of a schedule after the time `after`.
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
            schedule_index: index,
            scheduled_for,
        });
    }

    /// Delay of a trigger as a share of the maximum jitter, from 0 to 1. It is a hash of the seed, the
    /// schedule and the time, so that a trigger that is planned again has the same delay.
    fn jitter_share(&self, schedule: &Schedule, scheduled_for: Duration) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, &schedule.name, scheduled_for).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    /// Handles a misfired trigger, and all later occurrences of its schedule up to `now`, by the misfire
    /// policy.
    fn handle_misfires(&mut self, first: &PlannedTrigger, now: Duration, due: &mut DueTriggers) {
        let schedule = &self.schedules[first.schedule_index];
        let misfired = latest_occurrences(schedule, first.scheduled_for, now);
        due.warnings.push(ScheduleWarning::Misfired {
            schedule: schedule.name.clone(),
            count: misfired.len(),
        });
        let caught_up = match schedule.misfire_policy {
            MisfirePolicy::Skip => &[],
            MisfirePolicy::Once => &misfired[misfired.len() - 1..],
            MisfirePolicy::All => &misfired[..],
        };
        for &scheduled_for in caught_up {
            self.trigger(first.schedule_index, scheduled_for, due);
        }
    }

    /// Triggers a schedule. A schedule without overlap is not triggered while an invocation of it is running.
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

/// The last [`MAX_CATCH_UP`] occurrences of a schedule from `first` up to `now`.
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
