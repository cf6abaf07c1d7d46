use super::*;
use serde_json::json;

fn valid_settings() -> Value {
    json!({
        "allowed": {"max-attempts": 3, "max-retry-after-ns": 2_000_000_000u64},
        "classes": [{"effect": "dedup", "key-scope": "all", "deadline-ns": 3e9, "window-ns": 5e9}],
        "family-info": {"load-free": 6, "load-share": 0.15, "load-period-ns": 5e9, "may-order": true},
        "registry-mode": "push",
        "safety": {"cold-from": 0.15, "cold-ns": 18e9, "fall-multiple": 3, "fall-ns": 2e9},
    })
}

/// Reads the valid settings with the value at a JSON pointer replaced, or removed if `value` is `None`.
fn read_with(pointer: &str, value: Option<Value>) -> Result<Settings, String> {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let mut settings = valid_settings();
    let object = settings
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .unwrap();
    match value {
        Some(value) => object.insert(key.to_owned(), value),
        None => object.remove(key),
    };
    read(&settings)
}

#[test]
fn numbers_of_rules_that_cannot_be_read_are_rejected() {
    assert!(read(&valid_settings()).is_ok());
    let class_pointers = CLASS_RULE_NUMBERS.map(|key| format!("/classes/0{key}"));
    for pointer in RULE_NUMBERS.map(str::to_owned).iter().chain(&class_pointers) {
        for bad in [json!("3"), json!(-1), json!(null), json!([3]), json!(true)] {
            let error = read_with(pointer, Some(bad.clone())).expect_err(pointer);
            let key = pointer.rsplit_once('/').unwrap().1;
            assert!(
                error.contains(key) && !error.contains('\n'),
                "{pointer} {bad}: {error}"
            );
        }
        assert!(read_with(pointer, Some(json!(0))).is_ok(), "{pointer} may be 0");
        assert!(
            read_with(pointer, Some(json!(1e300))).is_ok(),
            "{pointer} may be large"
        );
    }
    for pointer in ["/classes", "/safety/cold-ns", "/family-info/load-period-ns"] {
        assert!(read_with(pointer, None).is_err(), "{pointer} is missing");
    }
    assert!(read(&json!([])).is_err() && read(&json!({"classes": []})).is_err());
}

#[test]
fn missing_and_unknown_values_count_as_the_most_restrictive_ones() {
    let class_with = |key, text| {
        read_with(&format!("/classes/0/{key}"), text)
            .unwrap()
            .request_classes
            .remove(0)
    };
    for text in [None, Some(json!("")), Some(json!("planet")), Some(json!(7))] {
        assert_eq!(
            class_with("key-scope", text.clone()).deduplication_scope,
            DeduplicationScope::Cell
        );
        assert_eq!(
            class_with("effect", text.clone()).idempotency,
            Idempotency::NonIdempotent
        );
        assert_eq!(
            read_with("/registry-mode", text).unwrap().discovery_mode,
            DiscoveryMode::Poll
        );
    }
    let max_attempts = |configured| {
        read_with("/allowed/max-attempts", configured)
            .unwrap()
            .limits
            .max_attempts
    };
    assert_eq!(
        (max_attempts(None), max_attempts(Some(json!(1e12)))),
        (None, Some(u32::MAX))
    );
    assert_eq!(class_with("window-ns", None).deduplication_window, None);
}
