use super::*;

#[test]
fn only_what_cannot_have_run_is_told_as_such() {
    let harmless = [
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
            from_answer(code).is_some_and(|outcome| harmless.contains(&outcome)),
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
