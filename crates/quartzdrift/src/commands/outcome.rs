//! Exit codes and error output that the subcommands share. Use [`fail`] for one error, and [`with_settings`]
//! in a subcommand that takes a settings file.
use quartzdrift::settings::{self, Settings};
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

/// Prints an error with the program's name to standard error, and returns [`ExitCode::FAILURE`].
pub(super) fn fail(error: impl Display) -> ExitCode {
    eprintln!("quartzdrift: {error}");
    ExitCode::FAILURE
}

/// Runs a subcommand with the settings of a file. If the file has errors, prints them and returns
/// [`ExitCode::FAILURE`].
pub(super) fn with_settings(file: &Path, command: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    match settings::load(file) {
        Ok(settings) => command(settings),
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            ExitCode::FAILURE
        }
    }
}
