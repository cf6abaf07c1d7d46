//! Soak tests of a scheduler process: clients that use their connections until the earliest possible SIGKILL,
//! series of signals, many silent connections, and workers that respond late or never. Each run is generated
//! from a seed. It is evaluated by the records of clients and workers, on one monotonic clock, and by the
//! counts that the process logs at its exit.
//!
//! `SOAK_SEEDS=1000..1060 cargo test --release -p quartzdrift-lab --test soak seeded` runs a range of seeds by hand;
//! `SOAK_FLOOD_SEEDS` does so for the runs beside floods.
mod client;
mod evaluation;
mod flood;
mod resources;
mod run;
mod seeds;
mod stalls;
mod worker;

use flood::{Flood, FloodKind};
use run::{Scenario, ScenarioStep, run};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Seeds that CI runs, which take less than a minute.
const CI_SEEDS: std::ops::Range<u64> = 1..65;
/// Seeds of runs beside a flood that CI runs, which take less than a minute.
const CI_FLOOD_SEEDS: std::ops::Range<u64> = 1..17;
/// Runs that take place at the same time.
const CONCURRENT_RUNS: usize = 4;
/// Runs beside a flood that take place at the same time. Each has up to 160 clients.
const CONCURRENT_FLOODS: usize = 2;

/// Held by each test: a flood of one test takes processor time from the threads of another, whose records of
/// time would then be wrong.
static PROCESSORS: Mutex<()> = Mutex::new(());

/// Waits until no other test of this file runs.
fn take_processors() -> MutexGuard<'static, ()> {
    // A test that has failed leaves nothing behind that could affect the next one.
    PROCESSORS.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn a_stop_under_traffic_answers_each_request_that_was_read() {
    let _processors = take_processors();
    let ms = Duration::from_millis;
    for (deadline, pause) in [(50, 0), (300, 8), (1500, 0), (3000, 8)] {
        let report = run(&Scenario::steady(ms(deadline), ms(pause)), deadline);
        println!("deadline {deadline} ms: {}", report.summary);
        let violations = report.violations;
        assert!(violations.is_empty(), "deadline {deadline} ms: {violations:#?}");
    }
}

#[test]
fn after_a_pause_of_the_process_time_limits_match_the_remaining_time_of_the_client() {
    let _processors = take_processors();
    let ms = Duration::from_millis;
    let mut scenario = Scenario::steady(ms(1500), ms(2));
    scenario.before = vec![(ms(150), ScenarioStep::Pause(ms(350))); 4];
    let report = run(&scenario, 1);
    assert!(
        report.violations.is_empty(),
        "{}: {:#?}",
        report.summary,
        report.violations
    );
}

/// Runs steady clients beside a flood, with a reload and a stop under it, and fails if a rule is broken.
fn assert_served_beside_flood(kind: FloodKind, clients: usize, memory_mb: u32, duration: Duration) {
    let scenario = Scenario::beside_flood(Flood { kind, clients }, memory_mb, duration);
    let report = run(&scenario, 1);
    println!("{clients} clients, {kind:?}, {memory_mb} MB: {}", report.summary);
    assert!(
        report.violations.is_empty(),
        "{}: {:#?}",
        report.summary,
        report.violations
    );
}

/// Guards against memory that grows with each new function name in a withdrawn request.
#[test]
fn withdrawn_requests_for_new_functions_do_not_exceed_the_memory_limit() {
    let _processors = take_processors();
    assert_served_beside_flood(FloodKind::Withdrawn, 8, 32, Duration::from_secs(14));
}

/// Guards against a turn of the event loop that ends only when clients pause, in which nothing is sent and no
/// connection is accepted, and against bodies that are held for attempts and bounded for each client only.
#[test]
fn clients_that_send_without_a_pause_do_not_delay_the_responses_of_others() {
    let _processors = take_processors();
    for kind in [
        FloodKind::LargeBodies,
        FloodKind::CeaselessWithdrawn,
        FloodKind::Ceaseless,
    ] {
        assert_served_beside_flood(kind, 160, 32, Duration::from_secs(3));
    }
}

/// Guards against partial requests that are bounded for each client and not over all clients.
#[test]
fn partial_requests_of_many_clients_do_not_exceed_the_memory_limit() {
    let _processors = take_processors();
    for kind in [FloodKind::UnfinishedBodies, FloodKind::UnfinishedParams] {
        assert_served_beside_flood(kind, 160, 32, Duration::from_secs(3));
    }
}

/// Guards against a turn that is spent on making room for clients that come again and again, against answers that
/// are dropped with a client that is closed for it, and against more descriptors than the limit.
#[test]
fn clients_that_withdraw_requests_and_reconnect_cost_others_no_response() {
    let _processors = take_processors();
    for clients in [20, 100, 160] {
        assert_served_beside_flood(FloodKind::Reconnecting, clients, 48, Duration::from_secs(4));
    }
}

#[test]
fn seeded_runs_break_no_rule() {
    let _processors = take_processors();
    let seeds = seeds::from_environment("SOAK_SEEDS", CI_SEEDS);
    run_seeds(seeds, CONCURRENT_RUNS, Scenario::random);
}

/// Guards against any of the floods together with signals, pauses, silent connections and late workers.
#[test]
fn seeded_runs_beside_floods_break_no_rule() {
    let _processors = take_processors();
    let seeds = seeds::from_environment("SOAK_FLOOD_SEEDS", CI_FLOOD_SEEDS);
    run_seeds(seeds, CONCURRENT_FLOODS, Scenario::random_beside_flood);
}

/// Runs the scenarios of the seeds, `concurrent` of them at the same time, and fails if any breaks a rule.
fn run_seeds(seeds: std::ops::Range<u64>, concurrent: usize, scenario: fn(u64) -> Scenario) {
    let seeds: Vec<u64> = seeds.collect();
    let mut failed_runs = Vec::new();
    for chunk in seeds.chunks(concurrent) {
        let runs: Vec<_> = chunk
            .iter()
            .map(|&seed| std::thread::spawn(move || (seed, run(&scenario(seed), seed))))
            .collect();
        for run in runs {
            let (seed, report) = run.join().expect("the thread of a run must not panic");
            println!("seed {seed}: {}", report.summary);
            if !report.violations.is_empty() {
                println!("seed {seed}: {:?}", scenario(seed));
                failed_runs.push((seed, report.violations));
            }
        }
    }
    assert!(failed_runs.is_empty(), "{failed_runs:#?}");
}
