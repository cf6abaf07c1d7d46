//! `members` and `recovery`: what a running gateway last wrote to its state folder.
use super::outcome::{fail, with_settings};
use quartzdrift::gateway::fleet::FleetView;
use quartzdrift::settings::Settings;
use quartzdrift::snapshots;
use quartzdrift_recovery::RecoveryView;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Prints the members of the fleet.
pub(crate) fn members(file: &Path) -> ExitCode {
    with_settings(file, |settings| print_members(&settings))
}

/// Prints the state of the recovery, or, if forced, has the running gateway go to full service.
pub(crate) fn recovery(file: &Path, force: bool) -> ExitCode {
    with_settings(file, |settings| {
        let Some(folder) = &settings.state else {
            return fail("the settings need gateway.state, where the gateway tells how it starts");
        };
        if force {
            force_full_service(folder)
        } else {
            print_recovery(folder)
        }
    })
}

fn print_members(settings: &Settings) -> ExitCode {
    let (Some(folder), Some(_)) = (&settings.state, &settings.fleet) else {
        return fail("the settings need [fleet] and gateway.state, where the gateway tells what it sees");
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let description = "what was saved of the members";
    print_view(folder, snapshots::MEMBERS, description, |view: FleetView| {
        view.table(now)
    })
}

fn print_recovery(folder: &Path) -> ExitCode {
    let description = "what was noted of the start";
    print_view(
        folder,
        snapshots::RECOVERY_VIEW,
        description,
        |view: RecoveryView| view.table(),
    )
}

fn force_full_service(folder: &Path) -> ExitCode {
    match std::fs::write(folder.join(snapshots::FORCE_FULL_SERVICE), b"") {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(format_args!("{}: {error}", folder.display())),
    }
}

/// Prints a snapshot as a table; `description` names it in the error where it cannot be read.
fn print_view<View: DeserializeOwned>(
    folder: &Path,
    name: &str,
    description: &str,
    table: impl Fn(View) -> String,
) -> ExitCode {
    let bytes = match snapshots::read(folder, name) {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return fail("no gateway has run with this state yet"),
        Err(error) => return fail(format_args!("{}: {error}", folder.display())),
    };
    match serde_json::from_slice(&bytes) {
        Ok(view) => {
            print!("{}", table(view));
            ExitCode::SUCCESS
        }
        Err(error) => fail(format_args!("{description} cannot be read: {error}")),
    }
}
