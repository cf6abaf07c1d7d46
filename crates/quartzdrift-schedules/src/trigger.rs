//! Due triggers, and warnings about misfired or omitted triggers.
use std::time::Duration;

/// A trigger of a schedule: the function is to be invoked now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trigger {
    /// Name of the schedule.
    pub schedule: String,
    /// Name of the function.
    pub function: String,
    /// Time of the trigger by the cron expression, without jitter.
    pub scheduled_for: Duration,
}

/// Reason for which a due schedule did not trigger on time, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScheduleWarning {
    /// Triggers misfired, and were handled by the misfire policy.
    Misfired {
        /// Name of the schedule.
        schedule: String,
        /// Number of misfired triggers; at most 100 are counted.
        count: usize,
    },
    /// A trigger was omitted, as an earlier invocation has not completed.
    Overlapped {
        /// Name of the schedule.
        schedule: String,
        /// Time of the trigger by the cron expression, without jitter.
        scheduled_for: Duration,
    },
}

/// Triggers and warnings of all schedules that were due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueTriggers {
    /// Triggers to invoke now.
    pub triggers: Vec<Trigger>,
    /// Warnings about triggers that misfired or were omitted.
    pub warnings: Vec<ScheduleWarning>,
}
