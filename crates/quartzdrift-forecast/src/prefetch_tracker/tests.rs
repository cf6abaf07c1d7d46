use super::PrefetchTracker;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_used_prefetch_saves_waiting_time_and_an_unused_one_only_costs_memory() {
    let mut tracker = PrefetchTracker::new(8 * SECOND);
    tracker.record_load_command(SECOND, "f", 100.0);
    tracker.record_load_end(2 * SECOND, "f", true, true);
    tracker.record_use(4 * SECOND, "f");
    tracker.record_load_command(10 * SECOND, "g", 100.0);
    tracker.record_load_end(11 * SECOND, "g", true, true);
    assert!(tracker.due(18 * SECOND).is_empty());
    tracker.due(19 * SECOND);
    let totals = tracker.totals();
    assert_eq!(
        (totals.commands, totals.fetches, totals.used, totals.unused),
        (2, 2, 1, 1)
    );
    assert_eq!((totals.avoided_wait_seconds, totals.mb_seconds), (1.0, 1000.0));
    assert_eq!(tracker.totals_by_function().count(), 2);
}

#[test]
fn unused_prefetches_lead_to_growing_quiet_periods() {
    let mut tracker = PrefetchTracker::new(8 * SECOND);
    let mut quiet_periods = Vec::new();
    for round in 0..20u32 {
        let now = 100 * SECOND * (round + 1);
        tracker.record_load_command(now, "f", 1.0);
        tracker.record_load_end(now + SECOND, "f", true, true);
        quiet_periods.extend(
            tracker
                .due(now + 20 * SECOND)
                .into_iter()
                .map(|quiet| quiet.until - now - 20 * SECOND),
        );
    }
    assert_eq!(quiet_periods[..3], [60 * SECOND, 120 * SECOND, 240 * SECOND]);
}
