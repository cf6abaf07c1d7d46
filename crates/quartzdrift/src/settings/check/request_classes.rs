//! Checks of `[[workloads]]`, and look-ups of request classes by name.
use super::collector::ErrorCollector;
use crate::settings::raw::{File, Idempotency, RequestClass};
use std::ops::Range;

/// The names of all request classes, for remedies.
pub(super) fn names(raw: &File) -> String {
    let names: Vec<&str> = raw
        .request_classes
        .iter()
        .map(|class| class.get_ref().name.as_str())
        .collect();
    names.join(", ")
}

/// Index of the request class with a name.
pub(super) fn index_of(raw: &File, name: &str) -> Option<u32> {
    let index = raw
        .request_classes
        .iter()
        .position(|class| class.get_ref().name == name)?;
    Some(index as u32)
}

/// Checks each request class on its own, and that there is one.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    if raw.request_classes.is_empty() {
        errors.add_at_table(
            "gateway",
            "there is no workload",
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

/// Reports errors of one request class, with its name before the problem.
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
        errors.add("the name stands twice", "give each workload a name of its own");
    }
}

fn check_times(raw: &File, errors: &mut ClassErrors) {
    let class = errors.class;
    if class.timeout.0 <= raw.rules.answer_slack.0 + raw.allowed.connect_timeout.0 {
        errors.add(
            "its time limit is not longer than the answer slack and a connect time-out together",
            "make time_limit longer, or rules.answer_slack or allowed.connect_timeout shorter",
        );
    }
    if class
        .latency_objective
        .is_some_and(|objective| objective > class.timeout)
    {
        errors.add(
            "its start target is past its time limit",
            "make start_target no longer than time_limit",
        );
    }
}

/// A request class with idempotency keys needs a deduplication window and scope, and no other may have them.
fn check_idempotency(errors: &mut ClassErrors) {
    let class = errors.class;
    if class.idempotency != Idempotency::IdempotentWithKey {
        if class.window.is_some() || class.deduplication_scope.is_some() {
            errors.add(
                "group and window say nothing unless it is fingerprinted",
                "remove them, or change effect",
            );
        }
        return;
    }
    if class.window.is_none_or(|window| window.0.is_zero()) {
        errors.add(
            "it is fingerprinted, but for how long repeats are known is not told",
            "add window = \"5s\" or so",
        );
    }
    if class.deduplication_scope.is_none() {
        errors.add(
            "it is fingerprinted, but which workers know a repeat is not told",
            "add group = \"all\", \"zone\" or \"cell\"",
        );
    }
}

fn check_weights(errors: &mut ClassErrors) {
    let class = errors.class;
    if class
        .late_weight
        .is_some_and(|weight| !(0.0..=1.0).contains(&weight))
    {
        errors.add("late_share is no share", "write a number from 0 to 1");
    }
    if class
        .priority_weight
        .is_some_and(|weight| !weight.is_finite() || weight < 0.0)
    {
        errors.add("importance is below nothing", "write a number from 0 on");
    }
}
