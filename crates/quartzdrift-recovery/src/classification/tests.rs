use super::*;
use crate::checkpoint::Checkpoint;
use crate::clock::ClockSample;

const S: Duration = Duration::from_secs(1);

fn sample(since_boot: u64, boot: &str) -> ClockSample {
    ClockSample {
        wall: S * 1_000_000 + S * since_boot as u32,
        boot_id: boot.into(),
        since_boot: S * since_boot as u32,
    }
}

fn evidence(stopped_cleanly: bool, away: u64, boot: &str) -> StartupEvidence {
    let checkpoint = Checkpoint {
        name: "a".into(),
        starts: 4,
        stopped_cleanly,
        classified: true,
        taken_at: sample(1000, "k"),
        ..Checkpoint::default()
    };
    StartupEvidence::from_checkpoint(checkpoint, "a", vec!["b".into()], sample(1000 + away, boot))
}

fn answer(up: u64, ended_cleanly: bool, known_start: u64) -> MemberAnswer {
    let status = MemberStatus {
        starts: 1,
        instance: 1,
        up_ms: up * 1000,
        ended_cleanly,
        at_full_service: false,
    };
    MemberAnswer {
        status,
        known_start,
        known_checkpoint: 0,
    }
}

fn kind_and_disk(
    evidence: &StartupEvidence,
    answers: &[MemberAnswer],
    silent: usize,
) -> (RestartKind, DiskState) {
    let classification = classify(evidence, answers, silent, S);
    (classification.kind, classification.disk)
}

/// A start and the kind that it is classified as; its disk is intact.
struct Case {
    name: &'static str,
    evidence: StartupEvidence,
    answers: Vec<MemberAnswer>,
    silent: usize,
    expected: RestartKind,
}

fn check(cases: impl IntoIterator<Item = Case>) {
    for case in cases {
        assert_eq!(
            kind_and_disk(&case.evidence, &case.answers, case.silent),
            (case.expected, DiskState::Intact),
            "{}",
            case.name
        );
    }
}

fn crash(name: &'static str, answers: Vec<MemberAnswer>, silent: usize, expected: RestartKind) -> Case {
    Case {
        name,
        evidence: evidence(false, 3, "k"),
        answers,
        silent,
        expected,
    }
}

#[test]
fn a_single_crash_is_distinguished_from_a_mass_failure() {
    let ran_on = answer(900, false, 4);
    let restarted = answer(2, false, 4);
    check([
        crash(
            "one crashed, others ran on",
            vec![ran_on.clone(); 4],
            0,
            RestartKind::SingleCrash,
        ),
        crash(
            "all restarted with us",
            vec![restarted.clone(); 4],
            0,
            RestartKind::MassFailure,
        ),
        crash("one is back, the rest never", vec![], 4, RestartKind::MassFailure),
        crash(
            "half answer, restarted ones",
            vec![restarted.clone(); 2],
            2,
            RestartKind::MassFailure,
        ),
        crash(
            "two of thirty crash by chance",
            [vec![ran_on; 29], vec![restarted]].concat(),
            0,
            RestartKind::SingleCrash,
        ),
        crash("alone, the machine ran on", vec![], 0, RestartKind::SingleCrash),
        Case {
            evidence: evidence(false, 3, "other"),
            ..crash("alone, the machine was off", vec![], 0, RestartKind::MassFailure)
        },
        // The others lost power with us, and started after our last checkpoint.
        Case {
            evidence: evidence(false, 60, "k"),
            ..crash(
                "back after a minute",
                vec![answer(55, false, 4); 4],
                0,
                RestartKind::MassFailure,
            )
        },
    ]);
}

#[test]
fn a_planned_stop_or_handover_is_recognised_unless_power_went() {
    let ran_on = answer(900, false, 4);
    let restarted = answer(2, false, 4);
    let handover = StartupEvidence {
        predecessor_running: true,
        ..evidence(false, 1, "k")
    };
    let case = |name, evidence, answers, silent, expected| Case {
        name,
        evidence,
        answers,
        silent,
        expected,
    };
    check([
        case("hands over", handover, vec![], 0, RestartKind::Planned),
        case(
            "stopped as planned",
            evidence(true, 3, "k"),
            vec![ran_on; 4],
            0,
            RestartKind::Planned,
        ),
        case(
            "all stopped as planned",
            evidence(true, 3, "k"),
            vec![answer(2, true, 4); 3],
            1,
            RestartKind::Planned,
        ),
        case(
            "stopped as planned, and power went",
            evidence(true, 30, "k"),
            vec![restarted; 4],
            0,
            RestartKind::MassFailure,
        ),
    ]);
}

#[test]
fn a_disk_is_outdated_by_later_starts_and_not_by_stale_answers() {
    let whole = evidence(false, 3, "k");
    assert_eq!(
        kind_and_disk(&whole, &[answer(900, true, 3)], 0).1,
        DiskState::Intact,
        "a member with a stale answer"
    );
    assert_eq!(
        kind_and_disk(&whole, &[answer(900, true, 5), answer(900, true, 3)], 0).1,
        DiskState::Stale
    );
    // A copy from before a planned stop is no planned stop.
    assert_eq!(
        kind_and_disk(&evidence(true, 3, "k"), &[answer(900, true, 9)], 0),
        (RestartKind::SingleCrash, DiskState::Stale)
    );
    let empty = StartupEvidence::without_checkpoint(DiskState::Empty, vec![], sample(0, "k"));
    assert_eq!(
        kind_and_disk(&empty, &[answer(9, true, 0)], 0),
        (RestartKind::FirstStart, DiskState::Empty)
    );
    assert_eq!(
        kind_and_disk(&empty, &[answer(900, false, 1)], 0),
        (RestartKind::SingleCrash, DiskState::Lost)
    );
    assert_eq!(
        kind_and_disk(&empty, &[answer(5, false, 1), answer(5, false, 0)], 0),
        (RestartKind::MassFailure, DiskState::Lost)
    );
    let other = Checkpoint {
        name: "b".into(),
        ..Checkpoint::default()
    };
    let foreign = StartupEvidence::from_checkpoint(other, "a", vec!["c".into()], sample(0, "k"));
    assert_eq!(
        (foreign.disk, foreign.ended_cleanly(), foreign.known_members.len()),
        (DiskState::Foreign, false, 0)
    );
}

#[test]
fn a_copy_made_within_the_same_start_is_stale_if_a_member_knows_a_later_checkpoint() {
    let mut copy = evidence(false, 1, "k");
    copy.checkpoint.as_mut().unwrap().checkpoint_count = 3;
    for (known_start, known_checkpoint, disk) in [
        (4, 3, DiskState::Intact),
        (4, 4, DiskState::Stale),
        (3, 9, DiskState::Intact),
    ] {
        let answer = MemberAnswer {
            known_checkpoint,
            ..answer(900, true, known_start)
        };
        let classification = classify(&copy, &[answer], 0, S);
        assert_eq!(
            (classification.disk, classification.later_checkpoint_known),
            (disk, disk == DiskState::Stale),
            "{known_start} {known_checkpoint}"
        );
    }
}

#[test]
fn power_lost_again_before_classification_is_still_a_mass_failure() {
    let mut again = evidence(false, 1, "k");
    again.checkpoint.as_mut().unwrap().classified = false;
    assert_eq!(
        kind_and_disk(&again, &[answer(900, true, 4)], 0).0,
        RestartKind::MassFailure
    );
}
