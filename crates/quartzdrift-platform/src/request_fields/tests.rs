use super::*;
use proptest::prelude::*;
use quartzdrift_scheduler::interface::{RequestClass, Tenant};

fn settings() -> Settings {
    let timeout = Some(Duration::from_secs(4));
    let map = RequestClass {
        name: "map".to_owned(),
        timeout,
        ..RequestClass::default()
    };
    Settings {
        request_classes: vec![map],
        ..Settings::default()
    }
}

/// An idempotency key that is one byte too long.
const OVERLONG_KEY: &str = match str::from_utf8(&[b'f'; MAX_IDEMPOTENCY_KEY_BYTES + 1]) {
    Ok(text) => text,
    Err(_) => panic!("the key is not valid UTF-8"),
};

fn valid_fields<'a>() -> RequestFields<'a> {
    RequestFields {
        path: Some("/do/map"),
        id: Some("9b1f03aa5c7e2d41"),
        timeout_ms: Some("1500"),
        function: Some("7f3a9c21e0b4d655"),
        idempotency_key: None,
        tenant: None,
        resource_hints: Some("memory_mb:512;lanes:2;load_ms:640"),
        content_length: Some("3"),
        body_bytes: 3,
    }
}

#[test]
fn valid_fields_are_read_unchanged() {
    let request = read(&valid_fields(), &settings()).unwrap();
    assert_eq!(
        request.tenant, 0,
        "neither the settings nor the request names a tenant"
    );
    assert_eq!(
        (request.id, request.function),
        (0x9b1f_03aa_5c7e_2d41, "7f3a9c21e0b4d655")
    );
    assert_eq!(
        (request.time_remaining, request.memory_mb),
        (Duration::from_millis(1500), Some(512.0))
    );
    assert_eq!(
        (request.concurrency_slots, request.load_hint),
        (Some(2.0), Some(Duration::from_millis(640)))
    );
}

#[test]
fn unknown_tenants_share_the_index_after_those_of_the_settings() {
    let tenant = |name: &str| Tenant {
        name: name.to_owned(),
        ..Tenant::default()
    };
    let settings = Settings {
        tenants: vec![tenant("a"), tenant("b")],
        ..settings()
    };
    let index_of = |tenant| {
        read(
            &RequestFields {
                tenant,
                ..valid_fields()
            },
            &settings,
        )
        .unwrap()
        .tenant
    };
    assert_eq!(
        [Some("a"), Some("b"), Some("c"), Some(""), None].map(index_of),
        [0, 1, 2, 2, 2]
    );
}

/// The error for valid fields with one change.
fn error_after(change: &dyn Fn(&mut RequestFields)) -> FieldError {
    let mut fields = valid_fields();
    change(&mut fields);
    read(&fields, &settings()).unwrap_err()
}

#[test]
fn malformed_paths_and_ids_are_rejected() {
    assert_eq!(
        error_after(&|fields| fields.path = Some("/other")),
        FieldError::Path
    );
    assert_eq!(
        error_after(&|fields| fields.path = Some("/do/map,x=1")),
        FieldError::RequestClass
    );
    for id in [
        None,
        Some(""),
        Some("9b1f03aa5c7e2d4"),
        Some("9b1f03aa5c7e2d41a"),
        Some("+b1f03aa5c7e2d41"),
    ] {
        assert_eq!(error_after(&|fields| fields.id = id), FieldError::Id);
    }
    assert_eq!(
        error_after(&|fields| fields.function = Some("7f3a9c21,x=4d655")),
        FieldError::Function
    );
}

#[test]
fn values_out_of_range_are_rejected() {
    for timeout_ms in [
        None,
        Some("0"),
        Some("-5"),
        Some("+5"),
        Some("1e3"),
        Some("4006"),
        Some("99999999999999999999"),
    ] {
        assert_eq!(
            error_after(&|fields| fields.timeout_ms = timeout_ms),
            FieldError::Time
        );
    }
    for resource_hints in [
        "lanes:-1",
        "lanes:0",
        "memory_mb:nan",
        "memory_mb:1e400",
        "load_ms:x",
        "lanes",
    ] {
        assert_eq!(
            error_after(&|fields| fields.resource_hints = Some(resource_hints)),
            FieldError::ResourceHints
        );
    }
    for idempotency_key in ["a,b", "a=b", "a b", "\u{e9}", OVERLONG_KEY] {
        assert_eq!(
            error_after(&|fields| fields.idempotency_key = Some(idempotency_key)),
            FieldError::IdempotencyKey
        );
    }
    for length in ["4", "-1", "99999999999999999999", "x"] {
        assert_eq!(
            error_after(&|fields| fields.content_length = Some(length)),
            FieldError::Length
        );
    }
}

#[test]
fn an_idempotency_key_is_required_only_by_classes_that_deduplicate() {
    let (mut settings, mut fields) = (settings(), valid_fields());
    assert_eq!(read(&fields, &settings).unwrap().idempotency_key, None);
    settings.request_classes[0].idempotency = Idempotency::IdempotentWithKey;
    for missing in [None, Some("")] {
        assert_eq!(
            read(
                &RequestFields {
                    idempotency_key: missing,
                    ..fields
                },
                &settings
            ),
            Err(FieldError::IdempotencyKey)
        );
    }
    fields.idempotency_key = Some("9f-03_Aa");
    assert_eq!(
        read(&fields, &settings).unwrap().idempotency_key,
        Some("9f-03_Aa")
    );
}

proptest! {
    #[test]
    fn valid_fields_have_no_separator_of_a_frames_fields(function in ".{0,20}", resource_hints in ".{0,40}") {
        let fields = RequestFields {
            function: Some(&function),
            resource_hints: Some(&resource_hints),
            ..valid_fields()
        };
        if let Ok(request) = read(&fields, &settings()) {
            prop_assert!(request.function.bytes().all(|b| b.is_ascii_alphanumeric()));
        }
    }
}
