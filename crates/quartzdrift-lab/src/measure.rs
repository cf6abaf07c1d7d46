//! Measurement a gateway costs: calls a second, time added, memory. Each measure is one run against workers that only
//! answer, beside the same load sent straight to one of them.
use crate::actor;
use crate::light_workers::{self, LightWorkers};
use crate::load::{self, Plan, Report};
use crate::scenario_runner::read_listen_address;
use quartzdrift_async_queue::Invocation;
use quartzdrift_scheduler::interface::*;
use quartzdrift_scheduler::scheduler::Scheduler;
use quartzdrift_wal::{DirectoryStorage, InvocationRecord, Log, LogRecord};
use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Ticks of the kernel's clock in a second, as /proc tells times (USER_HZ is 100 on every Linux of today).
const TICKS: f64 = 100.0;

struct Gateway {
    child: Child,
    at: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    fn start(lab: &Path, workers: &[SocketAddr], connections: usize) -> io::Result<Gateway> {
        Gateway::start_with(lab, workers, connections, "")
    }

    /// With more lines for the table of asynchronous requests.
    fn start_with(
        lab: &Path,
        workers: &[SocketAddr],
        connections: usize,
        asynchronous: &str,
    ) -> io::Result<Gateway> {
        let mut text = format!(
            "[gateway]\nlisten = [\"127.0.0.1:0\"]\nseed = 1\n[log]\nfilter = \"warn\"\n\
             [limits]\nconnections = {connections}\nconnections_each_worker = {connections}\n\
             [[workloads]]\nname = \"quick\"\neffect = \"restartable\"\ntime_limit = \"30s\"\n\
             [allowed]\nconnect_timeout = \"5s\"\n\
             [copies]\ntells_warm = true\nkeep = \"60s\"\n\
             [reports]\nsource = \"answers\"\nfields = [{{ field = \"held\", metric = \"named_metrics.inflight\" }}]\n\
             [deferred]\njobs = 1000000\nbytes = 2000000000\nout = 10000\n{asynchronous}"
        );
        for n in 0..20 {
            text.push_str(&format!("[[functions]]\nname = \"f{n}\"\nworkload = \"quick\"\n"));
        }
        for worker in workers {
            text.push_str(&format!("[[workers]]\naddress = \"{worker}\"\n"));
        }
        let folder = tempfile::tempdir()?;
        let file = folder.path().join("gateway.toml");
        std::fs::write(&file, text)?;
        let mut child = Command::new(lab)
            .arg("gateway")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let at = read_listen_address(&mut BufReader::new(out))?;
        Ok(Gateway {
            child,
            at,
            _folder: folder,
        })
    }

    /// Seconds of processor time so far.
    fn cpu(&self) -> io::Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let after = stat.rsplit(')').next().unwrap_or("");
        let field = |n: usize| {
            after
                .split_whitespace()
                .nth(n)
                .and_then(|t| t.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        Ok((field(11) + field(12)) / TICKS)
    }

    /// Resident memory in MB.
    fn memory(&self) -> io::Result<f64> {
        memory_of(&self.child.id().to_string())
    }
}

fn memory_of(process: &str) -> io::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line
        .and_then(|l| l.split_whitespace().next())
        .and_then(|n| n.parse::<f64>().ok());
    Ok(kb.unwrap_or(0.0) / 1024.0)
}

fn plan(to: SocketAddr, rate: f64, seconds: f64, out_most: usize) -> Plan {
    Plan {
        addresses: vec![to],
        mix: (0..20).map(|n| (format!("f{n}"), 1.0)).collect(),
        requests_per_s: rate,
        duration: Duration::from_secs_f64(seconds),
        payload: "{\"a\":1}".to_owned(),
        asynchronous: false,
        max_in_flight: out_most,
        timeout: Duration::from_secs(30),
        evenly_spaced: false,
        trace: None,
        seed: 1,
    }
}

fn workers(count: usize, delay: Duration) -> io::Result<(actor::RunningFake<()>, Vec<SocketAddr>)> {
    let (listeners, addresses) = light_workers::listeners(count)?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = actor::spawn(any, move |handle, _| LightWorkers::new(handle, listeners, delay))?;
    Ok((running, addresses))
}

fn times(report: &Report) -> [f64; 3] {
    let finished = report.latencies_us.get("finished");
    [0.5, 0.99, 0.999].map(|share| finished.map_or(f64::NAN, |h| h.value_at_quantile(share) as f64 / 1000.0))
}

/// Calls a second with one instance busy, and processor time for each.
fn busiest(lab: &Path, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "calls a second, one instance, 64 calls out at a time, workers that answer at once"
    )?;
    writeln!(
        out,
        "{:>8} {:>10} {:>16} {:>10}",
        "workers", "calls/s", "CPU us a call", "of a core"
    )?;
    for count in [30, 90, 300] {
        let (_running, addresses) = workers(count, Duration::ZERO)?;
        let gateway = Gateway::start(lab, &addresses, 4096)?;
        load::run(plan(gateway.at, 500.0, 1.0, 64))?;
        let (cpu, start) = (gateway.cpu()?, Instant::now());
        let report = load::run(plan(gateway.at, 100_000.0, 5.0, 64))?;
        let (cpu, took) = (gateway.cpu()? - cpu, start.elapsed().as_secs_f64());
        let calls = report.latencies_us.get("finished").map_or(0, |h| h.len()) as f64;
        writeln!(
            out,
            "{count:>8} {:>10.0} {:>16.1} {:>10.2}",
            calls / took,
            cpu / calls * 1e6,
            cpu / took
        )?;
    }
    Ok(())
}

/// Time added over the same client that talks straight to a worker.
fn added(lab: &Path, seconds: f64, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "time for a call in ms, random arrivals, 90 workers that answer at once, and straight to one of them"
    )?;
    writeln!(
        out,
        "{:>8} {:>22} {:>22} {:>22}",
        "calls/s", "straight 50/99/99.9", "gateway 50/99/99.9", "added 50/99/99.9"
    )?;
    for rate in [270.0, 770.0] {
        let (_running, addresses) = workers(90, Duration::ZERO)?;
        let gateway = Gateway::start(lab, &addresses, 4096)?;
        load::run(plan(gateway.at, rate, 1.0, 1000))?;
        let straight = times(&load::run(plan(addresses[0], rate, seconds, 1000))?);
        let through = times(&load::run(plan(gateway.at, rate, seconds, 1000))?);
        let three = |t: [f64; 3]| format!("{:.3}/{:.3}/{:.3}", t[0], t[1], t[2]);
        let more = [0, 1, 2].map(|n| through[n] - straight[n]);
        writeln!(
            out,
            "{rate:>8} {:>22} {:>22} {:>22}",
            three(straight),
            three(through),
            three(more)
        )?;
    }
    Ok(())
}

/// Memory at rest, with many requests out, and after many more.
fn memory(lab: &Path, requests: f64, out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "resident memory of one instance in MB, 30 workers")?;
    {
        let (_running, addresses) = workers(30, Duration::from_secs(8))?;
        let gateway = Gateway::start(lab, &addresses, 12_000)?;
        writeln!(out, "{:<34} {:>8.1}", "at rest", gateway.memory()?)?;
        // 1,000 of them deferred: each of the others takes two of the 20,000 descriptors that a process gets here.
        let at = gateway.at;
        load::run(Plan {
            asynchronous: true,
            evenly_spaced: true,
            ..plan(at, 1000.0, 1.0, 100)
        })?;
        let load = std::thread::spawn(move || load::run(plan(at, 5000.0, 2.0, 9000)));
        std::thread::sleep(Duration::from_secs(5));
        writeln!(out, "{:<34} {:>8.1}", "with 10,000 jobs out", gateway.memory()?)?;
        let report = load.join().map_err(|_| io::Error::other("the load broke"))??;
        let finished = report.latencies_us.get("finished").map_or(0, |h| h.len());
        writeln!(out, "{:<34} {:>8}", "  of them finished", finished)?;
    }
    let (_running, addresses) = workers(30, Duration::ZERO)?;
    let gateway = Gateway::start(lab, &addresses, 4096)?;
    for part in 1..=4 {
        let mut done = 0.0;
        while done < requests / 4.0 {
            let report = load::run(plan(gateway.at, 100_000.0, 2.0, 64))?;
            done += report.count() as f64;
        }
        writeln!(
            out,
            "{:<34} {:>8.1}",
            format!("after {:.0} jobs", requests / 4.0 * f64::from(part)),
            gateway.memory()?
        )?;
    }
    Ok(())
}

/// Asynchronous requests a second in memory and on disk, and what they do to synchronous calls beside them.
fn asynchronous(lab: &Path, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "deferred calls, 64 out at a time, 30 workers that answer at once; and 300 synchronous ones a second beside"
    )?;
    writeln!(
        out,
        "{:>9} {:>9} {:>18} {:>24} {:>24}",
        "kept", "taken/s", "202 p50/p99, ms", "sync alone p50/p99, ms", "beside them"
    )?;
    for (name, lines) in [("memory", ""), ("early", "answer = \"early\"\n"), ("durable", "")] {
        let folder = tempfile::tempdir()?;
        let store = match name {
            "memory" => String::new(),
            _ => format!("store = \"{}\"\n{lines}", folder.path().display()),
        };
        let (_running, addresses) = workers(30, Duration::ZERO)?;
        let gateway = Gateway::start_with(lab, &addresses, 4096, &store)?;
        let at = gateway.at;
        load::run(plan(at, 300.0, 1.0, 64))?;
        let alone = times(&load::run(plan(at, 300.0, 5.0, 1000))?);
        let beside = std::thread::spawn(move || load::run(plan(at, 300.0, 5.0, 1000)));
        let report = load::run(Plan {
            asynchronous: true,
            ..plan(at, 100_000.0, 5.0, 64)
        })?;
        let beside = times(&beside.join().map_err(|_| io::Error::other("the load broke"))??);
        let taken = report.latencies_us.get("taken");
        let ms = |share| taken.map_or(f64::NAN, |h| h.value_at_quantile(share) as f64 / 1000.0);
        writeln!(
            out,
            "{name:>9} {:>9.0} {:>18} {:>24} {:>24}",
            taken.map_or(0, |h| h.len()) as f64 / 5.0,
            format!("{:.2}/{:.2}", ms(0.5), ms(0.99)),
            format!("{:.2}/{:.2}", alone[0], alone[1]),
            format!("{:.2}/{:.2}", beside[0], beside[1])
        )?;
    }
    Ok(())
}

/// From the start of a process to its listening, with so many requests in the store that wait for tomorrow.
fn recovery(lab: &Path, out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "start with waiting jobs in the store, payloads of 100 bytes")?;
    writeln!(
        out,
        "{:>9} {:>12} {:>10} {:>12}",
        "jobs", "store, MB", "start, s", "memory, MB"
    )?;
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let taken_us = since.as_micros() as u64;
    let request = Invocation {
        function: "f1".to_owned(),
        tenant: 0,
        idempotency: Idempotency::Idempotent,
        deduplicated_by_all: true,
        deduplication_window: Duration::ZERO,
        payload: std::rc::Rc::from(format!("{{\"a\":\"{}\"}}", "x".repeat(92)).into_bytes()),
        context: None,
        idempotency_key: None,
        on_success: None,
        on_failure: None,
        schedule: None,
        hops: 0,
    };
    let bytes = request.to_bytes();
    for requests in [1_000u64, 10_000, 100_000, 1_000_000] {
        let folder = tempfile::tempdir()?;
        let (mut log, _) = Log::open(DirectoryStorage::open(folder.path())?).map_err(io::Error::other)?;
        for first in (0..requests).step_by(1000) {
            let record = |id| InvocationRecord {
                id,
                accepted_us: taken_us,
                due_us: taken_us + 86_400_000_000,
                request: bytes.clone(),
                ..InvocationRecord::default()
            };
            log.commit(
                (first + 1..=first + 1000)
                    .map(|id| LogRecord::Snapshot(record(id)))
                    .collect(),
            )
            .map_err(io::Error::other)?;
        }
        let stored = log.size().bytes as f64 / 1e6;
        drop(log);
        let (_running, addresses) = workers(1, Duration::ZERO)?;
        let start = Instant::now();
        let gateway = Gateway::start_with(
            lab,
            &addresses,
            4096,
            &format!("store = \"{}\"\n", folder.path().display()),
        )?;
        let took = start.elapsed().as_secs_f64();
        writeln!(
            out,
            "{requests:>9} {stored:>12.1} {took:>10.2} {:>12.1}",
            gateway.memory()?
        )?;
    }
    Ok(())
}

/// Cost of a decision with many replaced workers behind it, against the start.
fn replaced(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "microseconds for a decision with 30 workers up, by how many were replaced before"
    )?;
    let request_class = RequestClass {
        timeout: Some(Duration::from_secs(3)),
        ..RequestClass::default()
    };
    let settings = Settings {
        request_classes: vec![request_class],
        ..Settings::default()
    };
    let mut scheduler = Scheduler::new(&settings, 1);
    let mut now = Duration::from_secs(1000);
    let mut request = 0;
    let mut cost = |scheduler: &mut Scheduler, now: &mut Duration| {
        let start = Instant::now();
        for _ in 0..2000 {
            request += 1;
            *now += Duration::from_millis(1);
            let function = ["f", "g", "h"][request as usize % 3];
            let left = Duration::from_secs(3);
            let actions = scheduler.handle(
                *now,
                Event::Request(Request {
                    id: request,
                    function,
                    time_left: left,
                    ..Request::default()
                }),
            );
            for action in actions {
                if let Action::StartAttempt { request, worker, .. } = action {
                    let (outcome, took) = (Outcome::Succeeded, Duration::from_millis(5));
                    scheduler.handle(
                        *now,
                        Event::AttemptEnded {
                            request,
                            attempt: 0,
                            worker: &worker,
                            outcome,
                            duration: took,
                            concluded: true,
                            cache_result: CacheResult::Warm,
                            concurrency: None,
                            report: Vec::new(),
                        },
                    );
                }
            }
        }
        start.elapsed().as_secs_f64() * 1e6 / 2000.0
    };
    let mut up = 0;
    for target in [30, 1000, 10_000] {
        while up < target {
            let (new, old) = (format!("w{up}"), format!("w{}", up as i64 - 30));
            let entry = |worker, state| Endpoint {
                worker,
                state,
                ..Endpoint::default()
            };
            let entries = vec![entry(&new, EndpointState::Up), entry(&old, EndpointState::Gone)];
            scheduler.handle(
                now,
                Event::EndpointList {
                    kind: EndpointListKind::Changes,
                    entries,
                },
            );
            now += Duration::from_millis(10);
            up += 1;
        }
        let places = scheduler.table_sizes().workers;
        writeln!(
            out,
            "{:>8} replaced {:>10.1} us ({places} places kept)",
            up - 30,
            cost(&mut scheduler, &mut now)
        )?;
    }
    Ok(())
}

/// Cost of forecasting for each request, and memory for many functions.
fn forecasts(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "forecasting: microseconds for a job, memory of this process")?;
    for functions in [100u64, 10_000, 100_000] {
        let before = memory_of("self")?;
        let mut ahead =
            quartzdrift_forecast::PrefetchPlanner::new(quartzdrift_forecast::ForecastSettings::default());
        let (mut now, requests) = (Duration::from_secs(1_000_000), 400_000u64.max(functions * 4));
        let (start, mut said) = (Instant::now(), 0);
        for n in 0..requests {
            now += Duration::from_micros(1300);
            // Each function in turn, a little out of step: every gap is near the same, as with timers.
            let function = format!("f{}", (n * 7919 + n / functions) % functions);
            ahead.record_use(now, &function, None);
            if ahead.next_due().is_some_and(|at| at <= now) {
                said += ahead.due(now).len();
            }
        }
        let us = start.elapsed().as_secs_f64() * 1e6 / requests as f64;
        let memory = memory_of("self")? - before;
        writeln!(
            out,
            "{functions:>8} functions {us:>8.2} us {memory:>8.1} MB ({said} expectations, {requests} jobs)"
        )?;
    }
    Ok(())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Measurement {
    Busiest,
    Added,
    Memory,
    Replaced,
    Forecasts,
    #[value(alias = "deferred")]
    Asynchronous,
    Recovery,
}

pub fn run(lab: &Path, what: &[Measurement], requests: f64, out: &mut impl Write) -> io::Result<()> {
    let all = [
        Measurement::Forecasts,
        Measurement::Replaced,
        Measurement::Busiest,
        Measurement::Added,
        Measurement::Memory,
        Measurement::Asynchronous,
        Measurement::Recovery,
    ];
    for one in if what.is_empty() { &all[..] } else { what } {
        match one {
            Measurement::Busiest => busiest(lab, out)?,
            Measurement::Added => added(lab, 10.0, out)?,
            Measurement::Memory => memory(lab, requests, out)?,
            Measurement::Replaced => replaced(out)?,
            Measurement::Forecasts => forecasts(out)?,
            Measurement::Asynchronous => asynchronous(lab, out)?,
            Measurement::Recovery => recovery(lab, out)?,
        }
        writeln!(out)?;
    }
    Ok(())
}
