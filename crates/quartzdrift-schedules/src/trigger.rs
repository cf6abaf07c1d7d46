//! What triggers, and what does not although it was due.
use std::time::Duration;

/// A function that is to be invoked now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trigger {
    /// The schedule's name.
    pub schedule: String,
    /// The function's name.
    pub function: String,
    /// The time that it was scheduled for, without jitter.
    pub scheduled_for: Duration,
}

/// Why a due schedule did not trigger as planned, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScheduleWarning {
    /// Triggers misfired, and were treated by the schedule's policy.
    Misfired {
        /// The schedule's name.
        schedule: String,
        /// How many, up to the limit on those that are made up for.
        count: usize,
    },
    /// A trigger was left out, as an earlier invocation has not completed.
    Overlapped {
        /// The schedule's name.
        schedule: String,
        /// The time that it was scheduled for.
        scheduled_for: Duration,
    },
}

/// What is due at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueTriggers {
    /// What triggers now.
    pub triggers: Vec<Trigger>,
    /// What does not trigger as planned.
    pub warnings: Vec<ScheduleWarning>,
}
