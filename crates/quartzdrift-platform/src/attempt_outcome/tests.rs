use super::*;

#[test]
fn outcomes_that_exclude_execution_are_given_only_to_unexecuted_attempts() {
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
