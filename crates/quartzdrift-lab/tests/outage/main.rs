//! Outages of discovery with drains in them, played with scheduler processes on loopback.
//!
//! The story: discovery was out of reach for every scheduler. Workers began to drain just after, stayed up, and turned away
//! all that was new. The schedulers went on sending to them, for as long as discovery was out of reach; users saw answers one
//! hop late, and where a third of the workers drained, rejections though the others had room.
//!
//! The cause: an endpoint list counted as true without end where discovery fell silent. A failed poll left it as it was, and
//! nothing knew how old it was. A worker that turned an attempt away was avoided for 150 ms; as it answered at once it looked
//! idle, and drew more than its share.
//!
//! The evidence: first attempts went out 0 to 3 ms after their requests had come, so nothing had waited; the first one that
//! counts was sent by every scheduler at the clock's end; played here, the sends go on until the first poll that discovery
//! answers, whether it refuses, holds calls or breaks off within an answer, and nothing is logged but that it is asked again.
//!
//! `OUTAGES="3 12 60 0.5 refuses 16 0.3:2; ..." cargo test --release -p quartzdrift-lab --test outage a_draining_worker -- --nocapture`
//! plays outages by hand: schedulers, workers, requests a second to each scheduler, grace in seconds, what ails discovery, how
//! long, and drains as seconds since the beginning and number of workers. `OUTAGE_SEEDS=100..150` and `seeded` in place of
//! `a_draining_worker` play drawn outages. `OUTAGE_LOGS` names a folder that the schedulers' logs are kept in.
mod clients;
mod discovery;
mod drawn;
mod fleet;
mod judge;
mod reserved;
#[path = "../soak/seeds.rs"]
mod seeds;
#[path = "../soak/stalls.rs"]
mod stalls;
mod worker;

use discovery::Health;
use fleet::{Act, Scenario, play};
use judge::Report;
use std::thread;
use std::time::Duration;

/// Outages that CI plays: two of twelve workers drain just after each began.
const OUTAGES: &str =
    "3 12 20 0.5 refuses 11 0.3:2; 3 12 20 0.5 silent 11 0.3:2; 3 12 20 0.5 breaks-off 11 0.3:2";
/// Seeds of drawn outages that CI plays.
const CI_SEEDS: std::ops::Range<u64> = 1..17;
/// Outages played at the same time.
const SIDE_BY_SIDE: usize = 4;

fn seconds(text: &str) -> Duration {
    Duration::from_secs_f64(text.parse().expect("a number of seconds"))
}

fn illness(text: &str) -> Health {
    match text {
        "refuses" => Health::Refuses,
        "resets" => Health::Resets,
        "silent" => Health::Silent,
        "drips" => Health::Drips,
        "breaks-off" => Health::BreaksOff,
        other => panic!("no illness of discovery: {other}"),
    }
}

/// The outage that a text describes.
fn scenario(text: &str) -> Scenario {
    let words: Vec<&str> = text.split_whitespace().collect();
    let [schedulers, workers, rate, grace, ails, length, drains @ ..] = &words[..] else {
        panic!("too few words: {text}");
    };
    let drain = |text: &&str| {
        let (at, count) = text.split_once(':').expect("a time and a number of workers");
        (seconds(at), Act::Drain(count.parse().expect("a number")))
    };
    Scenario {
        schedulers: schedulers.parse().expect("a number"),
        workers: workers.parse().expect("a number"),
        rate: rate.parse().expect("a number"),
        grace: seconds(grace),
        illness: illness(ails),
        length: seconds(length),
        acts: drains.iter().map(drain).collect(),
        seed: 1,
    }
}

/// Plays outages side by side.
fn play_all(scenarios: Vec<Scenario>) -> Vec<Report> {
    let threads: Vec<_> = scenarios
        .into_iter()
        .map(|scenario| thread::spawn(move || play(&scenario)))
        .collect();
    threads
        .into_iter()
        .map(|thread| thread.join().expect("an outage is played to its end"))
        .collect()
}

#[test]
fn a_draining_worker_gets_nothing_new_past_the_clock_of_an_outage() {
    let by_hand = std::env::var("OUTAGES");
    let text = by_hand.as_deref().unwrap_or(OUTAGES);
    let outages: Vec<&str> = text.split(';').map(str::trim).collect();
    // Those played by hand may be large, and are played one by one.
    let at_once = if by_hand.is_ok() { 1 } else { outages.len() };
    let mut reports = Vec::new();
    for some in outages.chunks(at_once) {
        reports.extend(play_all(some.iter().map(|text| scenario(text)).collect()));
        let last = reports.len() - some.len()..;
        for (outage, report) in some.iter().zip(&reports[last]) {
            println!("{outage}: {report}");
        }
    }
    for (outage, report) in outages.iter().zip(&reports) {
        assert_eq!(report.sends_past_limit, 0, "{outage}: {report}");
        assert_eq!(report.sends_past_short_limit, 0, "{outage}: {report}");
        assert_eq!(report.lost, 0, "{outage}: {report}");
        assert!(by_hand.is_ok() || report.served > 0.95, "{outage}: {report}");
    }
}

#[test]
fn seeded_outages_keep_drains_and_lose_nothing() {
    let seeds: Vec<u64> = seeds::from_environment("OUTAGE_SEEDS", CI_SEEDS).collect();
    let mut faults = Vec::new();
    for some in seeds.chunks(SIDE_BY_SIDE) {
        let scenarios: Vec<Scenario> = some.iter().map(|seed| drawn::scenario(*seed)).collect();
        let reports = play_all(scenarios.clone());
        for ((seed, scenario), report) in some.iter().zip(&scenarios).zip(&reports) {
            println!("seed {seed}: {}: {report}", drawn::summary(scenario));
            let found = drawn::faults(scenario, report);
            faults.extend(found.map(|fault| format!("seed {seed}: {fault}")));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
