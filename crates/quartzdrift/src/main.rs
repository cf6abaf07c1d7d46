//! The command line program for operators: parses the arguments and runs the subcommand.
use clap::Parser;
use std::process::ExitCode;

mod commands;

use commands::{Arguments, Command};

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Serve { file } => commands::serve(&file),
        Command::Run => commands::run(),
        Command::Check { file } => commands::check(&file),
        Command::Members { file } => commands::members(&file),
        Command::Recovery { file, force } => commands::recovery(&file, force),
        Command::Store { command } => commands::store(&command),
        Command::Invoke(arguments) => commands::invoke(arguments),
    }
}
