//! Outages drawn from a seed: what ails discovery, drains before and after the clock, and other trouble beside them.
use super::discovery::{Health, ILLNESSES};
use super::fleet::{Act, Scenario};
use super::judge::Report;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Bounds of an outage's length.
const LENGTH: std::ops::Range<Duration> = Duration::from_millis(5_000)..Duration::from_millis(10_000);
/// Longest pause of the schedulers.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);
/// Between a good time within an outage and what comes after it.
const GOOD_TIME: Duration = Duration::from_millis(1_200);
/// Share of requests that must be served once discovery is heard again.
const SERVED_AFTER: f64 = 0.9;

/// The outage of a seed.
pub fn scenario(seed: u64) -> Scenario {
    let mut random = StdRng::seed_from_u64(seed);
    let length = random.random_range(LENGTH);
    let workers = random.random_range(6..13);
    let mut acts = Vec::new();
    let mut drained = 0;
    for _ in 0..random.random_range(1..4) {
        let count = random.random_range(1..3);
        // Some workers go on taking work.
        if drained + count < workers {
            drained += count;
            acts.push((random.random_range(Duration::ZERO..length), Act::Drain(count)));
        }
    }
    for _ in 0..random.random_range(0..3) {
        let at = random.random_range(Duration::ZERO..length);
        acts.extend(trouble(&mut random, at));
    }
    acts.sort_by_key(|(at, _)| *at);
    Scenario {
        schedulers: random.random_range(1..4),
        workers,
        rate: random.random_range(4.0..40.0),
        grace: *[250, 500, 1_000, 2_000]
            .map(Duration::from_millis)
            .choose(&mut random)
            .expect("there are some"),
        illness: illness(&mut random),
        length,
        acts,
        seed,
    }
}

fn illness(random: &mut StdRng) -> Health {
    *ILLNESSES.choose(random).expect("there are some")
}

fn trouble(random: &mut StdRng, at: Duration) -> Vec<(Duration, Act)> {
    match random.random_range(0..6) {
        0 => vec![(at, Act::Pause(random.random_range(Duration::ZERO..MAX_PAUSE)))],
        1 => vec![(at, Act::HangUp), (at + Duration::from_millis(300), Act::HangUp)],
        2 => vec![(at, Act::Restart)],
        3 => vec![(at, Act::Replace)],
        4 => vec![(at, Act::Discovery(illness(random)))],
        _ => vec![
            (at, Act::Discovery(Health::Well)),
            (at + GOOD_TIME, Act::Discovery(illness(random))),
        ],
    }
}

/// The outage in a line.
pub fn summary(scenario: &Scenario) -> String {
    let acts: Vec<String> = scenario
        .acts
        .iter()
        .map(|(at, act)| format!("{:.1} {act:?}", at.as_secs_f64()))
        .collect();
    format!(
        "{} schedulers, {} workers, {:.0}/s, grace {:?}, {:?} for {:.1} s, {}",
        scenario.schedulers,
        scenario.workers,
        scenario.rate,
        scenario.grace,
        scenario.illness,
        scenario.length.as_secs_f64(),
        acts.join(", "),
    )
}

/// What broke, in sentences.
pub fn faults(scenario: &Scenario, report: &Report) -> impl Iterator<Item = String> {
    let has = |wanted: fn(&Act) -> bool| scenario.acts.iter().any(|(_, act)| wanted(act));
    let late = report.sends_past_short_limit;
    let late = (late > 0).then(|| format!("{late} sends past the limit, by up to {:?}", report.latest));
    // A kill cuts what is open.
    let may_cut = has(|act| matches!(act, Act::Restart));
    let lost = (report.lost > 0 && !may_cut).then(|| format!("{} requests lost", report.lost));
    // Whoever follows an address where nobody listens stays there.
    let comes_back = !has(|act| matches!(act, Act::HangUp));
    let stays_out = (comes_back && report.served_after < SERVED_AFTER)
        .then(|| format!("served {:.3} after the outage", report.served_after));
    [late, lost, stays_out].into_iter().flatten()
}
