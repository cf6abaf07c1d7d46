//! Checks of `[[functions]]` and `gateway.default_workload`.
use super::collector::ErrorCollector;
use super::{destinations, request_classes};
use crate::settings::Function;
use crate::settings::raw::{self, File};
use quartzdrift_invoke::function_name::FunctionName;
use quartzdrift_scheduler::interface::Settings as SchedulerSettings;
use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;
use toml::Spanned;

/// Checks the functions and converts them to a map by name. A function with an unknown request class is left
/// out.
pub(super) fn check(
    raw: &File,
    scheduler: &SchedulerSettings,
    errors: &mut ErrorCollector,
) -> HashMap<String, Rc<Function>> {
    let mut functions = HashMap::new();
    let max_memory_mb = max_memory_mb(scheduler);
    for entry in &raw.functions {
        let section = entry.get_ref();
        let Some(function) = check_function(raw, entry, max_memory_mb, errors) else {
            continue;
        };
        if functions
            .insert(section.name.clone(), Rc::new(function))
            .is_some()
        {
            errors.add(
                entry.span(),
                format!("function '{}' is defined twice", section.name),
                "remove one of the definitions",
            );
        }
    }
    let has_no_function = raw.functions.is_empty() && raw.gateway.default_request_class.is_none();
    if has_no_function && !raw.request_classes.is_empty() {
        errors.add_at_table(
            "gateway",
            "no function is defined",
            "add [[functions]], or set gateway.default_workload for functions that are not listed",
        );
    }
    functions
}

/// Settings of functions that `[[functions]]` does not list; `None` if `gateway.default_workload` is absent
/// or unknown.
pub(super) fn default_function(raw: &File, errors: &mut ErrorCollector) -> Option<Rc<Function>> {
    let entry = raw.gateway.default_request_class.as_ref()?;
    let name = entry.get_ref();
    let Some(request_class) = request_classes::index_of(raw, name) else {
        errors.add(
            entry.span(),
            format!("workload '{name}' is not defined"),
            format!("use a defined workload: {}", request_classes::names(raw)),
        );
        return None;
    };
    Some(Rc::new(Function {
        request_class,
        ..Function::default()
    }))
}

/// Memory of the largest kind of worker, in megabytes; NaN if no kind has a value. Nothing compares as
/// greater than NaN, so any `memory_mb` is accepted then.
fn max_memory_mb(scheduler: &SchedulerSettings) -> f64 {
    let memory_by_kind = scheduler.cache.memory_mb_by_kind.iter().copied();
    memory_by_kind.fold(f64::NAN, f64::max)
}

fn check_function(
    raw: &File,
    entry: &Spanned<raw::Function>,
    max_memory_mb: f64,
    errors: &mut ErrorCollector,
) -> Option<Function> {
    let position = entry.span();
    let section = entry.get_ref();
    check_name(&section.name, position.clone(), errors);
    let Some(request_class) = request_classes::index_of(raw, &section.request_class) else {
        errors.add(
            position,
            format!(
                "function '{}': workload '{}' is not defined",
                section.name, section.request_class
            ),
            format!("use a defined workload: {}", request_classes::names(raw)),
        );
        return None;
    };
    check_resources(section, max_memory_mb, position.clone(), errors);
    let on_success = destinations::check(&section.on_success, raw, position.clone(), errors);
    let on_failure = destinations::check(&section.on_failure, raw, position, errors);
    Some(Function {
        request_class,
        memory_mb: section.memory_mb,
        concurrency_slots: section.concurrency_slots,
        expected_load_time: section.load.map(|duration| duration.0),
        expected_duration: section.work.map(|duration| duration.0),
        has_side_effects: section.writes,
        on_success,
        on_failure,
    })
}

fn check_name(name: &str, position: Range<usize>, errors: &mut ErrorCollector) {
    if FunctionName::parse(name).is_err() {
        errors.add(
            position,
            format!("function name '{name}' is invalid"),
            "use letters, digits, '-' and '_', and ':' before a version or alias",
        );
    }
}

fn check_resources(
    section: &raw::Function,
    max_memory_mb: f64,
    position: Range<usize>,
    errors: &mut ErrorCollector,
) {
    let name = &section.name;
    if let Some(memory_mb) = section.memory_mb
        && memory_mb > max_memory_mb
    {
        errors.add(
            position.clone(),
            format!(
                "function '{name}': memory_mb is {memory_mb}, the largest kind of worker has {max_memory_mb}"
            ),
            "reduce memory_mb, or correct copies.memory_mb_by_kind",
        );
    }
    if let Some(slots) = section.concurrency_slots
        && !(slots >= 1.0 && slots.is_finite())
    {
        errors.add(
            position,
            format!("function '{name}': lanes is {slots}, it must be finite and at least 1"),
            "write the number of requests that one cached replica runs at a time",
        );
    }
}
