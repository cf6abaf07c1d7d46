use super::*;

const MS: Duration = Duration::from_millis(1);

/// Runs consecutive waits, each given by its timeout and its actual duration; returns the delay, the start of
/// the first wait and the end of the last one.
fn run_waits(waits: &[(Duration, Duration)]) -> (LoopDelay, Instant, Instant) {
    let start = Instant::now();
    let mut delay = LoopDelay::start(start);
    let mut now = start;
    for &(timeout, duration) in waits {
        let wait = EventWait::begin(now, timeout);
        now += duration;
        delay.wait_ended(now, wait);
    }
    (delay, start, now)
}

#[test]
fn a_wait_that_ends_within_its_timeout_counts_as_no_delay() {
    for duration in [0, 10, 40] {
        let (delay, _, now) = run_waits(&[(40 * MS, duration * MS)]);
        assert_eq!(delay.earliest_arrival(), now);
    }
}

#[test]
fn bytes_read_after_a_late_wait_may_have_arrived_at_its_timeout() {
    let (delay, start, _) = run_waits(&[(40 * MS, 400 * MS)]);
    assert_eq!(delay.earliest_arrival(), start + 40 * MS);
    let (delay, start, _) = run_waits(&[(Duration::from_secs(9), 400 * MS)]);
    assert_eq!(delay.earliest_arrival(), start + MAX_WAIT);
}

#[test]
fn bytes_read_in_the_wait_after_a_late_one_may_have_arrived_during_the_late_one() {
    let (delay, start, _) = run_waits(&[(40 * MS, 400 * MS)]);
    assert_eq!(delay.last_socket_check(), start + 40 * MS);
    let (delay, start, _) = run_waits(&[(40 * MS, 400 * MS), (Duration::ZERO, MS)]);
    assert_eq!(delay.earliest_arrival(), start + 40 * MS);
    let (delay, _, now) = run_waits(&[
        (40 * MS, 400 * MS),
        (Duration::ZERO, MS),
        (Duration::ZERO, Duration::ZERO),
    ]);
    assert_eq!(delay.earliest_arrival(), now - MS);
}

#[test]
fn bytes_that_arrive_during_a_long_turn_count_from_the_check_before_it() {
    let (mut delay, start, _) = run_waits(&[(Duration::ZERO, Duration::ZERO)]);
    let end = start + 300 * MS;
    assert_eq!(delay.last_socket_check(), start);
    delay.wait_ended(end, EventWait::begin(end, Duration::ZERO));
    assert_eq!(delay.earliest_arrival(), start);
    assert_eq!(delay.last_socket_check(), end);
}

#[test]
fn the_undetected_delay_of_two_longest_waits_is_within_the_slack_for_deadlines() {
    /// Maximum time by which a deadline sent to a worker may exceed the client's (the platform's protocol).
    const SLACK: Duration = Duration::from_millis(150);
    let start = Instant::now();
    let longest = EventWait::begin(start, Duration::from_secs(60)).timeout;
    assert!(longest * 2 < SLACK, "{longest:?}");
    let mut delay = LoopDelay::start(start);
    for n in 1..=2 {
        let wait = EventWait::begin(start + longest * (n - 1), Duration::from_secs(60));
        delay.wait_ended(start + longest * n, wait);
    }
    // Bytes that arrived right after the first check are read at the second one, and count as no later than
    // the first wait's end.
    assert!(start + longest * 2 - delay.earliest_arrival() <= longest);
}
