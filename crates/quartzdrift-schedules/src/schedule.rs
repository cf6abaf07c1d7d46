//! One schedule: its cron expression, its time zone, and its rules for jitter, misfires and overlap.
use chrono::{DateTime, Utc};
use chrono_tz::Tz;
use croner::Cron;
use croner::errors::CronError;
use std::time::Duration;

/// How misfired triggers of a schedule are handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MisfirePolicy {
    /// Misfired triggers are omitted.
    #[default]
    Skip,
    /// The latest misfired trigger is caught up, the others are omitted.
    Once,
    /// The latest misfired triggers are caught up, at most 100.
    All,
}

/// A schedule that triggers a function at the times of a cron expression.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Name of the schedule, unique among the schedules.
    pub name: String,
    /// Name of the function.
    pub function: String,
    /// Cron expression of five fields, or of six fields with seconds first.
    pub cron: Cron,
    /// Time zone of the cron expression.
    pub time_zone: Tz,
    /// Maximum random delay of each trigger.
    pub jitter: Duration,
    /// How misfired triggers are handled.
    pub misfire_policy: MisfirePolicy,
    /// Whether the schedule may trigger before its earlier invocations have completed.
    pub allow_overlap: bool,
}

/// Errors in the configured text of a schedule.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// The text is not a valid cron expression.
    #[error("'{expression}' is not a valid cron expression: {reason}")]
    InvalidCron {
        /// The configured text.
        expression: String,
        /// The error of the cron library.
        reason: CronError,
    },
    /// The text is not the name of a time zone in the tz database.
    #[error("time zone '{0}' is not in the tz database; an example of a valid name is Europe/Amsterdam")]
    UnknownTimeZone(String),
}

/// Parses a cron expression of five fields, or of six fields with seconds first.
///
/// # Errors
/// [`ScheduleError::InvalidCron`] where the expression is invalid.
pub fn parse_cron(expression: &str) -> Result<Cron, ScheduleError> {
    expression.parse().map_err(|reason| ScheduleError::InvalidCron {
        expression: expression.to_owned(),
        reason,
    })
}

/// Parses the name of a time zone of the tz database, like `Europe/Amsterdam`.
///
/// # Errors
/// [`ScheduleError::UnknownTimeZone`] where the tz database has no time zone of this name.
pub fn parse_time_zone(name: &str) -> Result<Tz, ScheduleError> {
    name.parse()
        .map_err(|_| ScheduleError::UnknownTimeZone(name.to_owned()))
}

impl Schedule {
    /// First occurrence of the cron expression after a time, in whole seconds and without jitter; `None`
    /// where there is none.
    pub(crate) fn next_after(&self, after: Duration) -> Option<Duration> {
        let seconds = after.as_secs().try_into().ok()?;
        let after = DateTime::<Utc>::from_timestamp(seconds, after.subsec_nanos())?;
        let next = self
            .cron
            .find_next_occurrence(&after.with_timezone(&self.time_zone), false)
            .ok()?;
        let seconds = u64::try_from(next.with_timezone(&Utc).timestamp()).ok()?;
        Some(Duration::from_secs(seconds))
    }
}
