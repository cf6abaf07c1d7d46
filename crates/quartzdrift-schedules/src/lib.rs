//! When schedules trigger their functions. No I/O, no clock: times are since 1970 and come from the caller.
//!
//! [`Schedules::new`] takes the schedules of the settings, and the time up to which an earlier process has triggered them or
//! that of this start. [`Schedules::take_due`] returns what triggers now. A trigger becomes an ordinary invocation;
//! [`Schedules::record_completion`] reports its end, for schedules that may not overlap.
//!
//! A trigger *misfires* where it is taken later than [`MISFIRE_THRESHOLD`]: the process was busy, asleep or down, or the clock
//! was set forward. In the hour that a time zone repeats in autumn a time of day occurs once; in the hour that it skips in
//! spring, the trigger is at the first instant that exists. Both are as the cron library has them.
//!
//! * `schedule`: a schedule, its cron expression and its time zone.
//! * `trigger`: what triggers, and what does not although it was due.
//! * `schedules`: all schedules together.
mod schedule;
mod schedules;
mod trigger;

pub use schedule::{MisfirePolicy, Schedule, ScheduleError, parse_cron, parse_time_zone};
pub use schedules::{MISFIRE_THRESHOLD, Schedules};
pub use trigger::{DueTriggers, ScheduleWarning, Trigger};
