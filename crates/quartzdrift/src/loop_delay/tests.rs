use super::*;

const MS: Duration = Duration::from_millis(1);

/// A loop whose waits, each of a timeout length, ended so long after they began, one right after the other.
fn after(waits: &[(Duration, Duration)]) -> (LoopDelay, Instant, Instant) {
    let start = Instant::now();
    let mut delay = LoopDelay::start(start);
    let mut now = start;
    for &(timeout, lasted) in waits {
        let wait = Wait::begin(now, timeout);
        now += lasted;
        delay.woke(now, wait);
    }
    (delay, start, now)
}

#[test]
fn a_wait_that_ends_in_time_tells_of_no_delay() {
    for lasted in [0, 10, 40] {
        let (delay, _, now) = after(&[(40 * MS, lasted * MS)]);
        assert_eq!(delay.earliest_arrival(), now);
    }
}

#[test]
fn what_comes_in_a_wait_that_ends_late_may_have_come_long_before() {
    let (delay, start, _) = after(&[(40 * MS, 400 * MS)]);
    assert_eq!(delay.earliest_arrival(), start + 40 * MS);
    let (delay, start, _) = after(&[(Duration::from_secs(9), 400 * MS)]);
    assert_eq!(delay.earliest_arrival(), start + MAX_WAIT);
}

#[test]
fn what_comes_behind_a_wait_that_ended_late_may_have_come_in_it() {
    let (delay, start, _) = after(&[(40 * MS, 400 * MS)]);
    assert_eq!(delay.looked(), start + 40 * MS);
    let (delay, start, _) = after(&[(40 * MS, 400 * MS), (Duration::ZERO, MS)]);
    assert_eq!(delay.earliest_arrival(), start + 40 * MS);
    let (delay, _, now) = after(&[
        (40 * MS, 400 * MS),
        (Duration::ZERO, MS),
        (Duration::ZERO, Duration::ZERO),
    ]);
    assert_eq!(delay.earliest_arrival(), now - MS);
}

#[test]
fn a_long_turn_delays_what_comes_in_it() {
    let (mut delay, start, _) = after(&[(Duration::ZERO, Duration::ZERO)]);
    let end = start + 300 * MS;
    assert_eq!(delay.looked(), start);
    delay.looked_again(start + 290 * MS);
    assert_eq!(delay.looked(), start + 290 * MS);
    delay.woke(end, Wait::begin(end, Duration::ZERO));
    assert_eq!(delay.earliest_arrival(), start);
}

#[test]
fn what_two_of_the_longest_waits_hide_is_within_the_slack_for_deadlines() {
    /// The platform's protocol allows a deadline that is passed on to exceed the client's by so much.
    const SLACK: Duration = Duration::from_millis(150);
    let begun = Instant::now();
    let longest = Wait::begin(begun, Duration::from_secs(60)).timeout;
    assert!(longest * 2 < SLACK, "{longest:?}");
    let mut delay = LoopDelay::start(begun);
    for n in 1..=2 {
        let wait = Wait::begin(begun + longest * (n - 1), Duration::from_secs(60));
        delay.woke(begun + longest * n, wait);
    }
    // What came right behind the first look is read at the second one, and counts as no later than that.
    assert!(begun + longest * 2 - delay.earliest_arrival() <= longest);
}
