use super::*;

fn member(state: MemberState, state_since: u64) -> Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let state_since = Duration::from_secs(state_since);
    Member {
        name: "m".into(),
        address,
        instance: 1,
        incarnation: 0,
        state,
        state_since,
    }
}

#[test]
fn the_count_rises_at_once_and_falls_after_the_settling_time() {
    let mut count = SchedulerCount::new(2, 5, Duration::from_secs(100));
    let seconds = Duration::from_secs;
    assert_eq!(count.reported(), 5);
    let alive = vec![member(MemberState::Alive, 0); 7];
    assert_eq!(count.update(seconds(1), true, alive.iter()), 8);
    // If no member is reported as changed, members are counted again only after a second.
    let more_members = vec![member(MemberState::Alive, 0); 8];
    assert_eq!(
        count.update(seconds(1) + seconds(1) / 2, false, more_members.iter()),
        8
    );
    assert_eq!(count.update(seconds(2), false, alive.iter()), 8);
    // Dead members count until the silence limit, and until the lower count has settled.
    let dead = vec![member(MemberState::Dead, 10); 7];
    assert_eq!(count.update(seconds(109), true, dead.iter()), 8);
    assert_eq!(count.update(seconds(111), true, dead.iter()), 8);
    assert_eq!(count.update(seconds(122), true, dead.iter()), 2);
    // Members that have left do not count; a higher count in between restarts the settling time.
    let left = vec![member(MemberState::Left, 10); 7];
    assert_eq!(count.update(seconds(130), true, alive.iter()), 8);
    assert_eq!(count.update(seconds(131), true, left.iter()), 8);
    assert_eq!(count.update(seconds(140), true, alive.iter()), 8);
    assert_eq!(count.update(seconds(145), true, left.iter()), 8);
    assert_eq!(count.update(seconds(156), true, left.iter()), 2);
}
