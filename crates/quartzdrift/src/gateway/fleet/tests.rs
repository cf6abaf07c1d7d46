use super::*;

#[test]
fn the_table_lists_each_member_with_its_age() {
    let at = SocketAddr::from(([127, 0, 0, 1], 9790));
    let member = |name: &str, state, seconds_in_state| MemberView {
        name: name.to_owned(),
        address: at,
        incarnation: 3,
        state,
        seconds_in_state,
    };
    let view = FleetView {
        saved_at: 100,
        name: "one".to_owned(),
        address: at,
        incarnation: 2,
        health_multiplier: 0,
        schedulers: 3,
        members: vec![
            member("second", MemberState::Alive, 40),
            member("three", MemberState::Dead, 7),
        ],
    };
    let table = view.table(Duration::from_secs(105));
    let lines: Vec<Vec<&str>> = table
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert!(
        table.starts_with(
            "one at 127.0.0.1:9790, incarnation 2, health 0; 3 schedulers counted; as of 5 s ago"
        )
    );
    assert_eq!(lines[2], ["second", "alive", "45", "s", "3", "127.0.0.1:9790"]);
    assert_eq!(lines[3][..3], ["three", "dead", "12"]);
}
