//! `serve` runs a gateway with a settings file, `run` runs a scheduler on the operators' platform, and
//! `check` checks a settings file without starting a gateway.
use super::outcome::{fail, with_settings};
use quartzdrift::platform::run as platform;
use quartzdrift::settings::Settings;
use quartzdrift::{logs, serve as server};
use std::path::Path;
use std::process::ExitCode;

/// Runs a gateway until SIGTERM or SIGINT.
pub(crate) fn serve(file: &Path) -> ExitCode {
    with_settings(file, |settings| {
        logs::start(&settings.log);
        let result = server::signals().and_then(|signals| server::run(settings, signals, server::announce));
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(error),
        }
    })
}

/// Runs a scheduler with the configuration file that the environment variable `GW_CONFIG` names.
pub(crate) fn run() -> ExitCode {
    match platform::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error),
    }
}

/// Checks a settings file and prints a summary of it.
pub(crate) fn check(file: &Path) -> ExitCode {
    with_settings(file, |settings| {
        print_summary(file, &settings);
        ExitCode::SUCCESS
    })
}

fn print_summary(file: &Path, settings: &Settings) {
    let request_classes = settings.scheduler.request_classes.len();
    let functions = settings.functions.len();
    let workers = settings.workers.len();
    println!(
        "{}: valid: {request_classes} workloads, {functions} functions, {workers} workers",
        file.display()
    );
}
