//! Tests of fleets of gateway processes that restart after power losses, crashes and damage to their state,
//! with network faults meanwhile.
//!
//! The auditor checks the record of each scenario. The saved recovery view of a gateway shows how the gateway
//! classified its last start.
use quartzdrift_lab::power_loss;
use quartzdrift_lab::record::Observation;
use quartzdrift_lab::scenario;
use quartzdrift_lab::scenario_runner::{GatewayProgram, ScenarioRun, run};
use quartzdrift_recovery::{DiskState, RecoveryPhase, RestartKind};
use std::path::Path;

/// Scenario of a fleet with idempotent, keyed and non-idempotent requests, synchronous and asynchronous.
const FLEET: &str = "
workers 5 cores=4 memory=1600 keep=60s queue=60
store capacity=6 limit=16
roster lag=20ms
fleet 50ms
workload quote restartable rate=40 work=5ms limit=2s functions=6 memory=60 load=100ms lanes=2
workload stamp fingerprinted window=2s rate=15 work=5ms limit=1s functions=2 memory=60 load=100ms lanes=2
workload pay run-once rate=10 work=10ms limit=1s functions=1 memory=60 load=100ms lanes=2
workload again restartable rate=10 work=20ms limit=2s functions=1 memory=60 load=100ms lanes=2 deferred
workload sealed fingerprinted window=2s rate=10 work=20ms limit=2s functions=1 memory=60 load=100ms lanes=2 deferred
workload once run-once rate=10 work=20ms limit=2s functions=1 memory=60 load=100ms lanes=2 deferred
";

/// Runs [`FLEET`] with these faults. Panics if the auditor finds a violation.
fn run_fleet(faults: &str, seed: u64) -> ScenarioRun {
    let scenario = scenario::read(&format!("{FLEET}\n{faults}")).unwrap();
    let lab = Path::new(env!("CARGO_BIN_EXE_quartzdrift-lab"));
    let scenario_run = run(&scenario, &GatewayProgram::lab_command(lab, "gateway"), seed).unwrap();
    let (violations, views) = (&scenario_run.violations, &scenario_run.recovery_views);
    assert!(
        violations.is_empty(),
        "violations: {violations:?}, recovery views: {views:?}"
    );
    scenario_run
}

/// The classification of each gateway's last start and the state of its disk; `None` without a recovery view.
fn classifications(scenario_run: &ScenarioRun) -> Vec<Option<(RestartKind, DiskState)>> {
    let classification = |view: &Option<quartzdrift_recovery::RecoveryView>| {
        view.as_ref()?
            .classification
            .as_ref()
            .map(|found| (found.kind, found.disk))
    };
    scenario_run.recovery_views.iter().map(classification).collect()
}

/// Number of calls that succeeded `from_s` seconds after the start of the scenario or later.
fn successes_after(scenario_run: &ScenarioRun, from_s: f64) -> usize {
    let is_late = |at_us: u64| at_us as f64 / 1e6 >= from_s;
    let is_success = |observation: &Observation| {
        matches!(
            observation,
            Observation::ResponseReceived {
                status: 200,
                killed: false,
                ..
            }
        )
    };
    scenario_run
        .lines
        .iter()
        .filter(|line| is_late(line.at_us) && is_success(&line.seen))
        .count()
}

#[test]
fn service_returns_after_a_total_power_loss_with_restarts_in_any_order() {
    let scenario_run = run_fleet(
        "gateways 5\nlength 11s\nat 2s power off all\nat 2500ms power on workers 0 4 every=50ms\n\
         at 3s power on gateways 0 2 every=200ms\nat 3800ms power on roster\nat 6s power on gateways 3 3",
        1,
    );
    let mass_failure = Some((RestartKind::MassFailure, DiskState::Intact));
    assert_eq!(
        classifications(&scenario_run),
        [mass_failure, mass_failure, mass_failure, mass_failure, None],
        "gateway 4 stays down"
    );
    assert!(
        scenario_run
            .recovery_views
            .iter()
            .flatten()
            .all(|view| view.phase == RecoveryPhase::FullService),
        "{:?}",
        scenario_run.recovery_views
    );
    assert!(successes_after(&scenario_run, 6.0) > 100);
}

#[test]
fn service_returns_after_two_more_power_losses_during_recovery() {
    let scenario_run = run_fleet(
        "gateways 3\nlength 9s\nat 2s power off all\nat 2200ms power on gateways 0 2\nat 2200ms power on workers 0 4\n\
         at 2200ms power on roster\nat 2600ms power off all\nat 2800ms power on gateways 0 2\nat 2900ms power on workers 0 4\n\
         at 2900ms power on roster\nat 4200ms power off all\nat 4300ms power on roster\nat 4300ms power on workers 0 4\n\
         at 4400ms power on gateways 0 2",
        2,
    );
    assert_eq!(
        classifications(&scenario_run),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 3]
    );
    assert!(successes_after(&scenario_run, 6.5) > 50);
}

#[test]
fn clocks_an_hour_off_after_a_power_loss_neither_expire_state_nor_delay_recovery() {
    let scenario_run = run_fleet(
        "gateways 3\nlength 8s\nat 2s power off all\nat 2s clock gateway 0 ahead 1h\nat 2s clock gateway 1 behind 1h\n\
         at 2500ms power on workers 0 4\nat 2500ms power on roster\nat 2700ms power on gateways 0 2",
        3,
    );
    assert_eq!(
        classifications(&scenario_run),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 3]
    );
}

#[test]
fn a_single_crash_is_not_classified_as_a_mass_failure_even_with_a_wrong_clock() {
    let scenario_run = run_fleet(
        "gateways 4\nlength 8s\nat 3s kill gateway 1\nat 3200ms start gateway 1\nat 6500ms kill gateway 2\n\
         at 6500ms clock gateway 2 behind 1h\nat 6700ms start gateway 2",
        4,
    );
    let [_, first, second, _] = &classifications(&scenario_run)[..] else {
        panic!("expected the recovery views of four gateways")
    };
    assert_eq!(
        [first, second],
        [&Some((RestartKind::SingleCrash, DiskState::Intact)); 2]
    );
}

#[test]
fn a_planned_restart_of_every_gateway_is_not_classified_as_a_failure() {
    let scenario_run = run_fleet(
        "gateways 4\nlength 7s\nat 2s stop gateways 0 3\nat 3s start gateways 0 3",
        5,
    );
    assert_eq!(
        classifications(&scenario_run),
        [Some((RestartKind::Planned, DiskState::Intact)); 4]
    );
}

#[test]
fn partitioned_members_serve_after_a_power_loss_and_rejoin() {
    let scenario_run = run_fleet(
        "gateways 4\nlength 10s\nat 2s power off all\nat 2100ms apart gateways 0 1\nat 2500ms power on workers 0 4\n\
         at 2500ms power on roster\nat 2600ms power on gateways 0 3 every=50ms\nat 6s together gateways",
        6,
    );
    assert_eq!(
        classifications(&scenario_run),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 4]
    );
    assert!(successes_after(&scenario_run, 4.0) > 150);
    assert!(
        scenario_run
            .recovery_views
            .iter()
            .flatten()
            .all(|view| view.phase == RecoveryPhase::FullService)
    );
}

#[test]
fn recovery_tolerates_lost_duplicated_and_delayed_datagrams() {
    let scenario_run = run_fleet(
        "gateways 4\nlength 9s\nat 1s lose datagrams 0.3\nat 1s double datagrams 0.3\nat 1s late datagrams 30ms\n\
         at 2s power off all\nat 2500ms power on workers 0 4\nat 2500ms power on roster\n\
         at 2600ms power on gateways 0 3 every=100ms",
        7,
    );
    assert_eq!(
        classifications(&scenario_run),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 4]
    );
}

#[test]
fn each_kind_of_damaged_state_is_classified() {
    let scenario_run = run_fleet(
        "gateways 7\nlength 9s\nat 1s copy gateway 2\nat 1500ms kill gateway 2\nat 1700ms start gateway 2\n\
         at 3s kill gateways 0 5\n\
         at 3100ms spoil gateway 0 cut\nat 3100ms spoil gateway 1 flip\nat 3100ms spoil gateway 2 older\n\
         at 3100ms spoil gateway 3 other\nat 3100ms spoil gateway 4 unreadable\nat 3100ms spoil gateway 5 empty\n\
         at 3200ms start gateways 0 5",
        8,
    );
    let disks: Vec<Option<DiskState>> = classifications(&scenario_run)
        .into_iter()
        .map(|classification| classification.map(|(_, disk)| disk))
        .collect();
    let expected = [
        DiskState::Damaged,
        DiskState::Damaged,
        DiskState::Stale,
        DiskState::Foreign,
        DiskState::Damaged,
        DiskState::Lost,
    ];
    assert_eq!(disks[..6], expected.map(Some));
}

#[test]
fn an_outdated_copy_of_the_state_folder_is_recognized_with_the_help_of_other_members() {
    let scenario_run = run_fleet(
        "gateways 3\nlength 12s\nat 1s copy gateway 0\nat 8s kill gateway 0\nat 8100ms spoil gateway 0 older\n\
         at 8200ms start gateway 0",
        14,
    );
    assert_eq!(
        classifications(&scenario_run)[0].map(|(_, disk)| disk),
        Some(DiskState::Stale)
    );
}

#[test]
fn a_gateway_with_a_full_disk_exits_while_the_others_serve() {
    let scenario_run = run_fleet(
        "gateways 3\nlength 6s\nat 2s kill gateway 1\nat 2100ms spoil gateway 1 full\nat 2200ms start gateway 1",
        9,
    );
    assert_eq!(
        scenario_run.recovery_views[1], None,
        "a gateway with a full disk must exit"
    );
    assert!(
        successes_after(&scenario_run, 3.0) > 80,
        "too few successful calls at the other gateways"
    );
}

/// Scenario of a fleet with many functions. Workers stay cold for 2 s after a start, and the store serves few
/// fetches at once, so that fetches of most functions compete after a power loss.
const COLD_FLEET: &str = "
gateways 5
workers 6 cores=4 memory=2000 keep=60s queue=60 cold=0.3 cold-for=2s fall=3 fall-window=1s
store capacity=3 limit=6
roster lag=20ms
fleet 50ms
workload quote restartable rate=150 work=5ms limit=2s functions=40 memory=60 load=200ms lanes=2
";

/// Runs [`COLD_FLEET`] with these faults. Panics if the auditor finds a violation.
fn run_cold_fleet(faults: &str, seed: u64) -> ScenarioRun {
    let scenario = scenario::read(&format!("{COLD_FLEET}\n{faults}")).unwrap();
    let lab = Path::new(env!("CARGO_BIN_EXE_quartzdrift-lab"));
    let scenario_run = run(&scenario, &GatewayProgram::lab_command(lab, "gateway"), seed).unwrap();
    assert!(
        scenario_run.violations.is_empty(),
        "violations: {:?}, recovery views: {:?}",
        scenario_run.violations,
        scenario_run.recovery_views
    );
    scenario_run
}

/// Number of fetches requested, and of fetches rejected by the store, `from_s` seconds after the start of the
/// scenario or later.
fn fetches_after(scenario_run: &ScenarioRun, from_s: f64) -> (usize, usize) {
    let late_lines = scenario_run
        .lines
        .iter()
        .filter(|line| line.at_us as f64 / 1e6 >= from_s);
    let count =
        |matches: fn(&Observation) -> bool| late_lines.clone().filter(|line| matches(&line.seen)).count();
    let rejected = count(|observation| matches!(observation, Observation::FetchRefused { .. }));
    (
        count(|observation| matches!(observation, Observation::FetchRequested { .. })),
        rejected,
    )
}

#[test]
fn fewer_than_half_of_the_fetches_from_a_small_store_are_refused_during_recovery() {
    let power = "length 13s\nat 4s power off all\nat 4500ms power on workers 0 5\nat 4500ms power on roster\n\
                 at 4600ms power on gateways 0 4 every=100ms";
    let scenario_run = run_cold_fleet(power, 11);
    let (fetches, refused) = fetches_after(&scenario_run, 4.0);
    assert!(
        fetches >= 40 && refused * 2 < fetches,
        "{fetches} fetches, {refused} of them refused"
    );
    assert!(
        successes_after(&scenario_run, 10.0) > 300,
        "too few successful calls after recovery"
    );
}

#[test]
fn service_returns_although_clients_repeat_their_calls_early() {
    let scenario_run = run_cold_fleet(
        "clients repeats=6 haste=0.3\nlength 14s\nat 4s power off all\nat 4500ms power on workers 0 5\n\
         at 4500ms power on roster\nat 4600ms power on gateways 0 4 every=100ms",
        12,
    );
    assert!(
        successes_after(&scenario_run, 11.0) > 300,
        "too few successful calls after recovery"
    );
    assert!(
        scenario_run
            .recovery_views
            .iter()
            .flatten()
            .all(|view| view.phase == RecoveryPhase::FullService),
        "{:?}",
        scenario_run.recovery_views
    );
}

#[test]
fn recovery_tolerates_stalled_streams_and_failed_links() {
    let scenario_run = run_fleet(
        "gateways 3\nlength 11s\nat 2s power off all\nat 2500ms power on workers 0 4\nat 2500ms power on roster\n\
         at 2550ms link gateway 0 roster stalled\nat 2550ms link gateway 1 worker 0 deaf\n\
         at 2550ms link gateway 1 worker 1 stalled\nat 2550ms link gateway 2 worker 2 cut\n\
         at 2600ms power on gateways 0 2 every=50ms\nat 4s drain worker 3\nat 4500ms crash worker 3\n\
         at 6s link gateway 0 roster well\nat 6s link gateway 1 worker 0 well\nat 6s link gateway 1 worker 1 well\n\
         at 6s link gateway 2 worker 2 well",
        13,
    );
    assert_eq!(
        classifications(&scenario_run),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 3]
    );
    assert!(successes_after(&scenario_run, 7.0) > 100);
}

#[test]
fn random_power_loss_scenarios_pass_the_audit() {
    let program = GatewayProgram::lab_command(Path::new(env!("CARGO_BIN_EXE_quartzdrift-lab")), "gateway");
    let failed_seeds = power_loss::run_seeds(1..11, 5, &program, |_, _| {});
    let failures: Vec<String> = failed_seeds
        .iter()
        .map(|failed| format!("seed {}: {}", failed.seed, failed.reason))
        .collect();
    assert!(failures.is_empty(), "{failures:?}");
}
