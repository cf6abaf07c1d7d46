use super::AttemptCarriers;

#[test]
fn an_attempt_may_have_been_sent_unless_its_carrier_is_unsent() {
    let mut attempts = AttemptCarriers::default();
    attempts.insert(7, 0, "sent");
    attempts.insert(7, 1, "unsent");
    let is_unsent = |carrier: &str| carrier == "unsent";
    assert!(attempts.may_have_been_sent(7, 0, is_unsent));
    assert!(!attempts.may_have_been_sent(7, 1, is_unsent));
    assert_eq!(attempts.get(7, 1), Some("unsent"));
}

#[test]
fn an_attempt_that_has_ended_counts_as_sent() {
    let mut attempts = AttemptCarriers::default();
    attempts.insert(7, 0, "unsent");
    assert_eq!(attempts.remove(7, 0), Some("unsent"));
    assert_eq!(attempts.remove(7, 0), None);
    assert!(attempts.may_have_been_sent(7, 0, |_| true));
}
