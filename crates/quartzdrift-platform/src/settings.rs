//! Reads the platform's settings object into the scheduler's [`Settings`]; used by the adapter and by the
//! daemon.
//!
//! A number of a rule that cannot be read is an error, since the rule would otherwise not be enforced. A
//! missing or unknown value counts as the most restrictive one.
use quartzdrift_scheduler::interface::{
    ActionLimits, CacheMissPolicy, CacheSettings, CapacityHints, DeduplicationScope, DiscoveryMode,
    GoalWeights, Idempotency, Prices, PriorityUnit, ReportField, ReportSource, RequestClass, Rules, Settings,
    Tenant,
};
use serde_json::Value;
use std::time::Duration;

fn number(object: &Value, key: &str) -> Option<f64> {
    object.get(key)?.as_f64()
}

/// A number as an unsigned integer. A float, such as `3e9`, is truncated, and a negative number is read as 0.
fn whole_number(object: &Value, key: &str) -> Option<u64> {
    let value = object.get(key)?;
    value.as_u64().or_else(|| value.as_f64().map(|n| n as u64))
}

/// A number as a `u32`; a larger one is read as `u32::MAX`.
fn count(object: &Value, key: &str) -> Option<u32> {
    whole_number(object, key).map(|n| n.try_into().unwrap_or(u32::MAX))
}

/// A time in nanoseconds.
fn duration(object: &Value, key: &str) -> Option<Duration> {
    whole_number(object, key).map(Duration::from_nanos)
}

/// A Boolean, or a number that is not 0 for `true`; a missing value is `false`.
fn boolean(object: &Value, key: &str) -> bool {
    match object.get(key) {
        Some(Value::Bool(on)) => *on,
        Some(other) => other.as_f64().is_some_and(|n| n != 0.0),
        None => false,
    }
}

/// A text; empty if the value is missing or not a text.
fn text<'a>(object: &'a Value, key: &str) -> &'a str {
    object.get(key).and_then(Value::as_str).unwrap_or("")
}

/// The elements of an array; none if the value is missing or not an array.
fn list<'a>(object: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    object.get(key).and_then(Value::as_array).into_iter().flatten()
}

/// JSON pointers to the numbers of rules. A number that could not be read would leave its rule unenforced.
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
/// JSON pointers to the numbers of rules within a request class.
const CLASS_RULE_NUMBERS: [&str; 3] = ["/deadline-ns", "/on-time-ns", "/window-ns"];
/// Rules of several numbers, as JSON pointers: the other numbers have no effect without the first one.
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

/// The first problem of the settings that keeps a scheduler from following the rules.
fn find_rule_error(object: &Value) -> Option<String> {
    if list(object, "classes").next().is_none() {
        return Some("'/classes' is missing or empty, at least one request class is required".to_owned());
    }
    let global_numbers = RULE_NUMBERS
        .iter()
        .map(|pointer| ((*pointer).to_owned(), object.pointer(pointer)));
    let class_numbers = list(object, "classes").enumerate().flat_map(|(index, class)| {
        CLASS_RULE_NUMBERS
            .iter()
            .map(move |pointer| (format!("/classes/{index}{pointer}"), class.pointer(pointer)))
    });
    for (pointer, value) in global_numbers.chain(class_numbers) {
        if let Some(value) = value.filter(|value| value.as_f64().is_none_or(|n| n < 0.0)) {
            return Some(format!("'{pointer}' is {value}, expected a number of at least 0"));
        }
    }
    let is_set = |pointer: &str| object.pointer(pointer).is_some();
    COMPOUND_RULES.iter().find_map(|(first, others)| {
        let dependent = others.iter().find(|pointer| is_set(pointer))?;
        (!is_set(first)).then(|| format!("'{first}' is missing, but '{dependent}' depends on it"))
    })
}

/// The texts of an array; an element that is not a text is read as an empty one.
fn strings(object: &Value, key: &str) -> Vec<String> {
    list(object, key)
        .map(|name| name.as_str().unwrap_or("").to_owned())
        .collect()
}

/// Reads a request class. A missing or unknown `effect` means that a request is executed at most once.
fn request_class(object: &Value) -> RequestClass {
    RequestClass {
        name: text(object, "name").to_owned(),
        idempotency: match text(object, "effect") {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::IdempotentWithKey,
            _ => Idempotency::NonIdempotent,
        },
        latency_objective: duration(object, "on-time-ns"),
        latency_objective_stretch: number(object, "aim-stretch"),
        timeout: duration(object, "deadline-ns"),
        priority_weight: number(object, "importance"),
        late_weight: number(object, "late-worth"),
        deduplication_scope: match text(object, "key-scope") {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            // A missing or unknown value is read as the narrowest scope.
            _ => DeduplicationScope::Cell,
        },
        deduplication_window: duration(object, "window-ns"),
        streams_responses: boolean(object, "stream"),
    }
}

/// The field of a load report with this name in the settings; [`ReportField::Unknown`] for any other name.
pub fn report_field(name: &str) -> ReportField {
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

/// Reads the settings object, which is part of the simulator's first message and of a scheduler's
/// configuration.
///
/// # Errors
/// No request class is given, a number of a rule cannot be read, or a rule of several numbers lacks its first
/// one. The text is one line that names the value by its JSON pointer.
pub fn read(object: &Value) -> Result<Settings, String> {
    if let Some(error) = find_rule_error(object) {
        return Err(error);
    }
    Ok(Settings {
        scheduler_number: count(object, "me"),
        scheduler_count: count(object, "replicas-of-me"),
        zone: count(object, "zone"),
        zones: strings(object, "zones"),
        machine_kinds: strings(object, "skus"),
        tier: count(object, "tier"),
        tiers: strings(object, "tiers"),
        workload: text(object, "workload").to_owned(),
        clock_resolution: duration(object, "resolution-ns"),
        discovery_mode: discovery_mode(object),
        capacity_hints: weights(object),
        priority_unit: counted_by(object),
        over_quota_weight: number(object, "over-share-worth"),
        clients_mark_retries: boolean(section(object, "clients"), "marks-retry"),
        request_classes: list(object, "classes").map(request_class).collect(),
        tenants: list(object, "tenants").map(tenant).collect(),
        limits: allowed(section(object, "allowed")),
        rules: rules(section(object, "safety")),
        cache: cache_settings(section(object, "family-info")),
        report_source: report_source(section(object, "stats")),
        report_fields: report_fields(section(object, "stats")),
        prices: prices(section(object, "fees")),
        goal: goal(section(object, "goal")),
    })
}

/// An object within the settings; `null` if it is missing, so that each of its values is read as missing.
fn section<'a>(object: &'a Value, key: &str) -> &'a Value {
    object.get(key).unwrap_or(&Value::Null)
}

fn discovery_mode(object: &Value) -> DiscoveryMode {
    match text(object, "registry-mode") {
        "push" => DiscoveryMode::Push,
        // A missing or unknown value is read as `Poll`: every deployment allows subscribing, and with `Push`
        // the list would become stale if the platform does not send it.
        _ => DiscoveryMode::Poll,
    }
}

fn weights(object: &Value) -> CapacityHints {
    match text(object, "weight-kind") {
        "nominal" => CapacityHints::Nominal,
        "rough" => CapacityHints::Approximate,
        "live" => CapacityHints::Current,
        _ => CapacityHints::Absent,
    }
}

fn counted_by(object: &Value) -> PriorityUnit {
    match text(object, "worth-by") {
        "work" => PriorityUnit::Work,
        _ => PriorityUnit::Request,
    }
}

fn tenant(object: &Value) -> Tenant {
    Tenant {
        name: text(object, "name").to_owned(),
        share: number(object, "share"),
        requests_per_second: number(object, "quota-rps"),
    }
}

fn allowed(object: &Value) -> ActionLimits {
    ActionLimits {
        cancel: boolean(object, "cancel"),
        health_checks: boolean(object, "may-probe"),
        peer_messages: boolean(object, "peers"),
        hedging: boolean(object, "second-copies"),
        retry_after: boolean(object, "retry-after"),
        max_retry_after: duration(object, "max-retry-after-ns"),
        max_attempts: count(object, "max-attempts"),
        max_open_requests: count(object, "max-open"),
        connect_timeout: duration(object, "connect-timeout-ns"),
        connection_keep_alive: duration(object, "keepalive-ns"),
        cpu_us_per_second: number(object, "cpu-us-per-s"),
        cpu_us_per_request: number(object, "cpu-us-per-request"),
        streams_per_connection: count(object, "streams-per-conn"),
    }
}

fn rules(object: &Value) -> Rules {
    Rules {
        response_slack: duration(object, "answer-slack-ns"),
        endpoint_refresh_limit: duration(object, "ask-within-ns"),
        slow_start_min_capacity: number(object, "cold-from"),
        slow_start_duration: duration(object, "cold-ns"),
        drain_grace: duration(object, "drain-grace-ns"),
        endpoint_lease: None,
        overload_multiple: number(object, "fall-multiple"),
        overload_window: duration(object, "fall-ns"),
    }
}

fn cache_settings(object: &Value) -> CacheSettings {
    CacheSettings {
        on_miss: match text(object, "on-miss") {
            "miss" => CacheMissPolicy::ReportMiss,
            _ => CacheMissPolicy::Load,
        },
        load_commands: boolean(object, "may-order"),
        reports_cache_status: boolean(object, "tells-warm"),
        reports_concurrency: boolean(object, "tells-crowd"),
        keep_alive: duration(object, "stays-loaded-ns"),
        memory_mb_by_kind: list(object, "memory-mb-by-kind")
            .filter_map(Value::as_f64)
            .collect(),
        idle_memory_price: number(object, "idle-memory-cost"),
        load_quota_burst: number(object, "load-free"),
        load_quota_share: number(object, "load-share"),
        load_quota_window: duration(object, "load-period-ns"),
        load_command_timeout: duration(object, "order-timeout-ns"),
    }
}

fn report_source(object: &Value) -> ReportSource {
    match text(object, "source") {
        "piggyback" => ReportSource::Responses,
        "pull" => ReportSource::HealthChecks,
        _ => ReportSource::Absent,
    }
}

fn report_fields(object: &Value) -> Vec<ReportField> {
    list(object, "fields")
        .map(|name| report_field(name.as_str().unwrap_or("")))
        .collect()
}

/// Reads the prices; a missing one is 0.
fn prices(object: &Value) -> Prices {
    let price = |key: &str| number(object, key).unwrap_or(0.0);
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

fn goal(object: &Value) -> GoalWeights {
    let weight = |key: &str| number(object, key).unwrap_or(0.0);
    GoalWeights {
        all_requests: weight("whole"),
        worst_window: weight("worst-window"),
        worst_request_class: weight("worst-class"),
        worst_tenant: weight("worst-tenant"),
    }
}

#[cfg(test)]
mod tests;
