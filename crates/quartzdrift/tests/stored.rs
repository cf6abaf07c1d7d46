//! Compatibility with files that earlier releases stored. The files in `tests/stored` are from a gateway of
//! 2026-12-02 that was killed while invocations of each kind were open. The tests read each file and check
//! its content. Most files are also written again and compared with the stored file byte for byte.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]
use quartzdrift::{snapshots, wal_writer};
use quartzdrift_async_queue::{Destination, StoredInvocation};
use quartzdrift_discovery::{ConfiguredNames, list};
use quartzdrift_forecast::Forecasts;
use quartzdrift_recovery::{Checkpoint, RecoveryPhase, RecoveryView, RestartKind};
use quartzdrift_scheduler::interface::{EndpointState, Idempotency};
use quartzdrift_scheduler::measure::Measurements;
use quartzdrift_wal::{DirectoryStorage, Inspection, InvocationRecord, Log, LogRecord, inspect};
use serde_json::Value;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// The folder of stored files.
fn stored_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored")
}

fn read_stored(name: &str) -> Vec<u8> {
    snapshots::read(&stored_folder(), name).unwrap().unwrap()
}

/// Asserts that this release writes `content` to the same bytes as the stored file, including the checksum.
fn assert_rewrite_is_identical(name: &str, content: &[u8]) {
    let folder = tempfile::tempdir().unwrap();
    snapshots::write(folder.path(), name, content).unwrap();
    assert_eq!(
        fs::read(folder.path().join(name)).unwrap(),
        fs::read(stored_folder().join(name)).unwrap(),
        "{name}"
    );
}

/// Whether two JSON values are equal, apart from rounding of numbers.
fn is_equal_up_to_rounding(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Object(one), Value::Object(other)) => {
            one.len() == other.len()
                && one.iter().all(|(key, value)| {
                    other
                        .get(key)
                        .is_some_and(|other| is_equal_up_to_rounding(value, other))
                })
        }
        (Value::Array(one), Value::Array(other)) => {
            one.len() == other.len()
                && one
                    .iter()
                    .zip(other)
                    .all(|(one, other)| is_equal_up_to_rounding(one, other))
        }
        (Value::Number(one), Value::Number(other)) => {
            let (one, other) = (one.as_f64().unwrap(), other.as_f64().unwrap());
            (one - other).abs() <= one.abs() * 1e-12
        }
        (one, other) => one == other,
    }
}

/// A copy of the stored log. Opening the stored log itself would create a lock file in its folder.
fn copy_stored_log() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let name = "deferred-000000000001.log";
    fs::copy(
        stored_folder().join("deferred").join(name),
        folder.path().join(name),
    )
    .unwrap();
    folder
}

fn inspect_folder(folder: &Path) -> Inspection {
    inspect(&DirectoryStorage::open(folder).unwrap()).unwrap()
}

/// Restores a logged invocation, and asserts that it encodes to the same bytes again.
fn restore_and_compare(record: &InvocationRecord) -> StoredInvocation {
    let invocation =
        wal_writer::stored_invocation(record).expect("the invocation is in the format of this release");
    assert_eq!(
        invocation.invocation.to_bytes(),
        record.request,
        "the encoded invocation differs from the stored one"
    );
    invocation
}

#[test]
fn open_invocations_are_read_from_the_log() {
    let folder = copy_stored_log();
    let inspection = inspect_folder(folder.path());
    assert!(
        inspection.faults.is_empty() && inspection.incomplete_bytes == 0,
        "{inspection:?}"
    );
    let invocations: Vec<_> = inspection
        .open_invocations
        .iter()
        .map(restore_and_compare)
        .collect();
    let summaries: Vec<_> = invocations
        .iter()
        .map(|stored| {
            (
                stored.id.0,
                &*stored.invocation.function,
                stored.invocation.idempotency,
                stored.attempts,
                stored.attempt_started_at.is_some(),
            )
        })
        .collect();
    assert_eq!(
        summaries,
        [
            (1, "fail", Idempotency::Idempotent, 1, false),
            (2, "echo", Idempotency::Idempotent, 1, true),
            (3, "slow", Idempotency::NonIdempotent, 1, true),
            (4, "mark", Idempotency::IdempotentWithKey, 1, true),
        ]
    );
    assert_requests_are_complete(&invocations);
    assert_log_continues(folder.path());
}

fn assert_requests_are_complete(invocations: &[StoredInvocation]) {
    let requests: Vec<_> = invocations.iter().map(|stored| &stored.invocation).collect();
    assert_eq!(
        requests[0].on_failure,
        Some(Destination::Url("http://127.0.0.1:19999/dead".to_owned()))
    );
    assert_eq!(
        requests[1].on_failure,
        Some(Destination::Function("dead".to_owned()))
    );
    assert_eq!(
        (
            requests[3].idempotency_key.as_deref(),
            requests[3].deduplication_window
        ),
        (Some("k-1"), Duration::from_secs(60))
    );
    assert_eq!(&requests[2].payload[..], br#"{"n":3}"#);
}

/// Asserts that the log can be continued after the stored records.
fn assert_log_continues(folder: &Path) {
    let (mut log, open_invocations) =
        Log::open(DirectoryStorage::open(folder).unwrap_or_else(|error| panic!("{error}"))).unwrap();
    assert_eq!(open_invocations.len(), 4);
    log.commit(vec![LogRecord::Completed { id: 2 }]).unwrap();
    drop(log);
    assert_eq!(inspect_folder(folder).open_invocations.len(), 3);
}

#[test]
fn the_endpoint_list_is_read() {
    let known = ConfiguredNames {
        zones: vec!["east".into(), "west".into()],
        kinds: vec!["large".into(), "small".into()],
    };
    let bytes = fs::read(stored_folder().join(snapshots::WORKERS)).unwrap();
    let list = list::read(&bytes, &known).unwrap();
    assert!(list.rejected.is_empty() && list.workers.len() == 2, "{list:?}");
    let (one, two) = (&list.workers[0], &list.workers[1]);
    assert_eq!(
        (&*one.worker, one.state, one.started),
        (
            "127.0.0.1:19801",
            EndpointState::Up,
            Some(Duration::from_millis(1_796_190_000_250))
        )
    );
    assert_eq!(
        (two.state, two.zone, two.kind, two.cell, two.capacity),
        (EndpointState::Draining, 1, 1, 3, Some(2.5))
    );
    let rewritten = list::read(&list::write(&list.workers, &known), &known).unwrap();
    assert_eq!(rewritten.workers, list.workers);
}

#[test]
fn members_checkpoint_and_recovery_view_are_read_and_written_again() {
    let members: quartzdrift::gateway::fleet::View =
        serde_json::from_slice(&read_stored(snapshots::MEMBERS)).unwrap();
    assert_eq!(
        (&*members.name, members.schedulers, &*members.members[0].name),
        ("a", 2, "b")
    );
    assert_rewrite_is_identical(snapshots::MEMBERS, &serde_json::to_vec_pretty(&members).unwrap());
    let checkpoint: Checkpoint = serde_json::from_slice(&read_stored(snapshots::CHECKPOINT)).unwrap();
    assert_eq!(
        (
            &*checkpoint.name,
            checkpoint.starts,
            checkpoint.stopped_cleanly,
            checkpoint.classified,
            checkpoint.checkpoint_count
        ),
        ("a", 1, false, true, 4)
    );
    assert_eq!(
        (checkpoint.taken_at.since_boot, checkpoint.reported_starts["b"]),
        (Duration::from_millis(831_480), 1)
    );
    assert_rewrite_is_identical(snapshots::CHECKPOINT, &serde_json::to_vec(&checkpoint).unwrap());
    let view: RecoveryView = serde_json::from_slice(&read_stored(snapshots::RECOVERY_VIEW)).unwrap();
    assert_eq!(
        (
            view.phase,
            view.classification.as_ref().map(|restart| restart.kind),
            view.restore_decisions.len()
        ),
        (RecoveryPhase::FullService, Some(RestartKind::FirstStart), 7)
    );
    assert_rewrite_is_identical(
        snapshots::RECOVERY_VIEW,
        &serde_json::to_vec_pretty(&view).unwrap(),
    );
}

#[test]
fn measurements_and_forecasts_are_read_and_written_again() {
    let bytes = read_stored(snapshots::MEASUREMENTS);
    let measured: Measurements = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(
        (
            measured.peak_throughput.len(),
            measured.max_workers_up[&None],
            measured.mean_duration
        ),
        (2, 2, Some(Duration::from_nanos(2_326_081)))
    );
    assert_rewrite_is_identical(snapshots::MEASUREMENTS, &postcard::to_stdvec(&measured).unwrap());
    let bytes = read_stored(snapshots::FORECASTS);
    let at = Duration::new(1_796_190_540, 113_451_731);
    let forecasts = Forecasts::restore(Default::default(), &bytes, at).unwrap();
    assert_eq!(forecasts.len(), 4);
    // The JSON body follows a header of 16 bytes. Reading may round the last digit of a fraction.
    let body = |bytes: &[u8]| serde_json::from_slice::<Value>(&bytes[16..]).unwrap();
    let rewritten = forecasts.save(at);
    assert_eq!(rewritten[..12], bytes[..12]);
    assert!(
        is_equal_up_to_rounding(&body(&rewritten), &body(&bytes)),
        "{}",
        body(&rewritten)
    );
}

#[test]
fn every_key_of_a_settings_file_is_known() {
    let settings =
        quartzdrift::settings::load(&stored_folder().join("settings.toml")).unwrap_or_else(|errors| {
            panic!(
                "{}",
                errors
                    .iter()
                    .map(ToString::to_string)
                    .collect::<Vec<_>>()
                    .join("\n")
            )
        });
    let idempotency_classes: Vec<Idempotency> = settings
        .scheduler
        .request_classes
        .iter()
        .map(|class| class.idempotency)
        .collect();
    assert_eq!(
        idempotency_classes,
        [
            Idempotency::Idempotent,
            Idempotency::IdempotentWithKey,
            Idempotency::NonIdempotent
        ]
    );
    assert_eq!(
        (
            settings.scheduler.limits.max_attempts,
            settings.scheduler.report_fields.len()
        ),
        (Some(2), 8)
    );
    assert_eq!(
        (
            settings.scheduler.cache.load_commands,
            settings.scheduler.cache.load_quota_share
        ),
        (true, Some(0.1))
    );
    assert_eq!(
        (
            settings.scheduler.over_quota_weight,
            settings.scheduler.goal.worst_tenant
        ),
        (Some(0.05), 0.1)
    );
}
