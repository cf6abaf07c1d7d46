//! The settings object of the platform, put into the interface's words: one reader for adapter and daemon.
//! What a rule rests on is refused where it cannot be read; what is not told counts as what binds most.
use quartzdrift_scheduler::interface::*;
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

/// Figures that the rules rest on: read wrongly, they would bind nothing. Those of each class are apart.
const RULING: [&str; 14] = [
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
const RULING_CLASS: [&str; 3] = ["/deadline-ns", "/on-time-ns", "/window-ns"];
/// Without the first of each the others say nothing.
const WHOLE: [(&str, &[&str]); 2] = [
    (
        "/safety/cold-ns",
        &["/safety/cold-from", "/safety/fall-multiple", "/safety/fall-ns"],
    ),
    (
        "/family-info/load-period-ns",
        &["/family-info/load-free", "/family-info/load-share"],
    ),
];

/// What is wrong with settings that no scheduler can keep the rules by.
fn fault(all: &Value) -> Option<String> {
    if list(all, "classes").next().is_none() {
        return Some("the settings name no class".to_owned());
    }
    let of_all = RULING.iter().map(|at| (at, all.pointer(at)));
    let of_classes =
        list(all, "classes").flat_map(|class| RULING_CLASS.iter().map(|at| (at, class.pointer(at))));
    for (at, value) in of_all.chain(of_classes) {
        if let Some(value) = value.filter(|value| value.as_f64().is_none_or(|n| n < 0.0)) {
            return Some(format!("'{at}' is {value}, no number from 0 on"));
        }
    }
    let configured = |at: &str| all.pointer(at).is_some();
    let part = WHOLE
        .iter()
        .find(|(first, others)| !configured(first) && others.iter().any(|at| configured(at)));
    part.map(|(first, _)| format!("a rule is told in part: '{first}' is missing"))
}

fn names(from: &Value, key: &str) -> Vec<String> {
    list(from, key)
        .map(|name| name.as_str().unwrap_or("").to_owned())
        .collect()
}

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
            // Untold or not known: the narrowest.
            _ => DeduplicationScope::Cell,
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
        "rate" => ReportField::SucceededPerSecond,
        "fail_rate" => ReportField::ErrorsPerSecond,
        "x0" => ReportField::MemoryTaken,
        "x1" => ReportField::Loads,
        _ => ReportField::Unknown,
    }
}

/// Reads the settings object, as the simulator's first message and a scheduler's configuration hold it. The error
/// says in one line what no scheduler can keep the rules by.
pub fn read(all: &Value) -> Result<Settings, String> {
    if let Some(fault) = fault(all) {
        return Err(fault);
    }
    let none = Value::Null;
    let part = |key: &str| all.get(key).unwrap_or(&none);
    let (allowed, rules, copies) = (part("allowed"), part("safety"), part("family-info"));
    let (prices, goal, reports) = (part("fees"), part("goal"), part("stats"));
    let price = |key: &str| number(prices, key).unwrap_or(0.0);
    let weight = |key: &str| number(goal, key).unwrap_or(0.0);
    Ok(Settings {
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
            "push" => DiscoveryMode::Push,
            // Untold or not known: a subscription is allowed everywhere, a list that nobody sends is stale.
            _ => DiscoveryMode::Poll,
        },
        weights: match word(all, "weight-kind") {
            "nominal" => Weights::Nominal,
            "rough" => Weights::Rough,
            "live" => Weights::Live,
            _ => Weights::Silent,
        },
        counted_by: match word(all, "worth-by") {
            "work" => CountedBy::Work,
            _ => CountedBy::Request,
        },
        over_quota_weight: number(all, "over-share-worth"),
        clients_mark_retries: flag(part("clients"), "marks-retry"),
        request_classes: list(all, "classes").map(request_class).collect(),
        tenants: list(all, "tenants")
            .map(|one| Tenant {
                name: word(one, "name").to_owned(),
                share: number(one, "share"),
                requests_per_second: number(one, "quota-rps"),
            })
            .collect(),
        allowed: Allowed {
            cancel: flag(allowed, "cancel"),
            probes: flag(allowed, "may-probe"),
            peers: flag(allowed, "peers"),
            hedging: flag(allowed, "second-copies"),
            retry_after: flag(allowed, "retry-after"),
            max_retry_after: span(allowed, "max-retry-after-ns"),
            max_attempts: count(allowed, "max-attempts"),
            max_open: count(allowed, "max-open"),
            connect_timeout: span(allowed, "connect-timeout-ns"),
            keepalive: span(allowed, "keepalive-ns"),
            cpu_us_per_second: number(allowed, "cpu-us-per-s"),
            cpu_us_per_request: number(allowed, "cpu-us-per-request"),
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
        copies: CacheSettings {
            on_miss: match word(copies, "on-miss") {
                "miss" => OnMiss::Miss,
                _ => OnMiss::Load,
            },
            load_commands: flag(copies, "may-order"),
            reports_cache_status: flag(copies, "tells-warm"),
            reports_concurrency: flag(copies, "tells-crowd"),
            keep: span(copies, "stays-loaded-ns"),
            memory_mb_by_kind: list(copies, "memory-mb-by-kind")
                .filter_map(Value::as_f64)
                .collect(),
            idle_memory_price: number(copies, "idle-memory-cost"),
            load_quota_burst: number(copies, "load-free"),
            load_quota_share: number(copies, "load-share"),
            load_quota_window: span(copies, "load-period-ns"),
            load_command_timeout: span(copies, "order-timeout-ns"),
        },
        report_source: match word(reports, "source") {
            "piggyback" => ReportSource::Answers,
            "pull" => ReportSource::Probes,
            _ => ReportSource::Silent,
        },
        report_fields: list(reports, "fields")
            .map(|f| field(f.as_str().unwrap_or("")))
            .collect(),
        prices: Prices {
            connection: price("connection"),
            cross_zone: price("cross-zone"),
            handshake: price("handshake"),
            late_failure: price("late-fail"),
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
            worst_request_class: weight("worst-class"),
            worst_tenant: weight("worst-tenant"),
        },
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn good() -> Value {
        json!({
            "allowed": {"max-attempts": 3, "max-retry-after-ns": 2_000_000_000u64},
            "classes": [{"effect": "dedup", "key-scope": "all", "deadline-ns": 3e9, "window-ns": 5e9}],
            "family-info": {"load-free": 6, "load-share": 0.15, "load-period-ns": 5e9, "may-order": true},
            "registry-mode": "push",
            "safety": {"cold-from": 0.15, "cold-ns": 18e9, "fall-multiple": 3, "fall-ns": 2e9},
        })
    }

    /// The good settings with one value set, or left out where it is `None`.
    fn with(at: &str, value: Option<Value>) -> Result<Settings, String> {
        let (mut all, (part, key)) = (good(), at.rsplit_once('/').unwrap());
        let from = all.pointer_mut(part).and_then(Value::as_object_mut).unwrap();
        match value {
            Some(value) => from.insert(key.to_owned(), value),
            None => from.remove(key),
        };
        read(&all)
    }

    #[test]
    fn what_rules_rest_on_is_refused_where_it_cannot_be_read() {
        assert!(read(&good()).is_ok());
        let of_classes = RULING_CLASS.map(|key| format!("/classes/0{key}"));
        for at in RULING.map(str::to_owned).iter().chain(&of_classes) {
            for bad in [json!("3"), json!(-1), json!(null), json!([3]), json!(true)] {
                let why = with(at, Some(bad.clone())).expect_err(at);
                let key = at.rsplit_once('/').unwrap().1;
                assert!(why.contains(key) && !why.contains('\n'), "{at} {bad}: {why}");
            }
            assert!(with(at, Some(json!(0))).is_ok(), "{at} may be nothing");
            assert!(with(at, Some(json!(1e300))).is_ok(), "{at} may be large");
        }
        for at in ["/classes", "/safety/cold-ns", "/family-info/load-period-ns"] {
            assert!(with(at, None).is_err(), "{at} is missing");
        }
        assert!(read(&json!([])).is_err() && read(&json!({"classes": []})).is_err());
    }

    #[test]
    fn what_is_not_told_or_not_known_counts_as_what_binds_most() {
        let class = |key, word| {
            with(&format!("/classes/0/{key}"), word)
                .unwrap()
                .request_classes
                .remove(0)
        };
        for word in [None, Some(json!("")), Some(json!("planet")), Some(json!(7))] {
            assert_eq!(
                class("key-scope", word.clone()).deduplication_scope,
                DeduplicationScope::Cell
            );
            assert_eq!(
                class("effect", word.clone()).idempotency,
                Idempotency::NonIdempotent
            );
            assert_eq!(
                with("/registry-mode", word).unwrap().discovery,
                DiscoveryMode::Poll
            );
        }
        let most = |configured| {
            with("/allowed/max-attempts", configured)
                .unwrap()
                .allowed
                .max_attempts
        };
        assert_eq!((most(None), most(Some(json!(1e12)))), (None, Some(u32::MAX)));
        assert_eq!(class("window-ns", None).window, None);
    }
}
