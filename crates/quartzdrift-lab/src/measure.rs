//! Measures the cost of a gateway: throughput, added latency, processor time, memory and start time.
//!
//! Most measurements load a gateway process whose workers respond without executing anything. Latencies are
//! compared with the same load sent directly to a worker.
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

/// Clock ticks a second in the times of /proc (USER_HZ, which is 100 on Linux).
const TICKS_PER_S: f64 = 100.0;

/// A gateway process, which is killed when this is dropped.
struct Gateway {
    child: Child,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// Starts a gateway that sends calls to `workers` and accepts up to `connections` connections.
    fn start(program: &Path, workers: &[SocketAddr], connections: usize) -> io::Result<Gateway> {
        Gateway::start_with(program, workers, connections, "")
    }

    /// Like [`Gateway::start`], with additional lines in the settings table of asynchronous requests.
    fn start_with(
        program: &Path,
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
        let mut child = Command::new(program)
            .arg("gateway")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the gateway's stdout is not piped"))?;
        let address = read_listen_address(&mut BufReader::new(out))?;
        Ok(Gateway {
            child,
            address,
            _folder: folder,
        })
    }

    /// Processor time of the process so far, in seconds.
    fn cpu_seconds(&self) -> io::Result<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The fields follow the program's name, which is in parentheses; user and system time are the 12th
        // and 13th.
        let fields = stat.rsplit(')').next().unwrap_or("");
        let field = |index: usize| {
            fields
                .split_whitespace()
                .nth(index)
                .and_then(|ticks| ticks.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        Ok((field(11) + field(12)) / TICKS_PER_S)
    }

    /// Resident memory of the process, in MB.
    fn resident_mb(&self) -> io::Result<f64> {
        resident_mb_of(&self.child.id().to_string())
    }
}

/// Resident memory of a process, in MB. `process` is its id or `self`.
fn resident_mb_of(process: &str) -> io::Result<f64> {
    Ok(memory_mb(process, "VmRSS:")?.unwrap_or(0.0))
}

/// Memory of a process in MB, by a field of /proc/PID/status such as `VmRSS:`. `process` is its id or `self`.
/// `None` if the process has ended and has no memory any more.
///
/// # Errors
/// There is no such process.
pub fn memory_mb(process: &str, field: &str) -> io::Result<Option<f64>> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kb = line
        .and_then(|l| l.split_whitespace().next())
        .and_then(|n| n.parse::<f64>().ok());
    Ok(kb.map(|kb| kb / 1024.0))
}

/// A plan of synchronous calls at random intervals to 20 functions.
fn load_plan(address: SocketAddr, requests_per_s: f64, seconds: f64, max_in_flight: usize) -> Plan {
    Plan {
        addresses: vec![address],
        mix: (0..20).map(|n| (format!("f{n}"), 1.0)).collect(),
        requests_per_s,
        duration: Duration::from_secs_f64(seconds),
        payload: "{\"a\":1}".to_owned(),
        asynchronous: false,
        max_in_flight,
        timeout: Duration::from_secs(30),
        evenly_spaced: false,
        trace: None,
        seed: 1,
    }
}

/// Starts workers that respond after `delay`.
fn start_workers(count: usize, delay: Duration) -> io::Result<(actor::RunningFake<()>, Vec<SocketAddr>)> {
    let (listeners, addresses) = light_workers::listeners(count)?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let running = actor::spawn(any, move |handle, _| LightWorkers::new(handle, listeners, delay))?;
    Ok((running, addresses))
}

/// The latencies of successful calls at the quantiles 0.5, 0.99 and 0.999, in milliseconds.
fn latency_quantiles_ms(report: &Report) -> [f64; 3] {
    let finished = report.latencies_us.get("finished");
    [0.5, 0.99, 0.999]
        .map(|quantile| finished.map_or(f64::NAN, |h| h.value_at_quantile(quantile) as f64 / 1000.0))
}

/// Largest throughput of one gateway, and its processor time for each call.
fn throughput(program: &Path, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "throughput of one gateway: 64 calls in flight, workers respond at once"
    )?;
    writeln!(
        out,
        "{:>8} {:>10} {:>16} {:>10}",
        "workers", "calls/s", "CPU us a call", "of a core"
    )?;
    for count in [30, 90, 300] {
        let (_running, addresses) = start_workers(count, Duration::ZERO)?;
        let gateway = Gateway::start(program, &addresses, 4096)?;
        load::run(load_plan(gateway.address, 500.0, 1.0, 64))?;
        let (cpu_before, start) = (gateway.cpu_seconds()?, Instant::now());
        let report = load::run(load_plan(gateway.address, 100_000.0, 5.0, 64))?;
        let (cpu, elapsed) = (gateway.cpu_seconds()? - cpu_before, start.elapsed().as_secs_f64());
        let calls = report.latencies_us.get("finished").map_or(0, |h| h.len()) as f64;
        writeln!(
            out,
            "{count:>8} {:>10.0} {:>16.1} {:>10.2}",
            calls / elapsed,
            cpu / calls * 1e6,
            cpu / elapsed
        )?;
    }
    Ok(())
}

/// Latency that a gateway adds, compared with calls sent directly to a worker.
fn added_latency(program: &Path, seconds: f64, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "latency in ms at random arrivals: direct to a worker, and through a gateway with 90 workers that respond at once"
    )?;
    writeln!(
        out,
        "{:>8} {:>22} {:>22} {:>22}",
        "calls/s", "direct 50/99/99.9", "gateway 50/99/99.9", "added 50/99/99.9"
    )?;
    for rate in [270.0, 770.0] {
        let (_running, addresses) = start_workers(90, Duration::ZERO)?;
        let gateway = Gateway::start(program, &addresses, 4096)?;
        load::run(load_plan(gateway.address, rate, 1.0, 1000))?;
        let direct = latency_quantiles_ms(&load::run(load_plan(addresses[0], rate, seconds, 1000))?);
        let through_gateway =
            latency_quantiles_ms(&load::run(load_plan(gateway.address, rate, seconds, 1000))?);
        let format_ms = |ms: [f64; 3]| format!("{:.3}/{:.3}/{:.3}", ms[0], ms[1], ms[2]);
        let added = [0, 1, 2].map(|n| through_gateway[n] - direct[n]);
        writeln!(
            out,
            "{rate:>8} {:>22} {:>22} {:>22}",
            format_ms(direct),
            format_ms(through_gateway),
            format_ms(added)
        )?;
    }
    Ok(())
}

/// Memory of an idle gateway, with 10,000 requests in flight, and after `requests` requests.
fn memory(program: &Path, requests: f64, out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "resident memory of one gateway in MB, 30 workers")?;
    {
        let (_running, addresses) = start_workers(30, Duration::from_secs(8))?;
        let gateway = Gateway::start(program, &addresses, 12_000)?;
        writeln!(out, "{:<34} {:>8.1}", "idle", gateway.resident_mb()?)?;
        // 1,000 of the 10,000 requests are asynchronous. Each of the other 9,000 takes two descriptors, and
        // the limit of the process is 20,000.
        let address = gateway.address;
        load::run(Plan {
            asynchronous: true,
            evenly_spaced: true,
            ..load_plan(address, 1000.0, 1.0, 100)
        })?;
        let load = std::thread::spawn(move || load::run(load_plan(address, 5000.0, 2.0, 9000)));
        std::thread::sleep(Duration::from_secs(5));
        writeln!(
            out,
            "{:<34} {:>8.1}",
            "with 10,000 requests in flight",
            gateway.resident_mb()?
        )?;
        let report = load
            .join()
            .map_err(|_| io::Error::other("the thread of the load run panicked"))??;
        let finished = report.latencies_us.get("finished").map_or(0, |h| h.len());
        writeln!(out, "{:<34} {:>8}", "  of these, finished", finished)?;
    }
    let (_running, addresses) = start_workers(30, Duration::ZERO)?;
    let gateway = Gateway::start(program, &addresses, 4096)?;
    for part in 1..=4 {
        let mut done = 0.0;
        while done < requests / 4.0 {
            let report = load::run(load_plan(gateway.address, 100_000.0, 2.0, 64))?;
            done += report.count() as f64;
        }
        writeln!(
            out,
            "{:<34} {:>8.1}",
            format!("after {:.0} requests", requests / 4.0 * f64::from(part)),
            gateway.resident_mb()?
        )?;
    }
    Ok(())
}

/// Throughput of asynchronous requests that are kept in memory or on disk, and the latency of concurrent
/// synchronous calls.
fn asynchronous(program: &Path, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "asynchronous calls, 64 in flight, 30 workers respond at once; with 300 synchronous calls/s at the same time"
    )?;
    writeln!(
        out,
        "{:>9} {:>9} {:>18} {:>24} {:>24}",
        "kept", "taken/s", "202 p50/p99, ms", "sync alone p50/p99, ms", "sync concurrent, ms"
    )?;
    for (name, lines) in [("memory", ""), ("early", "answer = \"early\"\n"), ("durable", "")] {
        let folder = tempfile::tempdir()?;
        let store = match name {
            "memory" => String::new(),
            _ => format!("store = \"{}\"\n{lines}", folder.path().display()),
        };
        let (_running, addresses) = start_workers(30, Duration::ZERO)?;
        let gateway = Gateway::start_with(program, &addresses, 4096, &store)?;
        let address = gateway.address;
        load::run(load_plan(address, 300.0, 1.0, 64))?;
        let alone = latency_quantiles_ms(&load::run(load_plan(address, 300.0, 5.0, 1000))?);
        let concurrent = std::thread::spawn(move || load::run(load_plan(address, 300.0, 5.0, 1000)));
        let report = load::run(Plan {
            asynchronous: true,
            ..load_plan(address, 100_000.0, 5.0, 64)
        })?;
        let concurrent = latency_quantiles_ms(
            &concurrent
                .join()
                .map_err(|_| io::Error::other("the thread of the load run panicked"))??,
        );
        let accepted = report.latencies_us.get("taken");
        let ms = |quantile| accepted.map_or(f64::NAN, |h| h.value_at_quantile(quantile) as f64 / 1000.0);
        writeln!(
            out,
            "{name:>9} {:>9.0} {:>18} {:>24} {:>24}",
            accepted.map_or(0, |h| h.len()) as f64 / 5.0,
            format!("{:.2}/{:.2}", ms(0.5), ms(0.99)),
            format!("{:.2}/{:.2}", alone[0], alone[1]),
            format!("{:.2}/{:.2}", concurrent[0], concurrent[1])
        )?;
    }
    Ok(())
}

/// Time from the start of a process until it listens, by the number of stored requests. The requests are due
/// in a day, so that none is executed.
fn recovery(program: &Path, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "start with waiting requests in the store, payloads of 100 bytes"
    )?;
    writeln!(
        out,
        "{:>9} {:>12} {:>10} {:>12}",
        "requests", "store, MB", "start, s", "memory, MB"
    )?;
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let accepted_us = since_epoch.as_micros() as u64;
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
                accepted_us,
                due_us: accepted_us + 86_400_000_000,
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
        let stored_mb = log.size().bytes as f64 / 1e6;
        drop(log);
        let (_running, addresses) = start_workers(1, Duration::ZERO)?;
        let start = Instant::now();
        let gateway = Gateway::start_with(
            program,
            &addresses,
            4096,
            &format!("store = \"{}\"\n", folder.path().display()),
        )?;
        let start_s = start.elapsed().as_secs_f64();
        writeln!(
            out,
            "{requests:>9} {stored_mb:>12.1} {start_s:>10.2} {:>12.1}",
            gateway.resident_mb()?
        )?;
    }
    Ok(())
}

/// Time of a scheduling decision, by the number of workers that have been replaced since the start.
fn replaced_workers(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "microseconds for a decision with 30 workers up, by the number of workers replaced before"
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
    let mut decision_us = |scheduler: &mut Scheduler, now: &mut Duration| {
        let start = Instant::now();
        for _ in 0..2000 {
            request += 1;
            *now += Duration::from_millis(1);
            let function = ["f", "g", "h"][request as usize % 3];
            let time_left = Duration::from_secs(3);
            let actions = scheduler.handle(
                *now,
                Event::Request(Request {
                    id: request,
                    function,
                    time_left,
                    ..Request::default()
                }),
            );
            for action in actions {
                if let Action::StartAttempt { request, worker, .. } = action {
                    let (outcome, duration) = (Outcome::Succeeded, Duration::from_millis(5));
                    scheduler.handle(
                        *now,
                        Event::AttemptEnded {
                            request,
                            attempt: 0,
                            worker: &worker,
                            outcome,
                            duration,
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
    let mut started_workers = 0;
    for target in [30, 1000, 10_000] {
        while started_workers < target {
            let (new, old) = (
                format!("w{started_workers}"),
                format!("w{}", started_workers as i64 - 30),
            );
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
            started_workers += 1;
        }
        let kept_workers = scheduler.table_sizes().workers;
        writeln!(
            out,
            "{:>8} replaced {:>10.1} us ({kept_workers} worker records kept)",
            started_workers - 30,
            decision_us(&mut scheduler, &mut now)
        )?;
    }
    Ok(())
}

/// Time that forecasts take for each request, and their memory, by the number of functions.
fn forecasts(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "forecasts: microseconds for a request, memory of this process"
    )?;
    for functions in [100u64, 10_000, 100_000] {
        let before = resident_mb_of("self")?;
        let mut planner =
            quartzdrift_forecast::PrefetchPlanner::new(quartzdrift_forecast::ForecastSettings::default());
        let (mut now, requests) = (Duration::from_secs(1_000_000), 400_000u64.max(functions * 4));
        let (start, mut expectations) = (Instant::now(), 0);
        for n in 0..requests {
            now += Duration::from_micros(1300);
            // The functions are used in rotation with slight shifts, so that the intervals of each are nearly
            // equal, as with timers.
            let function = format!("f{}", (n * 7919 + n / functions) % functions);
            planner.record_use(now, &function, None);
            if planner.next_due().is_some_and(|at| at <= now) {
                expectations += planner.due(now).len();
            }
        }
        let us = start.elapsed().as_secs_f64() * 1e6 / requests as f64;
        let memory = resident_mb_of("self")? - before;
        writeln!(
            out,
            "{functions:>8} functions {us:>8.2} us {memory:>8.1} MB ({expectations} expectations, {requests} requests)"
        )?;
    }
    Ok(())
}

/// A measurement, by its name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Measurement {
    #[value(name = "busiest")]
    Throughput,
    #[value(name = "added")]
    AddedLatency,
    Memory,
    #[value(name = "replaced")]
    ReplacedWorkers,
    Forecasts,
    #[value(alias = "deferred")]
    Asynchronous,
    Recovery,
}

/// Runs measurements and writes their results as text; all of them if `measurements` is empty.
///
/// `program` is the binary of this package, which is started as the gateway; `requests` is the number of
/// requests after which memory is measured.
///
/// # Errors
/// Fails if a gateway, worker or load run cannot be started, or if `out` cannot be written.
pub fn run(
    program: &Path,
    measurements: &[Measurement],
    requests: f64,
    out: &mut impl Write,
) -> io::Result<()> {
    let all = [
        Measurement::Forecasts,
        Measurement::ReplacedWorkers,
        Measurement::Throughput,
        Measurement::AddedLatency,
        Measurement::Memory,
        Measurement::Asynchronous,
        Measurement::Recovery,
    ];
    let selected = if measurements.is_empty() {
        &all[..]
    } else {
        measurements
    };
    for measurement in selected {
        match measurement {
            Measurement::Throughput => throughput(program, out)?,
            Measurement::AddedLatency => added_latency(program, 10.0, out)?,
            Measurement::Memory => memory(program, requests, out)?,
            Measurement::ReplacedWorkers => replaced_workers(out)?,
            Measurement::Forecasts => forecasts(out)?,
            Measurement::Asynchronous => asynchronous(program, out)?,
            Measurement::Recovery => recovery(program, out)?,
        }
        writeln!(out)?;
    }
    Ok(())
}
