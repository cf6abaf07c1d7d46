//! Checks of `[[timers]]`, the schedules of asynchronous invocations.
use super::collector::ErrorCollector;
use crate::settings::Function;
use crate::settings::raw::{File, Missed, Timer};
use quartzdrift_schedules::{MisfirePolicy, Schedule};
use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// Checks and converts the schedules, each with its payload. `has_default_function` says whether functions
/// that `[[functions]]` does not list can be called.
pub(super) fn check(
    raw: &File,
    functions: &HashMap<String, Rc<Function>>,
    has_default_function: bool,
    errors: &mut ErrorCollector,
) -> Vec<(Schedule, Rc<[u8]>)> {
    let mut schedules: Vec<(Schedule, Rc<[u8]>)> = Vec::new();
    for entry in &raw.timers {
        let position = entry.span();
        let timer = entry.get_ref();
        if !functions.contains_key(&timer.function) && !has_default_function {
            errors.add(
                position.clone(),
                format!(
                    "timer '{}': function '{}' is not defined",
                    timer.name, timer.function
                ),
                "name a function from [[functions]]",
            );
        }
        if schedules.iter().any(|(earlier, _)| earlier.name == timer.name) {
            errors.add(
                position.clone(),
                format!("timer '{}' is defined twice", timer.name),
                "give each timer a unique name",
            );
        }
        check_payload(raw, timer, position.clone(), errors);
        if let Some(schedule) = parse_schedule(timer, position, errors) {
            schedules.push((schedule, Rc::from(timer.payload.as_bytes())));
        }
    }
    schedules
}

fn check_payload(raw: &File, timer: &Timer, position: Range<usize>, errors: &mut ErrorCollector) {
    if raw.gateway.require_json && !quartzdrift_invoke::request::is_json(timer.payload.as_bytes()) {
        errors.add(
            position,
            format!("timer '{}': the payload is not JSON", timer.name),
            "write a JSON payload, or set gateway.require_json to false",
        );
    }
}

/// Parses the cron expression and the time zone. If both are invalid, both errors are added.
fn parse_schedule(timer: &Timer, position: Range<usize>, errors: &mut ErrorCollector) -> Option<Schedule> {
    let cron = quartzdrift_schedules::parse_cron(&timer.cron).map_err(|error| {
        errors.add(
            position.clone(),
            error.to_string(),
            "write a cron expression like \"*/5 * * * *\"",
        );
    });
    let zone = quartzdrift_schedules::parse_time_zone(&timer.zone).map_err(|error| {
        errors.add(
            position.clone(),
            error.to_string(),
            "write a time zone like \"Europe/Amsterdam\" or \"UTC\"",
        );
    });
    Some(Schedule {
        name: timer.name.clone(),
        function: timer.function.clone(),
        cron: cron.ok()?,
        time_zone: zone.ok()?,
        jitter: timer.jitter.map_or(Duration::ZERO, |jitter| jitter.0),
        misfire_policy: misfire_policy(timer.missed),
        allow_overlap: timer.overlap,
    })
}

fn misfire_policy(missed: Missed) -> MisfirePolicy {
    match missed {
        Missed::Skip => MisfirePolicy::Skip,
        Missed::Once => MisfirePolicy::Once,
        Missed::All => MisfirePolicy::All,
    }
}
