//! The operators' command line.
use clap::{Parser, Subcommand};
use quartzdrift::gateway::fleet::View;
use quartzdrift::platform::run;
use quartzdrift::{invoke, logs, serve, settings, snapshots};
use quartzdrift_async_queue::Invocation;
use quartzdrift_scheduler::interface::Idempotency;
use quartzdrift_wal::{DirectoryStorage, inspect, repair};
use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A smallest settings file, shown by `serve --help`.
const EXAMPLE: &str = r#"A small settings file:

    [gateway]
    listen = ["127.0.0.1:9700"]

    [[workloads]]
    name = "quick"
    effect = "restartable"       # or "fingerprinted", "run-once"
    time_limit = "3s"

    [[functions]]
    name = "hello"
    workload = "quick"

    [[workers]]
    address = "127.0.0.1:9801"

Try it with `quartzdrift check FILE`, then `quartzdrift serve FILE`, then
    quartzdrift invoke hello --payload '{"name": "you"}'

SIGTERM or Ctrl-C stops it: nothing new is taken, what is open is ended within gateway.drain. Logs go to standard
error ([log] form = "json" for one object a line). docs/operations.md explains every setting."#;

/// Gateway for functions and models that workers load on demand.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the gateway by a settings file until it is told to stop
    #[command(after_help = EXAMPLE)]
    Serve { file: PathBuf },
    /// Run as a scheduler on the operators' platform, by the configuration that GW_CONFIG names
    #[command(
        after_help = "SIGHUP reads the configuration again, SIGTERM stops once all is answered. RUST_LOG filters \
                            what goes to standard error (default info). docs/platform.md has the rest."
    )]
    Run,
    /// Check a settings file and say what is wrong, with line and mend; exit status 1 where something is
    Check { file: PathBuf },
    /// Show the fleet as the gateway of a settings file last saw it (it needs gateway.state)
    Members { file: PathBuf },
    /// Show how service returns since the last start, and what of before is believed (it needs gateway.state)
    Recovery {
        file: PathBuf,
        /// Go to full service at once; what may not run twice stays as it was judged
        #[arg(long)]
        force: bool,
    },
    /// Look at a store of asynchronous requests, or repair a damaged one
    Store {
        #[command(subcommand)]
        what: StoreCommand,
    },
    /// Call a function through a gateway and print its answer
    #[command(
        after_help = "Exit status: 0 finished or taken, 2 the function failed or the job was killed, \
                            3 pushed back (trying again is harmless), 4 any other answer, 1 no answer."
    )]
    Invoke {
        /// A name, name:alias or ARN
        function: String,
        /// The gateway's address
        #[arg(long, default_value = "127.0.0.1:9700")]
        at: String,
        /// The payload, JSON; `-` reads standard input
        #[arg(long, conflicts_with = "file")]
        payload: Option<String>,
        /// Read the payload from a file
        #[arg(long)]
        file: Option<PathBuf>,
        /// Deferred: answered once taken, run later
        #[arg(long)]
        event: bool,
        /// A mark by which workers know a repeat of a request with an idempotency key
        #[arg(long)]
        mark: Option<String>,
        /// How long to wait for the answer
        #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
        timeout: Duration,
    },
}

#[derive(Subcommand)]
enum StoreCommand {
    /// Say what is in it and whether it is whole; exit status 1 where it is not
    Check { folder: PathBuf },
    /// Print its requests, one JSON object a line
    Dump { folder: PathBuf },
    /// Keep what can be read of a damaged one; the gateway that uses it must be stopped
    Repair { folder: PathBuf },
}

/// The name by which operators' tools know a kind of request in the output of `store dump`.
fn stored_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "Restartable",
        Idempotency::IdempotentWithKey => "Fingerprinted",
        Idempotency::NonIdempotent => "RunOnce",
    }
}

fn store(what: &StoreCommand) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match what {
        StoreCommand::Check { folder } => {
            let found = inspect(&DirectoryStorage::open(folder)?)?;
            let out = found
                .open_invocations
                .iter()
                .filter(|record| record.attempt_started_us.is_some())
                .count();
            println!(
                "{} jobs, {out} of them may have run; {} segments, {} bytes, {} cut short by a crash",
                found.open_invocations.len(),
                found.segments,
                found.bytes,
                found.incomplete_bytes
            );
            found.faults.iter().for_each(|fault| println!("FAULT {fault}"));
            Ok(if found.faults.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        StoreCommand::Dump { folder } => {
            let mut out = std::io::stdout().lock();
            for record in inspect(&DirectoryStorage::open(folder)?)?.open_invocations {
                let request = Invocation::from_bytes(&record.request);
                let line = serde_json::json!({
                    "id": record.id,
                    "function": request.as_ref().map(|request| &request.function),
                    "effect": request.as_ref().map(|request| stored_name(request.idempotency)),
                    "payload": request.as_ref().map(|request| String::from_utf8_lossy(&request.payload).into_owned()),
                    "taken_us": record.accepted_us,
                    "due_us": record.due_us,
                    "tries": record.attempts,
                    "may_have_run": record.attempt_started_us.is_some(),
                });
                writeln!(out, "{line}")?;
            }
            Ok(ExitCode::SUCCESS)
        }
        StoreCommand::Repair { folder } => {
            let found = repair(DirectoryStorage::open(folder)?)?;
            found.faults.iter().for_each(|fault| println!("was: {fault}"));
            println!("{} jobs kept", found.open_invocations.len());
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Serve { file } => match settings::load(&file) {
            Ok(settings) => {
                logs::start(&settings.log);
                match serve::signals().and_then(|signals| serve::run(settings, signals, serve::announce)) {
                    Ok(()) => ExitCode::SUCCESS,
                    Err(e) => {
                        eprintln!("quartzdrift: {e}");
                        ExitCode::FAILURE
                    }
                }
            }
            Err(faults) => say(&faults),
        },
        Command::Run => match run::start() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(&e.to_string()),
        },
        Command::Check { file } => match settings::load(&file) {
            Ok(settings) => {
                let (functions, workers) = (settings.functions.len(), settings.workers.len());
                let request_classes = settings.scheduler.request_classes.len();
                println!(
                    "{}: good: {request_classes} workloads, {functions} functions, {workers} workers named",
                    file.display()
                );
                ExitCode::SUCCESS
            }
            Err(faults) => say(&faults),
        },
        Command::Store { what } => store(&what).unwrap_or_else(|e| fail(&e.to_string())),
        Command::Members { file } => match settings::load(&file) {
            Ok(settings) => members(&settings),
            Err(faults) => say(&faults),
        },
        Command::Recovery { file, force } => match settings::load(&file) {
            Ok(settings) => recovery(&settings, force),
            Err(faults) => say(&faults),
        },
        Command::Invoke {
            function,
            at,
            payload,
            file,
            event,
            mark,
            timeout,
        } => {
            let to = match quartzdrift_discovery::list::address(&at) {
                Ok(to) => to,
                Err(error) => return fail(&error.to_string()),
            };
            let payload = match (payload.as_deref(), file) {
                (Some("-"), _) => {
                    let mut bytes = Vec::new();
                    std::io::stdin().lock().read_to_end(&mut bytes).map(|_| bytes)
                }
                (Some(text), _) => Ok(text.as_bytes().to_vec()),
                (None, Some(path)) => std::fs::read(path),
                (None, None) => Ok(b"{}".to_vec()),
            };
            let payload = match payload {
                Ok(payload) => payload,
                Err(e) => return fail(&format!("the payload cannot be read: {e}")),
            };
            let call = invoke::Invoke {
                to,
                function,
                payload,
                asynchronous: event,
                idempotency_key: mark,
                timeout,
            };
            match invoke::invoke(&call) {
                Ok(answer) => told(&answer),
                Err(e) => fail(&format!("no answer from {to}: {e}")),
            }
        }
    }
}

/// Prints what a running gateway saves every few seconds.
fn members(settings: &settings::Settings) -> ExitCode {
    let (Some(folder), Some(_)) = (&settings.state, &settings.fleet) else {
        return fail("the settings need [fleet] and gateway.state, where the gateway tells what it sees");
    };
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    show(
        folder,
        snapshots::MEMBERS,
        "what was saved of the members",
        |view: View| view.table(now),
    )
}

/// Prints one thing that a gateway saves as it runs; `what` names it where it cannot be read.
fn show<T: serde::de::DeserializeOwned>(
    folder: &std::path::Path,
    name: &str,
    what: &str,
    table: impl Fn(T) -> String,
) -> ExitCode {
    match snapshots::read(folder, name) {
        Ok(Some(bytes)) => match serde_json::from_slice(&bytes) {
            Ok(view) => {
                print!("{}", table(view));
                ExitCode::SUCCESS
            }
            Err(e) => fail(&format!("{what} cannot be read: {e}")),
        },
        Ok(None) => fail("no gateway has run with this state yet"),
        Err(e) => fail(&format!("{}: {e}", folder.display())),
    }
}

/// Prints what a running gateway notes of its return to service, or has it return at once.
fn recovery(settings: &settings::Settings, force: bool) -> ExitCode {
    let Some(folder) = &settings.state else {
        return fail("the settings need gateway.state, where the gateway tells how it starts");
    };
    if force {
        return match std::fs::write(folder.join(snapshots::FORCE_FULL_SERVICE), b"") {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(&format!("{}: {e}", folder.display())),
        };
    }
    let what = "what was noted of the start";
    show(
        folder,
        snapshots::RECOVERY_VIEW,
        what,
        |view: quartzdrift_recovery::View| view.table(),
    )
}

fn fail(what: &str) -> ExitCode {
    eprintln!("quartzdrift: {what}");
    ExitCode::FAILURE
}

fn say(errors: &[settings::SettingsError]) -> ExitCode {
    errors.iter().for_each(|error| eprintln!("{error}"));
    ExitCode::FAILURE
}

fn told(answer: &quartzdrift_http::Response) -> ExitCode {
    let mut out = std::io::stdout().lock();
    if out.write_all(&answer.body).and_then(|()| writeln!(out)).is_err() {
        return ExitCode::FAILURE;
    }
    let id = answer.headers.get("x-amzn-requestid").unwrap_or("-");
    match (answer.status, answer.headers.get("x-amz-function-error")) {
        (200 | 202 | 204, None) => ExitCode::SUCCESS,
        (200, Some(error)) => {
            eprintln!("function error: {error} (job {id})");
            ExitCode::from(2)
        }
        (429, _) => {
            let after = answer.headers.get("retry-after").unwrap_or("?");
            eprintln!("pushed back: come back in {after} s (job {id})");
            ExitCode::from(3)
        }
        (status, _) => {
            eprintln!("status {status} (job {id})");
            ExitCode::from(4)
        }
    }
}
