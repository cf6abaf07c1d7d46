//! Checks of the inputs of scheduling decisions: `[rules]`, `[copies]`, `[allowed]`, `[scheduler]` and
//! `[reports]`.
use super::collector::ErrorCollector;
use crate::settings::raw::{File, ReportSource, Rules};

/// Checks all five tables.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    check_slow_start(&raw.rules, errors);
    check_load_quota(raw, errors);
    check_memory(raw, errors);
    check_allowed(raw, errors);
    check_scheduler(raw, errors);
    check_reports(raw, errors);
}

/// Checks the keys for slow start and overload, which must be set together.
fn check_slow_start(rules: &Rules, errors: &mut ErrorCollector) {
    let keys = [
        ("cold_from", rules.cold_from.is_some()),
        ("cold_for", rules.cold_for.is_some()),
        ("fall_multiple", rules.fall_multiple.is_some()),
        ("fall_window", rules.fall_window.is_some()),
    ];
    let missing: Vec<&str> = keys
        .iter()
        .filter(|(_, is_set)| !is_set)
        .map(|(key, _)| *key)
        .collect();
    if !missing.is_empty() && missing.len() < keys.len() {
        errors.add_at_table(
            "rules",
            "cold_from, cold_for, fall_multiple and fall_window must be set together",
            format!("add {}, or remove all four", missing.join(", ")),
        );
    }
    if let Some(share) = rules.cold_from
        && !(share > 0.0 && share <= 1.0)
    {
        errors.add_at_key(
            "rules",
            "cold_from",
            format!("cold_from is {share}, it must be above 0 and at most 1"),
            "write the share of its capacity that a worker has right after its start",
        );
    }
    if let Some(multiple) = rules.fall_multiple
        && (!multiple.is_finite() || multiple <= 0.0)
    {
        errors.add_at_key(
            "rules",
            "fall_multiple",
            format!("fall_multiple is {multiple}, it must be finite and above 0"),
            "write a number above 0",
        );
    }
}

/// Checks the keys of the quota for load commands, which must be set together.
fn check_load_quota(raw: &File, errors: &mut ErrorCollector) {
    let cache = &raw.copies;
    let is_set = [
        cache.load_quota_burst.is_some(),
        cache.load_quota_share.is_some(),
        cache.load_quota_window.is_some(),
    ];
    if is_set.contains(&true) && is_set.contains(&false) {
        errors.add_at_table(
            "copies",
            "load_free, load_share and load_window must be set together",
            "write all three keys, or remove them",
        );
    }
}

/// Checks that `memory_mb_by_kind` has one value for each kind of worker, or is empty.
fn check_memory(raw: &File, errors: &mut ErrorCollector) {
    let kinds = raw.scheduler.kinds.len().max(1);
    let memory_sizes = raw.copies.memory_mb_by_kind.len();
    if memory_sizes != 0 && memory_sizes != kinds {
        errors.add_at_key(
            "copies",
            "memory_mb_by_kind",
            format!("memory_mb_by_kind has {memory_sizes} values, but there are {kinds} kinds of worker"),
            "write one value for each entry of scheduler.kinds",
        );
    }
}

fn check_allowed(raw: &File, errors: &mut ErrorCollector) {
    if raw.allowed.max_attempts == Some(0) {
        errors.add_at_key(
            "allowed",
            "max_executions",
            "max_executions is 0, the minimum is 1",
            "write 1 for a single execution without retries",
        );
    }
    if raw.allowed.connect_timeout.0.is_zero() {
        errors.add_at_key(
            "allowed",
            "connect_timeout",
            "connect_timeout is zero",
            "write a duration above zero, like \"250ms\"",
        );
    }
}

fn check_scheduler(raw: &File, errors: &mut ErrorCollector) {
    let section = &raw.scheduler;
    if let (Some(index), Some(count)) = (section.me, section.schedulers)
        && index >= count
    {
        errors.add_at_key(
            "scheduler",
            "me",
            format!("me is {index}, but there are only {count} schedulers"),
            "number the schedulers from 0; me must be less than scheduler.schedulers",
        );
    }
    if let Some(zone) = &section.zone
        && !section.zones.contains(zone.get_ref())
    {
        errors.add(
            zone.span(),
            format!("zone '{}' is not defined", zone.get_ref()),
            format!("name one of scheduler.zones: {}", section.zones.join(", ")),
        );
    }
}

fn check_reports(raw: &File, errors: &mut ErrorCollector) {
    let reports = &raw.reports;
    if matches!(reports.source, ReportSource::Absent) && !reports.fields.is_empty() {
        errors.add_at_table(
            "reports",
            "fields has no effect, because source is \"silent\"",
            "write source = \"answers\" or source = \"probes\", or remove fields",
        );
    }
}
