//! Hosts instances of the scheduler for the simulator.
//!
//! Reads the lines of the simulator's protocol from standard input, passes them as events to the instances,
//! and writes the resulting actions as lines to standard output. The instances share no state, and this
//! program makes no scheduling decisions.
mod action;
mod error;
mod event;
mod hex;
mod host;
mod line;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match host::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
