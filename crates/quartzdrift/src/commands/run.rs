//! `serve`, `run` and `check`: a gateway by a settings file, a scheduler on the operators' platform, and the
//! check of a settings file without a start.
use super::outcome::{fail, with_settings};
use quartzdrift::platform::run as platform;
use quartzdrift::settings::Settings;
use quartzdrift::{logs, serve as server};
use std::path::Path;
use std::process::ExitCode;

/// Runs a gateway until a signal stops it.
pub(crate) fn serve(file: &Path) -> ExitCode {
    with_settings(file, |settings| {
        logs::start(&settings.log);
        let served = server::signals().and_then(|signals| server::run(settings, signals, server::announce));
        match served {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(error),
        }
    })
}

/// Runs a scheduler by the configuration that the environment names.
pub(crate) fn run() -> ExitCode {
    match platform::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error),
    }
}

/// Checks a settings file and prints what it names.
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
        "{}: good: {request_classes} workloads, {functions} functions, {workers} workers named",
        file.display()
    );
}
