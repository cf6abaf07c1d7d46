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

/// The evidence of a start `downtime` seconds after a checkpoint that was taken in the boot "k".
fn evidence(stopped_cleanly: bool, downtime: u64, boot: &str) -> StartupEvidence {
    let checkpoint = Checkpoint {
        name: "a".into(),
        starts: 4,
        stopped_cleanly,
        classified: true,
        taken_at: sample(1000, "k"),
        ..Checkpoint::default()
    };
    StartupEvidence::from_checkpoint(checkpoint, "a", vec!["b".into()], sample(1000 + downtime, boot))
}

fn answer(up_seconds: u64, ended_cleanly: bool, known_start: u64) -> MemberAnswer {
    let status = MemberStatus {
        starts: 1,
        instance: 1,
        up_ms: up_seconds * 1000,
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

/// A start with an intact disk, and the kind of restart that is expected for it.
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
            "this scheduler crashed, the other members did not",
            vec![ran_on.clone(); 4],
            0,
            RestartKind::SingleCrash,
        ),
        crash(
            "all members restarted with this scheduler",
            vec![restarted.clone(); 4],
            0,
            RestartKind::MassFailure,
        ),
        crash("one restarted, rest silent", vec![], 4, RestartKind::MassFailure),
        crash(
            "half of the members restarted and answer, the others stay silent",
            vec![restarted.clone(); 2],
            2,
            RestartKind::MassFailure,
        ),
        crash(
            "two of thirty members crashed independently",
            [vec![ran_on; 29], vec![restarted]].concat(),
            0,
            RestartKind::SingleCrash,
        ),
        crash("alone, machine stayed up", vec![], 0, RestartKind::SingleCrash),
        Case {
            evidence: evidence(false, 3, "other"),
            ..crash("alone, machine rebooted", vec![], 0, RestartKind::MassFailure)
        },
        // All members lost power together, and the others started after this scheduler's last checkpoint.
        Case {
            evidence: evidence(false, 60, "k"),
            ..crash(
                "this scheduler restarted a minute after its last checkpoint",
                vec![answer(55, false, 4); 4],
                0,
                RestartKind::MassFailure,
            )
        },
    ]);
}

#[test]
fn a_planned_stop_or_handover_is_recognised_unless_members_failed_together() {
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
        case(
            "the predecessor hands over",
            handover,
            vec![],
            0,
            RestartKind::Planned,
        ),
        case(
            "this scheduler stopped as planned",
            evidence(true, 3, "k"),
            vec![ran_on; 4],
            0,
            RestartKind::Planned,
        ),
        case(
            "all members stopped as planned",
            evidence(true, 3, "k"),
            vec![answer(2, true, 4); 3],
            1,
            RestartKind::Planned,
        ),
        case(
            "this scheduler stopped as planned, the others lost power",
            evidence(true, 30, "k"),
            vec![restarted; 4],
            0,
            RestartKind::MassFailure,
        ),
    ]);
}

#[test]
fn a_disk_is_outdated_by_later_starts_and_not_by_stale_answers() {
    let intact = evidence(false, 3, "k");
    assert_eq!(
        kind_and_disk(&intact, &[answer(900, true, 3)], 0).1,
        DiskState::Intact,
        "a member that knows of an earlier start only"
    );
    assert_eq!(
        kind_and_disk(&intact, &[answer(900, true, 5), answer(900, true, 3)], 0).1,
        DiskState::Stale
    );
    // A disk restored from a copy does not show how the last run ended, even if the copy shows a planned
    // stop.
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
            "known start {known_start}, known checkpoint {known_checkpoint}"
        );
    }
}

#[test]
fn power_lost_again_before_classification_is_still_a_mass_failure() {
    let mut unclassified = evidence(false, 1, "k");
    unclassified.checkpoint.as_mut().unwrap().classified = false;
    assert_eq!(
        kind_and_disk(&unclassified, &[answer(900, true, 4)], 0).0,
        RestartKind::MassFailure
    );
}
