//! Random outages by seed: a fault of discovery, drains at any time of the outage, and further faults.
use super::evaluation::Report;
use super::fake_coordinator::{COORDINATOR_FAULTS, CoordinatorHealth};
use super::fleet::{Scenario, ScenarioStep};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Range of the length of an outage.
const LENGTH: std::ops::Range<Duration> = Duration::from_millis(5_000)..Duration::from_millis(10_000);
/// Longest time for which the schedulers are stopped.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);
/// Length of a period within an outage in which discovery works.
const WORKING_PERIOD: Duration = Duration::from_millis(1_200);
/// Share of requests that must be served after the outage.
const MIN_SERVED_SHARE_AFTER: f64 = 0.9;

/// Generates the outage of a seed.
pub fn generate(seed: u64) -> Scenario {
    let mut random = StdRng::seed_from_u64(seed);
    let length = random.random_range(LENGTH);
    let workers = random.random_range(6..13);
    let mut steps = Vec::new();
    let mut drained = 0;
    for _ in 0..random.random_range(1..4) {
        let count = random.random_range(1..3);
        // At least one worker never drains.
        if drained + count < workers {
            drained += count;
            steps.push((
                random.random_range(Duration::ZERO..length),
                ScenarioStep::Drain(count),
            ));
        }
    }
    for _ in 0..random.random_range(0..3) {
        let at = random.random_range(Duration::ZERO..length);
        steps.extend(random_fault(&mut random, at));
    }
    steps.sort_by_key(|(at, _)| *at);
    Scenario {
        schedulers: random.random_range(1..4),
        workers,
        requests_per_second: random.random_range(4.0..40.0),
        drain_grace: *[250, 500, 1_000, 2_000]
            .map(Duration::from_millis)
            .choose(&mut random)
            .expect("the list of drain graces must not be empty"),
        fault: coordinator_fault(&mut random),
        length,
        steps,
        seed,
    }
}

fn coordinator_fault(random: &mut StdRng) -> CoordinatorHealth {
    *COORDINATOR_FAULTS
        .choose(random)
        .expect("the list of faults must not be empty")
}

/// Returns the steps of a further fault that begins at `at`, a time since the start of the outage.
fn random_fault(random: &mut StdRng, at: Duration) -> Vec<(Duration, ScenarioStep)> {
    match random.random_range(0..6) {
        0 => vec![(
            at,
            ScenarioStep::Pause(random.random_range(Duration::ZERO..MAX_PAUSE)),
        )],
        1 => vec![
            (at, ScenarioStep::HangUp),
            (at + Duration::from_millis(300), ScenarioStep::HangUp),
        ],
        2 => vec![(at, ScenarioStep::Restart)],
        3 => vec![(at, ScenarioStep::Replace)],
        4 => vec![(at, ScenarioStep::Discovery(coordinator_fault(random)))],
        _ => vec![
            (at, ScenarioStep::Discovery(CoordinatorHealth::Well)),
            (
                at + WORKING_PERIOD,
                ScenarioStep::Discovery(coordinator_fault(random)),
            ),
        ],
    }
}

/// Describes the outage in one line.
pub fn summary(scenario: &Scenario) -> String {
    let steps: Vec<String> = scenario
        .steps
        .iter()
        .map(|(at, step)| format!("{:.1} {step:?}", at.as_secs_f64()))
        .collect();
    format!(
        "{} schedulers, {} workers, {:.0} requests/s, drain grace {:?}, {:?} for {:.1} s, {}",
        scenario.schedulers,
        scenario.workers,
        scenario.requests_per_second,
        scenario.drain_grace,
        scenario.fault,
        scenario.length.as_secs_f64(),
        steps.join(", "),
    )
}

/// Returns a sentence for each rule that the run broke.
pub fn violations(scenario: &Scenario, report: &Report) -> impl Iterator<Item = String> {
    let has = |wanted: fn(&ScenarioStep) -> bool| scenario.steps.iter().any(|(_, step)| wanted(step));
    let late_count = report.sends_past_short_limit;
    let late_sends = (late_count > 0).then(|| {
        format!(
            "{late_count} sends after the limit, by up to {:?}",
            report.max_lateness
        )
    });
    // A killed scheduler closes its connections with requests in flight.
    let may_lose_requests = has(|step| matches!(step, ScenarioStep::Restart));
    let lost = (report.lost > 0 && !may_lose_requests).then(|| format!("{} requests lost", report.lost));
    // After a hang-up signal the schedulers poll an address without a listener, also after the outage.
    let recovers = !has(|step| matches!(step, ScenarioStep::HangUp));
    let not_recovered = (recovers && report.served_share_after < MIN_SERVED_SHARE_AFTER).then(|| {
        format!(
            "a share of {:.3} was served after the outage",
            report.served_share_after
        )
    });
    [late_sends, lost, not_recovered].into_iter().flatten()
}
