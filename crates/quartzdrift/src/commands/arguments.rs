//! The command line arguments. Their doc comments are the help texts.
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::time::Duration;

/// An example of a settings file, shown by `serve --help`.
const EXAMPLE: &str = r#"Example of a settings file:

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

SIGTERM or Ctrl-C stops the gateway: it rejects new requests and waits up to gateway.drain for open ones.
Logs are written to standard error, as text or (form = "json" in [log]) as one JSON object per line.
docs/operations.md explains all settings."#;

/// Gateway for functions and models that workers load on demand.
#[derive(Parser)]
#[command(version, about)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run the gateway with a settings file until SIGTERM or SIGINT
    #[command(after_help = EXAMPLE)]
    Serve { file: PathBuf },
    /// Run a scheduler on the operators' platform, with the configuration that the variable GW_CONFIG names
    #[command(
        after_help = "SIGHUP reloads the configuration. SIGTERM drains requests and stops. RUST_LOG filters \
                      what is logged to standard error (default: info). See docs/platform.md."
    )]
    Run,
    /// Check a settings file and print its errors with line and fix; exit status 1 if there are errors
    Check { file: PathBuf },
    /// Show the fleet's members as the gateway last saved them (requires gateway.state)
    Members { file: PathBuf },
    /// Show the phase of the recovery after the last start, and which saved state was restored (requires
    /// gateway.state)
    Recovery {
        file: PathBuf,
        /// Go to full service immediately; decisions about requests that must not run twice are kept
        #[arg(long)]
        force: bool,
    },
    /// Inspect or repair a store of asynchronous requests
    Store {
        #[command(subcommand)]
        command: StoreCommand,
    },
    /// Call a function through a gateway and print the response
    #[command(
        after_help = "Exit status: 0 succeeded or accepted, 1 no response, 2 the function failed or the \
                      gateway aborted the attempt, 3 rejected (a retry is safe), 4 any other response."
    )]
    Invoke(InvokeArguments),
}

#[derive(Subcommand)]
pub(crate) enum StoreCommand {
    /// Print a summary of the store and its damage; exit status 1 if it is damaged
    Check { folder: PathBuf },
    /// Print the requests in the store, one JSON object per line
    Dump { folder: PathBuf },
    /// Rewrite a damaged store with the requests that can be read; stop its gateway first
    Repair { folder: PathBuf },
}

// The arguments of `invoke`. This is not a doc comment, because clap would add it to the help text.
#[derive(Args)]
pub(crate) struct InvokeArguments {
    /// Function name, name:alias or ARN
    pub(crate) function: String,
    /// Address of the gateway
    #[arg(long, default_value = "127.0.0.1:9700")]
    pub(crate) at: String,
    /// JSON payload; `-` reads it from standard input
    #[arg(long, conflicts_with = "file")]
    pub(crate) payload: Option<String>,
    /// Read the payload from a file
    #[arg(long)]
    pub(crate) file: Option<PathBuf>,
    /// Invoke asynchronously: the gateway responds once it has queued the request
    #[arg(long)]
    pub(crate) event: bool,
    /// Idempotency key, by which workers detect a duplicate of the request
    #[arg(long)]
    pub(crate) mark: Option<String>,
    /// Timeout for the connection and for each wait for a part of the response
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    pub(crate) timeout: Duration,
}
