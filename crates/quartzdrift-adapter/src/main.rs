//! Speaks the simulator's wire on standard input and output for many instances of the scheduler, which share
//! nothing. All decisions are the scheduler's; this only translates.
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
