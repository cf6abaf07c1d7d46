//! Reads the platform's settings object into the scheduler's settings, for the adapter and the daemon alike.
//!
//! A value that a rule rests on is refused when it cannot be read. A value that is missing or unknown counts as the one that
//! binds most.
use quartzdrift_scheduler::interface::{
    ActionLimits, CacheMissPolicy, CacheSettings, CapacityHints, DeduplicationScope, DiscoveryMode,
    GoalWeights, Idempotency, Prices, PriorityUnit, ReportField, ReportSource, RequestClass, Rules, Settings,
    Tenant,
};
use serde_json::Value;
use std::time::Duration;

fn number(from: &Value, key: &str) -> Option<f64> {
    from.get(key)?.as_f64()
}

/// A whole number from 0 on, whether written as one or as a float.
fn whole(from: &Value, key: &str) -> Option<u64> {
    let value = from.get(key)?;
    value.as_u64().or_else(|| value.as_f64().map(|n| n as u64))
}

fn count(from: &Value, key: &str) -> Option<u32> {
    whole(from, key).map(|n| n.try_into().unwrap_or(u32::MAX))
}

fn span(from: &Value, key: &str) -> Option<Duration> {
    whole(from, key).map(Duration::from_nanos)
}

fn flag(from: &Value, key: &str) -> bool {
    match from.get(key) {
        Some(Value::Bool(on)) => *on,
        Some(other) => other.as_f64().is_some_and(|n| n != 0.0),
        None => false,
    }
}

fn word<'a>(from: &'a Value, key: &str) -> &'a str {
    from.get(key).and_then(Value::as_str).unwrap_or("")
}

fn list<'a>(from: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    from.get(key).and_then(Value::as_array).into_iter().flatten()
}

/// Numbers that the rules rest on, as JSON pointers; misread, they would bind nothing.
const RULE_NUMBERS: [&str; 14] = [
    "/replicas-of-me",
    "/allowed/max-attempts",
    "/allowed/max-retry-after-ns",
    "/safety/answer-slack-ns",
    "/safety/ask-within-ns",
    "/safety/cold-from",
    "/safety/cold-ns",
    "/safety/drain-grace-ns",
    "/safety/fall-multiple",
    "/safety/fall-ns",
    "/family-info/load-free",
    "/family-info/load-period-ns",
    "/family-info/load-share",
    "/family-info/stays-loaded-ns",
];
/// The same in each request class.
const CLASS_RULE_NUMBERS: [&str; 3] = ["/deadline-ns", "/on-time-ns", "/window-ns"];
/// Rules of several numbers: without the first the others say nothing.
const COMPOUND_RULES: [(&str, &[&str]); 2] = [
    (
        "/safety/cold-ns",
        &["/safety/cold-from", "/safety/fall-multiple", "/safety/fall-ns"],
    ),
    (
        "/family-info/load-period-ns",
        &["/family-info/load-free", "/family-info/load-share"],
    ),
];

/// Why no scheduler can keep the rules by these settings, if so.
fn fault(all: &Value) -> Option<String> {
    if list(all, "classes").next().is_none() {
        return Some("the settings name no class".to_owned());
    }
    let of_all = RULE_NUMBERS.iter().map(|at| (at, all.pointer(at)));
    let of_classes =
        list(all, "classes").flat_map(|class| CLASS_RULE_NUMBERS.iter().map(|at| (at, class.pointer(at))));
    for (at, value) in of_all.chain(of_classes) {
        if let Some(value) = value.filter(|value| value.as_f64().is_none_or(|n| n < 0.0)) {
            return Some(format!("'{at}' is {value}, no number from 0 on"));
        }
    }
    let configured = |at: &str| all.pointer(at).is_some();
    let part = COMPOUND_RULES
        .iter()
        .find(|(first, others)| !configured(first) && others.iter().any(|at| configured(at)));
    part.map(|(first, _)| format!("a rule is told in part: '{first}' is missing"))
}

fn names(from: &Value, key: &str) -> Vec<String> {
    list(from, key)
        .map(|name| name.as_str().unwrap_or("").to_owned())
        .collect()
}

/// A missing or unknown kind of idempotency is the strictest.
fn request_class(from: &Value) -> RequestClass {
    RequestClass {
        name: word(from, "name").to_owned(),
        idempotency: match word(from, "effect") {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::IdempotentWithKey,
            _ => Idempotency::NonIdempotent,
        },
        latency_objective: span(from, "on-time-ns"),
        latency_objective_stretch: number(from, "aim-stretch"),
        timeout: span(from, "deadline-ns"),
        priority_weight: number(from, "importance"),
        late_weight: number(from, "late-worth"),
        deduplication_scope: match word(from, "key-scope") {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            // Missing or unknown: the narrowest.
            _ => DeduplicationScope::Cell,
        },
        deduplication_window: span(from, "window-ns"),
        streams_responses: flag(from, "stream"),
    }
}

/// The field of a load report that has this name in the settings; [`ReportField::Unknown`] for any other.
pub fn field(name: &str) -> ReportField {
    match name {
        "rif" => ReportField::InFlight,
        "q" => ReportField::Queued,
        "busy" => ReportField::CoreUtilization,
        "lat_ms" => ReportField::LatencyMs,
        "rate" => ReportField::SucceededPerSecond,
        "fail_rate" => ReportField::ErrorsPerSecond,
        "x0" => ReportField::UnreclaimableMemory,
        "x1" => ReportField::LoadsInProgress,
        _ => ReportField::Unknown,
    }
}

/// Reads the settings object, as the simulator's first message and a scheduler's configuration hold it.
///
/// # Errors
/// One line that says why no scheduler can keep the rules by these settings: a value that a rule rests on cannot be read,
/// or a rule is given in part.
pub fn read(all: &Value) -> Result<Settings, String> {
    if let Some(fault) = fault(all) {
        return Err(fault);
    }
    Ok(Settings {
        scheduler_number: count(all, "me"),
        scheduler_count: count(all, "replicas-of-me"),
        zone: count(all, "zone"),
        zones: names(all, "zones"),
        machine_kinds: names(all, "skus"),
        tier: count(all, "tier"),
        tiers: names(all, "tiers"),
        workload: word(all, "workload").to_owned(),
        clock_resolution: span(all, "resolution-ns"),
        discovery_mode: discovery_mode(all),
        capacity_hints: weights(all),
        priority_unit: counted_by(all),
        over_quota_weight: number(all, "over-share-worth"),
        clients_mark_retries: flag(section(all, "clients"), "marks-retry"),
        request_classes: list(all, "classes").map(request_class).collect(),
        tenants: list(all, "tenants").map(tenant).collect(),
        limits: allowed(section(all, "allowed")),
        rules: rules(section(all, "safety")),
        cache: cache_settings(section(all, "family-info")),
        report_source: report_source(section(all, "stats")),
        report_fields: report_fields(section(all, "stats")),
        prices: prices(section(all, "fees")),
        goal: goal(section(all, "goal")),
    })
}

/// A part of the settings; one that is missing reads as empty.
fn section<'a>(all: &'a Value, key: &str) -> &'a Value {
    all.get(key).unwrap_or(&Value::Null)
}

fn discovery_mode(all: &Value) -> DiscoveryMode {
    match word(all, "registry-mode") {
        "push" => DiscoveryMode::Push,
        // Missing or unknown: a subscription is allowed everywhere, and a list that nobody sends would be stale.
        _ => DiscoveryMode::Poll,
    }
}

fn weights(all: &Value) -> CapacityHints {
    match word(all, "weight-kind") {
        "nominal" => CapacityHints::Nominal,
        "rough" => CapacityHints::Approximate,
        "live" => CapacityHints::Current,
        _ => CapacityHints::Absent,
    }
}

fn counted_by(all: &Value) -> PriorityUnit {
    match word(all, "worth-by") {
        "work" => PriorityUnit::Work,
        _ => PriorityUnit::Request,
    }
}

fn tenant(from: &Value) -> Tenant {
    Tenant {
        name: word(from, "name").to_owned(),
        share: number(from, "share"),
        requests_per_second: number(from, "quota-rps"),
    }
}

fn allowed(from: &Value) -> ActionLimits {
    ActionLimits {
        cancel: flag(from, "cancel"),
        health_checks: flag(from, "may-probe"),
        peer_messages: flag(from, "peers"),
        hedging: flag(from, "second-copies"),
        retry_after: flag(from, "retry-after"),
        max_retry_after: span(from, "max-retry-after-ns"),
        max_attempts: count(from, "max-attempts"),
        max_open_requests: count(from, "max-open"),
        connect_timeout: span(from, "connect-timeout-ns"),
        connection_keep_alive: span(from, "keepalive-ns"),
        cpu_us_per_second: number(from, "cpu-us-per-s"),
        cpu_us_per_request: number(from, "cpu-us-per-request"),
        streams_per_connection: count(from, "streams-per-conn"),
    }
}

fn rules(from: &Value) -> Rules {
    Rules {
        response_slack: span(from, "answer-slack-ns"),
        endpoint_refresh_limit: span(from, "ask-within-ns"),
        slow_start_min_capacity: number(from, "cold-from"),
        slow_start_duration: span(from, "cold-ns"),
        drain_grace: span(from, "drain-grace-ns"),
        endpoint_lease: None,
        overload_multiple: number(from, "fall-multiple"),
        overload_window: span(from, "fall-ns"),
    }
}

fn cache_settings(from: &Value) -> CacheSettings {
    CacheSettings {
        on_miss: match word(from, "on-miss") {
            "miss" => CacheMissPolicy::ReportMiss,
            _ => CacheMissPolicy::Load,
        },
        load_commands: flag(from, "may-order"),
        reports_cache_status: flag(from, "tells-warm"),
        reports_concurrency: flag(from, "tells-crowd"),
        keep_alive: span(from, "stays-loaded-ns"),
        memory_mb_by_kind: list(from, "memory-mb-by-kind")
            .filter_map(Value::as_f64)
            .collect(),
        idle_memory_price: number(from, "idle-memory-cost"),
        load_quota_burst: number(from, "load-free"),
        load_quota_share: number(from, "load-share"),
        load_quota_window: span(from, "load-period-ns"),
        load_command_timeout: span(from, "order-timeout-ns"),
    }
}

fn report_source(from: &Value) -> ReportSource {
    match word(from, "source") {
        "piggyback" => ReportSource::Responses,
        "pull" => ReportSource::HealthChecks,
        _ => ReportSource::Absent,
    }
}

fn report_fields(from: &Value) -> Vec<ReportField> {
    list(from, "fields")
        .map(|name| field(name.as_str().unwrap_or("")))
        .collect()
}

/// A price that is missing is nothing.
fn prices(from: &Value) -> Prices {
    let price = |key: &str| number(from, key).unwrap_or(0.0);
    Prices {
        connection: price("connection"),
        cross_zone: price("cross-zone"),
        handshake: price("handshake"),
        late_failure: price("late-fail"),
        function_move: price("moves"),
        origin_fetch: price("origin"),
        peer_message: price("peer"),
        health_check: price("probe"),
        endpoint_list_request: price("registry-mode"),
        wasted_work: price("waste"),
    }
}

fn goal(from: &Value) -> GoalWeights {
    let weight = |key: &str| number(from, key).unwrap_or(0.0);
    GoalWeights {
        all_requests: weight("whole"),
        worst_window: weight("worst-window"),
        worst_request_class: weight("worst-class"),
        worst_tenant: weight("worst-tenant"),
    }
}

#[cfg(test)]
mod tests;
