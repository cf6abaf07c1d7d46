use super::*;

#[test]
fn only_proof_counts_as_never_ran() {
    let answered = |status, error_type| call_outcome(CallResult::Response { status, error_type });
    assert_eq!(answered(200, None), Outcome::Succeeded);
    assert_eq!(answered(429, None), Outcome::AtCapacity);
    assert_eq!(
        answered(404, Some("ResourceNotFoundException:x")),
        Outcome::CacheMiss
    );
    for (status, kind) in [
        (404, None),
        (503, None),
        (500, Some("ServiceException")),
        (301, None),
        (204, None),
    ] {
        assert_eq!(answered(status, kind), Outcome::Error, "{status}");
    }
    assert_eq!(call_outcome(CallResult::ConnectionClosed), Outcome::Reset);
    assert_eq!(call_outcome(CallResult::ConnectFailed), Outcome::ConnectFailed);
}
