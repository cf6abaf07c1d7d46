use super::*;
use crate::classification::RestartKind;
use crate::evidence::DiskState;
use crate::restore_policy::restore_decisions;

fn view() -> RecoveryView {
    let classification = RestartClassification {
        kind: RestartKind::MassFailure,
        disk: DiskState::Stale,
        answered: 3,
        lost: 2,
        silent: 1,
        others_at_full_service: false,
        latest_start: 4,
        later_checkpoint_known: true,
    };
    RecoveryView {
        starts: 5,
        phase: RecoveryPhase::Backlog,
        phase_seconds: 6,
        up_seconds: 7,
        restore_decisions: restore_decisions(&classification, false, Some(4)),
        classification: Some(classification),
        waits_for: vec!["b".to_owned(), "c".to_owned()],
        async_limit: Some(8),
        ramp: Some(RampView {
            cached: 9,
            loading: 10,
            limit: 0.0625,
        }),
    }
}

/// The table as the release of 2026-12-02 prints it.
const RECORDED_TABLE: &str = "\
stage backlog for 6 s, start 5, up 7 s
loss of many: 3 others answered, 2 of them ended with us, 1 did not answer; disk Old
Workers       Lessened  workers lost power: cold and empty until a list tells more
Schedulers    Kept      those that are not back count until they were silent for long enough
Rations       Aside     no load ahead within the ration's window of the last life
Forecasts     Lessened  the outage is no evidence that nobody calls
IdempotencyKeys Aside     workers lost power and with it what they had run
Waiting       Lessened  only restartable jobs run: the store is older than what ran
Timers        Kept      firings missed since the last note are treated by each timer's setting
waits for answers of b, c
deferred jobs that may be out at a time: 8
copies return: 9 functions stand, 10 are tried; 0.06 of our own tries at a time
";

#[test]
fn the_table_matches_the_recorded_one() {
    assert_eq!(view().table(), RECORDED_TABLE);
}
