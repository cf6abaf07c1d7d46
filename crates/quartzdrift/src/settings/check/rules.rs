//! Checks of what the scheduler decides by: `[rules]`, `[copies]`, `[allowed]`, `[scheduler]` and
//! `[reports]`.
use super::collector::ErrorCollector;
use crate::settings::raw::{File, ReportSource, Rules};

/// Checks the tables one after the other.
pub(super) fn check(raw: &File, errors: &mut ErrorCollector) {
    check_warm_up(&raw.rules, errors);
    check_load_quota(raw, errors);
    check_memory(raw, errors);
    check_allowed(raw, errors);
    check_scheduler(raw, errors);
    check_reports(raw, errors);
}

/// The keys about workers that warm up are set together or not at all.
fn check_warm_up(rules: &Rules, errors: &mut ErrorCollector) {
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
            "the rule for cold workers is told in part",
            format!("add {}, or leave all four out", missing.join(", ")),
        );
    }
    if rules
        .cold_from
        .is_some_and(|share| !(share > 0.0 && share <= 1.0))
    {
        errors.add_at_key(
            "rules",
            "cold_from",
            "cold_from is no share",
            "write the share of its work that a worker can do when it has just started, over 0 up to 1",
        );
    }
    if rules
        .fall_multiple
        .is_some_and(|multiple| !multiple.is_finite() || multiple <= 0.0)
    {
        errors.add_at_key(
            "rules",
            "fall_multiple",
            "fall_multiple is not over 0",
            "write a number over 0",
        );
    }
}

/// The keys of the load quota are set together or not at all.
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
            "the ration of load orders is told in part",
            "tell load_free, load_share and load_window, or none of them",
        );
    }
}

fn check_memory(raw: &File, errors: &mut ErrorCollector) {
    let kinds = raw.scheduler.kinds.len().max(1);
    let figures = raw.copies.memory_mb_by_kind.len();
    if figures != 0 && figures != kinds {
        errors.add_at_key(
            "copies",
            "memory_mb_by_kind",
            format!("memory is told for {figures} kinds of {kinds}"),
            "write one figure for each of scheduler.kinds",
        );
    }
}

fn check_allowed(raw: &File, errors: &mut ErrorCollector) {
    if raw.allowed.max_attempts == Some(0) {
        errors.add_at_key(
            "allowed",
            "max_executions",
            "no execution is allowed at all",
            "write 1 for no further executions",
        );
    }
    if raw.allowed.connect_timeout.0.is_zero() {
        errors.add_at_key(
            "allowed",
            "connect_timeout",
            "connect_timeout is zero",
            "write \"250ms\" or so",
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
            format!("me is {index} of {count} schedulers"),
            "number the schedulers from 0 to one less than scheduler.schedulers",
        );
    }
    if let Some(zone) = &section.zone
        && !section.zones.contains(zone.get_ref())
    {
        errors.add(
            zone.span(),
            format!("there is no zone '{}'", zone.get_ref()),
            format!("name one of scheduler.zones: {}", section.zones.join(", ")),
        );
    }
}

fn check_reports(raw: &File, errors: &mut ErrorCollector) {
    let reports = &raw.reports;
    if matches!(reports.source, ReportSource::Absent) && !reports.fields.is_empty() {
        errors.add_at_table(
            "reports",
            "fields of reports are told, but no source of them",
            "write source = \"answers\", or leave the fields out",
        );
    }
}
