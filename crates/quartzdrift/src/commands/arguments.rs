//! The arguments of the command line. Their doc comments are the help texts that users read.
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::time::Duration;

/// A small settings file, shown by `serve --help`.
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
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
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
        command: StoreCommand,
    },
    /// Call a function through a gateway and print its answer
    #[command(
        after_help = "Exit status: 0 finished or taken, 2 the function failed or the job was killed, \
                            3 pushed back (trying again is harmless), 4 any other answer, 1 no answer."
    )]
    Invoke(InvokeArguments),
}

#[derive(Subcommand)]
pub(crate) enum StoreCommand {
    /// Say what is in it and whether it is whole; exit status 1 where it is not
    Check { folder: PathBuf },
    /// Print its requests, one JSON object a line
    Dump { folder: PathBuf },
    /// Keep what can be read of a damaged one; the gateway that uses it must be stopped
    Repair { folder: PathBuf },
}

// The arguments of `invoke`. No doc comment here, as clap would add it to the help text.
#[derive(Args)]
pub(crate) struct InvokeArguments {
    /// A name, name:alias or ARN
    pub(crate) function: String,
    /// The gateway's address
    #[arg(long, default_value = "127.0.0.1:9700")]
    pub(crate) at: String,
    /// The payload, JSON; `-` reads standard input
    #[arg(long, conflicts_with = "file")]
    pub(crate) payload: Option<String>,
    /// Read the payload from a file
    #[arg(long)]
    pub(crate) file: Option<PathBuf>,
    /// Deferred: answered once taken, run later
    #[arg(long)]
    pub(crate) event: bool,
    /// A mark by which workers know a repeat of a request with an idempotency key
    #[arg(long)]
    pub(crate) mark: Option<String>,
    /// How long to wait for the answer
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    pub(crate) timeout: Duration,
}
