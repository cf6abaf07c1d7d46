//! What clients ask for over a day: generators, and traces in JSON lines, compressed or not.
use crate::scenario::{Pattern, Scenario};
use flate2::read::GzDecoder;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::path::Path;
use std::time::Duration;

/// Calls of a trace at most.
const MAX_CALLS: usize = 20_000_000;

/// One call of a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    pub at_us: u64,
    /// Its place among the request classes of the day.
    #[serde(rename = "workload")]
    pub request_class: usize,
    pub function: String,
    /// Drawn once, so that every variant of a day gives the same work.
    pub work_us: u64,
    /// Which of the gateways its client uses, as a draw from 0 to 1.
    pub gateway: f64,
}

impl Arrival {
    /// Its gateway, of so many.
    pub fn gateway_index(&self, gateways: usize) -> usize {
        ((self.gateway * gateways as f64) as usize).min(gateways - 1)
    }
}

/// Seconds between two arrivals of independent clients.
pub fn interarrival_s(chance: &mut StdRng, rate: f64) -> f64 {
    -(1.0 - chance.random_range(0.0..1.0f64)).ln() / rate
}

/// How the rate of a request class stands at a moment against its mean.
fn swing(pattern: &Pattern, at: f64, length: f64) -> f64 {
    match *pattern {
        Pattern::Steady | Pattern::Timers { .. } | Pattern::Scan => 1.0,
        Pattern::Daily { period, most } => {
            // From 1 to `most` and back within a period.
            let phase = (at / period * std::f64::consts::TAU).cos();
            (1.0 + most) / 2.0 - (most - 1.0) / 2.0 * phase
        }
        Pattern::Weekly { period, most } => match (at / period) as u64 % 7 {
            0..5 => swing(&Pattern::Daily { period, most }, at, length),
            _ => 1.0,
        },
        Pattern::Bursty { every, most } => {
            if (at / every).fract() < 0.2 {
                most
            } else {
                0.5
            }
        }
        Pattern::Turning { .. } => 1.0,
        Pattern::TermsEnd { most } => {
            if at > length * 0.6 && at < length * 0.85 {
                most
            } else {
                1.0
            }
        }
    }
}

/// All calls of a day in the order of time; the same for the same script and seed.
pub fn generate_arrivals(script: &Scenario, seed: u64) -> Vec<Arrival> {
    let length = script.length.as_secs_f64();
    let mut all = Vec::new();
    for (n, request_class) in script.request_classes.iter().enumerate() {
        let mut chance = StdRng::seed_from_u64(seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut add = |chance: &mut StdRng, at: f64, function: String, gateway: f64| {
            let work = request_class.mean_work.as_secs_f64() * chance.random_range(0.5..1.5);
            let (at_us, work_us) = ((at * 1e6) as u64, (work * 1e6) as u64);
            all.push(Arrival {
                at_us,
                request_class: n,
                function,
                work_us,
                gateway,
            });
        };
        if let Pattern::Timers { period, jitter } = request_class.pattern {
            // Each function has a timer, which fires through one gateway.
            for f in 0..request_class.function_count {
                let (mut at, gateway) = (chance.random_range(0.0..period), chance.random_range(0.0..1.0));
                // Periods differ a little from timer to timer.
                let own = period * chance.random_range(0.7..1.3);
                while at < length {
                    let late = chance.random_range(0.0..1.0) * jitter;
                    add(
                        &mut chance,
                        at + late,
                        format!("{}-{f}", request_class.name),
                        gateway,
                    );
                    at += own;
                }
            }
            continue;
        }
        let most = match request_class.pattern {
            Pattern::Daily { most, .. }
            | Pattern::Weekly { most, .. }
            | Pattern::Bursty { most, .. }
            | Pattern::TermsEnd { most } => most.max(1.0),
            Pattern::Steady | Pattern::Turning { .. } | Pattern::Scan | Pattern::Timers { .. } => 1.0,
        };
        let (mut at, mut drawn) = (0.0, 0usize);
        loop {
            at += interarrival_s(&mut chance, request_class.rate * most);
            if at >= length {
                break;
            }
            if chance.random_range(0.0..1.0) * most > swing(&request_class.pattern, at, length) {
                continue;
            }
            drawn += 1;
            let functions = request_class.function_count;
            let f = match request_class.pattern {
                Pattern::Scan => drawn,
                Pattern::Turning { every } => {
                    // A few functions draw most calls, and others take their place now and then.
                    let turn = (at / every) as usize;
                    match chance.random_range(0.0..1.0) < 0.7 {
                        true => (turn * 3 + chance.random_range(0..3)) % functions,
                        false => chance.random_range(0..functions),
                    }
                }
                // Some are more popular than others: popularity falls with the square of the place.
                _ => (chance.random_range(0.0..1.0f64).powi(2) * functions as f64) as usize,
            };
            let gateway = chance.random_range(0.0..1.0);
            add(&mut chance, at, format!("{}-{f}", request_class.name), gateway);
        }
    }
    all.sort_by(|a, b| (a.at_us, a.request_class, &a.function).cmp(&(b.at_us, b.request_class, &b.function)));
    all
}

/// Writes a trace; a name that ends in `.gz` is compressed.
pub fn write_trace(path: &Path, arrivals: &[Arrival]) -> io::Result<()> {
    let mut out = quartzdrift::request_trace::create_file(path)?;
    for arrival in arrivals {
        writeln!(out, "{}", serde_json::to_string(arrival)?)?;
    }
    out.flush()
}

/// Reads a trace; `Err` names the line that is no call.
pub fn read_trace(path: &Path) -> io::Result<Vec<Arrival>> {
    let file = std::fs::File::open(path)?;
    let plain: Box<dyn Read> = match path.extension().is_some_and(|end| end == "gz") {
        true => Box::new(GzDecoder::new(file)),
        false => Box::new(file),
    };
    let mut all = Vec::new();
    for (n, line) in BufReader::new(plain).lines().enumerate() {
        let bad = |why: String| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {why}", n + 1));
        if n >= MAX_CALLS {
            return Err(bad(format!("more than {MAX_CALLS} calls")));
        }
        all.push(serde_json::from_str(&line?).map_err(|e| bad(e.to_string()))?);
    }
    Ok(all)
}

/// A day's moment as a span.
pub fn arrival_time(arrival: &Arrival) -> Duration {
    Duration::from_micros(arrival.at_us)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario;

    #[test]
    fn a_trace_is_the_same_for_a_seed_and_outlives_a_file() {
        let script = scenario::read(
            "length 20s\nworkload a restartable rate=20 functions=5 pattern=daily period=5s most=4\n\
             workload t restartable functions=3 pattern=timers period=4s\nworkload s restartable rate=5 pattern=scan",
        )
        .unwrap();
        let first = generate_arrivals(&script, 7);
        assert_eq!(first, generate_arrivals(&script, 7));
        assert_ne!(first, generate_arrivals(&script, 8));
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
