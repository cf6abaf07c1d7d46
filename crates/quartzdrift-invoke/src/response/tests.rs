use super::*;

#[test]
fn retry_delays_are_rounded_up() {
    for (milliseconds, seconds) in [(0, 1), (1, 1), (1000, 1), (1001, 2), (61_000, 61)] {
        assert_eq!(
            retry_after_seconds(Some(Duration::from_millis(milliseconds))),
            seconds,
            "{milliseconds} ms"
        );
    }
    let response = rejected(Some(Duration::from_micros(1500)));
    assert!(
        response
            .headers
            .contains(&("x-quartzdrift-come-back-ms", "2".to_owned()))
    );
}

#[test]
fn failed_requests_get_a_status_that_client_libraries_do_not_retry() {
    for kind in [
        FailureKind::DeadlineExceeded,
        FailureKind::OutcomeUnknown,
        FailureKind::ShuttingDown,
    ] {
        let response = failed(kind);
        assert_eq!(response.status, 200);
        assert!(
            response
                .headers
                .iter()
                .any(|(name, _)| *name == "x-amz-function-error")
        );
    }
}

#[test]
fn errors_have_a_type_and_a_message() {
    let response = ApiError::PayloadTooLarge.response();
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!((response.status, body["Type"].as_str()), (413, Some("User")));
    assert!(body["message"].is_string());
}
