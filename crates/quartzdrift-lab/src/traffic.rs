//! Arrivals of calls in a scenario: generators by traffic pattern, and traces as JSON lines, optionally
//! compressed by gzip.
use crate::scenario::{Pattern, Scenario};
use flate2::read::GzDecoder;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::path::Path;
use std::time::Duration;

/// Largest number of calls in a trace.
const MAX_TRACE_CALLS: usize = 20_000_000;

/// A call that a client sends at a scheduled time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Time since the start of the scenario, in microseconds.
    pub at_us: u64,
    /// Index of the request class in the scenario.
    #[serde(rename = "workload")]
    pub request_class: usize,
    pub function: String,
    /// Work of the call, in microseconds. It is part of the arrival, so that all variants of a scenario
    /// execute the same work.
    pub work_us: u64,
    /// Position of the client's gateway among the gateways, from 0 to 1, so that it fits any number of them.
    pub gateway: f64,
}

impl Arrival {
    /// Index of the client's gateway among `gateways`.
    pub fn gateway_index(&self, gateways: usize) -> usize {
        ((self.gateway * gateways as f64) as usize).min(gateways - 1)
    }
}

/// Draws the time between two arrivals of independent clients, in seconds, at a mean rate of arrivals a
/// second.
pub fn interarrival_s(rng: &mut StdRng, rate: f64) -> f64 {
    -(1.0 - rng.random_range(0.0..1.0f64)).ln() / rate
}

/// Factor by which a request class's rate at a time differs from its configured rate. Times are in seconds.
fn rate_factor(pattern: &Pattern, at: f64, length: f64) -> f64 {
    match *pattern {
        Pattern::Steady | Pattern::Timers { .. } | Pattern::Scan => 1.0,
        Pattern::Daily { period, peak_factor } => {
            // A cosine from 1 to `peak_factor` and back within a period.
            let phase = (at / period * std::f64::consts::TAU).cos();
            (1.0 + peak_factor) / 2.0 - (peak_factor - 1.0) / 2.0 * phase
        }
        Pattern::Weekly { period, peak_factor } => match (at / period) as u64 % 7 {
            0..5 => rate_factor(&Pattern::Daily { period, peak_factor }, at, length),
            _ => 1.0,
        },
        Pattern::Bursty { every, peak_factor } => {
            if (at / every).fract() < 0.2 {
                peak_factor
            } else {
                0.5
            }
        }
        Pattern::RotatingFunctions { .. } => 1.0,
        Pattern::LatePeak { peak_factor } => {
            if at > length * 0.6 && at < length * 0.85 {
                peak_factor
            } else {
                1.0
            }
        }
    }
}

/// The arrivals of a scenario, in order of time. The same scenario and seed give the same arrivals.
pub fn generate_arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let length = scenario.length.as_secs_f64();
    let mut all = Vec::new();
    for (index, request_class) in scenario.request_classes.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut add = |rng: &mut StdRng, at: f64, function: String, gateway: f64| {
            let work = request_class.mean_work.as_secs_f64() * rng.random_range(0.5..1.5);
            let (at_us, work_us) = ((at * 1e6) as u64, (work * 1e6) as u64);
            all.push(Arrival {
                at_us,
                request_class: index,
                function,
                work_us,
                gateway,
            });
        };
        if let Pattern::Timers { period, jitter } = request_class.pattern {
            // Each function has a timer that calls it through one gateway.
            for f in 0..request_class.function_count {
                let (mut at, gateway) = (rng.random_range(0.0..period), rng.random_range(0.0..1.0));
                // The periods of the timers differ by up to 30 %.
                let timer_period = period * rng.random_range(0.7..1.3);
                while at < length {
                    let delay = rng.random_range(0.0..1.0) * jitter;
                    add(
                        &mut rng,
                        at + delay,
                        format!("{}-{f}", request_class.name),
                        gateway,
                    );
                    at += timer_period;
                }
            }
            continue;
        }
        // Arrivals are drawn at the peak rate and thinned to the current rate.
        let peak_factor = match request_class.pattern {
            Pattern::Daily { peak_factor, .. }
            | Pattern::Weekly { peak_factor, .. }
            | Pattern::Bursty { peak_factor, .. }
            | Pattern::LatePeak { peak_factor } => peak_factor.max(1.0),
            Pattern::Steady | Pattern::RotatingFunctions { .. } | Pattern::Scan | Pattern::Timers { .. } => {
                1.0
            }
        };
        let (mut at, mut calls) = (0.0, 0usize);
        loop {
            at += interarrival_s(&mut rng, request_class.rate * peak_factor);
            if at >= length {
                break;
            }
            if rng.random_range(0.0..1.0) * peak_factor > rate_factor(&request_class.pattern, at, length) {
                continue;
            }
            calls += 1;
            let functions = request_class.function_count;
            let f = match request_class.pattern {
                Pattern::Scan => calls,
                Pattern::RotatingFunctions { every } => {
                    // Three functions get 70 % of the calls; other three replace them in each interval.
                    let interval = (at / every) as usize;
                    match rng.random_range(0.0..1.0) < 0.7 {
                        true => (interval * 3 + rng.random_range(0..3)) % functions,
                        false => rng.random_range(0..functions),
                    }
                }
                // Squaring the draw makes functions with a low index more popular.
                _ => (rng.random_range(0.0..1.0f64).powi(2) * functions as f64) as usize,
            };
            let gateway = rng.random_range(0.0..1.0);
            add(&mut rng, at, format!("{}-{f}", request_class.name), gateway);
        }
    }
    all.sort_by(|a, b| (a.at_us, a.request_class, &a.function).cmp(&(b.at_us, b.request_class, &b.function)));
    all
}

/// Writes a trace. If the name of the file ends in `.gz`, it is compressed.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn write_trace(path: &Path, arrivals: &[Arrival]) -> io::Result<()> {
    let mut out = quartzdrift::request_trace::create_file(path)?;
    for arrival in arrivals {
        writeln!(out, "{}", serde_json::to_string(arrival)?)?;
    }
    out.flush()
}

/// Reads a trace; a file whose name ends in `.gz` is decompressed.
///
/// # Errors
/// Fails if the file cannot be read, on a line that does not describe a call, or with more than
/// `MAX_TRACE_CALLS` calls. The error states the number of the line.
pub fn read_trace(path: &Path) -> io::Result<Vec<Arrival>> {
    let file = std::fs::File::open(path)?;
    let plain: Box<dyn Read> = match path.extension().is_some_and(|end| end == "gz") {
        true => Box::new(GzDecoder::new(file)),
        false => Box::new(file),
    };
    let mut all = Vec::new();
    for (index, line) in BufReader::new(plain).lines().enumerate() {
        let invalid = |reason: String| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                format!("line {}: {reason}", index + 1),
            )
        };
        if index >= MAX_TRACE_CALLS {
            return Err(invalid(format!("a trace has at most {MAX_TRACE_CALLS} calls")));
        }
        all.push(serde_json::from_str(&line?).map_err(|e| invalid(e.to_string()))?);
    }
    Ok(all)
}

/// Scheduled time of an arrival since the start of the scenario.
pub fn arrival_time(arrival: &Arrival) -> Duration {
    Duration::from_micros(arrival.at_us)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario;

    #[test]
    fn a_seed_gives_the_same_trace_and_a_file_preserves_it() {
        let scenario = scenario::read(
            "length 20s\nworkload a restartable rate=20 functions=5 pattern=daily period=5s most=4\n\
             workload t restartable functions=3 pattern=timers period=4s\nworkload s restartable rate=5 pattern=scan",
        )
        .unwrap();
        let first = generate_arrivals(&scenario, 7);
        assert_eq!(first, generate_arrivals(&scenario, 7));
        assert_ne!(first, generate_arrivals(&scenario, 8));
        assert!(first.is_sorted_by_key(|a| a.at_us) && first.iter().any(|a| a.function == "t-2"));
        let week =
            scenario::read("length 70s\nworkload w restartable rate=20 pattern=weekly period=10s most=6")
                .unwrap();
        let week = generate_arrivals(&week, 7);
        let count = |from: u64| {
            week.iter()
                .filter(|a| (from..from + 10).contains(&(a.at_us / 1_000_000)))
                .count()
        };
        assert!((0..5).all(|day| count(day * 10) > 2 * count(50).max(count(60))));
        let folder = tempfile::tempdir().unwrap();
        for name in ["trace.jsonl", "trace.jsonl.gz"] {
            write_trace(&folder.path().join(name), &first).unwrap();
            assert_eq!(read_trace(&folder.path().join(name)).unwrap(), first);
        }
        std::fs::write(folder.path().join("bad"), "{\"at_us\": 1}\n").unwrap();
        assert!(
            read_trace(&folder.path().join("bad"))
                .unwrap_err()
                .to_string()
                .contains("line 1")
        );
    }
}
