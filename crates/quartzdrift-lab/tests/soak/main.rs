//! A soak of a scheduler process: clients that use their connections until SIGKILL is due at its earliest, signals in
//! series, crowds, workers that answer late or not at all. Each run is drawn from a seed and judged by what clients and
//! workers saw, on one monotonic clock, and by the counts that the process logs at its end.
//!
//! `SOAK_SEEDS=1000..1060 cargo test --release -p quartzdrift-lab --test soak seeded` runs a range of seeds by hand.
mod client;
mod judge;
mod run;
mod seeds;
mod stalls;
mod worker;

use run::{Act, Scenario, play};
use std::time::Duration;

/// Seeds that CI runs, a handful at a time: less than a minute.
const CI_SEEDS: std::ops::Range<u64> = 1..65;
/// Runs at the same time.
const SIDE_BY_SIDE: usize = 4;

#[test]
fn a_stop_under_traffic_leaves_nothing_that_was_read_without_an_answer() {
    let ms = Duration::from_millis;
    for (deadline, pause) in [(50, 0), (300, 8), (1500, 0), (3000, 8)] {
        let report = play(&Scenario::steady(ms(deadline), ms(pause)), deadline);
        println!("deadline {deadline} ms: {}", report.summary);
        let faults = report.faults;
        assert!(faults.is_empty(), "deadline {deadline} ms: {faults:#?}");
    }
}

#[test]
fn after_a_pause_of_the_process_a_worker_is_told_what_the_client_has_left() {
    let ms = Duration::from_millis;
    let mut scenario = Scenario::steady(ms(1500), ms(2));
    scenario.before = vec![(ms(150), Act::Pause(ms(350))); 4];
    let report = play(&scenario, 1);
    assert!(
        report.faults.is_empty(),
        "{}: {:#?}",
        report.summary,
        report.faults
    );
}

#[test]
fn seeded_runs_keep_every_rule() {
    let seeds: Vec<u64> = seeds::from_environment("SOAK_SEEDS", CI_SEEDS).collect();
    let mut broken = Vec::new();
    for some in seeds.chunks(SIDE_BY_SIDE) {
        let runs: Vec<_> = some
            .iter()
            .map(|&seed| std::thread::spawn(move || (seed, play(&Scenario::drawn(seed), seed))))
            .collect();
        for run in runs {
            let (seed, report) = run.join().expect("a run ends");
            println!("seed {seed}: {}", report.summary);
            if !report.faults.is_empty() {
                println!("seed {seed}: {:?}", Scenario::drawn(seed));
                broken.push((seed, report.faults));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
