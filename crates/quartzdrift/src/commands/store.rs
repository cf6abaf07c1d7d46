//! `store check`, `store dump` and `store repair` inspect and repair the write-ahead log of asynchronous
//! requests.
use super::arguments::StoreCommand;
use super::outcome::fail;
use quartzdrift_async_queue::Invocation;
use quartzdrift_scheduler::interface::Idempotency;
use quartzdrift_wal::{DirectoryStorage, InvocationRecord, LogError, inspect, repair};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

/// Runs a subcommand of `store`.
pub(crate) fn store(command: &StoreCommand) -> ExitCode {
    let result = match command {
        StoreCommand::Check { folder } => check(folder),
        StoreCommand::Dump { folder } => dump(folder),
        StoreCommand::Repair { folder } => repair_log(folder),
    };
    result.unwrap_or_else(fail)
}

fn check(folder: &Path) -> Result<ExitCode, LogError> {
    let inspection = inspect(&DirectoryStorage::open(folder)?)?;
    let possibly_executed = inspection
        .open_invocations
        .iter()
        .filter(|record| record.attempt_started_us.is_some())
        .count();
    println!(
        "{} requests, {possibly_executed} of them may have been executed; {} segments, {} bytes, \
         {} bytes cut short by a crash",
        inspection.open_invocations.len(),
        inspection.segments,
        inspection.bytes,
        inspection.incomplete_bytes
    );
    for fault in &inspection.faults {
        println!("FAULT {fault}");
    }
    if inspection.faults.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

fn dump(folder: &Path) -> Result<ExitCode, LogError> {
    let storage = DirectoryStorage::open(folder)?;
    let mut output = std::io::stdout().lock();
    for record in inspect(&storage)?.open_invocations {
        writeln!(output, "{}", dump_line(&record))?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Converts a record to JSON. The fields of the request are null if the record is in the format of another
/// release.
fn dump_line(record: &InvocationRecord) -> serde_json::Value {
    let request = Invocation::from_bytes(&record.request);
    let request = request.as_ref();
    serde_json::json!({
        "id": record.id,
        "function": request.map(|request| &request.function),
        "effect": request.map(|request| stored_name(request.idempotency)),
        "payload": request.map(|request| String::from_utf8_lossy(&request.payload)),
        "taken_us": record.accepted_us,
        "due_us": record.due_us,
        "tries": record.attempts,
        "may_have_run": record.attempt_started_us.is_some(),
    })
}

fn repair_log(folder: &Path) -> Result<ExitCode, LogError> {
    let inspection = repair(DirectoryStorage::open(folder)?)?;
    for fault in &inspection.faults {
        println!("found: {fault}");
    }
    println!("{} requests kept", inspection.open_invocations.len());
    Ok(ExitCode::SUCCESS)
}

/// The name of an idempotency class in the output of `store dump`. Operators' tools parse this output.
fn stored_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "Restartable",
        Idempotency::IdempotentWithKey => "Fingerprinted",
        Idempotency::NonIdempotent => "RunOnce",
    }
}
