use super::*;

#[test]
fn only_what_cannot_have_run_is_told_as_such() {
    let harmless = [
        Outcome::CacheMiss,
        Outcome::AtCapacity,
        Outcome::NeverSent,
        Outcome::ConnectFailed,
    ];
    for code in [Code::Miss, Code::Full, Code::Over] {
        assert!(
            from_answer(code).is_some_and(|outcome| harmless.contains(&outcome)),
            "{code:?}"
        );
    }
    assert_eq!(from_answer(Code::Error), Some(Outcome::Error));
    assert_eq!(from_answer(Code::Alive), None);
    assert_eq!(
        (
            from_loss(ConnectionLoss::NotSent),
            from_loss(ConnectionLoss::Sent)
        ),
        (Outcome::NeverSent, Outcome::Reset)
    );
    assert_eq!(
        (
            from_loss(ConnectionLoss::NotConnected),
            from_loss(ConnectionLoss::NoConnectionLeft)
        ),
        (Outcome::ConnectFailed, Outcome::AtCapacity)
    );
}
