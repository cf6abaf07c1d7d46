//! Discovery outages during which workers drain, run with scheduler processes on loopback.
//!
//! Guards against this failure: discovery was unreachable for every scheduler. Workers began to drain shortly
//! afterwards, stayed up, and rejected every new attempt. The schedulers kept sending to them until discovery
//! was reachable again. Responses were delayed by one extra attempt, and where a third of the workers
//! drained, requests were rejected although the other workers had capacity.
//!
//! Cause: the endpoint list never expired. A failed poll left it unchanged, and its age was not recorded. A
//! worker that rejected an attempt was avoided for 150 ms only. Because it rejected at once, it looked idle
//! and received more than its share of the requests.
//!
//! Evidence: first attempts were sent 0 to 3 ms after their requests arrived, so no request had waited in a
//! queue. Every scheduler sent its first late attempt as soon as the limit had passed. Reproduced here, the
//! late sends continue until the first poll that discovery answers, whether it refuses connections, never
//! answers or closes the connection within a response. The only log line is that the poll is repeated.
//!
//! `OUTAGES="3 12 60 0.5 refuses 16 0.3:2; ..." cargo test --release -p quartzdrift-lab --test outage a_draining_worker -- --nocapture`
//! runs the given outages. The fields of each are: schedulers, workers, requests per second to each scheduler,
//! drain grace in seconds, fault of discovery, length in seconds, and drains as seconds since the start of the
//! outage and number of workers. `OUTAGE_SEEDS=100..150` and `seeded` in place of `a_draining_worker` run
//! random outages of these seeds. `OUTAGE_LOGS` names the folder where the schedulers' logs are kept.
mod clients;
mod evaluation;
mod fake_coordinator;
mod fleet;
mod random_scenario;
mod reserved_address;
#[path = "../soak/seeds.rs"]
mod seeds;
#[path = "../soak/stalls.rs"]
mod stalls;
mod worker;

use evaluation::Report;
use fake_coordinator::CoordinatorHealth;
use fleet::{Scenario, ScenarioStep, run};
use std::thread;
use std::time::Duration;

/// Outages that CI runs: in each, two of twelve workers start to drain 0.3 s after the outage began.
const CI_OUTAGES: &str =
    "3 12 20 0.5 refuses 11 0.3:2; 3 12 20 0.5 silent 11 0.3:2; 3 12 20 0.5 breaks-off 11 0.3:2";
/// Seeds of the random outages that CI runs.
const CI_SEEDS: std::ops::Range<u64> = 1..17;
/// Random outages that run at the same time.
const CONCURRENT_OUTAGES: usize = 4;

fn parse_seconds(text: &str) -> Duration {
    let seconds = text.parse();
    Duration::from_secs_f64(
        seconds.unwrap_or_else(|_| panic!("a time of an outage must be a number of seconds, not {text:?}")),
    )
}

fn parse_fault(text: &str) -> CoordinatorHealth {
    match text {
        "refuses" => CoordinatorHealth::Refuses,
        "resets" => CoordinatorHealth::Resets,
        "silent" => CoordinatorHealth::Silent,
        "drips" => CoordinatorHealth::Drips,
        "breaks-off" => CoordinatorHealth::BreaksOff,
        other => panic!("unknown fault of discovery: {other:?}"),
    }
}

/// Parses an outage in the notation of the variable `OUTAGES`.
fn parse_scenario(text: &str) -> Scenario {
    let fields: Vec<&str> = text.split_whitespace().collect();
    let [schedulers, workers, rate, grace, fault, length, drains @ ..] = &fields[..] else {
        panic!("an outage has at least 6 fields: {text:?}");
    };
    let drain = |text: &&str| {
        let (at, count) = text
            .split_once(':')
            .unwrap_or_else(|| panic!("a drain must have the form SECONDS:WORKERS, not {text:?}"));
        let count = count
            .parse()
            .unwrap_or_else(|_| panic!("the workers of a drain must be a number, not {count:?}"));
        (parse_seconds(at), ScenarioStep::Drain(count))
    };
    Scenario {
        schedulers: schedulers
            .parse()
            .unwrap_or_else(|_| panic!("the schedulers of an outage must be a number, not {schedulers:?}")),
        workers: workers
            .parse()
            .unwrap_or_else(|_| panic!("the workers of an outage must be a number, not {workers:?}")),
        requests_per_second: rate
            .parse()
            .unwrap_or_else(|_| panic!("the rate of an outage must be a number, not {rate:?}")),
        drain_grace: parse_seconds(grace),
        fault: parse_fault(fault),
        length: parse_seconds(length),
        steps: drains.iter().map(drain).collect(),
        seed: 1,
    }
}

/// Runs all scenarios at the same time and returns their reports in the same order.
fn run_all(scenarios: Vec<Scenario>) -> Vec<Report> {
    let threads: Vec<_> = scenarios
        .into_iter()
        .map(|scenario| thread::spawn(move || run(&scenario)))
        .collect();
    threads
        .into_iter()
        .map(|thread| thread.join().expect("the thread of a scenario must not panic"))
        .collect()
}

#[test]
fn a_draining_worker_receives_no_new_request_after_the_limit_of_an_outage() {
    let from_environment = std::env::var("OUTAGES");
    let text = from_environment.as_deref().unwrap_or(CI_OUTAGES);
    let outages: Vec<&str> = text.split(';').map(str::trim).collect();
    // Outages from the environment may be large, so they run one at a time.
    let concurrent = if from_environment.is_ok() {
        1
    } else {
        outages.len()
    };
    let mut reports = Vec::new();
    for chunk in outages.chunks(concurrent) {
        reports.extend(run_all(chunk.iter().map(|text| parse_scenario(text)).collect()));
        let last = reports.len() - chunk.len()..;
        for (outage, report) in chunk.iter().zip(&reports[last]) {
            println!("{outage}: {report}");
        }
    }
    for (outage, report) in outages.iter().zip(&reports) {
        assert_eq!(report.sends_past_limit, 0, "{outage}: {report}");
        assert_eq!(report.sends_past_short_limit, 0, "{outage}: {report}");
        assert_eq!(report.lost, 0, "{outage}: {report}");
        assert!(
            from_environment.is_ok() || report.served_share > 0.95,
            "{outage}: {report}"
        );
    }
}

#[test]
fn seeded_outages_respect_drains_and_lose_no_request() {
    let seeds: Vec<u64> = seeds::from_environment("OUTAGE_SEEDS", CI_SEEDS).collect();
    let mut violations = Vec::new();
    for chunk in seeds.chunks(CONCURRENT_OUTAGES) {
        let scenarios: Vec<Scenario> = chunk
            .iter()
            .map(|seed| random_scenario::generate(*seed))
            .collect();
        let reports = run_all(scenarios.clone());
        for ((seed, scenario), report) in chunk.iter().zip(&scenarios).zip(&reports) {
            println!("seed {seed}: {}: {report}", random_scenario::summary(scenario));
            let found = random_scenario::violations(scenario, report);
            violations.extend(found.map(|violation| format!("seed {seed}: {violation}")));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
