use super::Ledger;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_used_prefetch_avoids_waiting_and_an_unused_one_only_costs_memory() {
    let mut ledger = Ledger::new(8 * SECOND);
    ledger.ordered(SECOND, "f", 100.0);
    ledger.loaded(2 * SECOND, "f", true, true);
    ledger.used(4 * SECOND, "f");
    ledger.ordered(10 * SECOND, "g", 100.0);
    ledger.loaded(11 * SECOND, "g", true, true);
    assert!(ledger.due(18 * SECOND).is_empty());
    ledger.due(19 * SECOND);
    let sums = ledger.sums();
    assert_eq!(
        (sums.commands, sums.fetches, sums.used, sums.unused),
        (2, 2, 1, 1)
    );
    assert_eq!((sums.avoided_wait_seconds, sums.mb_seconds), (1.0, 1000.0));
    assert_eq!(ledger.by_function().count(), 2);
}

#[test]
fn unused_prefetches_lead_to_growing_quiet_periods() {
    let mut ledger = Ledger::new(8 * SECOND);
    let mut quiet_periods = Vec::new();
    for round in 0..20u32 {
        let now = 100 * SECOND * (round + 1);
        ledger.ordered(now, "f", 1.0);
        ledger.loaded(now + SECOND, "f", true, true);
        quiet_periods.extend(
            ledger
                .due(now + 20 * SECOND)
                .into_iter()
                .map(|quiet| quiet.until - now - 20 * SECOND),
        );
    }
    assert_eq!(quiet_periods[..3], [60 * SECOND, 120 * SECOND, 240 * SECOND]);
}
