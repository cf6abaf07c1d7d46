//! One schedule: its cron expression, its time zone, and what applies to its triggers.
use chrono::{DateTime, Utc};
use chrono_tz::Tz;
use croner::Cron;
use croner::errors::CronError;
use std::time::Duration;

/// What to do about triggers that misfired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MisfirePolicy {
    /// They are left out.
    #[default]
    Skip,
    /// One trigger makes up for all of them.
    Once,
    /// Each is made up for, up to a limit.
    All,
}

/// A function that is triggered by a cron expression.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Unique among the schedules.
    pub name: String,
    /// The function's name.
    pub function: String,
    /// The expression, of five fields, or six with seconds first.
    pub cron: Cron,
    /// The time zone of the expression.
    pub time_zone: Tz,
    /// Each trigger is delayed by a random part of this.
    pub jitter: Duration,
    /// What to do about triggers that misfired.
    pub misfire_policy: MisfirePolicy,
    /// Whether it may trigger while an earlier invocation has not completed.
    pub allow_overlap: bool,
}

/// Why a schedule's text cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// The text is not a cron expression.
    #[error("'{expression}' is no cron expression: {reason}")]
    InvalidCron {
        /// The text.
        expression: String,
        /// What the cron library says of it.
        reason: CronError,
    },
    /// The text is not the name of a time zone.
    #[error("'{0}' is no time zone of the tz database, like Europe/Amsterdam")]
    UnknownTimeZone(String),
}

/// Parses a cron expression of five fields, or six with seconds first.
///
/// # Errors
/// [`ScheduleError::InvalidCron`].
pub fn parse_cron(expression: &str) -> Result<Cron, ScheduleError> {
    expression.parse().map_err(|reason| ScheduleError::InvalidCron {
        expression: expression.to_owned(),
        reason,
    })
}

/// Parses the name of a time zone of the tz database, like `Europe/Amsterdam`.
///
/// # Errors
/// [`ScheduleError::UnknownTimeZone`].
pub fn parse_time_zone(name: &str) -> Result<Tz, ScheduleError> {
    name.parse()
        .map_err(|_| ScheduleError::UnknownTimeZone(name.to_owned()))
}

impl Schedule {
    /// The first occurrence after a time, in whole seconds and without jitter; `None` where there is none.
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
