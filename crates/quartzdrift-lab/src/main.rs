//! Command line of the test tools.
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

/// Fakes, fault scenarios, an auditor and load generators for quartzdrift
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a gateway and fake workers with sample functions on loopback
    Demo {
        #[arg(long, default_value = "127.0.0.1:9700")]
        listen: SocketAddr,
        #[arg(long, default_value_t = 3)]
        workers: usize,
    },
    /// Run a gateway with a settings file, as `quartzdrift serve` does
    Gateway {
        file: PathBuf,
        /// Time by which the gateway's wall clock is ahead of this machine's
        #[arg(long, default_value = "0s", value_parser = humantime::parse_duration)]
        ahead: Duration,
        /// Time by which the gateway's wall clock is behind this machine's
        #[arg(long, default_value = "0s", value_parser = humantime::parse_duration)]
        behind: Duration,
        /// Boot id of the machine, as if it had just booted
        #[arg(long)]
        boot: Option<String>,
    },
    /// Run a scheduler on the platform, as `quartzdrift run` does
    Scheduler,
    /// Run one fake worker
    Worker {
        #[arg(long, default_value = "127.0.0.1:9801")]
        listen: SocketAddr,
        /// Address of the store that functions are fetched from
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
    /// Run a gateway that violates the guarantees on purpose, to prove that the auditor finds it
    Naive { file: PathBuf },
    /// Run a scenario with faults against gateway processes, and audit the guarantees from the recorded
    /// socket events
    ///
    /// The exit status is 0 only if no guarantee was violated. Without a scenario file, the built-in scenario
    /// is run.
    Badday {
        /// Scenario file
        script: Option<PathBuf>,
        /// Seed of the scenario's traffic
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of runs, each with the next seed
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// File to write the record of socket events to
        #[arg(long)]
        record: Option<PathBuf>,
        /// Program to run as the gateway (`PROGRAM serve FILE`) in place of this one
        #[arg(long, conflicts_with = "naive")]
        gateway: Option<PathBuf>,
        /// Run gateways that violate the guarantees; the audit must fail
        #[arg(long)]
        naive: bool,
    },
    /// Run generated scenarios with power losses and other faults against gateway processes
    ///
    /// The exit status is 0 only if no guarantee was violated. Failing seeds are printed; --from runs one
    /// again.
    Recovery {
        /// Number of seeds, and so of scenarios
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// First seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of scenarios that run at the same time
        #[arg(long, default_value_t = 3)]
        at_a_time: usize,
        /// Print the scenario file of the first seed in place of running it
        #[arg(long)]
        script: bool,
    },
    /// Call functions open-loop at a rate, and report latencies by outcome
    Load {
        /// Addresses to call, in rotation
        #[arg(long, default_value = "127.0.0.1:9700", value_delimiter = ',')]
        to: Vec<SocketAddr>,
        /// Functions with their weights, as hello=3,add=1
        #[arg(long, default_value = "hello=1", value_delimiter = ',', value_parser = parse_weight)]
        mix: Vec<(String, f64)>,
        /// Mean rate, in calls a second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
        length: Duration,
        #[arg(long, default_value = "{}")]
        payload: String,
        /// Make asynchronous calls
        #[arg(long)]
        event: bool,
        /// Largest number of calls in flight
        #[arg(long, default_value_t = 1000)]
        out: usize,
        #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
        timeout: Duration,
        /// Send calls at equal intervals in place of random ones
        #[arg(long)]
        even: bool,
        /// Trace of calls to send at their times, in place of mix, rate and length
        #[arg(long, conflicts_with_all = ["mix", "rate", "length", "even"])]
        trace: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure the cost of a gateway: throughput, added latency, memory, start
    Measure {
        /// Measurements to run; all by default
        what: Vec<measure::Measurement>,
        /// Number of requests after which memory is measured
        #[arg(long, alias = "jobs", default_value_t = 1_000_000.0)]
        requests: f64,
    },
    /// Run a scenario in simulated time and print its results as JSON
    Emulate {
        /// Scenario file; without one, the built-in scenario is run
        script: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Load functions before they are needed, by forecasts
        #[arg(long)]
        forecasts: bool,
        /// Run the schedulers with the membership protocol
        #[arg(long)]
        members: bool,
        /// Run the schedulers with the staged recovery after a power loss
        #[arg(long, requires = "members")]
        recovery: bool,
        /// Trace to use in place of the scenario's generated traffic
        #[arg(long)]
        trace: Option<PathBuf>,
        /// File to write the traffic to as a trace; compressed if its name ends in .gz
        #[arg(long)]
        write_trace: Option<PathBuf>,
    },
    /// Run a scenario of the bench, scaled down, on gateway processes and in simulated time
    ///
    /// The exit status is 0 only if no guarantee was violated. Faults without a counterpart are printed.
    Replay {
        /// Scenario file of the bench
        day: PathBuf,
        #[arg(long, default_value_t = 4)]
        gateways: usize,
        #[arg(long, default_value_t = 10)]
        workers: usize,
        #[arg(long, default_value = "20s", value_parser = humantime::parse_duration)]
        length: Duration,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run in simulated time only, which allows larger sizes
        #[arg(long)]
        emulator: bool,
    },
    /// Compare variants over the scenarios and seeds of a TOML file; see experiments/forecasts.toml
    Experiment {
        file: PathBuf,
        /// Folder for the table, the rows and the plots
        #[arg(long, default_value = "target/experiment")]
        out: PathBuf,
    },
    /// Audit a record that `badday --record` has written
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
    /// Number of concurrent fetches up to which a fetch is not slowed down
    #[arg(long, default_value_t = 16.0)]
    capacity: f64,
    /// Largest number of concurrent fetches; more are rejected
    #[arg(long, default_value_t = 64)]
    limit: usize,
}

/// Parses `FUNCTION=WEIGHT`; without a weight it is 1.
fn parse_weight(text: &str) -> Result<(String, f64), String> {
    let (function, weight) = text.split_once('=').unwrap_or((text, "1"));
    match weight.parse::<f64>() {
        Ok(weight) if weight > 0.0 && weight.is_finite() => Ok((function.to_owned(), weight)),
        Ok(_) | Err(_) => Err(format!(
            "the weight '{weight}' of function '{function}' is not a number above 0"
        )),
    }
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Demo { listen, workers } => run_demo(listen, workers),
        Command::Gateway {
            file,
            ahead,
            behind,
            boot,
        } => {
            let boot = boot.map(|name| (name, Duration::ZERO));
            clock::override_clocks(clock::ClockOverride { ahead, behind, boot });
            run_gateway(&file)
        }
        Command::Scheduler => run::start(),
        Command::Naive { file } => settings::load(&file)
            .map_err(settings_error)
            .and_then(|settings| naive::run(settings, |address| serve::announce(&[address]))),
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
            return run_scenario(script.as_deref(), seed..seed + times, record.as_deref(), &program);
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
            let failed_seeds = power_loss::run_seeds(
                from..from + seeds,
                at_a_time,
                &program,
                |seed, result| match result {
                    Ok(run) => {
                        println!(
                            "seed {seed}: {} calls, {} violations",
                            run.call_counts.sent,
                            run.violations.len()
                        );
                        run.violations
                            .iter()
                            .take(MAX_SHOWN_OF_SEED)
                            .for_each(|violation| println!("    {violation}"));
                    }
                    Err(e) => println!("seed {seed}: {e}"),
                },
            );
            failed_seeds
                .iter()
                .for_each(|failed| println!("seed {} failed:\n{}", failed.seed, failed.reason));
            match failed_seeds.len() {
                0 => {
                    println!("{seeds} power loss scenarios, no guarantee was violated");
                    Ok(())
                }
                failed => Err(std::io::Error::other(format!(
                    "{failed} of {seeds} power loss scenarios failed"
                ))),
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
        } => trace
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
                    asynchronous: event,
                    max_in_flight: out,
                    timeout,
                    evenly_spaced: even,
                    trace,
                    seed,
                };
                load::run(plan).map(|report| println!("{report}"))
            }),
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
            return match replay_bench_scenario(&day, scale, seed, emulator) {
                Ok(code) => code,
                Err(e) => {
                    eprintln!("quartzdrift-lab: {}: {e}", day.display());
                    ExitCode::FAILURE
                }
            };
        }
        Command::Experiment { file, out } => std::fs::read_to_string(&file).and_then(|text| {
            let (experiment, scenarios) = experiment::parse(&text).map_err(std::io::Error::other)?;
            let rows = experiment::run(&experiment, &scenarios, true);
            println!("{}", experiment::markdown_table(&experiment, &rows));
            experiment::write_results(&experiment, &rows, &out)?;
            println!("rows and plots: {}", out.display());
            Ok(())
        }),
        Command::Measure { what, requests } => std::env::current_exe()
            .and_then(|program| measure::run(&program, &what, requests, &mut std::io::stdout().lock())),
        Command::Audit { record } => {
            return match scenario_runner::load_record(&record) {
                Ok((terms, lines)) => print_violations(&audit::audit(&lines, &terms)),
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
            println!("service discovery at http://{address}/workers/0");
            let workers = workers
                .iter()
                .map(|worker| quartzdrift_discovery::DiscoveredEndpoint::up(&worker.to_string()))
                .collect();
            let lag = Duration::ZERO;
            actor::run(Some(listener), None, |handle| {
                discovery::FakeDiscovery::new(handle, workers, lag, None)
            })
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quartzdrift-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Opens a listener; returns it with its address, which states the port if `address` leaves it to the system.
fn bind(address: SocketAddr) -> std::io::Result<(std::net::TcpListener, SocketAddr)> {
    let with_address =
        |e: std::io::Error| std::io::Error::new(e.kind(), format!("cannot listen at {address}: {e}"));
    let listener = quartzdrift_http::bind(address, false).map_err(with_address)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// An error that lists the errors of a settings file, one a line.
fn settings_error(errors: Vec<settings::SettingsError>) -> std::io::Error {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    std::io::Error::other(lines.join("\n"))
}

/// Runs a gateway until a signal ends it.
fn run_gateway(file: &std::path::Path) -> std::io::Result<()> {
    let settings = settings::load(file).map_err(settings_error)?;
    logs::start(&settings.log);
    serve::run(settings, serve::signals()?, serve::announce)
}

/// Scenario file that is run if the command line names none.
const DEFAULT_SCENARIO: &str = include_str!("../days/badday.txt");

/// Reads the scenario file at `path`, or [`DEFAULT_SCENARIO`].
fn read_scenario(path: Option<&std::path::Path>) -> std::io::Result<scenario::Scenario> {
    let text = match path {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|e| std::io::Error::new(e.kind(), format!("{}: {e}", path.display())))?,
        None => DEFAULT_SCENARIO.to_owned(),
    };
    scenario::read(&text).map_err(std::io::Error::other)
}

/// Largest number of violations of a scenario run that are printed; all of them are counted.
const MAX_SHOWN: usize = 20;
/// Largest number of violations that are printed for each seed of a series of scenarios.
const MAX_SHOWN_OF_SEED: usize = 3;

/// Prints violations with their number by rule; returns the exit status.
fn print_violations(violations: &[audit::Violation]) -> ExitCode {
    violations
        .iter()
        .take(MAX_SHOWN)
        .for_each(|violation| println!("VIOLATION {violation}"));
    match violations.len() {
        0 => println!("no guarantee was violated"),
        n => {
            let mut counts = std::collections::BTreeMap::new();
            violations
                .iter()
                .for_each(|violation| *counts.entry(violation.rule).or_insert(0) += 1);
            let counts: Vec<String> = counts
                .iter()
                .map(|(rule, count)| format!("{rule}: {count}"))
                .collect();
            println!("{n} violations ({})", counts.join(", "));
        }
    }
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs a scenario against gateway processes, once for each seed, and audits each run.
fn run_scenario(
    path: Option<&std::path::Path>,
    seeds: std::ops::Range<u64>,
    record: Option<&std::path::Path>,
    program: &scenario_runner::GatewayProgram,
) -> ExitCode {
    let scenario = match read_scenario(path) {
        Ok(scenario) => scenario,
        Err(e) => {
            eprintln!("quartzdrift-lab: {e}");
            return ExitCode::FAILURE;
        }
    };
    let mut code = ExitCode::SUCCESS;
    for seed in seeds {
        let run = match scenario_runner::run(&scenario, program, seed) {
            Ok(run) => run,
            Err(e) => {
                eprintln!("quartzdrift-lab: cannot run the scenario with seed {seed}: {e}");
                return ExitCode::FAILURE;
            }
        };
        let counts = &run.call_counts;
        println!(
            "seed {seed}: {} calls, {} succeeded, {} accepted, {} rejected, {} killed, {} with other responses, \
             {} without a response; {} attempts, {} waited for a load, {} fetches",
            counts.sent,
            counts.finished,
            counts.accepted,
            counts.rejected,
            counts.killed,
            counts.other,
            counts.no_answer,
            run.attempts,
            run.waited_for_load,
            run.fetches
        );
        if let Some(seconds) = power_loss::recovery_seconds(&run, &scenario) {
            let rejected = run.rejected_fetches;
            println!(
                "recovered {seconds:.2} s after the return of power; the store rejected {rejected} fetches"
            );
        }
        if let Some(path) = record
            && let Err(e) = scenario_runner::save_record(&run, path)
        {
            eprintln!("quartzdrift-lab: {}: {e}", path.display());
            code = ExitCode::FAILURE;
        }
        if print_violations(&run.violations) != ExitCode::SUCCESS {
            code = ExitCode::FAILURE;
        }
    }
    code
}

/// Runs a scenario in simulated time and prints its results as JSON.
fn simulate(
    path: Option<&std::path::Path>,
    seed: u64,
    variant: &simulation::Variant,
    trace: Option<&std::path::Path>,
    write_trace: Option<&std::path::Path>,
) -> std::io::Result<()> {
    let scenario = read_scenario(path)?;
    let arrivals = match trace {
        Some(path) => traffic::read_trace(path)?,
        None => traffic::generate_arrivals(&scenario, seed),
    };
    if let Some(arrival) = arrivals
        .iter()
        .find(|arrival| arrival.request_class >= scenario.request_classes.len())
    {
        return Err(std::io::Error::other(format!(
            "the trace has a call of request class {}, but the scenario has only {} request classes",
            arrival.request_class,
            scenario.request_classes.len()
        )));
    }
    if let Some(path) = write_trace {
        traffic::write_trace(path, &arrivals)?;
    }
    let start = std::time::Instant::now();
    let results = simulation::run(&scenario, &arrivals, variant, seed);
    println!("{}", serde_json::to_string_pretty(&results)?);
    eprintln!(
        "{:.1?} of simulated time in {:.1?}",
        scenario.length,
        start.elapsed()
    );
    Ok(())
}

/// Runs a scenario of the bench in simulated time, and unless `simulation_only` against gateway processes;
/// prints the results of both.
fn replay_bench_scenario(
    path: &std::path::Path,
    scale: bench_scenario::Scale,
    seed: u64,
    simulation_only: bool,
) -> std::io::Result<ExitCode> {
    let bench =
        bench_scenario::read(&std::fs::read_to_string(path)?, scale).map_err(std::io::Error::other)?;
    let scenario = bench.scenario;
    println!(
        "{} faults; not supported: {}",
        scenario.faults.len(),
        match bench.unsupported.as_slice() {
            [] => "none".to_owned(),
            unsupported => unsupported.join(", "),
        }
    );
    let variant = simulation::Variant {
        membership: true,
        ..Default::default()
    };
    let simulated = simulation::run(
        &scenario,
        &traffic::generate_arrivals(&scenario, seed),
        &variant,
        seed,
    );
    let percent = |part: u64, all: u64| 100.0 * part as f64 / all.max(1) as f64;
    println!(
        "{:<10} {:>7} {:>11} {:>10} {:>8} {:>13} {:>8}",
        "", "calls", "succeeded %", "rejected %", "killed %", "no response %", "attempts"
    );
    let print_row = |name: &str, calls: u64, counts: [u64; 4], attempts: u64| {
        let [succeeded, rejected, killed, unanswered] = counts.map(|count| percent(count, calls));
        println!(
            "{name:<10} {calls:>7} {succeeded:>11.1} {rejected:>10.1} {killed:>8.1} {unanswered:>13.1} {attempts:>8}"
        );
    };
    print_row(
        "simulation",
        simulated.requests,
        [
            simulated.succeeded,
            simulated.rejected,
            simulated.failed,
            simulated.unanswered,
        ],
        simulated.attempts,
    );
    if simulated.overload_crashes > 0 {
        println!(
            "VIOLATION {} workers crashed by overload during slow start in the simulation",
            simulated.overload_crashes
        );
    }
    if simulation_only {
        return Ok(if simulated.overload_crashes == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    let program = scenario_runner::GatewayProgram::lab_command(&std::env::current_exe()?, "gateway");
    let run = scenario_runner::run(&scenario, &program, seed)?;
    let counts = &run.call_counts;
    print_row(
        "sockets",
        counts.sent,
        [counts.finished, counts.rejected, counts.killed, counts.no_answer],
        run.attempts as u64,
    );
    let code = print_violations(&run.violations);
    Ok(if simulated.overload_crashes == 0 {
        code
    } else {
        ExitCode::FAILURE
    })
}

/// Settings of the demo, to which its workers are added.
const DEMO_SETTINGS: &str = include_str!("demo.toml");

/// Runs fake workers and a gateway in front of them until a signal ends the gateway.
fn run_demo(listen: SocketAddr, workers: usize) -> std::io::Result<()> {
    let signals = serve::signals()?;
    let mut fake_workers = Vec::new();
    let mut text = DEMO_SETTINGS.replace("LISTEN", &listen.to_string());
    for _ in 0..workers {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let worker = actor::spawn(any_port, |handle, address| {
            worker::FakeWorker::new(handle, address, worker::Config::default())
        })?;
        text.push_str(&format!("\n[[workers]]\naddress = \"{}\"\n", worker.address));
        fake_workers.push(worker);
    }
    let settings = settings::read("demo.toml", &text).map_err(settings_error)?;
    logs::start(&settings.log);
    serve::run(settings, signals, |addresses| {
        let Some(at) = addresses.first() else { return };
        for worker in &fake_workers {
            println!("fake worker       http://{}", worker.address);
        }
        println!("gateway           http://{at}");
        println!("functions         hello, add, echo, fail\n\nTry it:\n");
        println!("  curl -s -d '{{\"name\": \"you\"}}' http://{at}/2015-03-31/functions/hello/invocations");
        println!("  curl -si -H 'X-Amz-Invocation-Type: Event' -d '[1, 2]' \\");
        println!("      http://{at}/2015-03-31/functions/add/invocations\n\nCtrl-C ends it.");
        let _ = std::io::stdout().flush();
    })
}
