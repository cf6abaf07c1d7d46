//! Recovery of the log after crashes, disk faults and damage.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use proptest::prelude::*;
use quartzdrift_wal::{
    DirectoryStorage, InvocationRecord, Log, LogError, LogRecord, LogSize, LogStorage, inspect, repair,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone, Default)]
struct FileContent {
    bytes: Vec<u8>,
    /// Number of bytes, from the start of the file, that are durable.
    synced_bytes: usize,
    /// Whether the creation of the file is durable.
    creation_synced: bool,
}

/// An in-memory disk with injected faults. It tracks which bytes are durable and counts its operations.
#[derive(Clone, Default)]
struct Disk {
    files: BTreeMap<String, FileContent>,
    operations: usize,
    /// Number of the operation during which the machine crashes, and the bytes of its write that reach the
    /// disk.
    crash: Option<(usize, usize)>,
    /// Number of the first operation for which the disk is full. Half of each write still reaches the disk.
    full_from: Option<usize>,
    /// Number of the operation from which on every sync fails.
    sync_fails_from: Option<usize>,
    /// Numbers of the first failing operation and of the first one after it that succeeds. Half of each
    /// failed write still reaches the disk.
    failing: Option<(usize, usize)>,
}

/// A disk shared by the log and the test.
#[derive(Clone, Default)]
struct SharedDisk(Rc<RefCell<Disk>>);

fn crashed() -> io::Error {
    io::Error::other("the machine has crashed")
}

impl Disk {
    /// Counts an operation. Returns whether the machine crashes during it, or an error if it has crashed
    /// before.
    fn begin_operation(&mut self) -> io::Result<bool> {
        self.operations += 1;
        if self
            .failing
            .is_some_and(|(from, to)| (from..to).contains(&self.operations))
        {
            return Err(io::Error::other("injected disk failure"));
        }
        match self.crash {
            Some((operation, _)) if self.operations > operation => Err(crashed()),
            Some((operation, _)) => Ok(self.operations == operation),
            None => Ok(false),
        }
    }

    /// The disk after a restart: all synced bytes, and up to `unsynced_bytes` further bytes of each file.
    fn after_restart(&self, unsynced_bytes: usize) -> Disk {
        let mut disk = Disk::default();
        for (name, file) in &self.files {
            if !file.creation_synced && unsynced_bytes == 0 {
                continue;
            }
            let length = (file.synced_bytes + unsynced_bytes).min(file.bytes.len());
            let bytes = file.bytes[..length].to_vec();
            disk.files.insert(
                name.clone(),
                FileContent {
                    synced_bytes: bytes.len(),
                    bytes,
                    creation_synced: true,
                },
            );
        }
        disk
    }
}

impl LogStorage for SharedDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.0.borrow();
        disk.files
            .get(name)
            .map(|file| file.bytes.clone())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let operation = disk.begin_operation();
        if operation.is_err() && disk.failing.is_some() {
            let half = &bytes[..bytes.len() / 2];
            disk.files.entry(name.to_owned()).or_default().bytes.extend(half);
        }
        let crashes = operation?;
        let partial_length = disk
            .crash
            .filter(|_| crashes)
            .map(|(_, written)| written.min(bytes.len()));
        let full = disk.full_from.is_some_and(|first| disk.operations >= first);
        let file = disk.files.entry(name.to_owned()).or_default();
        if full {
            file.bytes.extend(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.bytes.extend(&bytes[..partial_length.unwrap_or(bytes.len())]);
        if crashes { Err(crashed()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let crashes = disk.begin_operation()?;
        if disk.sync_fails_from.is_some_and(|first| disk.operations >= first) {
            return Err(io::Error::other("injected sync failure"));
        }
        if crashes {
            return Err(crashed());
        }
        if let Some(file) = disk.files.get_mut(name) {
            file.synced_bytes = file.bytes.len();
        }
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.begin_operation()? {
            return Err(crashed());
        }
        disk.files
            .values_mut()
            .for_each(|file| file.creation_synced = true);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.begin_operation()? {
            return Err(crashed());
        }
        if let Some(file) = disk.files.get_mut(name) {
            file.bytes.truncate(length as usize);
            file.synced_bytes = file.bytes.len();
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.begin_operation()? {
            return Err(crashed());
        }
        disk.files.remove(name);
        Ok(())
    }

    fn close_files(&mut self) {}
}

/// Small enough that a few requests fill several segments.
const MAX_SEGMENT_BYTES: u64 = 300;

/// A snapshot of an invocation that was just accepted.
fn accepted(id: u64) -> LogRecord {
    LogRecord::Snapshot(InvocationRecord {
        id,
        accepted_us: id,
        due_us: id,
        request: vec![id as u8; 40],
        ..InvocationRecord::default()
    })
}

/// Batches of twelve invocations with one attempt each. Every third one has a retry scheduled, and every
/// fourth one does not complete.
fn batches() -> Vec<Vec<LogRecord>> {
    let mut batches = Vec::new();
    for id in 1..=12 {
        batches.push(vec![accepted(id)]);
        batches.push(vec![LogRecord::AttemptStarted {
            id,
            at_us: 100 + id,
            attempts: 1,
        }]);
        if id % 3 == 0 {
            batches.push(vec![LogRecord::RetryScheduled {
                id,
                due_us: 900,
                attempts: 1,
                deduplication_deadline_us: Some(950),
            }]);
        }
        if id % 4 != 0 {
            // One batch completes the invocation and accepts the event for its destination: both or neither
            // survive.
            batches.push(vec![LogRecord::Completed { id }, accepted(100 + id)]);
            batches.push(vec![LogRecord::Completed { id: 100 + id }]);
        }
    }
    batches
}

/// The open invocations after these batches.
fn expected(batches: &[Vec<LogRecord>]) -> BTreeMap<u64, InvocationRecord> {
    let mut invocations: BTreeMap<u64, InvocationRecord> = BTreeMap::new();
    for record in batches.iter().flatten().cloned() {
        match record {
            LogRecord::Snapshot(record) => drop(invocations.insert(record.id, record)),
            LogRecord::Completed { id } => drop(invocations.remove(&id)),
            LogRecord::AttemptStarted { id, at_us, attempts } => {
                let record = invocations.get_mut(&id).unwrap();
                record.attempt_started_us = Some(at_us);
                record.attempts = attempts;
            }
            LogRecord::RetryScheduled {
                id,
                due_us,
                attempts,
                deduplication_deadline_us,
            } => {
                let record = invocations.get_mut(&id).unwrap();
                record.due_us = due_us;
                record.attempts = attempts;
                record.deduplication_deadline_us = deduplication_deadline_us;
                record.attempt_started_us = None;
            }
        }
    }
    invocations
}

fn open(disk: &SharedDisk) -> Result<(Log<SharedDisk>, Vec<InvocationRecord>), LogError> {
    Log::open_with_max_segment_bytes(disk.clone(), MAX_SEGMENT_BYTES)
}

/// Commits the batches until one fails; returns the number of acknowledged batches.
fn commit_all(disk: &SharedDisk) -> usize {
    let Ok((mut log, _)) = open(disk) else { return 0 };
    batches()
        .into_iter()
        .take_while(|batch| log.commit(batch.clone()).is_ok())
        .count()
}

/// The open invocations that a log on this disk recovers.
fn recover(disk: Disk) -> BTreeMap<u64, InvocationRecord> {
    let (_, open_invocations) =
        open(&SharedDisk(Rc::new(RefCell::new(disk)))).expect("a log opens after a crash");
    open_invocations
        .into_iter()
        .map(|record| (record.id, record))
        .collect()
}

#[test]
fn a_crash_at_any_step_loses_no_acknowledged_batch() {
    let healthy_disk = SharedDisk::default();
    assert_eq!(commit_all(&healthy_disk), batches().len());
    let operations = healthy_disk.0.borrow().operations;
    assert!(operations > 100, "{operations}");
    for crash_at in 1..=operations {
        // None, some or all bytes of the interrupted write reach the disk, and none, some or all unsynced
        // bytes survive the restart.
        for written in [0, 1, 7, 9, 30, usize::MAX] {
            for unsynced in [0, 5, usize::MAX / 2] {
                let disk = SharedDisk::default();
                disk.0.borrow_mut().crash = Some((crash_at, written));
                let acknowledged = commit_all(&disk);
                let recovered = recover(disk.0.borrow().after_restart(unsynced));
                let batches = batches();
                let next = (acknowledged + 1).min(batches.len());
                // The interrupted batch may be durable as a whole, but not in part.
                let is_expected = [acknowledged, next]
                    .iter()
                    .any(|count| recovered == expected(&batches[..*count]));
                assert!(
                    is_expected,
                    "crash at operation {crash_at}, {written} bytes written, {unsynced} unsynced bytes kept: \
                     {acknowledged} batches acknowledged, invocations {:?} recovered",
                    recovered.keys()
                );
            }
        }
    }
}

#[test]
fn segments_without_open_invocations_are_removed() {
    let disk = SharedDisk::default();
    let (mut log, _) = open(&disk).unwrap();
    log.commit(vec![accepted(1)]).unwrap();
    for id in 2..500 {
        log.commit(vec![accepted(id)]).unwrap();
        log.commit(vec![
            LogRecord::AttemptStarted {
                id,
                at_us: 1,
                attempts: 1,
            },
            LogRecord::Completed { id },
        ])
        .unwrap();
    }
    let LogSize {
        open_invocations,
        segments,
        bytes,
    } = log.size();
    assert!(
        open_invocations == 1 && segments <= 4 && bytes < 5 * MAX_SEGMENT_BYTES,
        "{segments} segments, {bytes} bytes"
    );
    drop(log);
    assert_eq!(
        recover(disk.0.borrow().after_restart(0))
            .keys()
            .copied()
            .collect::<Vec<_>>(),
        [1]
    );
}

#[test]
fn after_a_full_disk_or_a_failed_sync_no_further_batch_is_acknowledged() {
    for sync_fails in [false, true] {
        for first in 5..60 {
            let disk = SharedDisk::default();
            if sync_fails {
                disk.0.borrow_mut().sync_fails_from = Some(first);
            } else {
                disk.0.borrow_mut().full_from = Some(first);
            }
            let (mut log, _) = open(&disk).unwrap();
            let batches = batches();
            let acknowledged = batches
                .iter()
                .take_while(|batch| log.commit((*batch).clone()).is_ok())
                .count();
            assert!(acknowledged < batches.len());
            assert!(matches!(
                log.commit(vec![accepted(99)]),
                Err(LogError::EarlierWriteFailed)
            ));
            drop(log);
            let recovered = recover(disk.0.borrow().after_restart(0));
            let next = (acknowledged + 1).min(batches.len());
            assert!(
                [acknowledged, next]
                    .iter()
                    .any(|count| recovered == expected(&batches[..*count])),
                "fault from operation {first} on: {acknowledged} batches acknowledged"
            );
        }
    }
}

/// Commits the batches, resuming the log and retrying each batch up to `max_tries` times; returns the number
/// of acknowledged batches.
fn commit_all_with_retries(disk: &SharedDisk, max_tries: usize) -> usize {
    let Ok((mut log, _)) = open(disk) else { return 0 };
    let mut acknowledged = 0;
    for batch in batches() {
        let committed = (0..max_tries).any(|_| log.resume().is_ok() && log.commit(batch.clone()).is_ok());
        if !committed {
            break;
        }
        acknowledged += 1;
    }
    acknowledged
}

#[test]
fn a_temporary_disk_failure_loses_no_batch() {
    for length in [1, 2, 3, 9] {
        for from in 5..150 {
            let disk = SharedDisk::default();
            disk.0.borrow_mut().failing = Some((from, from + length));
            let acknowledged = commit_all_with_retries(&disk, 20);
            assert_eq!(
                acknowledged,
                batches().len(),
                "{length} operations fail from operation {from} on"
            );
            for unsynced in [0, usize::MAX / 2] {
                let recovered = recover(disk.0.borrow().after_restart(unsynced));
                assert_eq!(
                    recovered,
                    expected(&batches()),
                    "{length} operations fail from operation {from} on"
                );
            }
        }
    }
}

/// After a failed sync the kernel may mark the pages of the failed write as clean, so a later sync of the
/// same file may report success without writing them. The retried batch must therefore go to a file without a
/// failed sync.
#[test]
fn a_batch_retried_after_a_failed_sync_goes_to_a_new_segment() {
    let disk = SharedDisk::default();
    let (mut log, _) = open(&disk).unwrap();
    log.commit(vec![accepted(1)]).unwrap();
    let lengths_before: BTreeMap<String, usize> = file_lengths(&disk);
    // The next two operations are the write of the batch and its sync. The sync fails.
    let sync = disk.0.borrow().operations + 2;
    disk.0.borrow_mut().failing = Some((sync, sync + 1));
    assert!(log.commit(vec![accepted(2)]).is_err());
    log.resume().unwrap();
    log.commit(vec![accepted(2)]).unwrap();
    let lengths_after = file_lengths(&disk);
    assert_eq!(
        lengths_after.len(),
        lengths_before.len() + 1,
        "number of segments with the new one"
    );
    for (name, length) in lengths_before {
        assert_eq!(
            lengths_after[&name], length,
            "length of {name} before and after the failed batch"
        );
    }
}

/// The names and lengths of all files.
fn file_lengths(disk: &SharedDisk) -> BTreeMap<String, usize> {
    let names = disk.list().unwrap();
    let length = |name: &String| disk.read(name).unwrap().len();
    names.iter().map(|name| (name.clone(), length(name))).collect()
}

#[test]
fn a_crash_while_a_log_resumes_loses_no_acknowledged_batch() {
    for from in (5..100).step_by(3) {
        for crash_at in from + 1..from + 12 {
            for (written, unsynced) in [(0, 0), (7, 5), (9, usize::MAX / 2), (usize::MAX, usize::MAX / 2)] {
                let disk = SharedDisk::default();
                disk.0.borrow_mut().failing = Some((from, from + 2));
                disk.0.borrow_mut().crash = Some((crash_at, written));
                let acknowledged = commit_all_with_retries(&disk, 20);
                let recovered = recover(disk.0.borrow().after_restart(unsynced));
                let next = (acknowledged + 1).min(batches().len());
                assert!(
                    [acknowledged, next]
                        .iter()
                        .any(|count| recovered == expected(&batches()[..*count])),
                    "fault at operation {from}, crash at {crash_at}, {written} bytes written, \
                     {unsynced} unsynced bytes kept: {acknowledged} batches acknowledged"
                );
            }
        }
    }
}

#[test]
fn damage_is_reported_with_its_offset_and_repair_keeps_the_readable_invocations() {
    let directory = tempfile::tempdir().unwrap();
    let storage = DirectoryStorage::open(directory.path()).unwrap();
    let (mut log, _) = Log::open_with_max_segment_bytes(storage, MAX_SEGMENT_BYTES).unwrap();
    (1..=20).for_each(|id| log.commit(vec![accepted(id)]).unwrap());
    let lock_error = DirectoryStorage::open(directory.path())
        .err()
        .expect("the directory is already locked");
    assert_eq!(lock_error.kind(), io::ErrorKind::WouldBlock);
    drop(log);
    let path = directory.path().join("deferred-000000000002.log");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[30] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    let open = || {
        let storage = DirectoryStorage::open(directory.path()).unwrap();
        Log::open_with_max_segment_bytes(storage, MAX_SEGMENT_BYTES)
            .map(|(_, open_invocations)| open_invocations.len())
    };
    assert!(matches!(open(), Err(LogError::Corrupt(name, 16)) if name.contains("0002")));
    let inspection = inspect(&DirectoryStorage::open(directory.path()).unwrap()).unwrap();
    assert!(
        inspection.open_invocations.len() < 20 && inspection.faults.len() == 1,
        "{}",
        inspection.open_invocations.len()
    );
    let repaired = repair(DirectoryStorage::open(directory.path()).unwrap())
        .unwrap()
        .open_invocations
        .len();
    assert_eq!((open().unwrap(), repaired > 10), (repaired, true));
    // A segment with another format version is left unchanged.
    let other_version = directory.path().join("deferred-000000000099.log");
    let mut header = b"QDDEFER\0".to_vec();
    header.extend(2u32.to_le_bytes());
    header.extend(crc32fast::hash(&header).to_le_bytes());
    std::fs::write(&other_version, header).unwrap();
    assert!(matches!(open(), Err(LogError::UnsupportedVersion(_, 2))));
    assert!(repair(DirectoryStorage::open(directory.path()).unwrap()).is_err() && other_version.exists());
}

proptest! {
    /// Opening a segment with arbitrary content never panics.
    #[test]
    fn any_segment_content_is_read_or_rejected(bytes: Vec<u8>, with_header: bool) {
        let disk = SharedDisk::default();
        if with_header {
            open(&disk).unwrap();
        }
        disk.0.borrow_mut().files.entry("deferred-000000000001.log".into()).or_default().bytes.extend(&bytes);
        let _ = open(&disk);
    }
}
