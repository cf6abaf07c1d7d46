//! Checks of `[[timers]]`.
use super::collector::ErrorCollector;
use crate::settings::Function;
use crate::settings::raw::{File, Missed, Timer};
use quartzdrift_schedules::{MisfirePolicy, Schedule};
use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// Checks and converts the schedules, each with its payload. `has_default`: functions that are not named can
/// be called.
pub(super) fn check(
    raw: &File,
    functions: &HashMap<String, Rc<Function>>,
    has_default: bool,
    errors: &mut ErrorCollector,
) -> Vec<(Schedule, Rc<[u8]>)> {
    let mut schedules: Vec<(Schedule, Rc<[u8]>)> = Vec::new();
    for entry in &raw.timers {
        let position = entry.span();
        let timer = entry.get_ref();
        if !functions.contains_key(&timer.function) && !has_default {
            errors.add(
                position.clone(),
                format!(
                    "timer '{}': there is no function '{}'",
                    timer.name, timer.function
                ),
                "name one of [[functions]]",
            );
        }
        if schedules.iter().any(|(earlier, _)| earlier.name == timer.name) {
            errors.add(
                position.clone(),
                format!("timer '{}' stands twice", timer.name),
                "give each a name of its own",
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
            format!("timer '{}': its payload is not JSON", timer.name),
            "write JSON in it",
        );
    }
}

/// Parses the cron expression and the time zone; both are reported where both are wrong.
fn parse_schedule(timer: &Timer, position: Range<usize>, errors: &mut ErrorCollector) -> Option<Schedule> {
    let cron = quartzdrift_schedules::parse_cron(&timer.cron).map_err(|error| {
        errors.add(position.clone(), error.to_string(), "write like \"*/5 * * * *\"");
    });
    let zone = quartzdrift_schedules::parse_time_zone(&timer.zone).map_err(|error| {
        errors.add(
            position.clone(),
            error.to_string(),
            "write like \"Europe/Amsterdam\" or \"UTC\"",
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
