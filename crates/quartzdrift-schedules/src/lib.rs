//! Cron schedules that trigger functions.
//!
//! The crate performs no I/O and reads no clock. Callers pass each time as the duration since 1970 (UTC).
//!
//! [`Schedules::new`] takes the configured schedules and a start time: the time up to which an earlier
//! process handled the triggers, or the current time. [`Schedules::take_due`] returns the triggers that are
//! due. The caller submits an ordinary invocation for each, and reports its end with
//! [`Schedules::record_completion`], so that a schedule without overlap can trigger again.
//!
//! A trigger *misfires* where it is taken more than [`MISFIRE_THRESHOLD`] after it was due: the process was
//! busy, suspended or down, or the clock was set forward.
//!
//! The cron library decides the times of triggers at changes of daylight saving time. A time of day in the
//! hour that a time zone repeats in autumn occurs once. A time of day in the hour that it skips in spring
//! occurs at the first instant after the gap.
//!
//! * `schedule`: a schedule with its cron expression and time zone.
//! * `trigger`: due triggers, and warnings about misfired or omitted ones.
//! * `schedules`: the triggers of all schedules.
mod schedule;
mod schedules;
mod trigger;

pub use schedule::{MisfirePolicy, Schedule, ScheduleError, parse_cron, parse_time_zone};
pub use schedules::{MISFIRE_THRESHOLD, Schedules};
pub use trigger::{DueTriggers, ScheduleWarning, Trigger};
