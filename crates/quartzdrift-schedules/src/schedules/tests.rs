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
    let mut seen = Vec::new();
    for _ in 0..3 {
        let now = schedules.next_due().unwrap();
        seen.extend(
            schedules
                .take_due(now)
                .triggers
                .into_iter()
                .map(|trigger| trigger.scheduled_for),
        );
    }
    // On the 29th there is no half past two there: clocks go from two to three.
    let expected = [
        "2026-03-28T01:30:00Z",
        "2026-03-29T01:00:00Z",
        "2026-03-30T00:30:00Z",
    ];
    assert_eq!(seen, expected.map(at));
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
fn misfired_triggers_follow_the_policy() {
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
fn a_schedule_without_overlap_waits_for_its_last_invocation() {
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
fn a_clock_set_back_triggers_nothing_twice() {
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
    fn jitter_delays_by_no_more_than_its_limit(seed: u64, minutes in 0u64..100_000) {
        let mut jittered = schedule("*/7 * * * *", "America/New_York", MisfirePolicy::Skip, true);
        jittered.jitter = Duration::from_secs(30);
        let start = Duration::from_secs(1_780_000_000 + minutes * 60);
        let mut schedules = Schedules::new(vec![jittered], seed, start);
        let due_at = schedules.next_due().unwrap();
        let trigger = schedules.take_due(due_at).triggers.remove(0);
        proptest::prop_assert!(trigger.scheduled_for > start && trigger.scheduled_for <= due_at && due_at - trigger.scheduled_for <= Duration::from_secs(30));
    }
}
