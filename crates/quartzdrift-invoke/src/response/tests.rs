use super::*;

#[test]
fn a_time_to_come_back_is_never_cut() {
    for (milliseconds, seconds) in [(0, 1), (1, 1), (1000, 1), (1001, 2), (61_000, 61)] {
        assert_eq!(
            whole_seconds(Some(Duration::from_millis(milliseconds))),
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
fn a_kill_has_no_status_that_libraries_repeat() {
    for why in [
        FailureKind::DeadlineExceeded,
        FailureKind::OutcomeUnknown,
        FailureKind::ShuttingDown,
    ] {
        let response = failed(why);
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
fn errors_carry_type_and_message() {
    let response = ApiError::PayloadTooLarge.response();
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!((response.status, body["Type"].as_str()), (413, Some("User")));
    assert!(body["message"].is_string());
}
