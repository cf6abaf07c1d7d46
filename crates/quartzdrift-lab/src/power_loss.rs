//! Days of power loss drawn from a seed: who is back when, what is spoilt, cut off, set wrong or lost again meanwhile.
use crate::record::Observation;
use crate::scenario::{self, Fault, Scenario};
use crate::scenario_runner::{self, GatewayProgram, ScenarioRun};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};

/// Power goes after this, in ms: some requests are out, some wait.
const OFF_MS: u64 = 2_000;
/// The same where a folder is put back from a copy made in the first second: others have noted by then what came after it. A copy
/// that is younger than that, or of which nobody who is heard knows, cannot be told (docs/design-recovery.md).
const OFF_OLDER_MS: u64 = 8_000;

/// The script of a seed; the same for each.
pub fn scenario_text(seed: u64) -> String {
    let mut chance = StdRng::seed_from_u64(seed);
    let gateways = chance.random_range(3..6);
    let workers = chance.random_range(3..6);
    let spoils = ["cut", "flip", "older", "other", "empty", "unreadable"];
    let spoil = chance
        .random_bool(0.4)
        .then(|| spoils[chance.random_range(0..spoils.len())]);
    let older = spoil == Some("older");
    let first = if older { OFF_OLDER_MS } else { OFF_MS };
    let mut text = format!(
        "gateways {gateways}\nworkers {workers} cores=4 memory=1600 keep=60s queue=60\n\
         store capacity={} limit=16\nroster lag=20ms\nfleet 50ms\n\
         workload quote restartable rate=30 work=5ms limit=2s functions=4 memory=60 load=100ms lanes=2\n\
         workload stamp fingerprinted window=3s rate=10 work=40ms limit=1s functions=1 memory=60 load=100ms lanes=2\n\
         workload pay run-once rate=10 work=40ms limit=1s functions=1 memory=60 load=100ms lanes=2\n\
         workload again restartable rate=10 work=40ms limit=2s functions=1 memory=60 load=100ms lanes=2 deferred\n\
         workload sealed fingerprinted window=3s rate=10 work=80ms limit=2s functions=1 memory=60 load=100ms lanes=2 deferred\n\
         workload once run-once rate=10 work=80ms limit=2s functions=1 memory=60 load=100ms lanes=2 deferred\n\
         length {}ms\nat 1s copy gateway 0\n",
        chance.random_range(3..9),
        first + 7_000,
    );
    let mut line = |at: u64, what: String| {
        // Writing into a string cannot fail.
        let _ = writeln!(text, "at {at}ms {what}");
    };
    let mut off = first;
    for _ in 0..if chance.random_bool(0.3) { 2 } else { 1 } {
        line(off, "power off all".to_owned());
        let back = off + chance.random_range(100..1_500);
        line(back + chance.random_range(0..800), "power on roster".to_owned());
        for n in 0..workers {
            line(
                back + chance.random_range(0..800),
                format!("power on workers {n} {n}"),
            );
        }
        let never = chance.random_bool(0.2).then(|| chance.random_range(0..gateways));
        for n in (0..gateways).filter(|n| Some(*n) != never) {
            line(
                back + chance.random_range(0..1_000),
                format!("power on gateways {n} {n}"),
            );
        }
        if off == first {
            if let Some(spoil) = spoil {
                line(off + 50, format!("spoil gateway 0 {spoil}"));
            }
            if chance.random_bool(0.4) {
                let way = if chance.random_bool(0.5) {
                    "ahead"
                } else {
                    "behind"
                };
                line(off + 50, format!("clock gateway 1 {way} 1h"));
            }
            if chance.random_bool(0.3) && !older {
                let way = if chance.random_bool(0.5) {
                    "apart"
                } else {
                    "unheard"
                };
                line(
                    off + 50,
                    format!("{way} gateways 0 {}", chance.random_range(0..gateways - 1)),
                );
                line(back + 2_500, "together gateways".to_owned());
            }
            if chance.random_bool(0.3) && !older {
                line(
                    OFF_MS / 2,
                    format!("lose datagrams {:.2}", chance.random_range(0.05..0.4)),
                );
                line(OFF_MS / 2, "double datagrams 0.2".to_owned());
                line(OFF_MS / 2, "late datagrams 20ms".to_owned());
            }
        }
        off = back + chance.random_range(300..1_500);
    }
    text
}

/// Of a day on sockets with power lost: seconds from the first start after the last loss until calls were finished in their start
/// target as often as before the first, or nearly, for good; looked at in windows of a second. A client's repeats count with its first.
pub fn recovery_seconds(day: &ScenarioRun, script: &Scenario) -> Option<f64> {
    const NEARLY: f64 = 0.95;
    let moments = |of: fn(&Fault) -> bool| {
        script
            .faults
            .iter()
            .filter(move |(_, t)| of(t))
            .map(|(at, _)| at.as_secs_f64())
    };
    let offs: Vec<f64> = moments(|t| matches!(t, Fault::PowerOff { .. })).collect();
    let (first, last) = (*offs.first()?, *offs.last()?);
    let back = moments(|t| matches!(t, Fault::PowerOnGateway(_) | Fault::Start(_))).find(|at| *at > last)?;
    let mut calls: BTreeMap<u64, &str> = BTreeMap::new();
    let mut keys: BTreeMap<&str, (f64, f64, bool)> = BTreeMap::new();
    // The record began before the faults' clock, at the first gateway's start.
    let start = day
        .lines
        .iter()
        .find(|line| matches!(line.seen, Observation::CallSent { .. }))?
        .at_us as f64
        / 1e6;
    for line in &day.lines {
        let at = line.at_us as f64 / 1e6 - start;
        if let Observation::CallSent {
            call,
            key,
            request_class,
            asynchronous: false,
            ..
        } = &line.seen
        {
            let target = script
                .request_classes
                .iter()
                .find(|w| w.name == *request_class)?
                .latency_objective
                .as_secs_f64();
            keys.entry(key).or_insert((at, target, false));
            calls.insert(*call, key);
        }
        if let Observation::ResponseReceived {
            call,
            status: 200,
            killed: false,
            ..
        } = &line.seen
            && let Some((asked, target, good)) = calls.get(call).and_then(|key| keys.get_mut(key))
        {
            *good |= at <= *asked + *target;
        }
    }
    let share = |from: f64, to: f64| {
        let of = keys.values().filter(|(asked, ..)| (from..to).contains(asked));
        let (all, good) = of.fold((0u32, 0u32), |(all, good), of| (all + 1, good + u32::from(of.2)));
        (all > 0).then(|| f64::from(good) / f64::from(all))
    };
    let before = share(first / 2.0, first)?;
    let (mut from, mut since) = (back, back);
    while from + 1.0 < script.length.as_secs_f64() {
        if share(from, from + 1.0).is_some_and(|share| share < NEARLY * before) {
            since = from + 0.25;
        }
        from += 0.25;
    }
    Some(since - back)
}

/// A day that broke a rule, or could not be played.
pub struct FailedSeed {
    pub seed: u64,
    pub reason: String,
}

/// Plays the days of these seeds, so many at a time; `tell` hears of each.
pub fn run_seeds(
    seeds: std::ops::Range<u64>,
    at_a_time: usize,
    program: &GatewayProgram,
    tell: impl Fn(u64, &io::Result<ScenarioRun>) + Sync,
) -> Vec<FailedSeed> {
    let (next, bad) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..at_a_time.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let read = scenario::read(&scenario_text(seed)).map_err(io::Error::other);
                    let played = read.and_then(|script| scenario_runner::run(&script, program, seed));
                    tell(seed, &played);
                    let reason = match &played {
                        Ok(day) if day.violations.is_empty() => continue,
                        Ok(day) => day.violations.iter().map(|b| format!("{b}\n")).collect(),
                        Err(e) => e.to_string(),
                    };
                    bad.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(FailedSeed { seed, reason });
                }
            });
        }
    });
    bad.into_inner().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_seed_draws_a_day_that_can_be_read_and_the_same_one_again() {
        for seed in 0..500 {
            scenario::read(&scenario_text(seed))
                .unwrap_or_else(|why| panic!("seed {seed}: {why}\n{}", scenario_text(seed)));
        }
        assert!(scenario_text(1) == scenario_text(1) && scenario_text(1) != scenario_text(2));
    }
}
