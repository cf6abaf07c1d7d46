//! Scenarios of the decision module's bench, scaled down so that they run on sockets and in the simulation.
//! Faults that have no counterpart here are reported and left out.
//!
//! Only the needed fields are read; the bench owns the format of the file.
use crate::scenario::{Fault, Pattern, RequestClass, Scenario};
use quartzdrift_scheduler::interface::Idempotency;
use serde::Deserialize;
use std::time::Duration;

/// Most functions of a request class.
const MAX_FUNCTIONS: usize = 500;
/// Time from a worker's drain to its end, and from its end to the next start, in a planned replacement.
const REPLACEMENT_STEP: Duration = Duration::from_secs(1);
/// Shortest deduplication window: a client spends a part of the window waiting for its first response.
const MIN_DEDUPLICATION_WINDOW: Duration = Duration::from_secs(2);

/// The size that a bench scenario is scaled to.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub gateways: usize,
    pub workers: usize,
    pub length: Duration,
}

/// A scaled bench scenario.
#[derive(Debug)]
pub struct BenchScenario {
    pub scenario: Scenario,
    /// Kinds of the faults that have no counterpart here, one entry for each fault.
    pub unsupported: Vec<String>,
}

/// The file of a bench scenario. Times are in microseconds.
#[derive(Deserialize)]
struct BenchFile {
    length: u64,
    traffic: Traffic,
    classes: Vec<Class>,
    tiers: Vec<WorkerTier>,
    #[serde(rename = "servers")]
    workers: Vec<BenchWorker>,
    #[serde(rename = "balancers")]
    gateways: Vec<serde_json::Value>,
    #[serde(rename = "troubles")]
    faults: Vec<BenchFault>,
    #[serde(default)]
    fall_multiple: f64,
    #[serde(default, rename = "fall_for")]
    fall_window: u64,
    discovery: Discovery,
    #[serde(rename = "fam")]
    functions: Functions,
}

#[derive(Deserialize)]
struct Traffic {
    /// Offered load as a share of the workers' capacity.
    load: f64,
}

/// A request class.
#[derive(Deserialize)]
struct Class {
    name: String,
    /// Share of the calls.
    share: f64,
    /// Mean work of a call in microseconds.
    work: f64,
    #[serde(rename = "aim")]
    latency_objective: u64,
    #[serde(rename = "deadline")]
    time_limit: u64,
    #[serde(rename = "effect")]
    idempotency: String,
    #[serde(rename = "window")]
    deduplication_window: u64,
}

#[derive(Deserialize)]
struct WorkerTier {
    /// The kinds of workers; only the first one determines how a cold worker and its queue behave.
    kinds: Vec<WorkerKind>,
}

#[derive(Deserialize)]
struct WorkerKind {
    cores: f64,
    slots: usize,
    queue: usize,
    cold_from: f64,
    #[serde(rename = "cold")]
    cold_for: u64,
}

#[derive(Deserialize)]
struct BenchWorker {
    /// Index of the worker's kind in the first tier.
    kind: usize,
}

#[derive(Deserialize)]
struct Discovery {
    /// Delay until gateways see a change.
    #[serde(rename = "notice")]
    lag: u64,
}

/// The functions and how workers keep them loaded.
#[derive(Deserialize)]
struct Functions {
    #[serde(default, rename = "keep")]
    keep_loaded: u64,
    /// Memory of the workers in MB; only the first value is used.
    #[serde(default, rename = "memory")]
    worker_memory_mb: Vec<f64>,
    /// Memory of all functions together, as a share of the workers' memory.
    #[serde(default)]
    catalog: f64,
    /// The kinds of functions; only the first one is used.
    #[serde(default, rename = "sorts")]
    kinds: Vec<FunctionKind>,
}

#[derive(Deserialize)]
struct FunctionKind {
    #[serde(rename = "lanes")]
    slots: usize,
    /// Time that a load takes in microseconds.
    load: f64,
    #[serde(rename = "memory")]
    memory_mb: f64,
}

#[derive(Deserialize)]
struct BenchFault {
    kind: String,
    #[serde(rename = "at")]
    start: u64,
    #[serde(rename = "len")]
    length: u64,
    /// Share or seconds, by the kind.
    #[serde(default)]
    size: f64,
    /// Indices of the affected workers or gateways, by the kind.
    #[serde(default, rename = "on")]
    targets: Vec<usize>,
    #[serde(default)]
    steps: Vec<Step>,
}

/// A step of a planned replacement.
#[derive(Deserialize)]
struct Step {
    at: u64,
    /// Indices of the processes that are stopped.
    #[serde(default)]
    stop: Vec<usize>,
}

/// Maps indices below `from_count` to indices below `to_count`, without duplicates.
fn scale_indices(indices: &[usize], from_count: usize, to_count: usize) -> Vec<usize> {
    let mut scaled: Vec<usize> = indices
        .iter()
        .map(|n| (n * to_count / from_count.max(1)).min(to_count - 1))
        .collect();
    scaled.sort_unstable();
    scaled.dedup();
    scaled
}

/// Reads a bench scenario and scales it.
pub fn read(text: &str, scale: Scale) -> Result<BenchScenario, String> {
    let file: BenchFile =
        serde_json::from_str(text).map_err(|e| format!("not a scenario of the bench: {e}"))?;
    if scale.gateways == 0 || scale.workers == 0 || scale.length.is_zero() || file.length == 0 {
        return Err(format!(
            "gateways ({}), workers ({}), length ({:?}) and the file's length ({} µs) must be over 0",
            scale.gateways, scale.workers, scale.length, file.length
        ));
    }
    let tier = file
        .tiers
        .first()
        .ok_or("the bench scenario has no tier of workers")?;
    let kinds = &tier.kinds;
    let kind = kinds.first().ok_or("the first tier has no kind of worker")?;
    let cores = file
        .workers
        .iter()
        .filter_map(|worker| kinds.get(worker.kind))
        .map(|kind| kind.cores)
        .sum::<f64>()
        / file.workers.len().max(1) as f64;
    let memory_mb = file.functions.worker_memory_mb.first().copied().unwrap_or(2000.0);
    let function_kind = file.functions.kinds.first();
    let work = file.classes.iter().map(|c| c.share * c.work).sum::<f64>() / 1e6;
    let load = file.traffic.load;
    let quantities = [cores, memory_mb, work, load];
    if quantities.iter().any(|value| !value.is_finite() || *value <= 0.0) {
        return Err(format!(
            "cores ({cores}), memory ({memory_mb} MB), work ({work} s) and load ({load}) must be over 0"
        ));
    }
    let rate = load * cores * scale.workers as f64 / work;
    let function_mb = function_kind
        .map_or(200.0, |kind| kind.memory_mb)
        .clamp(1.0, memory_mb);
    let function_count = file.functions.catalog * memory_mb * scale.workers as f64 / function_mb;
    let function_count =
        (function_count / file.classes.len().max(1) as f64).clamp(1.0, MAX_FUNCTIONS as f64) as usize;
    let load_time =
        Duration::from_secs_f64((function_kind.map_or(500_000.0, |kind| kind.load) / 1e6).clamp(0.0, 60.0));
    let request_class = |class: &Class| {
        let idempotency = match class.idempotency.as_str() {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::IdempotentWithKey,
            _ => Idempotency::NonIdempotent,
        };
        let time_limit = Duration::from_micros(class.time_limit);
        RequestClass {
            // May contain dashes: a function's name is split at its last one.
            name: class.name.clone(),
            idempotency,
            deduplication_window: Duration::from_micros(class.deduplication_window)
                .max(MIN_DEDUPLICATION_WINDOW),
            rate: rate * class.share,
            mean_work: Duration::from_secs_f64((class.work / 1e6).clamp(0.0, 60.0)),
            time_limit,
            function_count,
            memory_mb: function_mb,
            load_time,
            slots: function_kind.map_or(1, |kind| kind.slots).max(1),
            asynchronous: false,
            early_disconnect_share: 0.0,
            latency_objective: Duration::from_micros(class.latency_objective).min(time_limit),
            pattern: Pattern::Steady,
        }
    };
    let mut scenario = Scenario {
        gateways: scale.gateways,
        workers: scale.workers,
        cores,
        memory_mb,
        keep_alive: if file.functions.keep_loaded > 0 {
            Duration::from_micros(file.functions.keep_loaded)
        } else {
            Duration::from_secs(8)
        },
        slow_start_min_capacity: kind.cold_from,
        slow_start_duration: Duration::from_micros(kind.cold_for),
        overload_multiple: file.fall_multiple,
        overload_window: Duration::from_micros(file.fall_window),
        max_queue_length: kind.slots + kind.queue,
        store_capacity: (scale.workers as f64).max(4.0),
        store_max_concurrent_fetches: scale.workers * 8,
        store_outage_threshold: 0,
        discovery_lag: Duration::from_micros(file.discovery.lag),
        request_classes: file.classes.iter().map(request_class).collect(),
        length: scale.length,
        faults: Vec::new(),
        forecasts: false,
        gossip_period: None,
        max_retries: 2,
        retry_wait_factor: 1.0,
    };
    let mut unsupported = Vec::new();
    for fault in &file.faults {
        if !add_fault(&mut scenario, fault, &file, scale) {
            unsupported.push(fault.kind.clone());
        }
    }
    scenario.faults.sort_by_key(|(at, _)| *at);
    Ok(BenchScenario {
        scenario,
        unsupported,
    })
}

/// Adds a fault of the bench to the scenario. Returns `false` if it has no counterpart.
fn add_fault(scenario: &mut Scenario, fault: &BenchFault, file: &BenchFile, scale: Scale) -> bool {
    let time_factor = scale.length.as_secs_f64() / Duration::from_micros(file.length).as_secs_f64();
    let scaled_time = |micros: u64| {
        Duration::from_micros(micros)
            .mul_f64(time_factor)
            .min(scale.length)
    };
    let start = scaled_time(fault.start);
    let end = scaled_time(fault.start.saturating_add(fault.length));
    let scaled_workers = |indices: &[usize]| scale_indices(indices, file.workers.len(), scale.workers);
    let scaled_gateways = |indices: &[usize]| scale_indices(indices, file.gateways.len(), scale.gateways);
    let workers = scaled_workers(&fault.targets);
    let gateways = scaled_gateways(&fault.targets);
    let size = if fault.size.is_finite() {
        fault.size.clamp(0.0, 60.0)
    } else {
        0.0
    };
    let share = size.min(1.0);
    let mut add = |at: Duration, fault: Fault| scenario.faults.push((at, fault));
    let mut add_interval =
        |targets: &[usize], begin: &dyn Fn(usize) -> Fault, clear: &dyn Fn(usize) -> Fault| {
            for n in targets {
                add(start, begin(*n));
                add(end, clear(*n));
            }
        };
    match fault.kind.as_str() {
        "crash" | "vanish" | "mass_restart" => {
            add_interval(&workers, &Fault::CrashWorker, &Fault::StartWorker)
        }
        "hang" => add_interval(&workers, &Fault::HangWorker, &Fault::ClearWorkerFaults),
        "fast_errors" => add_interval(
            &workers,
            &|n| Fault::FailCalls(n, share),
            &Fault::ClearWorkerFaults,
        ),
        "answer_lost" => add_interval(
            &workers,
            &|n| Fault::LoseResponses(n, share),
            &Fault::ClearWorkerFaults,
        ),
        "report_late" => {
            let late = Duration::from_secs_f64(size);
            add_interval(&workers, &|n| Fault::DelayReports(n, late), &|n| {
                Fault::DelayReports(n, Duration::ZERO)
            });
        }
        "balancer_crash" => add_interval(&gateways, &Fault::KillGateway, &Fault::StartGateway),
        "balancer_roll" => {
            for step in &fault.steps {
                for n in scaled_gateways(&step.stop) {
                    add(scaled_time(step.at), Fault::KillGateway(n));
                    add(scaled_time(step.at) + REPLACEMENT_STEP, Fault::StartGateway(n));
                }
            }
        }
        "deploy" | "preempt" => {
            for step in &fault.steps {
                for n in scaled_workers(&step.stop) {
                    add(scaled_time(step.at), Fault::DrainWorker(n));
                    add(scaled_time(step.at) + REPLACEMENT_STEP, Fault::CrashWorker(n));
                    add(scaled_time(step.at) + REPLACEMENT_STEP * 2, Fault::StartWorker(n));
                }
            }
        }
        "discovery_stale" => {
            add(start, Fault::SetDiscoveryLag(Duration::from_secs_f64(size)));
            add(
                end,
                Fault::SetDiscoveryLag(Duration::from_micros(file.discovery.lag)),
            );
        }
        _ => return false,
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The JSON text of a bench scenario with the fields that are read, and one that is not.
    fn bench_json(faults: &str) -> String {
        let servers: Vec<&str> = vec!["{\"kind\": 0}"; 20];
        format!(
            r#"{{"length": 40000000, "other": [1], "traffic": {{"load": 0.5, "x": 1}},
               "classes": [{{"name": "ask", "share": 1.0, "work": 50000.0, "aim": 1000000, "deadline": 3000000,
                             "effect": "keyed", "window": 5000000}}],
               "tiers": [{{"kinds": [{{"cores": 4, "slots": 8, "queue": 9, "cold_from": 0.3, "cold": 8000000}}]}}],
               "servers": [{}], "balancers": [1, 2, 3, 4], "fall_multiple": 3.0, "fall_for": 2000000,
               "discovery": {{"notice": 500000}},
               "fam": {{"keep": 9000000, "memory": [4000.0], "catalog": 0.5,
                        "sorts": [{{"lanes": 2, "load": 300000.0, "memory": 400.0}}]}},
               "troubles": [{faults}]}}"#,
            servers.join(",")
        )
    }

    const SCALE: Scale = Scale {
        gateways: 2,
        workers: 10,
        length: Duration::from_secs(10),
    };

    #[test]
    fn a_bench_scenario_is_scaled_in_size_and_time() {
        let bench_scenario = read(
            &bench_json(r#"{"kind": "hang", "at": 20000000, "len": 8000000, "on": [0, 1, 19]},
                    {"kind": "balancer_crash", "at": 4000000, "len": 4000000, "on": [3]},
                    {"kind": "preempt", "at": 1, "len": 9, "steps": [{"at": 8000000, "stop": [10], "start": [22]}]},
                    {"kind": "report_late", "at": 0, "len": 40000000, "size": 2.0, "on": [5]},
                    {"kind": "comet", "at": 0, "len": 1}"#),
            SCALE,
        )
        .unwrap();
        let s = Duration::from_secs;
        let scenario = &bench_scenario.scenario;
        assert_eq!(bench_scenario.unsupported, ["comet"]);
        let request_class = &scenario.request_classes[0];
        assert_eq!(
            (
                request_class.rate,
                request_class.function_count,
                request_class.idempotency
            ),
            (400.0, 50, Idempotency::IdempotentWithKey)
        );
        assert_eq!(
            (scenario.max_queue_length, scenario.cores, scenario.discovery_lag),
            (17, 4.0, Duration::from_millis(500))
        );
        for (at, fault) in [
            (s(5), Fault::HangWorker(0)),
            (s(5), Fault::HangWorker(9)),
            (s(7), Fault::ClearWorkerFaults(0)),
            (s(1), Fault::KillGateway(1)),
            (s(2), Fault::StartGateway(1)),
            (s(2), Fault::DrainWorker(5)),
            (s(4), Fault::StartWorker(5)),
            (s(10), Fault::DelayReports(2, Duration::ZERO)),
        ] {
            assert!(
                scenario.faults.contains(&(at, fault.clone())),
                "{fault:?} in {:?}",
                scenario.faults
            );
        }
        assert_eq!(
            scenario
                .faults
                .iter()
                .filter(|(_, fault)| matches!(fault, Fault::HangWorker(_)))
                .count(),
            2
        );
    }

    #[test]
    fn invalid_bench_scenarios_are_rejected() {
        assert!(read("{}", SCALE).unwrap_err().contains("not a scenario"));
        assert!(
            read(&bench_json("").replace("\"cores\": 4", "\"cores\": 0"), SCALE)
                .unwrap_err()
                .contains("cores")
        );
        assert!(read(&bench_json(""), Scale { workers: 0, ..SCALE }).is_err());
    }
}
