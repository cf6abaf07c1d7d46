//! `members` and `recovery` print snapshots that a gateway wrote to its state folder.
use super::outcome::{fail, with_settings};
use quartzdrift::gateway::fleet::View as FleetView;
use quartzdrift::settings::Settings;
use quartzdrift::snapshots;
use quartzdrift_recovery::RecoveryView;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Prints the last snapshot of the fleet's members.
pub(crate) fn members(file: &Path) -> ExitCode {
    with_settings(file, |settings| print_members(&settings))
}

/// Prints the last snapshot of the recovery. With `force`, requests full service from the running gateway
/// instead.
pub(crate) fn recovery(file: &Path, force: bool) -> ExitCode {
    with_settings(file, |settings| {
        let Some(folder) = &settings.state_folder else {
            return fail("gateway.state is not set: the gateway saves no state of its recovery");
        };
        if force {
            force_full_service(folder)
        } else {
            print_recovery(folder)
        }
    })
}

fn print_members(settings: &Settings) -> ExitCode {
    let (Some(folder), Some(_)) = (&settings.state_folder, &settings.fleet) else {
        return fail("[fleet] or gateway.state is not set: the gateway saves no list of members");
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let description = "the snapshot of the members";
    print_view(folder, snapshots::MEMBERS, description, |view: FleetView| {
        view.table(now)
    })
}

fn print_recovery(folder: &Path) -> ExitCode {
    let description = "the snapshot of the recovery";
    print_view(
        folder,
        snapshots::RECOVERY_VIEW,
        description,
        |view: RecoveryView| view.table(),
    )
}

fn force_full_service(folder: &Path) -> ExitCode {
    let file = folder.join(snapshots::FORCE_FULL_SERVICE);
    match std::fs::write(&file, b"") {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(format_args!("cannot create {}: {error}", file.display())),
    }
}

/// Prints a snapshot as a table. `description` names the snapshot in errors.
fn print_view<View: DeserializeOwned>(
    folder: &Path,
    name: &str,
    description: &str,
    format_table: impl Fn(View) -> String,
) -> ExitCode {
    let bytes = match snapshots::read(folder, name) {
        Ok(Some(bytes)) => bytes,
        Ok(None) => {
            return fail(format_args!(
                "{} has no file {name}: no gateway has saved its state there yet",
                folder.display()
            ));
        }
        Err(error) => {
            return fail(format_args!(
                "cannot read {description} in {}: {error}",
                folder.display()
            ));
        }
    };
    match serde_json::from_slice(&bytes) {
        Ok(view) => {
            print!("{}", format_table(view));
            ExitCode::SUCCESS
        }
        Err(error) => fail(format_args!(
            "cannot parse {description} in {}: {error}",
            folder.display()
        )),
    }
}
