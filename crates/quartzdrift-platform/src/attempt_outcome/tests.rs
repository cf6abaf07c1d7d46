use super::*;

#[test]
fn only_attempts_that_cannot_have_run_get_such_an_outcome() {
    let not_executed = [
        Outcome::CacheMiss,
        Outcome::AtCapacity,
        Outcome::NeverSent,
        Outcome::ConnectFailed,
    ];
    for code in [
        AnswerCode::CacheMiss,
        AnswerCode::AtCapacity,
        AnswerCode::AlreadyConcluded,
    ] {
        assert!(
            from_answer(code).is_some_and(|outcome| not_executed.contains(&outcome)),
            "{code:?}"
        );
    }
    assert_eq!(from_answer(AnswerCode::Error), Some(Outcome::Error));
    assert_eq!(from_answer(AnswerCode::Alive), None);
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
