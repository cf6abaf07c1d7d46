use super::*;
use crate::evidence::DiskState;

fn classification(kind: RestartKind) -> RestartClassification {
    RestartClassification {
        kind,
        disk: DiskState::Intact,
        answered: 0,
        lost: 0,
        silent: 0,
        others_at_full_service: false,
        latest_start: 4,
        later_checkpoint_known: false,
    }
}

#[test]
fn a_power_loss_discards_idempotency_keys_and_an_older_store_is_restored_partly() {
    let within_start = RestartClassification {
        disk: DiskState::Stale,
        answered: 1,
        lost: 1,
        later_checkpoint_known: true,
        ..classification(RestartKind::MassFailure)
    };
    assert!(
        waiting_requests_may_have_run(&within_start, Some(4)),
        "the store is a copy made during the same start"
    );
    for kind in [
        RestartKind::FirstStart,
        RestartKind::Planned,
        RestartKind::SingleCrash,
        RestartKind::MassFailure,
    ] {
        let classification = classification(kind);
        let is_mass_failure = kind == RestartKind::MassFailure;
        assert_eq!(
            (
                repeats_are_detected(&classification, false),
                repeats_are_detected(&classification, true)
            ),
            (!is_mass_failure, true)
        );
        for (store, is_doubted) in [(None, false), (Some(3), true), (Some(4), false), (Some(5), false)] {
            assert_eq!(waiting_requests_may_have_run(&classification, store), is_doubted);
            check_decisions(&classification, store, is_doubted);
        }
    }
}

fn check_decisions(classification: &RestartClassification, store: Option<u64>, is_doubted: bool) {
    let is_mass_failure = classification.kind == RestartKind::MassFailure;
    let rows = restore_decisions(classification, false, store);
    let decision = |item| rows.iter().find(|row| row.item == item).map(|row| row.decision);
    let restore_unless = |condition, otherwise| {
        Some(if condition {
            otherwise
        } else {
            RestoreDecision::Restore
        })
    };
    assert_eq!(
        decision(StateItem::Workers),
        restore_unless(is_mass_failure, RestoreDecision::RestorePartly)
    );
    assert_eq!(
        decision(StateItem::IdempotencyKeys),
        restore_unless(is_mass_failure, RestoreDecision::Discard)
    );
    assert_eq!(
        decision(StateItem::WaitingRequests),
        restore_unless(is_doubted, RestoreDecision::RestorePartly)
    );
}
