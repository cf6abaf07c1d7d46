//! A crash at every step, a disk that fails, and damage.
#![allow(clippy::unwrap_used, reason = "a test may stop at what must not be")]

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
    /// Bytes from the start that are durable.
    synced: usize,
    /// Whether the file's creation is durable.
    name_synced: bool,
}

/// A disk in memory that knows what is durable, counts operations, and fails as it is told to.
#[derive(Clone, Default)]
struct Disk {
    files: BTreeMap<String, FileContent>,
    operations: usize,
    /// The machine stops at this operation; of a write then under way this many bytes reach the disk.
    stop: Option<(usize, usize)>,
    /// From this operation on the disk is full: half of each write reaches it.
    full_from: Option<usize>,
    /// From this operation on each sync fails.
    sync_fails_from: Option<usize>,
    /// Each operation from the first one up to the second one fails; of a write half has reached the disk.
    fails: Option<(usize, usize)>,
}

/// A disk that the log and the test share.
#[derive(Clone, Default)]
struct SharedDisk(Rc<RefCell<Disk>>);

fn stopped() -> io::Error {
    io::Error::other("the machine stopped")
}

impl Disk {
    /// Counts an operation; `true` if the machine stops during it, an error if it has stopped before.
    fn begin_operation(&mut self) -> io::Result<bool> {
        self.operations += 1;
        if self
            .fails
            .is_some_and(|(from, to)| (from..to).contains(&self.operations))
        {
            return Err(io::Error::other("the disk fails for a while"));
        }
        match self.stop {
            Some((at, _)) if self.operations > at => Err(stopped()),
            Some((at, _)) => Ok(self.operations == at),
            None => Ok(false),
        }
    }

    /// The disk after a restart: all that was synced, and up to `unsynced` further bytes of each file.
    fn after_restart(&self, unsynced: usize) -> Disk {
        let mut disk = Disk::default();
        for (name, file) in &self.files {
            if !file.name_synced && unsynced == 0 {
                continue;
            }
            let length = (file.synced + unsynced).min(file.bytes.len());
            let bytes = file.bytes[..length].to_vec();
            disk.files.insert(
                name.clone(),
                FileContent {
                    synced: bytes.len(),
                    bytes,
                    name_synced: true,
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
        let begun = disk.begin_operation();
        if begun.is_err() && disk.fails.is_some() {
            let half = &bytes[..bytes.len() / 2];
            disk.files.entry(name.to_owned()).or_default().bytes.extend(half);
        }
        let stops = begun?;
        let written = disk.stop.filter(|_| stops).map(|(_, part)| part.min(bytes.len()));
        let full = disk.full_from.is_some_and(|at| disk.operations >= at);
        let file = disk.files.entry(name.to_owned()).or_default();
        if full {
            file.bytes.extend(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.bytes.extend(&bytes[..written.unwrap_or(bytes.len())]);
        if stops { Err(stopped()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let stops = disk.begin_operation()?;
        if disk.sync_fails_from.is_some_and(|at| disk.operations >= at) {
            return Err(io::Error::other("the disk is bad"));
        }
        if stops {
            return Err(stopped());
        }
        if let Some(file) = disk.files.get_mut(name) {
            file.synced = file.bytes.len();
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.begin_operation()? {
            return Err(stopped());
        }
        disk.files.values_mut().for_each(|file| file.name_synced = true);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.begin_operation()? {
            return Err(stopped());
        }
        if let Some(file) = disk.files.get_mut(name) {
            file.bytes.truncate(length as usize);
            file.synced = file.bytes.len();
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.begin_operation()? {
            return Err(stopped());
        }
        disk.files.remove(name);
        Ok(())
    }

    fn close_files(&mut self) {}
}

/// Small, so that a few requests fill some segments.
const SEGMENT: u64 = 300;

fn accepted(id: u64) -> LogRecord {
    LogRecord::Snapshot(InvocationRecord {
        id,
        accepted_us: id,
        due_us: id,
        request: vec![id as u8; 40],
        ..InvocationRecord::default()
    })
}

/// Twelve invocations: accepted, attempted, scheduled for a retry, completed, some never.
fn batches() -> Vec<Vec<LogRecord>> {
    let mut all = Vec::new();
    for id in 1..=12 {
        all.push(vec![accepted(id)]);
        all.push(vec![LogRecord::AttemptStarted {
            id,
            at_us: 100 + id,
            attempts: 1,
        }]);
        if id % 3 == 0 {
            all.push(vec![LogRecord::RetryScheduled {
                id,
                due_us: 900,
                attempts: 1,
                deduplication_deadline_us: Some(950),
            }]);
        }
        if id % 4 != 0 {
            // Completed, and the event for its destination accepted: both or neither.
            all.push(vec![LogRecord::Completed { id }, accepted(100 + id)]);
            all.push(vec![LogRecord::Completed { id: 100 + id }]);
        }
    }
    all
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
    Log::open_with(disk.clone(), SEGMENT)
}

/// Commits the batches until one fails; returns how many were acknowledged.
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
        open(&SharedDisk(Rc::new(RefCell::new(disk)))).expect("a crash leaves a log that opens");
    open_invocations
        .into_iter()
        .map(|record| (record.id, record))
        .collect()
}

#[test]
fn a_crash_at_any_step_loses_no_acknowledged_batch() {
    let whole = SharedDisk::default();
    assert_eq!(commit_all(&whole), batches().len());
    let operations = whole.0.borrow().operations;
    assert!(operations > 100, "{operations}");
    for stop in 1..=operations {
        // Nothing, a little or all of the write under way reaches the disk, and nothing, a little or all of what was not
        // synced stays.
        for part in [0, 1, 7, 9, 30, usize::MAX] {
            for unsynced in [0, 5, usize::MAX / 2] {
                let disk = SharedDisk::default();
                disk.0.borrow_mut().stop = Some((stop, part));
                let acknowledged = commit_all(&disk);
                let found = recover(disk.0.borrow().after_restart(unsynced));
                let batches = batches();
                let next = (acknowledged + 1).min(batches.len());
                // The batch under way may be durable as a whole; nothing else.
                let good = [acknowledged, next]
                    .iter()
                    .any(|n| found == expected(&batches[..*n]));
                assert!(
                    good,
                    "stop {stop} part {part} unsynced {unsynced}: {acknowledged} acknowledged, found {:?}",
                    found.keys()
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
        open_invocations == 1 && segments <= 4 && bytes < 5 * SEGMENT,
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
fn a_full_disk_or_a_failed_sync_ends_the_log_and_acknowledges_nothing_more() {
    for sync_fails in [false, true] {
        for at in 5..60 {
            let disk = SharedDisk::default();
            if sync_fails {
                disk.0.borrow_mut().sync_fails_from = Some(at);
            } else {
                disk.0.borrow_mut().full_from = Some(at);
            }
            let (mut log, _) = open(&disk).unwrap();
            let batches = batches();
            let acknowledged = batches
                .iter()
                .take_while(|batch| log.commit((*batch).clone()).is_ok())
                .count();
            assert!(acknowledged < batches.len());
            assert!(matches!(log.commit(vec![accepted(99)]), Err(LogError::Failed)));
            drop(log);
            let found = recover(disk.0.borrow().after_restart(0));
            let next = (acknowledged + 1).min(batches.len());
            assert!(
                [acknowledged, next]
                    .iter()
                    .any(|n| found == expected(&batches[..*n])),
                "{at}: {acknowledged}"
            );
        }
    }
}

/// Commits the batches, each until it is acknowledged or the machine has stopped; returns how many were acknowledged.
fn commit_all_persistently(disk: &SharedDisk, most_tries: usize) -> usize {
    let Ok((mut log, _)) = open(disk) else { return 0 };
    let mut acknowledged = 0;
    for batch in batches() {
        let committed = (0..most_tries).any(|_| log.resume().is_ok() && log.commit(batch.clone()).is_ok());
        if !committed {
            break;
        }
        acknowledged += 1;
    }
    acknowledged
}

#[test]
fn a_disk_that_fails_for_a_while_costs_no_batch() {
    for length in [1, 2, 3, 9] {
        for from in 5..150 {
            let disk = SharedDisk::default();
            disk.0.borrow_mut().fails = Some((from, from + length));
            let acknowledged = commit_all_persistently(&disk, 20);
            assert_eq!(acknowledged, batches().len(), "{from} for {length}");
            for unsynced in [0, usize::MAX / 2] {
                let found = recover(disk.0.borrow().after_restart(unsynced));
                assert_eq!(found, expected(&batches()), "{from} for {length}");
            }
        }
    }
}

/// A system that has failed to sync a file may take what is written to it again for synced: the failed write's pages are no
/// longer dirty. The batch must go to a file that no sync has failed on.
#[test]
fn what_is_committed_after_a_failed_sync_goes_to_another_segment() {
    let disk = SharedDisk::default();
    let (mut log, _) = open(&disk).unwrap();
    log.commit(vec![accepted(1)]).unwrap();
    let before: BTreeMap<String, usize> = lengths(&disk);
    // The next operations are the write of a batch and its sync; the sync fails.
    let sync = disk.0.borrow().operations + 2;
    disk.0.borrow_mut().fails = Some((sync, sync + 1));
    assert!(log.commit(vec![accepted(2)]).is_err());
    log.resume().unwrap();
    log.commit(vec![accepted(2)]).unwrap();
    let after = lengths(&disk);
    assert_eq!(after.len(), before.len() + 1, "a new segment was begun");
    for (name, length) in before {
        assert_eq!(
            after[&name], length,
            "{name} is as long as before the failed batch"
        );
    }
}

/// The files of a disk with their lengths.
fn lengths(disk: &SharedDisk) -> BTreeMap<String, usize> {
    let names = disk.list().unwrap();
    let length = |name: &String| disk.read(name).unwrap().len();
    names.iter().map(|name| (name.clone(), length(name))).collect()
}

#[test]
fn a_crash_while_a_log_resumes_loses_no_acknowledged_batch() {
    for from in (5..100).step_by(3) {
        for stop in from + 1..from + 12 {
            for (part, unsynced) in [(0, 0), (7, 5), (9, usize::MAX / 2), (usize::MAX, usize::MAX / 2)] {
                let disk = SharedDisk::default();
                disk.0.borrow_mut().fails = Some((from, from + 2));
                disk.0.borrow_mut().stop = Some((stop, part));
                let acknowledged = commit_all_persistently(&disk, 20);
                let found = recover(disk.0.borrow().after_restart(unsynced));
                let next = (acknowledged + 1).min(batches().len());
                assert!(
                    [acknowledged, next]
                        .iter()
                        .any(|n| found == expected(&batches()[..*n])),
                    "fails at {from}, stops at {stop}, part {part}, unsynced {unsynced}: {acknowledged} acknowledged"
                );
            }
        }
    }
}

#[test]
fn damage_is_reported_with_its_place_and_repair_saves_what_can_be_read() {
    let directory = tempfile::tempdir().unwrap();
    let (mut log, _) = Log::open_with(DirectoryStorage::open(directory.path()).unwrap(), SEGMENT).unwrap();
    (1..=20).for_each(|id| log.commit(vec![accepted(id)]).unwrap());
    let second = DirectoryStorage::open(directory.path())
        .err()
        .expect("one process at a time");
    assert_eq!(second.kind(), io::ErrorKind::WouldBlock);
    drop(log);
    let path = directory.path().join("deferred-000000000002.log");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[30] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    let open = || {
        Log::open_with(DirectoryStorage::open(directory.path()).unwrap(), SEGMENT)
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
    // A later release's segment is left alone.
    let newer = directory.path().join("deferred-000000000099.log");
    let mut header = b"QDDEFER\0".to_vec();
    header.extend(2u32.to_le_bytes());
    header.extend(crc32fast::hash(&header).to_le_bytes());
    std::fs::write(&newer, header).unwrap();
    assert!(matches!(open(), Err(LogError::Version(_, 2))));
    assert!(repair(DirectoryStorage::open(directory.path()).unwrap()).is_err() && newer.exists());
}

proptest! {
    /// Opening a segment of any content never panics.
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
