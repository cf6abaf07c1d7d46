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
    let of_classes = CLASS_RULE_NUMBERS.map(|key| format!("/classes/0{key}"));
    for at in RULE_NUMBERS.map(str::to_owned).iter().chain(&of_classes) {
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
            with("/registry-mode", word).unwrap().discovery_mode,
            DiscoveryMode::Poll
        );
    }
    let most = |configured| {
        with("/allowed/max-attempts", configured)
            .unwrap()
            .limits
            .max_attempts
    };
    assert_eq!((most(None), most(Some(json!(1e12)))), (None, Some(u32::MAX)));
    assert_eq!(class("window-ns", None).deduplication_window, None);
}
