use super::*;

#[test]
fn attempts_share_a_connection_only_when_no_descriptor_is_left() {
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
    // A worker with an idle connection takes no descriptor from another worker.
    let may_connect = || panic!("a descriptor was requested although a connection is idle");
    assert_eq!(
        choose(&[connection(1, true), connection(0, true)], 32, may_connect),
        ConnectionChoice::Use(1)
    );
}
