use super::*;

#[test]
fn the_limit_halves_while_synchronous_requests_miss_their_latency_objective() {
    let mut drain = BacklogDrain::new(Duration::ZERO, 64);
    assert!(drain.limit() == 0 && !drain.is_stable());
    drain.begin();
    let mut limits = Vec::new();
    for second in 1..=12u32 {
        let is_healthy = second <= 4 || second > 8;
        (0..100).for_each(|request| drain.request_answered(is_healthy || request < 90));
        drain.due(OBSERVATION_LENGTH * second);
        limits.push(drain.limit());
        assert_eq!(drain.is_stable(), !matches!(second, 1 | 5..=9));
    }
    assert_eq!(limits, [2, 4, 8, 16, 8, 4, 2, 1, 2, 4, 8, 9]);
    (13..=68).for_each(|second| drain.due(OBSERVATION_LENGTH * second));
    assert!(drain.is_unlimited());
}
