//! Fleets of gateway processes that lose power, parts or pieces of their state, with faults between them. The auditor judges
//! each day by what passed on the sockets; what each gateway took its start for is read from its own state.
use quartzdrift_lab::power_loss;
use quartzdrift_lab::record::Observation;
use quartzdrift_lab::scenario;
use quartzdrift_lab::scenario_runner::{GatewayProgram, ScenarioRun, run};
use quartzdrift_recovery::{DiskState, RecoveryPhase, RestartKind};
use std::path::Path;

/// A fleet with requests of every effect, deferred ones too.
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

fn played(faults: &str, seed: u64) -> ScenarioRun {
    let script = scenario::read(&format!("{FLEET}\n{faults}")).unwrap();
    let lab = Path::new(env!("CARGO_BIN_EXE_quartzdrift-lab"));
    let day = run(&script, &GatewayProgram::lab_command(lab, "gateway"), seed).unwrap();
    let (broken, views) = (&day.violations, &day.recovery_views);
    assert!(broken.is_empty(), "{broken:?} {views:?}");
    day
}

fn kinds(day: &ScenarioRun) -> Vec<Option<(RestartKind, DiskState)>> {
    let verdict = |view: &Option<quartzdrift_recovery::RecoveryView>| {
        view.as_ref()?.classification.as_ref().map(|v| (v.kind, v.disk))
    };
    day.recovery_views.iter().map(verdict).collect()
}

/// Calls that finished after the moment, in seconds.
fn finished_after(day: &ScenarioRun, from: f64) -> usize {
    let late = |at_us: u64| at_us as f64 / 1e6 >= from;
    let of = |seen: &Observation| {
        matches!(
            seen,
            Observation::ResponseReceived {
                status: 200,
                killed: false,
                ..
            }
        )
    };
    day.lines
        .iter()
        .filter(|line| late(line.at_us) && of(&line.seen))
        .count()
}

#[test]
fn all_down_in_one_moment_and_back_in_any_order() {
    let day = played(
        "gateways 5\nlength 11s\nat 2s power off all\nat 2500ms power on workers 0 4 every=50ms\n\
         at 3s power on gateways 0 2 every=200ms\nat 3800ms power on roster\nat 6s power on gateways 3 3",
        1,
    );
    let lost = Some((RestartKind::MassFailure, DiskState::Intact));
    assert_eq!(kinds(&day), [lost, lost, lost, lost, None], "one never came back");
    assert!(
        day.recovery_views
            .iter()
            .flatten()
            .all(|view| view.phase == RecoveryPhase::FullService),
        "{:?}",
        day.recovery_views
    );
    assert!(finished_after(&day, 6.0) > 100);
}

#[test]
fn power_lost_again_in_the_middle_of_recovery_twice() {
    let day = played(
        "gateways 3\nlength 9s\nat 2s power off all\nat 2200ms power on gateways 0 2\nat 2200ms power on workers 0 4\n\
         at 2200ms power on roster\nat 2600ms power off all\nat 2800ms power on gateways 0 2\nat 2900ms power on workers 0 4\n\
         at 2900ms power on roster\nat 4200ms power off all\nat 4300ms power on roster\nat 4300ms power on workers 0 4\n\
         at 4400ms power on gateways 0 2",
        2,
    );
    assert_eq!(
        kinds(&day),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 3]
    );
    assert!(finished_after(&day, 6.5) > 50);
}

#[test]
fn clocks_an_hour_off_after_a_power_loss_age_nothing_and_hold_nothing_back() {
    let day = played(
        "gateways 3\nlength 8s\nat 2s power off all\nat 2s clock gateway 0 ahead 1h\nat 2s clock gateway 1 behind 1h\n\
         at 2500ms power on workers 0 4\nat 2500ms power on roster\nat 2700ms power on gateways 0 2",
        3,
    );
    assert_eq!(
        kinds(&day),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 3]
    );
}

#[test]
fn one_crash_in_a_healthy_fleet_is_told_from_a_loss_whatever_its_clock_says() {
    let day = played(
        "gateways 4\nlength 8s\nat 3s kill gateway 1\nat 3200ms start gateway 1\nat 6500ms kill gateway 2\n\
         at 6500ms clock gateway 2 behind 1h\nat 6700ms start gateway 2",
        4,
    );
    let [_, one, two, _] = &kinds(&day)[..] else {
        panic!()
    };
    assert_eq!(
        [one, two],
        [&Some((RestartKind::SingleCrash, DiskState::Intact)); 2]
    );
}

#[test]
fn a_planned_restart_of_all_is_taken_for_none() {
    let day = played(
        "gateways 4\nlength 7s\nat 2s stop gateways 0 3\nat 3s start gateways 0 3",
        5,
    );
    assert_eq!(kinds(&day), [Some((RestartKind::Planned, DiskState::Intact)); 4]);
}

#[test]
fn members_parted_while_power_returns_serve_alone_and_join() {
    let day = played(
        "gateways 4\nlength 10s\nat 2s power off all\nat 2100ms apart gateways 0 1\nat 2500ms power on workers 0 4\n\
         at 2500ms power on roster\nat 2600ms power on gateways 0 3 every=50ms\nat 6s together gateways",
        6,
    );
    assert_eq!(
        kinds(&day),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 4]
    );
    assert!(finished_after(&day, 4.0) > 150);
    assert!(
        day.recovery_views
            .iter()
            .flatten()
            .all(|view| view.phase == RecoveryPhase::FullService)
    );
}

#[test]
fn datagrams_lost_doubled_and_mixed_up_while_power_returns() {
    let day = played(
        "gateways 4\nlength 9s\nat 1s lose datagrams 0.3\nat 1s double datagrams 0.3\nat 1s late datagrams 30ms\n\
         at 2s power off all\nat 2500ms power on workers 0 4\nat 2500ms power on roster\n\
         at 2600ms power on gateways 0 3 every=100ms",
        7,
    );
    assert_eq!(
        kinds(&day),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 4]
    );
}

#[test]
fn each_kind_of_spoilt_state_is_seen_for_what_it_is() {
    let day = played(
        "gateways 7\nlength 9s\nat 1s copy gateway 2\nat 1500ms kill gateway 2\nat 1700ms start gateway 2\n\
         at 3s kill gateways 0 5\n\
         at 3100ms spoil gateway 0 cut\nat 3100ms spoil gateway 1 flip\nat 3100ms spoil gateway 2 older\n\
         at 3100ms spoil gateway 3 other\nat 3100ms spoil gateway 4 unreadable\nat 3100ms spoil gateway 5 empty\n\
         at 3200ms start gateways 0 5",
        8,
    );
    let disks: Vec<Option<DiskState>> = kinds(&day)
        .into_iter()
        .map(|of| of.map(|(_, disk)| disk))
        .collect();
    let seen = [
        DiskState::Damaged,
        DiskState::Damaged,
        DiskState::Stale,
        DiskState::Foreign,
        DiskState::Damaged,
        DiskState::Lost,
    ];
    assert_eq!(disks[..6], seen.map(Some));
}

#[test]
fn a_folder_restored_from_a_copy_of_the_same_start_is_known_by_what_others_were_told() {
    let day = played(
        "gateways 3\nlength 12s\nat 1s copy gateway 0\nat 8s kill gateway 0\nat 8100ms spoil gateway 0 older\n\
         at 8200ms start gateway 0",
        14,
    );
    assert_eq!(kinds(&day)[0].map(|(_, disk)| disk), Some(DiskState::Stale));
}

#[test]
fn a_gateway_without_room_on_its_disk_takes_nothing_it_cannot_keep() {
    let day = played(
        "gateways 3\nlength 6s\nat 2s kill gateway 1\nat 2100ms spoil gateway 1 full\nat 2200ms start gateway 1",
        9,
    );
    assert_eq!(day.recovery_views[1], None, "it says what is wrong, and ends");
    assert!(finished_after(&day, 3.0) > 80, "the others serve on");
}

/// A fleet whose workers are cold for long after a start, behind a store that bears little: most functions are wanted at once.
const CROWDED: &str = "
gateways 5
workers 6 cores=4 memory=2000 keep=60s queue=60 cold=0.3 cold-for=2s fall=3 fall-window=1s
store capacity=3 limit=6
roster lag=20ms
fleet 50ms
workload quote restartable rate=150 work=5ms limit=2s functions=40 memory=60 load=200ms lanes=2
";

fn crowded(faults: &str, seed: u64) -> ScenarioRun {
    let script = scenario::read(&format!("{CROWDED}\n{faults}")).unwrap();
    let lab = Path::new(env!("CARGO_BIN_EXE_quartzdrift-lab"));
    let day = run(&script, &GatewayProgram::lab_command(lab, "gateway"), seed).unwrap();
    assert!(
        day.violations.is_empty(),
        "{:?} {:?}",
        day.violations,
        day.recovery_views
    );
    day
}

/// Fetches after the moment in seconds, and how many of them the store turned away.
fn fetches_after(day: &ScenarioRun, from: f64) -> (usize, usize) {
    let late = day.lines.iter().filter(|line| line.at_us as f64 / 1e6 >= from);
    let count = |of: fn(&Observation) -> bool| late.clone().filter(|line| of(&line.seen)).count();
    let refused = count(|seen| matches!(seen, Observation::FetchRefused { .. }));
    (
        count(|seen| matches!(seen, Observation::FetchRequested { .. })),
        refused,
    )
}

#[test]
fn a_store_that_bears_little_is_not_asked_again_and_again_while_copies_return() {
    let power = "length 13s\nat 4s power off all\nat 4500ms power on workers 0 5\nat 4500ms power on roster\n\
                 at 4600ms power on gateways 0 4 every=100ms";
    let day = crowded(power, 11);
    let (fetches, refused) = fetches_after(&day, 4.0);
    assert!(
        fetches >= 40 && refused * 2 < fetches,
        "{fetches} fetches, {refused} of them turned away"
    );
    assert!(finished_after(&day, 10.0) > 300, "service is back");
}

#[test]
fn clients_that_come_three_times_as_often_do_not_keep_service_from_returning() {
    let day = crowded(
        "clients repeats=6 haste=0.3\nlength 14s\nat 4s power off all\nat 4500ms power on workers 0 5\n\
         at 4500ms power on roster\nat 4600ms power on gateways 0 4 every=100ms",
        12,
    );
    assert!(finished_after(&day, 11.0) > 300, "service is back");
    assert!(
        day.recovery_views
            .iter()
            .flatten()
            .all(|view| view.phase == RecoveryPhase::FullService),
        "{:?}",
        day.recovery_views
    );
}

#[test]
fn streams_that_stall_and_links_that_fail_while_power_returns() {
    let day = played(
        "gateways 3\nlength 11s\nat 2s power off all\nat 2500ms power on workers 0 4\nat 2500ms power on roster\n\
         at 2550ms link gateway 0 roster stalled\nat 2550ms link gateway 1 worker 0 deaf\n\
         at 2550ms link gateway 1 worker 1 stalled\nat 2550ms link gateway 2 worker 2 cut\n\
         at 2600ms power on gateways 0 2 every=50ms\nat 4s drain worker 3\nat 4500ms crash worker 3\n\
         at 6s link gateway 0 roster well\nat 6s link gateway 1 worker 0 well\nat 6s link gateway 1 worker 1 well\n\
         at 6s link gateway 2 worker 2 well",
        13,
    );
    assert_eq!(
        kinds(&day),
        [Some((RestartKind::MassFailure, DiskState::Intact)); 3]
    );
    assert!(finished_after(&day, 7.0) > 100);
}

#[test]
fn drawn_days_of_power_loss_keep_every_rule() {
    let program = GatewayProgram::lab_command(Path::new(env!("CARGO_BIN_EXE_quartzdrift-lab")), "gateway");
    let bad = power_loss::run_seeds(1..11, 5, &program, |_, _| {});
    let told: Vec<String> = bad
        .iter()
        .map(|bad| format!("seed {}: {}", bad.seed, bad.reason))
        .collect();
    assert!(told.is_empty(), "{told:?}");
}
