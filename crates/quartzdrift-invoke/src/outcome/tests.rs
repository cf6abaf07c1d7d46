use super::*;

#[test]
fn a_call_counts_as_not_executed_only_with_proof() {
    let response_outcome = |status, error_type| call_outcome(CallResult::Response { status, error_type });
    assert_eq!(response_outcome(200, None), Outcome::Succeeded);
    assert_eq!(response_outcome(429, None), Outcome::AtCapacity);
    assert_eq!(
        response_outcome(404, Some("ResourceNotFoundException:x")),
        Outcome::CacheMiss
    );
    for (status, error_type) in [
        (404, None),
        (503, None),
        (500, Some("ServiceException")),
        (301, None),
        (204, None),
    ] {
        assert_eq!(response_outcome(status, error_type), Outcome::Error, "{status}");
    }
    assert_eq!(call_outcome(CallResult::ConnectionClosed), Outcome::Reset);
    assert_eq!(call_outcome(CallResult::ConnectFailed), Outcome::ConnectFailed);
}
