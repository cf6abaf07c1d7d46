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

/// Checks and converts the functions, by name.
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
                format!("function '{}' stands twice", section.name),
                "remove one of them",
            );
        }
    }
    let has_none = raw.functions.is_empty() && raw.gateway.default_request_class.is_none();
    if has_none && !raw.request_classes.is_empty() {
        errors.add_at_table(
            "gateway",
            "no function is known",
            "add [[functions]], or gateway.default_workload for all that are not named",
        );
    }
    functions
}

/// What applies to functions that the settings do not name.
pub(super) fn default_function(raw: &File, errors: &mut ErrorCollector) -> Option<Rc<Function>> {
    let entry = raw.gateway.default_request_class.as_ref()?;
    let name = entry.get_ref();
    let Some(request_class) = request_classes::index_of(raw, name) else {
        errors.add(
            entry.span(),
            format!("there is no workload '{name}'"),
            format!("name one of: {}", request_classes::names(raw)),
        );
        return None;
    };
    Some(Rc::new(Function {
        request_class,
        ..Function::default()
    }))
}

/// Memory of the largest kind of worker; not a number where no kind has a figure.
fn max_memory_mb(scheduler: &SchedulerSettings) -> f64 {
    let figures = scheduler.cache.memory_mb_by_kind.iter().copied();
    figures.fold(f64::NAN, f64::max)
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
                "function '{}': there is no workload '{}'",
                section.name, section.request_class
            ),
            format!("name one of: {}", request_classes::names(raw)),
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
        load: section.load.map(|duration| duration.0),
        work: section.work.map(|duration| duration.0),
        writes: section.writes,
        on_success,
        on_failure,
    })
}

fn check_name(name: &str, position: Range<usize>, errors: &mut ErrorCollector) {
    if FunctionName::parse(name).is_err() {
        errors.add(
            position,
            format!("'{name}' is no function's name"),
            "use letters, digits, '-' and '_', and ':' before a version",
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
    if section
        .memory_mb
        .is_some_and(|memory_mb| memory_mb > max_memory_mb)
    {
        errors.add(
            position.clone(),
            format!("function '{name}': no kind of worker has the memory for a copy"),
            format!("the largest has {max_memory_mb} MB: make memory_mb smaller"),
        );
    }
    if section
        .concurrency_slots
        .is_some_and(|slots| !(slots >= 1.0 && slots.is_finite()))
    {
        errors.add(
            position,
            format!("function '{name}': lanes is below 1"),
            "write 1 or more",
        );
    }
}
