//! Checks of `[[workloads]]`, and lookup of request classes by name.
use super::collector::ErrorCollector;
use crate::settings::raw::{File, Idempotency, RequestClass};
use std::ops::Range;

/// The names of all request classes, separated by commas.
pub(super) fn names(raw: &File) -> String {
    let names: Vec<&str> = raw
        .request_classes
        .iter()
        .map(|class| class.get_ref().name.as_str())
        .collect();
    names.join(", ")
}

/// Index of the request class that has this name.
pub(super) fn index_of(raw: &File, name: &str) -> Option<u32> {
    let index = raw
        .request_classes
        .iter()
        .position(|class| class.get_ref().name == name)?;
    Some(index as u32)
}

/// Checks that there is a request class, and checks each of them.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    if raw.request_classes.is_empty() {
        errors.add_at_table(
            "gateway",
            "no workload is defined",
            "add [[workloads]] with name, effect and time_limit",
        );
    }
    for (index, entry) in raw.request_classes.iter().enumerate() {
        let mut class_errors = ClassErrors {
            class: entry.get_ref(),
            position: entry.span(),
            errors,
        };
        check_name(raw, index, &mut class_errors);
        check_times(raw, &mut class_errors);
        check_idempotency(&mut class_errors);
        check_weights(&mut class_errors);
    }
}

/// Collects the errors of one request class. Each problem starts with the name of the class.
struct ClassErrors<'check, 'file> {
    class: &'check RequestClass,
    position: Range<usize>,
    errors: &'check mut ErrorCollector<'file>,
}

impl ClassErrors<'_, '_> {
    fn add(&mut self, problem: &str, remedy: &str) {
        let problem = format!("workload '{}': {problem}", self.class.name);
        self.errors.add(self.position.clone(), problem, remedy);
    }
}

fn check_name(raw: &File, index: usize, errors: &mut ClassErrors) {
    let name = &errors.class.name;
    let earlier = &raw.request_classes[..index];
    if earlier.iter().any(|class| class.get_ref().name == *name) {
        errors.add("the name is used twice", "give each workload a unique name");
    }
}

fn check_times(raw: &File, errors: &mut ClassErrors) {
    let class = errors.class;
    if class.timeout.0 <= raw.rules.answer_slack.0 + raw.allowed.connect_timeout.0 {
        errors.add(
            &format!(
                "time_limit ({:?}) must be longer than the sum of rules.answer_slack ({:?}) and \
                 allowed.connect_timeout ({:?})",
                class.timeout.0, raw.rules.answer_slack.0, raw.allowed.connect_timeout.0
            ),
            "increase time_limit, or reduce rules.answer_slack or allowed.connect_timeout",
        );
    }
    if let Some(objective) = class.latency_objective
        && objective > class.timeout
    {
        errors.add(
            &format!(
                "start_target ({:?}) is longer than time_limit ({:?})",
                objective.0, class.timeout.0
            ),
            "make start_target at most as long as time_limit",
        );
    }
}

/// Checks that a request class has a deduplication window and scope if and only if its requests have
/// idempotency keys.
fn check_idempotency(errors: &mut ClassErrors) {
    let class = errors.class;
    if class.idempotency != Idempotency::IdempotentWithKey {
        if class.window.is_some() || class.deduplication_scope.is_some() {
            errors.add(
                "group and window have no effect unless effect is \"fingerprinted\"",
                "remove group and window, or change effect",
            );
        }
        return;
    }
    if class.window.is_none_or(|window| window.0.is_zero()) {
        errors.add(
            "effect is \"fingerprinted\", but window is missing or zero",
            "add the deduplication window, like window = \"5s\"",
        );
    }
    if class.deduplication_scope.is_none() {
        errors.add(
            "effect is \"fingerprinted\", but group is missing",
            "add group = \"all\", \"zone\" or \"cell\"",
        );
    }
}

fn check_weights(errors: &mut ClassErrors) {
    let class = errors.class;
    if let Some(weight) = class.late_weight
        && !(0.0..=1.0).contains(&weight)
    {
        errors.add(
            &format!("late_share is {weight}, the limit is 0 to 1"),
            "write a number from 0 to 1",
        );
    }
    if let Some(weight) = class.priority_weight
        && (!weight.is_finite() || weight < 0.0)
    {
        errors.add(
            &format!("importance is {weight}, it must be finite and at least 0"),
            "write a number of at least 0",
        );
    }
}
