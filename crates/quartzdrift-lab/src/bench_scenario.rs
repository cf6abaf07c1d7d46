//! Days as the decision module's bench draws them, read for their shape and faults and scaled down to a script that
//! plays on sockets and in the emulator. What has no counterpart here is named, not played.
//!
//! Only fields that are needed are read; all others belong to their owner's format.
use crate::scenario::{Fault, Pattern, RequestClass, Scenario};
use quartzdrift_scheduler::interface::Idempotency;
use serde::Deserialize;
use std::time::Duration;

/// Functions of a request class at most.
const MAX_FUNCTIONS: usize = 500;
/// Between a worker's drain and its end, and between its end and the next start, in a planned replacement.
const REPLACE: Duration = Duration::from_secs(1);
/// A call's client waits so much of its time limit in the middle of a window of repeats.
const MIN_WINDOW: Duration = Duration::from_secs(2);

/// To what size a day is scaled.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub gateways: usize,
    pub workers: usize,
    pub length: Duration,
}

#[derive(Debug)]
pub struct BenchScenario {
    pub scenario: Scenario,
    /// Kinds of fault, and traits of the traffic, that are not played.
    pub unsupported: Vec<String>,
}

/// Times are microseconds.
#[derive(Deserialize)]
struct File {
    length: u64,
    traffic: Traffic,
    classes: Vec<Class>,
    tiers: Vec<Tier>,
    servers: Vec<Server>,
    balancers: Vec<serde_json::Value>,
    #[serde(rename = "troubles")]
    faults: Vec<Told>,
    #[serde(default)]
    fall_multiple: f64,
    #[serde(default)]
    fall_for: u64,
    discovery: Discovery,
    fam: Fam,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    share: f64,
    work: f64,
    aim: u64,
    deadline: u64,
    #[serde(rename = "effect")]
    idempotency: String,
    window: u64,
}

#[derive(Deserialize)]
struct Tier {
    kinds: Vec<Kind>,
}

#[derive(Deserialize)]
struct Kind {
    cores: f64,
    slots: usize,
    queue: usize,
    cold_from: f64,
    cold: u64,
}

#[derive(Deserialize)]
struct Server {
    kind: usize,
}

#[derive(Deserialize)]
struct Discovery {
    notice: u64,
}

#[derive(Deserialize)]
struct Fam {
    #[serde(default)]
    keep: u64,
    #[serde(default)]
    memory: Vec<f64>,
    #[serde(default)]
    catalog: f64,
    #[serde(default)]
    sorts: Vec<Sort>,
}

#[derive(Deserialize)]
struct Sort {
    #[serde(rename = "lanes")]
    slots: usize,
    load: f64,
    memory: f64,
}

#[derive(Deserialize)]
struct Told {
    kind: String,
    at: u64,
    len: u64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    steps: Vec<Step>,
}

#[derive(Deserialize)]
struct Step {
    at: u64,
    #[serde(default)]
    stop: Vec<usize>,
}

/// Places of one size as places of another, each once.
fn scaled(of: &[usize], from: usize, to: usize) -> Vec<usize> {
    let mut all: Vec<usize> = of.iter().map(|n| (n * to / from.max(1)).min(to - 1)).collect();
    all.sort_unstable();
    all.dedup();
    all
}

fn micros(of: u64) -> Duration {
    Duration::from_micros(of)
}

/// Reads a day; `Err` says what is not as it should be.
pub fn read(text: &str, scale: Scale) -> Result<BenchScenario, String> {
    let file: File = serde_json::from_str(text).map_err(|e| format!("it is no day: {e}"))?;
    if scale.gateways == 0 || scale.workers == 0 || scale.length.is_zero() || file.length == 0 {
        return Err("a day needs gateways, workers and a length".to_owned());
    }
    let kinds = &file.tiers.first().ok_or("the day has no tier of workers")?.kinds;
    let kind = kinds.first().ok_or("its tier has no kind of worker")?;
    let cores = file
        .servers
        .iter()
        .filter_map(|s| kinds.get(s.kind))
        .map(|k| k.cores)
        .sum::<f64>()
        / file.servers.len().max(1) as f64;
    let memory_mb = file.fam.memory.first().copied().unwrap_or(2000.0);
    let sort = file.fam.sorts.first();
    let work = file.classes.iter().map(|c| c.share * c.work).sum::<f64>() / 1e6;
    let figures = [cores, memory_mb, work, file.traffic.load];
    if figures.iter().any(|figure| !figure.is_finite() || *figure <= 0.0) {
        return Err("its cores, memory, work or load is no number over 0".to_owned());
    }
    let rate = file.traffic.load * cores * scale.workers as f64 / work;
    let each_mb = sort.map_or(200.0, |sort| sort.memory).clamp(1.0, memory_mb);
    let function_count = file.fam.catalog * memory_mb * scale.workers as f64 / each_mb;
    let function_count =
        (function_count / file.classes.len().max(1) as f64).clamp(1.0, MAX_FUNCTIONS as f64) as usize;
    let request_class = |class: &Class| {
        let idempotency = match class.idempotency.as_str() {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::IdempotentWithKey,
            _ => Idempotency::NonIdempotent,
        };
        RequestClass {
            // Names of functions are told from those of request classes by their last dash.
            name: class.name.clone(),
            idempotency,
            deduplication_window: micros(class.window).max(MIN_WINDOW),
            rate: rate * class.share,
            mean_work: Duration::from_secs_f64((class.work / 1e6).clamp(0.0, 60.0)),
            time_limit: micros(class.deadline),
            function_count,
            memory_mb: each_mb,
            load_time: Duration::from_secs_f64(
                (sort.map_or(500_000.0, |sort| sort.load) / 1e6).clamp(0.0, 60.0),
            ),
            slots: sort.map_or(1, |sort| sort.slots).max(1),
            asynchronous: false,
            hang_up_share: 0.0,
            latency_objective: micros(class.aim).min(micros(class.deadline)),
            pattern: Pattern::Steady,
        }
    };
    let mut script = Scenario {
        gateways: scale.gateways,
        workers: scale.workers,
        cores,
        memory_mb,
        keep_loaded: if file.fam.keep > 0 {
            micros(file.fam.keep)
        } else {
            Duration::from_secs(8)
        },
        cold_from: kind.cold_from,
        cold_for: micros(kind.cold),
        fall_multiple: file.fall_multiple,
        fall_window: micros(file.fall_for),
        max_waiting_calls: kind.slots + kind.queue,
        store_capacity: (scale.workers as f64).max(4.0),
        store_limit: scale.workers * 8,
        store_stops_at: 0,
        discovery_lag: micros(file.discovery.notice),
        request_classes: file.classes.iter().map(request_class).collect(),
        length: scale.length,
        faults: Vec::new(),
        forecasts: false,
        gossip_period: None,
        max_retries: 2,
        retry_wait_factor: 1.0,
    };
    let mut left_out = Vec::new();
    for told in &file.faults {
        if !take(&mut script, told, &file, scale) {
            left_out.push(told.kind.clone());
        }
    }
    script.faults.sort_by_key(|(at, _)| *at);
    Ok(BenchScenario {
        scenario: script,
        unsupported: left_out,
    })
}

/// Puts one fault of a day into the script; `false`: it has no counterpart.
fn take(script: &mut Scenario, told: &Told, file: &File, scale: Scale) -> bool {
    let times = scale.length.as_secs_f64() / micros(file.length).as_secs_f64();
    let when = |at: u64| micros(at).mul_f64(times).min(scale.length);
    let (from, to) = (when(told.at), when(told.at.saturating_add(told.len)));
    let workers = scaled(&told.on, file.servers.len(), scale.workers);
    let gateways = scaled(&told.on, file.balancers.len(), scale.gateways);
    let size = if told.size.is_finite() {
        told.size.clamp(0.0, 60.0)
    } else {
        0.0
    };
    let share = size.min(1.0);
    let mut put = |at: Duration, fault: Fault| script.faults.push((at, fault));
    let mut spell = |of: &[usize], begin: &dyn Fn(usize) -> Fault, end: &dyn Fn(usize) -> Fault| {
        for n in of {
            put(from, begin(*n));
            put(to, end(*n));
        }
    };
    match told.kind.as_str() {
        "crash" | "vanish" | "mass_restart" => spell(&workers, &Fault::Crash, &Fault::Start),
        "hang" => spell(&workers, &Fault::Hang, &Fault::Well),
        "fast_errors" => spell(&workers, &|n| Fault::Errors(n, share), &Fault::Well),
        "answer_lost" => spell(&workers, &|n| Fault::Lose(n, share), &Fault::Well),
        "report_late" => {
            let late = Duration::from_secs_f64(size);
            spell(&workers, &|n| Fault::Late(n, late), &|n| {
                Fault::Late(n, Duration::ZERO)
            });
        }
        "balancer_crash" => spell(&gateways, &Fault::KillGateway, &Fault::StartGateway),
        "balancer_roll" => {
            for step in &told.steps {
                for n in scaled(&step.stop, file.balancers.len(), scale.gateways) {
                    put(when(step.at), Fault::KillGateway(n));
                    put(when(step.at) + REPLACE, Fault::StartGateway(n));
                }
            }
        }
        "deploy" | "preempt" => {
            for step in &told.steps {
                for n in scaled(&step.stop, file.servers.len(), scale.workers) {
                    put(when(step.at), Fault::Drain(n));
                    put(when(step.at) + REPLACE, Fault::Crash(n));
                    put(when(step.at) + REPLACE * 2, Fault::Start(n));
                }
            }
        }
        "discovery_stale" => {
            put(from, Fault::DiscoveryLag(Duration::from_secs_f64(size)));
            put(to, Fault::DiscoveryLag(micros(file.discovery.notice)));
        }
        _ => return false,
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A day of our own with the fields that are read.
    fn day(faults: &str) -> String {
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
    fn a_day_is_scaled_in_size_and_time() {
        let day = read(
            &day(r#"{"kind": "hang", "at": 20000000, "len": 8000000, "on": [0, 1, 19]},
                    {"kind": "balancer_crash", "at": 4000000, "len": 4000000, "on": [3]},
                    {"kind": "preempt", "at": 1, "len": 9, "steps": [{"at": 8000000, "stop": [10], "start": [22]}]},
                    {"kind": "report_late", "at": 0, "len": 40000000, "size": 2.0, "on": [5]},
                    {"kind": "comet", "at": 0, "len": 1}"#),
            SCALE,
        )
        .unwrap();
        let s = Duration::from_secs;
        let script = &day.scenario;
        assert_eq!(day.unsupported, ["comet"]);
        let request_class = &script.request_classes[0];
        assert_eq!(
            (
                request_class.rate,
                request_class.function_count,
                request_class.idempotency
            ),
            (400.0, 50, Idempotency::IdempotentWithKey)
        );
        assert_eq!(
            (script.max_waiting_calls, script.cores, script.discovery_lag),
            (17, 4.0, Duration::from_millis(500))
        );
        for (at, fault) in [
            (s(5), Fault::Hang(0)),
            (s(5), Fault::Hang(9)),
            (s(7), Fault::Well(0)),
            (s(1), Fault::KillGateway(1)),
            (s(2), Fault::StartGateway(1)),
            (s(2), Fault::Drain(5)),
            (s(4), Fault::Start(5)),
            (s(10), Fault::Late(2, Duration::ZERO)),
        ] {
            assert!(
                script.faults.contains(&(at, fault.clone())),
                "{fault:?} in {:?}",
                script.faults
            );
        }
        assert_eq!(
            script
                .faults
                .iter()
                .filter(|t| matches!(t.1, Fault::Hang(_)))
                .count(),
            2
        );
    }

    #[test]
    fn what_is_no_day_is_said() {
        assert!(read("{}", SCALE).unwrap_err().contains("no day"));
        assert!(
            read(&day("").replace("\"cores\": 4", "\"cores\": 0"), SCALE)
                .unwrap_err()
                .contains("cores")
        );
        assert!(read(&day(""), Scale { workers: 0, ..SCALE }).is_err());
    }
}
