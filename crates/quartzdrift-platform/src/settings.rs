//! The settings object of the platform, put into the interface's words: one reader for adapter and daemon.
use quartzdrift_choice::interface::*;
use serde_json::Value;
use std::time::Duration;

fn number(from: &Value, key: &str) -> Option<f64> {
    from.get(key)?.as_f64()
}

fn count(from: &Value, key: &str) -> Option<u32> {
    from.get(key)?.as_u64().and_then(|n| n.try_into().ok())
}

fn span(from: &Value, key: &str) -> Option<Duration> {
    let value = from.get(key)?;
    let nanos = value.as_u64().or_else(|| value.as_f64().map(|n| n as u64));
    nanos.map(Duration::from_nanos)
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

fn names(from: &Value, key: &str) -> Vec<String> {
    list(from, key).map(|name| name.as_str().unwrap_or("").to_owned()).collect()
}

fn workload(from: &Value) -> Workload {
    Workload {
        name: word(from, "name").to_owned(),
        effect: match word(from, "effect") {
            "retryable" => Effect::Restartable,
            "dedup" => Effect::Fingerprinted,
            _ => Effect::RunOnce,
        },
        start_target: span(from, "on-time-ns"),
        target_stretch: number(from, "aim-stretch"),
        time_limit: span(from, "deadline-ns"),
        importance: number(from, "importance"),
        late_share: number(from, "late-worth"),
        group: match word(from, "key-scope") {
            "all" | "" => Group::All,
            "zone" => Group::Zone,
            _ => Group::Cell,
        },
        window: span(from, "window-ns"),
        streams: flag(from, "stream"),
    }
}

/// A value of a load report by its name in the settings.
pub fn field(name: &str) -> ReportField {
    match name {
        "rif" => ReportField::Held,
        "q" => ReportField::Queued,
        "busy" => ReportField::Busy,
        "lat_ms" => ReportField::LatencyMs,
        "rate" => ReportField::FinishedPerSecond,
        "fail_rate" => ReportField::ErrorsPerSecond,
        "x0" => ReportField::MemoryTaken,
        "x1" => ReportField::Loads,
        _ => ReportField::Unknown,
    }
}

/// Reads the settings object, as the simulator's first message and a scheduler's configuration hold it.
pub fn read(all: &Value) -> Settings {
    let none = Value::Null;
    let part = |key: &str| all.get(key).unwrap_or(&none);
    let (allowed, rules, copies) = (part("allowed"), part("safety"), part("family-info"));
    let (prices, goal, reports) = (part("fees"), part("goal"), part("stats"));
    let price = |key: &str| number(prices, key).unwrap_or(0.0);
    let weight = |key: &str| number(goal, key).unwrap_or(0.0);
    Settings {
        me: count(all, "me"),
        schedulers: count(all, "replicas-of-me"),
        zone: count(all, "zone"),
        zones: names(all, "zones"),
        kinds: names(all, "skus"),
        tier: count(all, "tier"),
        tiers: names(all, "tiers"),
        family: word(all, "workload").to_owned(),
        resolution: span(all, "resolution-ns"),
        discovery: match word(all, "registry-mode") {
            "ask" => Discovery::Ask,
            _ => Discovery::Push,
        },
        weights: match word(all, "weight-kind") {
            "nominal" => Weights::Nominal,
            "rough" => Weights::Rough,
            "live" => Weights::Live,
            _ => Weights::Silent,
        },
        counted_by: match word(all, "worth-by") {
            "work" => CountedBy::Work,
            _ => CountedBy::Job,
        },
        over_share_importance: number(all, "over-share-worth"),
        clients_mark_retries: flag(part("clients"), "marks-retry"),
        workloads: list(all, "classes").map(workload).collect(),
        customers: list(all, "tenants")
            .map(|one| Customer {
                name: word(one, "name").to_owned(),
                share: number(one, "share"),
                jobs_per_second: number(one, "quota-rps"),
            })
            .collect(),
        allowed: Allowed {
            cancel: flag(allowed, "cancel"),
            probes: flag(allowed, "may-probe"),
            peers: flag(allowed, "peers"),
            second_copies: flag(allowed, "second-copies"),
            retry_after: flag(allowed, "retry-after"),
            max_retry_after: span(allowed, "max-retry-after-ns"),
            max_executions: count(allowed, "max-attempts"),
            max_open: count(allowed, "max-open"),
            connect_timeout: span(allowed, "connect-timeout-ns"),
            keepalive: span(allowed, "keepalive-ns"),
            cpu_us_per_second: number(allowed, "cpu-us-per-s"),
            cpu_us_per_job: number(allowed, "cpu-us-per-request"),
            streams_per_connection: count(allowed, "streams-per-conn"),
        },
        rules: Rules {
            answer_slack: span(rules, "answer-slack-ns"),
            ask_within: span(rules, "ask-within-ns"),
            cold_from: number(rules, "cold-from"),
            cold_for: span(rules, "cold-ns"),
            drain_grace: span(rules, "drain-grace-ns"),
            fall_multiple: number(rules, "fall-multiple"),
            fall_window: span(rules, "fall-ns"),
        },
        copies: Copies {
            on_miss: match word(copies, "on-miss") {
                "miss" => OnMiss::Miss,
                _ => OnMiss::Load,
            },
            orders: flag(copies, "may-order"),
            tells_warm: flag(copies, "tells-warm"),
            tells_crowd: flag(copies, "tells-crowd"),
            keep: span(copies, "stays-loaded-ns"),
            memory_mb_by_kind: list(copies, "memory-mb-by-kind").filter_map(Value::as_f64).collect(),
            idle_memory_price: number(copies, "idle-memory-cost"),
            load_free: number(copies, "load-free"),
            load_share: number(copies, "load-share"),
            load_window: span(copies, "load-period-ns"),
            order_timeout: span(copies, "order-timeout-ns"),
        },
        report_source: match word(reports, "source") {
            "piggyback" => ReportSource::Answers,
            "pull" => ReportSource::Probes,
            _ => ReportSource::Silent,
        },
        report_fields: list(reports, "fields").map(|f| field(f.as_str().unwrap_or(""))).collect(),
        prices: Prices {
            connection: price("connection"),
            cross_zone: price("cross-zone"),
            handshake: price("handshake"),
            late_kill: price("late-fail"),
            moves: price("moves"),
            origin: price("origin"),
            peer: price("peer"),
            probe: price("probe"),
            discovery: price("registry-mode"),
            waste: price("waste"),
        },
        goal: Goal {
            whole: weight("whole"),
            worst_window: weight("worst-window"),
            worst_workload: weight("worst-class"),
            worst_customer: weight("worst-tenant"),
        },
    }
}
