use super::*;

#[test]
fn each_datagram_is_accepted_once_and_past_instances_are_rejected() {
    let mut window = ReplayWindow::default();
    for (sequence, is_new) in [
        (1, true),
        (1, false),
        (5, true),
        (3, true),
        (3, false),
        (200, true),
        (100, false),
    ] {
        assert_eq!(window.accept(7, sequence), is_new, "{sequence}");
    }
    assert!(window.accept(8, 1));
    assert!(!window.accept(7, 201));
}

proptest::proptest! {
    #[test]
    fn no_datagram_is_accepted_twice(sequences in proptest::collection::vec(1u64..300, 1..200)) {
        let mut window = ReplayWindow::default();
        let mut accepted = std::collections::BTreeSet::new();
        for sequence in sequences {
            if window.accept(1, sequence) {
                proptest::prop_assert!(accepted.insert(sequence));
            }
        }
    }
}
