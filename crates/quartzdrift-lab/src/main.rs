//! The lab's command line.
use quartzdrift_lab::{
    actor, audit, bench_scenario, discovery, experiment, load, measure, naive, power_loss, scenario,
    scenario_runner, simulation, store, traffic, worker,
};

use clap::{Parser, Subcommand};
use quartzdrift::platform::run;
use quartzdrift::{clock, logs, serve, settings};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Fakes, fault scripts, auditor and load for quartzdrift.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway and a few fake workers with sample functions, all on loopback
    Demo {
        #[arg(long, default_value = "127.0.0.1:9700")]
        listen: SocketAddr,
        #[arg(long, default_value_t = 3)]
        workers: usize,
    },
    /// Run a gateway by a settings file, as `quartzdrift serve` does
    Gateway {
        file: PathBuf,
        /// As if this machine's wall clock were ahead
        #[arg(long, default_value = "0s", value_parser = humantime::parse_duration)]
        ahead: Duration,
        /// Or behind
        #[arg(long, default_value = "0s", value_parser = humantime::parse_duration)]
        behind: Duration,
        /// As if the machine had just been started anew, in a run of this name
        #[arg(long)]
        boot: Option<String>,
    },
    /// Run a scheduler on the operators' platform, as `quartzdrift run` does
    Scheduler,
    /// Run one fake worker
    Worker {
        #[arg(long, default_value = "127.0.0.1:9801")]
        listen: SocketAddr,
        /// Address of a store to fetch functions from
        #[arg(long)]
        store: Option<SocketAddr>,
    },
    /// Run a fake store
    Store {
        #[arg(long, default_value = "127.0.0.1:9850")]
        listen: SocketAddr,
        #[command(flatten)]
        config: StoreOptions,
    },
    /// Run a gateway that breaks the rules on purpose, to prove that the auditor sees it
    Naive { file: PathBuf },
    /// Play a day of faults against several gateway processes, and judge the rules from what passed on the sockets
    ///
    /// Exit status 0 only where every rule was kept. Without a script it plays the bad day that comes with it.
    Badday {
        script: Option<PathBuf>,
        /// Draws the day's traffic
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Play it so many times, each with the next seed
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// Keep the record in this file
        #[arg(long)]
        record: Option<PathBuf>,
        /// Run gateways of this program (`PROGRAM serve FILE`) in place of this one
        #[arg(long, conflicts_with = "naive")]
        gateway: Option<PathBuf>,
        /// Run gateways that break the rules: the day must fail
        #[arg(long)]
        naive: bool,
    },
    /// Play days of power loss drawn from seeds against several gateway processes, with faults between them
    ///
    /// Exit status 0 only where every rule was kept; seeds that broke one are printed, and played again by --from.
    Recovery {
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Days played at a time
        #[arg(long, default_value_t = 3)]
        at_a_time: usize,
        /// Print the script of the first seed in place of playing
        #[arg(long)]
        script: bool,
    },
    /// Call functions at a rate, open-loop, and report times by outcome
    Load {
        /// The addresses called in turn
        #[arg(long, default_value = "127.0.0.1:9700", value_delimiter = ',')]
        to: Vec<SocketAddr>,
        /// Functions with their shares, like hello=3,add=1
        #[arg(long, default_value = "hello=1", value_delimiter = ',', value_parser = share)]
        mix: Vec<(String, f64)>,
        /// Calls a second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
        length: Duration,
        #[arg(long, default_value = "{}")]
        payload: String,
        /// Deferred calls
        #[arg(long)]
        event: bool,
        /// Calls out at a time at most
        #[arg(long, default_value_t = 1000)]
        out: usize,
        #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
        timeout: Duration,
        /// Evenly spaced in place of random arrivals
        #[arg(long)]
        even: bool,
        /// Call what this trace tells, each at its moment, in place of mix, rate and length
        #[arg(long, conflicts_with_all = ["mix", "rate", "length", "even"])]
        trace: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure what a gateway costs: calls a second, time added, memory
    Measure {
        /// All of them, where none is named
        what: Vec<measure::Measurement>,
        /// Requests over which memory must stay flat
        #[arg(long, alias = "jobs", default_value_t = 1_000_000.0)]
        requests: f64,
    },
    /// Play a script in simulated time and print what it came to
    Emulate {
        script: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Load ahead of need by forecasts
        #[arg(long)]
        forecasts: bool,
        /// Schedulers know of each other by the membership
        #[arg(long)]
        members: bool,
        /// They return to service in stages after a loss of power
        #[arg(long, requires = "members")]
        recovery: bool,
        /// Use this trace in place of the script's own traffic
        #[arg(long)]
        trace: Option<PathBuf>,
        /// Write the traffic as a trace (`.gz` compresses)
        #[arg(long)]
        write_trace: Option<PathBuf>,
    },
    /// Play a day of the bench, scaled down, on gateway processes and in the emulator
    ///
    /// Exit status 0 only where every rule was kept. Faults that have no counterpart are named.
    Replay {
        day: PathBuf,
        #[arg(long, default_value_t = 4)]
        gateways: usize,
        #[arg(long, default_value_t = 10)]
        workers: usize,
        #[arg(long, default_value = "20s", value_parser = humantime::parse_duration)]
        length: Duration,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// In the emulator alone, which plays larger sizes
        #[arg(long)]
        emulator: bool,
    },
    /// Compare variants over days and seeds by a TOML file; see experiments/forecasts.toml
    Experiment {
        file: PathBuf,
        /// Folder for table, rows and plots
        #[arg(long, default_value = "target/experiment")]
        out: PathBuf,
    },
    /// Judge a record that was kept
    Audit { record: PathBuf },
    /// Run a fake service discovery that lists these workers
    #[command(alias = "roster")]
    Discovery {
        #[arg(long, default_value = "127.0.0.1:9800")]
        listen: SocketAddr,
        workers: Vec<SocketAddr>,
    },
}

#[derive(clap::Args)]
struct StoreOptions {
    /// Fetches at a time that are as fast as one
    #[arg(long, default_value_t = 16.0)]
    capacity: f64,
    /// Fetches at a time past which more are turned away
    #[arg(long, default_value_t = 64)]
    limit: usize,
}

fn share(text: &str) -> Result<(String, f64), String> {
    let (function, share) = text.split_once('=').unwrap_or((text, "1"));
    match share.parse::<f64>() {
        Ok(share) if share > 0.0 && share.is_finite() => Ok((function.to_owned(), share)),
        Ok(_) | Err(_) => Err(format!("'{share}' is no share over 0")),
    }
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Demo { listen, workers } => demo(listen, workers),
        Command::Gateway {
            file,
            ahead,
            behind,
            boot,
        } => {
            let boot = boot.map(|name| (name, Duration::ZERO));
            clock::override_clocks(clock::ClockOverride { ahead, behind, boot });
            gateway(&file)
        }
        Command::Scheduler => run::start(),
        Command::Naive { file } => settings::load(&file)
            .map_err(faults)
            .and_then(|settings| naive::run(settings, |at| serve::announce(&[at]))),
        Command::Badday {
            script,
            seed,
            times,
            record,
            gateway,
            naive,
        } => {
            let program = match gateway {
                Some(path) => scenario_runner::GatewayProgram {
                    path,
                    arguments: vec!["serve".to_owned()],
                },
                None => match std::env::current_exe() {
                    Ok(path) => {
                        let command = if naive { "naive" } else { "gateway" };
                        scenario_runner::GatewayProgram::lab_command(&path, command)
                    }
                    Err(e) => {
                        eprintln!("quartzdrift-lab: {e}");
                        return ExitCode::FAILURE;
                    }
                },
            };
            return badday(script.as_deref(), seed..seed + times, record.as_deref(), &program);
        }
        Command::Recovery {
            from, script: true, ..
        } => {
            print!("{}", power_loss::scenario_text(from));
            Ok(())
        }
        Command::Recovery {
            seeds,
            from,
            at_a_time,
            script: false,
        } => std::env::current_exe().and_then(|path| {
            let program = scenario_runner::GatewayProgram::lab_command(&path, "gateway");
            let bad =
                power_loss::run_seeds(
                    from..from + seeds,
                    at_a_time,
                    &program,
                    |seed, played| match played {
                        Ok(day) => {
                            println!(
                                "seed {seed}: {} calls, {} breaches",
                                day.call_counts.sent,
                                day.violations.len()
                            );
                            day.violations
                                .iter()
                                .take(3)
                                .for_each(|broken| println!("    {broken}"));
                        }
                        Err(e) => println!("seed {seed}: {e}"),
                    },
                );
            bad.iter()
                .for_each(|bad| println!("seed {} is bad:\n{}", bad.seed, bad.reason));
            match bad.len() {
                0 => {
                    println!("{seeds} days of power loss, every rule was kept");
                    Ok(())
                }
                many => Err(std::io::Error::other(format!("{many} of {seeds} days were bad"))),
            }
        }),
        Command::Load {
            to,
            mix,
            rate,
            length,
            payload,
            event,
            out,
            timeout,
            even,
            trace,
            seed,
        } => {
            let (asynchronous, out_most) = (event, out);
            trace
                .as_deref()
                .map(traffic::read_trace)
                .transpose()
                .and_then(|trace| {
                    let plan = load::Plan {
                        addresses: to,
                        mix,
                        requests_per_s: rate,
                        duration: length,
                        payload,
                        asynchronous,
                        max_in_flight: out_most,
                        timeout,
                        evenly_spaced: even,
                        trace,
                        seed,
                    };
                    load::run(plan).map(|report| println!("{report}"))
                })
        }
        Command::Emulate {
            script,
            seed,
            forecasts,
            members,
            recovery,
            trace,
            write_trace,
        } => {
            let forecasting = if forecasts {
                simulation::Forecasting::On
            } else {
                simulation::Forecasting::Off
            };
            let variant = simulation::Variant {
                forecasting,
                membership: members,
                recovery,
                admission_ramp: recovery,
                ..Default::default()
            };
            simulate(
                script.as_deref(),
                seed,
                &variant,
                trace.as_deref(),
                write_trace.as_deref(),
            )
        }
        Command::Replay {
            day,
            gateways,
            workers,
            length,
            seed,
            emulator,
        } => {
            let scale = bench_scenario::Scale {
                gateways,
                workers,
                length,
            };
            return match replay(&day, scale, seed, emulator) {
                Ok(code) => code,
                Err(e) => {
                    eprintln!("quartzdrift-lab: {}: {e}", day.display());
                    ExitCode::FAILURE
                }
            };
        }
        Command::Experiment { file, out } => std::fs::read_to_string(&file).and_then(|text| {
            let (experiment, scripts) = experiment::parse(&text).map_err(std::io::Error::other)?;
            let rows = experiment::run(&experiment, &scripts, true);
            println!("{}", experiment::markdown_table(&experiment, &rows));
            experiment::write_results(&experiment, &rows, &out)?;
            println!("rows and plots: {}", out.display());
            Ok(())
        }),
        Command::Measure { what, requests } => std::env::current_exe()
            .and_then(|lab| measure::run(&lab, &what, requests, &mut std::io::stdout().lock())),
        Command::Audit { record } => {
            return match scenario_runner::load_record(&record) {
                Ok((terms, lines)) => judged(&audit::audit(&lines, &terms)),
                Err(e) => {
                    eprintln!("quartzdrift-lab: {}: {e}", record.display());
                    ExitCode::FAILURE
                }
            };
        }
        Command::Worker { listen, store } => bind(listen).and_then(|(listener, address)| {
            println!("worker at {address}");
            let config = worker::Config {
                store,
                ..worker::Config::default()
            };
            actor::run(Some(listener), None, |handle| {
                worker::FakeWorker::new(handle, address, config)
            })
        }),
        Command::Store { listen, config } => bind(listen).and_then(|(listener, address)| {
            println!("store at {address}");
            let config = store::Config {
                capacity: config.capacity,
                max_concurrent_fetches: config.limit,
                ..store::Config::default()
            };
            actor::run(Some(listener), None, |handle| {
                store::FakeStore::new(handle, config)
            })
        }),
        Command::Discovery { listen, workers } => bind(listen).and_then(|(listener, address)| {
            println!("roster at http://{address}/workers/0");
            let workers = workers
                .iter()
                .map(|w| quartzdrift_discovery::DiscoveredEndpoint::up(&w.to_string()))
                .collect();
            let lag = Duration::ZERO;
            actor::run(Some(listener), None, |handle| {
                discovery::FakeDiscovery::new(handle, workers, lag, None)
            })
        }),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quartzdrift-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

fn bind(at: SocketAddr) -> std::io::Result<(std::net::TcpListener, SocketAddr)> {
    let named = |e: std::io::Error| std::io::Error::new(e.kind(), format!("cannot listen at {at}: {e}"));
    let listener = quartzdrift_http::bind(at, false).map_err(named)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

fn faults(faults: Vec<settings::SettingsError>) -> std::io::Error {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    std::io::Error::other(lines.join("\n"))
}

fn gateway(file: &std::path::Path) -> std::io::Result<()> {
    let settings = settings::load(file).map_err(faults)?;
    logs::start(&settings.log);
    serve::run(settings, serve::signals()?, serve::announce)
}

/// The day that is played where no other is named.
const BAD_DAY: &str = include_str!("../days/badday.txt");

/// The script that is named, or that day.
fn day_of(script: Option<&std::path::Path>) -> std::io::Result<scenario::Scenario> {
    let text = match script {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|e| std::io::Error::new(e.kind(), format!("{}: {e}", path.display())))?,
        None => BAD_DAY.to_owned(),
    };
    scenario::read(&text).map_err(std::io::Error::other)
}

/// Breaches that are printed; all of them are counted.
const MAX_SHOWN: usize = 20;

fn judged(broken: &[audit::Violation]) -> ExitCode {
    broken
        .iter()
        .take(MAX_SHOWN)
        .for_each(|broken| println!("BROKEN {broken}"));
    match broken.len() {
        0 => println!("every rule was kept"),
        n => {
            let mut counts = std::collections::BTreeMap::new();
            broken
                .iter()
                .for_each(|broken| *counts.entry(broken.rule).or_insert(0) += 1);
            let counts: Vec<String> = counts
                .iter()
                .map(|(rule, count)| format!("{rule}: {count}"))
                .collect();
            println!("{n} breaches ({})", counts.join(", "));
        }
    }
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn badday(
    script: Option<&std::path::Path>,
    seeds: std::ops::Range<u64>,
    record: Option<&std::path::Path>,
    program: &scenario_runner::GatewayProgram,
) -> ExitCode {
    let script = match day_of(script) {
        Ok(script) => script,
        Err(e) => {
            eprintln!("quartzdrift-lab: {e}");
            return ExitCode::FAILURE;
        }
    };
    let mut code = ExitCode::SUCCESS;
    for seed in seeds {
        let day = match scenario_runner::run(&script, program, seed) {
            Ok(day) => day,
            Err(e) => {
                eprintln!("quartzdrift-lab: the day could not be played: {e}");
                return ExitCode::FAILURE;
            }
        };
        let tally = &day.call_counts;
        println!(
            "seed {seed}: {} calls, {} finished, {} taken, {} pushed back, {} killed, {} other answers, \
             {} without an answer; {} executions, {} waited for a load, {} fetches",
            tally.sent,
            tally.finished,
            tally.accepted,
            tally.rejected,
            tally.killed,
            tally.other,
            tally.no_answer,
            day.attempts,
            day.waited_for_load,
            day.fetches
        );
        if let Some(back) = power_loss::recovery_seconds(&day, &script) {
            let refused = day.refused_fetches;
            println!("as before {back:.2} s after power came back; the store turned {refused} fetches away");
        }
        if let Some(path) = record
            && let Err(e) = scenario_runner::save_record(&day, path)
        {
            eprintln!("quartzdrift-lab: {}: {e}", path.display());
            code = ExitCode::FAILURE;
        }
        if judged(&day.violations) != ExitCode::SUCCESS {
            code = ExitCode::FAILURE;
        }
    }
    code
}

fn simulate(
    script: Option<&std::path::Path>,
    seed: u64,
    variant: &simulation::Variant,
    trace: Option<&std::path::Path>,
    write: Option<&std::path::Path>,
) -> std::io::Result<()> {
    let script = day_of(script)?;
    let arrivals = match trace {
        Some(path) => traffic::read_trace(path)?,
        None => traffic::generate_arrivals(&script, seed),
    };
    if let Some(arrival) = arrivals
        .iter()
        .find(|arrival| arrival.request_class >= script.request_classes.len())
    {
        return Err(std::io::Error::other(format!(
            "the trace has a workload {} that the script lacks",
            arrival.request_class
        )));
    }
    if let Some(path) = write {
        traffic::write_trace(path, &arrivals)?;
    }
    let start = std::time::Instant::now();
    let figures = simulation::run(&script, &arrivals, variant, seed);
    println!("{}", serde_json::to_string_pretty(&figures)?);
    eprintln!(
        "{:.1?} of simulated time in {:.1?}",
        script.length,
        start.elapsed()
    );
    Ok(())
}

fn replay(
    path: &std::path::Path,
    scale: bench_scenario::Scale,
    seed: u64,
    emulator: bool,
) -> std::io::Result<ExitCode> {
    let day = bench_scenario::read(&std::fs::read_to_string(path)?, scale).map_err(std::io::Error::other)?;
    let script = day.scenario;
    println!(
        "{} troubles; not played: {}",
        script.faults.len(),
        match day.unsupported.as_slice() {
            [] => "none".to_owned(),
            some => some.join(", "),
        }
    );
    let variant = simulation::Variant {
        membership: true,
        ..Default::default()
    };
    let modelled = simulation::run(
        &script,
        &traffic::generate_arrivals(&script, seed),
        &variant,
        seed,
    );
    let percent = |part: u64, all: u64| 100.0 * part as f64 / all.max(1) as f64;
    println!(
        "{:<9} {:>7} {:>10} {:>13} {:>8} {:>10} {:>12}",
        "", "calls", "finished %", "pushed back %", "killed %", "no answer %", "executions"
    );
    let line = |name: &str, calls: u64, of: [u64; 4], attempts: u64| {
        let [finished, rejected, killed, none] = of.map(|part| percent(part, calls));
        println!(
            "{name:<9} {calls:>7} {finished:>10.1} {rejected:>13.1} {killed:>8.1} {none:>10.1} {attempts:>12}"
        );
    };
    let f = &modelled;
    line(
        "emulator",
        f.requests,
        [f.succeeded, f.rejected, f.failed, f.unanswered],
        f.attempts,
    );
    if f.overload_crashes > 0 {
        println!(
            "BROKEN {} cold workers were pushed over in the emulator",
            f.overload_crashes
        );
    }
    if emulator {
        return Ok(if f.overload_crashes == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    let program = scenario_runner::GatewayProgram::lab_command(&std::env::current_exe()?, "gateway");
    let played = scenario_runner::run(&script, &program, seed)?;
    let tally = &played.call_counts;
    let of = [tally.finished, tally.rejected, tally.killed, tally.no_answer];
    line("sockets", tally.sent, of, played.attempts as u64);
    let code = judged(&played.violations);
    Ok(if f.overload_crashes == 0 {
        code
    } else {
        ExitCode::FAILURE
    })
}

/// The settings of the demo; its workers are put in.
const DEMO: &str = include_str!("demo.toml");

fn demo(listen: SocketAddr, workers: usize) -> std::io::Result<()> {
    let signals = serve::signals()?;
    let mut standing = Vec::new();
    let mut text = DEMO.replace("LISTEN", &listen.to_string());
    for _ in 0..workers {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let worker = actor::spawn(any, |handle, address| {
            worker::FakeWorker::new(handle, address, worker::Config::default())
        })?;
        text.push_str(&format!("\n[[workers]]\naddress = \"{}\"\n", worker.address));
        standing.push(worker);
    }
    let settings = settings::read("demo.toml", &text).map_err(faults)?;
    logs::start(&settings.log);
    serve::run(settings, signals, |addresses| {
        let Some(at) = addresses.first() else { return };
        for worker in &standing {
            println!("stand-in worker   http://{}", worker.address);
        }
        println!("gateway           http://{at}");
        println!("functions         hello, add, echo, fail\n\nTry it:\n");
        println!("  curl -s -d '{{\"name\": \"you\"}}' http://{at}/2015-03-31/functions/hello/invocations");
        println!("  curl -si -H 'X-Amz-Invocation-Type: Event' -d '[1, 2]' \\");
        println!("      http://{at}/2015-03-31/functions/add/invocations\n\nCtrl-C ends it.");
        let _ = std::io::stdout().flush();
    })
}
