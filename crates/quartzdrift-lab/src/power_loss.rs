//! Random scenarios of power loss, each drawn from a seed. The seed determines when each process starts
//! again, and which further faults occur: damaged state, shifted clocks, partitions, lost datagrams, another
//! power loss.
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

/// Time of the first power loss in milliseconds: late enough that requests are open and others wait.
const POWER_OFF_MS: u64 = 2_000;
/// Time of the first power loss if a state folder is replaced by its copy from the first second. By then the
/// other gateways have stored a later state of this gateway. An old copy cannot be recognised as old if no
/// reachable gateway has stored a later state (docs/design-recovery.md).
const POWER_OFF_OLDER_STATE_MS: u64 = 8_000;

/// The text of the scenario file that a seed gives.
pub fn scenario_text(seed: u64) -> String {
    let mut random = StdRng::seed_from_u64(seed);
    let gateways = random.random_range(3..6);
    let workers = random.random_range(3..6);
    let damages = ["cut", "flip", "older", "other", "empty", "unreadable"];
    let damage = random
        .random_bool(0.4)
        .then(|| damages[random.random_range(0..damages.len())]);
    let restores_older_state = damage == Some("older");
    let first_off_ms = if restores_older_state {
        POWER_OFF_OLDER_STATE_MS
    } else {
        POWER_OFF_MS
    };
    let mut text = format!(
        "gateways {gateways}\nworkers {workers} cores=4 memory=1600 keep=60s queue=60\n\
         store capacity={} limit=16\nroster lag=20ms\nfleet 50ms\n\
         workload quote restartable rate=30 work=5ms limit=2s functions=4 memory=60 load=100ms lanes=2\n\
         workload stamp fingerprinted window=3s rate=10 work=40ms limit=1s functions=1 memory=60 \
         load=100ms lanes=2\n\
         workload pay run-once rate=10 work=40ms limit=1s functions=1 memory=60 load=100ms lanes=2\n\
         workload again restartable rate=10 work=40ms limit=2s functions=1 memory=60 load=100ms \
         lanes=2 deferred\n\
         workload sealed fingerprinted window=3s rate=10 work=80ms limit=2s functions=1 memory=60 load=100ms \
         lanes=2 deferred\n\
         workload once run-once rate=10 work=80ms limit=2s functions=1 memory=60 load=100ms \
         lanes=2 deferred\n\
         length {}ms\nat 1s copy gateway 0\n",
        random.random_range(3..9),
        first_off_ms + 7_000,
    );
    let mut add_fault = |at_ms: u64, fault: String| {
        // Writing into a string cannot fail.
        let _ = writeln!(text, "at {at_ms}ms {fault}");
    };
    let mut off_ms = first_off_ms;
    for _ in 0..if random.random_bool(0.3) { 2 } else { 1 } {
        add_fault(off_ms, "power off all".to_owned());
        let on_ms = off_ms + random.random_range(100..1_500);
        add_fault(on_ms + random.random_range(0..800), "power on roster".to_owned());
        for n in 0..workers {
            add_fault(
                on_ms + random.random_range(0..800),
                format!("power on workers {n} {n}"),
            );
        }
        let stays_off = random.random_bool(0.2).then(|| random.random_range(0..gateways));
        for n in (0..gateways).filter(|n| Some(*n) != stays_off) {
            add_fault(
                on_ms + random.random_range(0..1_000),
                format!("power on gateways {n} {n}"),
            );
        }
        if off_ms == first_off_ms {
            if let Some(damage) = damage {
                add_fault(off_ms + 50, format!("spoil gateway 0 {damage}"));
            }
            if random.random_bool(0.4) {
                let direction = if random.random_bool(0.5) {
                    "ahead"
                } else {
                    "behind"
                };
                add_fault(off_ms + 50, format!("clock gateway 1 {direction} 1h"));
            }
            if random.random_bool(0.3) && !restores_older_state {
                let partition = if random.random_bool(0.5) {
                    "apart"
                } else {
                    "unheard"
                };
                add_fault(
                    off_ms + 50,
                    format!("{partition} gateways 0 {}", random.random_range(0..gateways - 1)),
                );
                add_fault(on_ms + 2_500, "together gateways".to_owned());
            }
            if random.random_bool(0.3) && !restores_older_state {
                add_fault(
                    POWER_OFF_MS / 2,
                    format!("lose datagrams {:.2}", random.random_range(0.05..0.4)),
                );
                add_fault(POWER_OFF_MS / 2, "double datagrams 0.2".to_owned());
                add_fault(POWER_OFF_MS / 2, "late datagrams 20ms".to_owned());
            }
        }
        off_ms = on_ms + random.random_range(300..1_500);
    }
    text
}

/// A client's request with its retries. Times are in seconds since the start of the traffic.
struct ClientRequest {
    sent: f64,
    /// Time at which the latency objective of the first call ends.
    deadline: f64,
    in_time: bool,
}

/// Recovery time of a run from its power losses: seconds from the first start after the last loss
/// until the share of calls that finish within their latency objective stays at nearly its level before the
/// first loss. The share is taken over windows of a second, and a client's retries count as part of its first
/// call. `None` if the scenario has no power loss or nothing starts again, or if the record has no calls
/// before the first loss.
pub fn recovery_seconds(run: &ScenarioRun, scenario: &Scenario) -> Option<f64> {
    /// Share of the level before the first loss that counts as recovered.
    const RECOVERED: f64 = 0.95;
    const WINDOW_S: f64 = 1.0;
    const STEP_S: f64 = 0.25;
    let fault_times = |matches: fn(&Fault) -> bool| {
        scenario
            .faults
            .iter()
            .filter(move |(_, fault)| matches(fault))
            .map(|(at, _)| at.as_secs_f64())
    };
    let power_losses: Vec<f64> = fault_times(|fault| matches!(fault, Fault::PowerOff { .. })).collect();
    let (first_loss, last_loss) = (*power_losses.first()?, *power_losses.last()?);
    let mut starts = fault_times(|fault| matches!(fault, Fault::PowerOnGateway(_) | Fault::StartWorker(_)));
    let first_start = starts.find(|at| *at > last_loss)?;
    let mut key_of_call: BTreeMap<u64, &str> = BTreeMap::new();
    let mut requests: BTreeMap<&str, ClientRequest> = BTreeMap::new();
    // The record begins with the start of the gateways; times of faults count from the start of the traffic.
    let traffic_start = run
        .lines
        .iter()
        .find(|line| matches!(line.seen, Observation::CallSent { .. }))?
        .at_us as f64
        / 1e6;
    for line in &run.lines {
        let at = line.at_us as f64 / 1e6 - traffic_start;
        if let Observation::CallSent {
            call,
            key,
            request_class,
            asynchronous: false,
            ..
        } = &line.seen
        {
            let objective = scenario
                .request_classes
                .iter()
                .find(|class| class.name == *request_class)?
                .latency_objective
                .as_secs_f64();
            requests.entry(key).or_insert(ClientRequest {
                sent: at,
                deadline: at + objective,
                in_time: false,
            });
            key_of_call.insert(*call, key);
        }
        if let Observation::ResponseReceived {
            call,
            status: 200,
            killed: false,
            ..
        } = &line.seen
            && let Some(request) = key_of_call.get(call).and_then(|key| requests.get_mut(key))
        {
            request.in_time |= at <= request.deadline;
        }
    }
    let share_in_time = |from: f64, to: f64| {
        let sent = requests
            .values()
            .filter(|request| (from..to).contains(&request.sent));
        let (total, in_time) = sent.fold((0u32, 0u32), |(total, in_time), request| {
            (total + 1, in_time + u32::from(request.in_time))
        });
        (total > 0).then(|| f64::from(in_time) / f64::from(total))
    };
    let level_before = share_in_time(first_loss / 2.0, first_loss)?;
    let (mut window_start, mut recovered_at) = (first_start, first_start);
    while window_start + WINDOW_S < scenario.length.as_secs_f64() {
        let share = share_in_time(window_start, window_start + WINDOW_S);
        if share.is_some_and(|share| share < RECOVERED * level_before) {
            recovered_at = window_start + STEP_S;
        }
        window_start += STEP_S;
    }
    Some(recovered_at - first_start)
}

/// A seed whose scenario violated a rule or could not be run.
pub struct FailedSeed {
    pub seed: u64,
    /// The violations, one a line, or the error of the run.
    pub reason: String,
}

/// Runs the scenarios of `seeds`, at most `concurrency` at a time, and returns the seeds that failed.
/// `on_finished` is called with the result of each run.
pub fn run_seeds(
    seeds: std::ops::Range<u64>,
    concurrency: usize,
    program: &GatewayProgram,
    on_finished: impl Fn(u64, &io::Result<ScenarioRun>) + Sync,
) -> Vec<FailedSeed> {
    let (next_seed, failed) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..concurrency.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let scenario = scenario::read(&scenario_text(seed)).map_err(io::Error::other);
                    let result = scenario.and_then(|scenario| scenario_runner::run(&scenario, program, seed));
                    on_finished(seed, &result);
                    let reason = match &result {
                        Ok(run) if run.violations.is_empty() => continue,
                        Ok(run) => run
                            .violations
                            .iter()
                            .map(|violation| format!("{violation}\n"))
                            .collect(),
                        Err(e) => e.to_string(),
                    };
                    failed
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(FailedSeed { seed, reason });
                }
            });
        }
    });
    failed.into_inner().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_seed_gives_a_valid_scenario_and_always_the_same() {
        for seed in 0..500 {
            scenario::read(&scenario_text(seed))
                .unwrap_or_else(|error| panic!("seed {seed}: {error}\n{}", scenario_text(seed)));
        }
        assert!(scenario_text(1) == scenario_text(1) && scenario_text(1) != scenario_text(2));
    }
}
