use super::Timers;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

#[test]
fn timers_fire_by_time_and_then_in_the_order_in_which_they_were_set() {
    let mut timers = Timers::default();
    timers.set(3 * MS, "third");
    timers.set(2 * MS, "first");
    timers.set(2 * MS, "second");
    assert_eq!(timers.next_deadline(), Some(2 * MS));
    assert_eq!(timers.pop(MS), None);
    assert_eq!(timers.pop(2 * MS), Some("first"));
    assert_eq!(timers.pop(2 * MS), Some("second"));
    assert_eq!(timers.pop(2 * MS), None);
    assert_eq!(timers.pop(9 * MS), Some("third"));
    assert!(timers.is_empty());
}

#[test]
fn a_cancelled_timer_does_not_fire() {
    let mut timers = Timers::default();
    let cancelled = timers.set(MS, "cancelled");
    timers.set(2 * MS, "fires");
    assert_eq!(timers.cancel(cancelled), Some("cancelled"));
    assert_eq!(timers.cancel(cancelled), None);
    assert_eq!((timers.len(), timers.next_deadline()), (1, Some(2 * MS)));
    assert_eq!(timers.pop(9 * MS), Some("fires"));
}
