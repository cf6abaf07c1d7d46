//! Exit codes and error lines that the subcommands share. Use [`fail`] for one error, [`with_settings`] for a
//! subcommand that takes a settings file.
use quartzdrift::settings::{self, Settings};
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

/// Prints an error with the program's name, and returns the exit code of a failure.
pub(super) fn fail(error: impl Display) -> ExitCode {
    eprintln!("quartzdrift: {error}");
    ExitCode::FAILURE
}

/// Runs a subcommand by a settings file, or prints the file's errors.
pub(super) fn with_settings(file: &Path, command: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    match settings::load(file) {
        Ok(settings) => command(settings),
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            ExitCode::FAILURE
        }
    }
}
