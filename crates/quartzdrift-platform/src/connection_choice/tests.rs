use super::*;

#[test]
fn each_has_its_own_while_descriptors_last() {
    let connection = |open_attempts, is_up| ConnectionState { open_attempts, is_up };
    assert_eq!(choose(&[], 32, || true), ConnectionChoice::Connect);
    assert_eq!(
        choose(
            &[connection(1, true), connection(0, false), connection(0, true)],
            32,
            || true
        ),
        ConnectionChoice::Use(2)
    );
    assert_eq!(
        choose(&[connection(1, true)], 32, || true),
        ConnectionChoice::Connect
    );
    assert_eq!(
        choose(&[connection(3, true), connection(2, true)], 32, || false),
        ConnectionChoice::Use(1)
    );
    assert_eq!(
        choose(&[connection(32, true)], 32, || false),
        ConnectionChoice::Full
    );
    // Nobody gives up a connection for a worker that has an idle one.
    let asked = || panic!("room is asked for without need");
    assert_eq!(
        choose(&[connection(1, true), connection(0, true)], 32, asked),
        ConnectionChoice::Use(1)
    );
}
