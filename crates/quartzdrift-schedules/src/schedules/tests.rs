use super::{MAX_CATCH_UP, Schedules};
use crate::schedule::{self, MisfirePolicy, Schedule};
use crate::trigger::ScheduleWarning;
use chrono::DateTime;
use std::time::Duration;

fn schedule(cron: &str, zone: &str, misfire_policy: MisfirePolicy, allow_overlap: bool) -> Schedule {
    Schedule {
        name: "t".into(),
        function: "f".into(),
        cron: schedule::parse_cron(cron).unwrap(),
        time_zone: schedule::parse_time_zone(zone).unwrap(),
        jitter: Duration::ZERO,
        misfire_policy,
        allow_overlap,
    }
}

fn at(text: &str) -> Duration {
    Duration::from_secs(DateTime::parse_from_rfc3339(text).unwrap().timestamp() as u64)
}

#[test]
fn a_time_of_day_follows_its_time_zone_through_clock_changes() {
    let start = at("2026-03-27T12:00:00Z");
    let mut schedules = Schedules::new(
        vec![schedule(
            "30 2 * * *",
            "Europe/Amsterdam",
            MisfirePolicy::Skip,
            true,
        )],
        1,
        start,
    );
    let mut scheduled_times = Vec::new();
    for _ in 0..3 {
        let now = schedules.next_due().unwrap();
        scheduled_times.extend(
            schedules
                .take_due(now)
                .triggers
                .into_iter()
                .map(|trigger| trigger.scheduled_for),
        );
    }
    // In Amsterdam 02:30 does not exist on 29 March 2026: clocks go from 02:00 to 03:00.
    let expected = [
        "2026-03-28T01:30:00Z",
        "2026-03-29T01:00:00Z",
        "2026-03-30T00:30:00Z",
    ];
    assert_eq!(scheduled_times, expected.map(at));
    let autumn = at("2026-10-24T12:00:00Z");
    let mut schedules = Schedules::new(
        vec![schedule(
            "30 2 * * *",
            "Europe/Amsterdam",
            MisfirePolicy::Skip,
            true,
        )],
        1,
        autumn,
    );
    let first = schedules.next_due().unwrap();
    schedules.take_due(first);
    assert_eq!(
        [first, schedules.next_due().unwrap()],
        ["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"].map(at)
    );
}

#[test]
fn misfired_triggers_are_handled_by_the_policy() {
    let start = at("2026-06-01T00:00:30Z");
    for (policy, expected) in [
        (MisfirePolicy::Skip, 0),
        (MisfirePolicy::Once, 1),
        (MisfirePolicy::All, 10),
    ] {
        let mut schedules = Schedules::new(vec![schedule("* * * * *", "UTC", policy, true)], 1, start);
        let due = schedules.take_due(start + Duration::from_secs(600));
        assert_eq!(due.triggers.len(), expected, "{policy:?}");
        assert_eq!(
            due.warnings,
            [ScheduleWarning::Misfired {
                schedule: "t".into(),
                count: 10
            }]
        );
        assert!(schedules.next_due().unwrap() > start + Duration::from_secs(600));
    }
    let mut schedules = Schedules::new(
        vec![schedule("* * * * *", "UTC", MisfirePolicy::All, true)],
        1,
        start,
    );
    assert_eq!(
        schedules
            .take_due(start + Duration::from_secs(86_400 * 30))
            .triggers
            .len(),
        MAX_CATCH_UP
    );
}

#[test]
fn a_schedule_without_overlap_is_not_triggered_before_its_last_invocation_completes() {
    let start = at("2026-06-01T00:00:30Z");
    let mut schedules = Schedules::new(
        vec![schedule("* * * * *", "UTC", MisfirePolicy::Skip, false)],
        1,
        start,
    );
    let first = schedules.next_due().unwrap();
    assert_eq!(schedules.take_due(first).triggers.len(), 1);
    let second = schedules.next_due().unwrap();
    assert!(matches!(
        schedules.take_due(second).warnings[..],
        [ScheduleWarning::Overlapped { .. }]
    ));
    schedules.record_completion("t");
    let third = schedules.next_due().unwrap();
    assert_eq!(schedules.take_due(third).triggers.len(), 1);
}

#[test]
fn no_trigger_repeats_after_the_clock_is_set_back() {
    let start = at("2026-06-01T00:00:30Z");
    let mut schedules = Schedules::new(
        vec![schedule("* * * * *", "UTC", MisfirePolicy::All, true)],
        1,
        start,
    );
    let first = schedules.next_due().unwrap();
    assert_eq!(schedules.take_due(first).triggers.len(), 1);
    assert!(schedules.take_due(start).triggers.is_empty());
    assert!(schedules.take_due(first).triggers.is_empty());
}

proptest::proptest! {
    #[test]
    fn jitter_delays_a_trigger_by_at_most_its_maximum(seed: u64, minutes in 0u64..100_000) {
        let mut jittered = schedule("*/7 * * * *", "America/New_York", MisfirePolicy::Skip, true);
        jittered.jitter = Duration::from_secs(30);
        let start = Duration::from_secs(1_780_000_000 + minutes * 60);
        let mut schedules = Schedules::new(vec![jittered], seed, start);
        let due_at = schedules.next_due().unwrap();
        let trigger = schedules.take_due(due_at).triggers.remove(0);
        let scheduled_for = trigger.scheduled_for;
        proptest::prop_assert!(
            scheduled_for > start
                && scheduled_for <= due_at
                && due_at - scheduled_for <= Duration::from_secs(30)
        );
    }
}
