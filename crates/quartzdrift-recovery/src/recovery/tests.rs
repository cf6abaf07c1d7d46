use super::admission::UNCLASSIFIED_RETRY_AFTER;
use super::*;
use crate::admission_ramp::LoadResult;
use crate::classification::RestartKind;
use crate::messages::{MemberStatus, RecoveryMessage};

const S: Duration = Duration::from_secs(1);
/// The time of each recovery's start, since 1970.
const START: Duration = Duration::from_secs(1_000_000);

fn settings(name: &str) -> RecoverySettings {
    RecoverySettings {
        name: name.to_owned(),
        has_fleet: true,
        classification_timeout: S * 2,
        max_duration: S * 60,
        idempotency_keys_on_disk: false,
        load_quota_window: S * 10,
        slow_start_window: S,
        max_async_in_flight: 8,
        admission_ramp: true,
        store_start: None,
        instance: 7,
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("m{index}")).collect()
}

/// The recovery of a scheduler that took its last checkpoint three seconds ago, crashed, and knew these
/// members.
fn crashed(name: &str, known: &[&str]) -> Recovery {
    let taken_at = ClockSample {
        wall: START - S * 3,
        boot_id: "a".into(),
        since_boot: S * 500,
    };
    let checkpoint = Checkpoint {
        name: name.into(),
        starts: 4,
        classified: true,
        taken_at,
        ..Checkpoint::default()
    };
    let now = ClockSample {
        wall: START,
        boot_id: "b".into(),
        since_boot: S,
    };
    let known = known.iter().map(|&name| name.to_owned()).collect();
    let evidence = StartupEvidence::from_checkpoint(checkpoint, name, known, now);
    Recovery::new(settings(name), evidence, START)
}

fn answer(uptime: Duration, ended_cleanly: bool) -> Vec<u8> {
    let status = MemberStatus {
        starts: 9,
        instance: 1,
        up_ms: uptime.as_millis() as u64,
        ended_cleanly,
        at_full_service: false,
    };
    RecoveryMessage::StatusResponse {
        status,
        known_start: 4,
        known_checkpoint: 0,
    }
    .encode()
}

fn entered_phases(recovery: &mut Recovery) -> Vec<RecoveryPhase> {
    let phase = |output| match output {
        RecoveryOutput::PhaseEntered(phase) => Some(phase),
        RecoveryOutput::Send { .. } | RecoveryOutput::Classified(_) | RecoveryOutput::RestoreMeasurements => {
            None
        }
    };
    recovery.take_outputs().into_iter().filter_map(phase).collect()
}

#[test]
fn classification_ends_however_many_members_answer() {
    for answers in 0..=2 {
        let mut recovery = crashed("a", &["b", "c"]);
        let mut now = START;
        for name in &["b", "c"][..answers] {
            recovery.member_seen(now, name);
            recovery.receive(now, name, &answer(S, false)).unwrap();
        }
        assert_eq!(
            recovery.classification().is_some(),
            answers == 2,
            "{answers} of 2 answers"
        );
        for _ in 0..100 {
            now = recovery.next_due().unwrap_or(now).max(now);
            recovery.due(now);
            if recovery.classification().is_some() {
                break;
            }
        }
        assert!(
            recovery.classification().is_some(),
            "not classified after {answers} of 2 answers"
        );
        assert!(
            now <= START + S * 2 && recovery.classification().unwrap().kind == RestartKind::MassFailure,
            "{answers} of 2 answers"
        );
    }
}

#[test]
fn silent_members_are_asked_again_until_the_timeout() {
    let mut recovery = crashed("a", &["b"]);
    let (mut now, mut requests) = (START, 0);
    recovery.member_seen(now, "b");
    while recovery.classification().is_none() {
        requests += recovery
            .take_outputs()
            .iter()
            .filter(|output| matches!(output, RecoveryOutput::Send { .. }))
            .count();
        now = recovery.next_due().unwrap().max(now);
        recovery.due(now);
    }
    assert!((6..=9).contains(&requests), "{requests} status requests");
    // After the classification no status request is sent, and late answers do not change it.
    recovery.take_outputs();
    recovery.member_seen(now, "c");
    recovery.receive(now, "b", &answer(S * 900, true)).unwrap();
    assert_eq!(recovery.classification().unwrap().kind, RestartKind::MassFailure);
    assert!(
        !recovery
            .take_outputs()
            .iter()
            .any(|output| matches!(output, RecoveryOutput::Send { .. }))
    );
}

/// Runs the recovery until full service; synchronous requests are late for the first six seconds. Returns the
/// time of full service and the phases entered.
fn run_to_full_service(recovery: &mut Recovery) -> (Duration, Vec<RecoveryPhase>) {
    let mut now = START;
    let mut phases = Vec::new();
    while recovery.phase() != RecoveryPhase::FullService {
        now = recovery.next_due().unwrap().max(now);
        let is_healthy = now > START + S * 6;
        (0..20).for_each(|_| recovery.request_answered(is_healthy));
        assert_eq!(
            recovery.allows_schedules(),
            recovery.phase() >= RecoveryPhase::Schedules
        );
        assert!(!recovery.allows_prefetch(now));
        recovery.due(now);
        phases.extend(entered_phases(recovery));
    }
    (now, phases)
}

/// The recovery of the next start, after a crash two seconds after the first one and a second of downtime.
fn crash_again(recovery: &Recovery) -> Recovery {
    let taken_at = ClockSample {
        wall: START + S * 2,
        boot_id: "b".into(),
        since_boot: S * 3,
    };
    let now = ClockSample {
        since_boot: S * 4,
        ..taken_at.clone()
    };
    let checkpoint = recovery.checkpoint(taken_at);
    let evidence = StartupEvidence::from_checkpoint(checkpoint, "a", vec![], now);
    let settings = RecoverySettings {
        has_fleet: false,
        ..settings("a")
    };
    Recovery::new(settings, evidence, START + S * 3)
}

#[test]
fn phases_follow_in_order_and_repeats_are_rejected_for_their_window() {
    let mut recovery = crashed("a", &[]);
    assert_eq!(
        (recovery.repeat_retry_after(START, S * 5), recovery.async_limit()),
        (Some(UNCLASSIFIED_RETRY_AFTER), Some(0))
    );
    let (now, phases) = run_to_full_service(&mut recovery);
    assert_eq!(
        phases,
        [
            RecoveryPhase::Synchronous,
            RecoveryPhase::Backlog,
            RecoveryPhase::Schedules,
            RecoveryPhase::FullService
        ]
    );
    assert!(
        now > START + S * 8,
        "full service before synchronous requests met their objective: {now:?}"
    );
    assert_eq!(recovery.async_limit(), None);
    assert!(!recovery.repeats_are_detected());
    assert_eq!(recovery.repeat_retry_after(START + S * 3, S * 5), Some(S * 2));
    assert_eq!(
        (
            recovery.repeat_retry_after(START + S * 5, S * 5),
            recovery.repeat_retry_after(START + S * 3, S * 3)
        ),
        (None, None)
    );
    // A crash during the window does not end the window for the next start.
    let again = crash_again(&recovery);
    assert_eq!(
        (again.classification().unwrap().kind, again.phase()),
        (RestartKind::SingleCrash, RecoveryPhase::FullService)
    );
    assert_eq!(again.repeat_retry_after(START + S * 3, S * 5), Some(S * 2));
    assert!(
        !again.allows_prefetch(START + S * 12) && again.allows_prefetch(START + S * 13),
        "prefetches wait for the window of the last run's load quota"
    );
}

#[test]
fn first_answers_may_prove_a_mass_failure_and_begin_the_admission_ramp() {
    let known = names(17);
    let mut recovery = crashed("a", &known.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!(
        recovery.admit(START, "f"),
        Ok(None),
        "without answers there is no ramp"
    );
    recovery.receive(START, "m1", &answer(S * 900, true)).unwrap();
    assert!(
        recovery.view(START).ramp.is_none(),
        "the ramp began although the member did not fail"
    );
    recovery.receive(START, "m2", &answer(S, false)).unwrap();
    assert!(recovery.view(START).ramp.is_some() && recovery.classification().is_none());
    // The machine booted a slow-start window ago: the last run spent nothing of the current slow-start
    // budget.
    recovery.due(START);
    let restores_measurements = |recovery: &mut Recovery| {
        recovery
            .take_outputs()
            .contains(&RecoveryOutput::RestoreMeasurements)
    };
    assert!(restores_measurements(&mut recovery));
    let number = recovery
        .admit(START, "f")
        .unwrap()
        .expect("the call loads the function");
    assert!(recovery.admit(START, "f").is_err());
    recovery.load_finished(START + S / 2, number, LoadResult::Cached);
    assert_eq!(recovery.admit(START + S / 2, "f"), Ok(None));
    let mut now = START;
    while recovery.phase() < RecoveryPhase::Backlog {
        now = recovery.next_due().unwrap().max(now);
        (0..20).for_each(|_| recovery.request_answered(true));
        recovery.due(now);
    }
    assert!(
        recovery.view(now).ramp.is_none() && !restores_measurements(&mut recovery),
        "the ramp lasts or measurements are restored again"
    );
}

#[test]
fn a_ramp_needs_more_than_one_other_crash_in_ten_members() {
    let many = names(32);
    let mut few = crashed("a", &many.iter().map(String::as_str).collect::<Vec<_>>());
    for (index, name) in many.iter().take(3).enumerate() {
        few.receive(START, name, &answer(S, false)).unwrap();
        assert_eq!(
            few.view(START).ramp.is_some(),
            index == 2,
            "{} crashed members",
            index + 1
        );
    }
    // A single crash among seventeen members does not begin a ramp.
    let known = names(17);
    let mut one = crashed("a", &known.iter().map(String::as_str).collect::<Vec<_>>());
    for name in &known {
        one.receive(START, name, &answer(S * 900, true)).unwrap();
    }
    assert!(
        one.classification().is_some()
            && one.admit(START, "f") == Ok(None)
            && one.phase() == RecoveryPhase::FullService
    );
}

#[test]
fn phases_end_by_their_time_limit_or_by_force() {
    let mut recovery = crashed("a", &[]);
    let mut now = START;
    while recovery.phase() < RecoveryPhase::Schedules {
        now = recovery.next_due().unwrap().max(now);
        (0..20).for_each(|_| recovery.request_answered(false));
        recovery.due(now);
    }
    assert!(now <= START + S * 62, "{now:?}");
    let mut forced = crashed("a", &["b"]);
    forced.force_full_service(START);
    assert_eq!(
        (forced.phase(), forced.repeats_are_detected()),
        (RecoveryPhase::FullService, false)
    );
}

#[test]
fn a_start_number_used_twice_is_detected_by_its_instance() {
    let mut other = crashed("o", &[]);
    let known_start = |other: &mut Recovery, starts, instance| {
        let status = MemberStatus {
            starts,
            instance,
            up_ms: 0,
            ended_cleanly: false,
            at_full_service: false,
        };
        other
            .receive(START, "x", &RecoveryMessage::StatusRequest { status }.encode())
            .unwrap();
        other.take_outputs().into_iter().find_map(|output| match output {
            RecoveryOutput::Send { bytes, .. } => match RecoveryMessage::decode(&bytes) {
                Ok(RecoveryMessage::StatusResponse { known_start, .. }) => Some(known_start),
                Ok(
                    RecoveryMessage::StatusRequest { .. }
                    | RecoveryMessage::CacheUpdates { .. }
                    | RecoveryMessage::CheckpointWritten { .. },
                )
                | Err(_) => None,
            },
            RecoveryOutput::Classified(_)
            | RecoveryOutput::PhaseEntered(_)
            | RecoveryOutput::RestoreMeasurements => None,
        })
    };
    assert_eq!(known_start(&mut other, 3, 30), Some(0));
    assert_eq!(
        known_start(&mut other, 3, 30),
        Some(0),
        "the same start asked again"
    );
    assert_eq!(known_start(&mut other, 4, 40), Some(3));
    assert_eq!(
        known_start(&mut other, 4, 41),
        Some(4),
        "a start with the same number, from a restored copy"
    );
}
