//! A crash at every step, a disk that fails, and damage.
use proptest::prelude::*;
use quartzdrift_wal::{Change, Files, Folder, Live, Log, Unusable, look, repair};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    /// So much of it is on the disk for sure.
    synced: usize,
    /// Whether its name is.
    named: bool,
}

/// Files in memory that tell what lasts, count operations, and end at one of them.
#[derive(Clone, Default)]
struct Disk {
    files: BTreeMap<String, Content>,
    operations: usize,
    /// At this operation the machine stops, with so much of a write on the disk.
    stop: Option<(usize, usize)>,
    /// From this operation on every write fails, the first after half of it.
    full: Option<usize>,
    /// Syncs fail from this operation on.
    bad_sync: Option<usize>,
}

#[derive(Clone, Default)]
struct Shared(Rc<RefCell<Disk>>);

fn stopped() -> io::Error {
    io::Error::other("the machine stopped")
}

impl Disk {
    fn step(&mut self) -> io::Result<bool> {
        self.operations += 1;
        match self.stop {
            Some((at, _)) if self.operations > at => Err(stopped()),
            Some((at, _)) => Ok(self.operations == at),
            None => Ok(false),
        }
    }

    /// What a machine finds when it starts again: what was synced, and as much more as `kept` says.
    fn after(&self, kept: usize) -> Disk {
        let mut disk = Disk::default();
        for (name, of) in &self.files {
            if !of.named && kept == 0 {
                continue;
            }
            let length = (of.synced + kept).min(of.bytes.len());
            let bytes = of.bytes[..length].to_vec();
            disk.files.insert(
                name.clone(),
                Content {
                    synced: bytes.len(),
                    bytes,
                    named: true,
                },
            );
        }
        disk
    }
}

impl Files for Shared {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.0.borrow();
        disk.files
            .get(name)
            .map(|of| of.bytes.clone())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let last = disk.step()?;
        let part = disk.stop.filter(|_| last).map(|(_, part)| part.min(bytes.len()));
        let full = disk.full.is_some_and(|at| disk.operations >= at);
        let file = disk.files.entry(name.to_owned()).or_default();
        if full {
            file.bytes.extend(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.bytes.extend(&bytes[..part.unwrap_or(bytes.len())]);
        if last { Err(stopped()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let last = disk.step()?;
        if disk.bad_sync.is_some_and(|at| disk.operations >= at) {
            return Err(io::Error::other("the disk is bad"));
        }
        if last {
            return Err(stopped());
        }
        if let Some(file) = disk.files.get_mut(name) {
            file.synced = file.bytes.len();
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.step()? {
            return Err(stopped());
        }
        disk.files.values_mut().for_each(|file| file.named = true);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        if disk.step()? {
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
        if disk.step()? {
            return Err(stopped());
        }
        disk.files.remove(name);
        Ok(())
    }
}

/// Small, so that a few requests fill some segments.
const SEGMENT: u64 = 300;

fn kept(id: u64) -> Change {
    Change::Kept(Live {
        id,
        taken_us: id,
        due_us: id,
        request: vec![id as u8; 40],
        ..Live::default()
    })
}

/// A life of twelve requests: taken, out, waiting again, over, some never.
fn batches() -> Vec<Vec<Change>> {
    let mut all = Vec::new();
    for id in 1..=12 {
        all.push(vec![kept(id)]);
        all.push(vec![Change::Out {
            id,
            at_us: 100 + id,
            tries: 1,
        }]);
        if id % 3 == 0 {
            all.push(vec![Change::Waits {
                id,
                due_us: 900,
                tries: 1,
                confined_us: Some(950),
            }]);
        }
        if id % 4 != 0 {
            // Over, and its record for a destination taken: both or neither.
            all.push(vec![Change::Over { id }, kept(100 + id)]);
            all.push(vec![Change::Over { id: 100 + id }]);
        }
    }
    all
}

/// What should be there after so many batches.
fn expected(batches: &[Vec<Change>]) -> BTreeMap<u64, Live> {
    let mut requests: BTreeMap<u64, Live> = BTreeMap::new();
    for change in batches.iter().flatten().cloned() {
        match change {
            Change::Kept(live) => drop(requests.insert(live.id, live)),
            Change::Over { id } => drop(requests.remove(&id)),
            Change::Out { id, at_us, tries } => {
                let request = requests.get_mut(&id).unwrap();
                (request.out_us, request.tries) = (Some(at_us), tries);
            }
            Change::Waits {
                id,
                due_us,
                tries,
                confined_us,
            } => {
                let request = requests.get_mut(&id).unwrap();
                (request.due_us, request.tries, request.confined_us, request.out_us) =
                    (due_us, tries, confined_us, None);
            }
        }
    }
    requests
}

fn open(disk: &Shared) -> Result<(Log<Shared>, Vec<Live>), Unusable> {
    Log::open_with(disk.clone(), SEGMENT)
}

/// Plays the batches until the disk ends it; how many were told to last.
fn play(disk: &Shared) -> usize {
    let Ok((mut log, _)) = open(disk) else { return 0 };
    batches()
        .into_iter()
        .take_while(|batch| log.commit(batch.clone()).is_ok())
        .count()
}

fn found(disk: Disk) -> BTreeMap<u64, Live> {
    let (_, live) = open(&Shared(Rc::new(RefCell::new(disk)))).expect("a crash leaves a store that opens");
    live.into_iter().map(|live| (live.id, live)).collect()
}

#[test]
fn a_crash_at_any_step_loses_nothing_that_was_told_to_last() {
    let whole = Shared::default();
    assert_eq!(play(&whole), batches().len());
    let operations = whole.0.borrow().operations;
    assert!(operations > 100, "{operations}");
    for stop in 1..=operations {
        // Of the write under way nothing, a little, or nearly all; of what was not synced nothing or all.
        for part in [0, 1, 7, 9, 30, usize::MAX] {
            for kept in [0, 5, usize::MAX / 2] {
                let disk = Shared::default();
                disk.0.borrow_mut().stop = Some((stop, part));
                let told = play(&disk);
                let found = found(disk.0.borrow().after(kept));
                let batches = batches();
                let next = (told + 1).min(batches.len());
                // The batch under way may have come to last, whole; nothing else.
                let good = [told, next].iter().any(|n| found == expected(&batches[..*n]));
                assert!(
                    good,
                    "stop {stop} part {part} kept {kept}: {told} told, found {:?}",
                    found.keys()
                );
            }
        }
    }
}

#[test]
fn what_is_no_longer_needed_is_removed() {
    let disk = Shared::default();
    let (mut log, _) = open(&disk).unwrap();
    log.commit(vec![kept(1)]).unwrap();
    for id in 2..500 {
        log.commit(vec![kept(id)]).unwrap();
        log.commit(vec![
            Change::Out {
                id,
                at_us: 1,
                tries: 1,
            },
            Change::Over { id },
        ])
        .unwrap();
    }
    let (requests, segments, bytes) = log.sizes();
    assert!(
        requests == 1 && segments <= 4 && bytes < 5 * SEGMENT,
        "{segments} segments, {bytes} bytes"
    );
    drop(log);
    assert_eq!(
        found(disk.0.borrow().after(0))
            .keys()
            .copied()
            .collect::<Vec<_>>(),
        [1]
    );
}

#[test]
fn a_full_disk_and_a_failed_sync_end_the_log_and_lie_to_nobody() {
    for bad_sync in [false, true] {
        for at in 5..60 {
            let disk = Shared::default();
            if bad_sync {
                disk.0.borrow_mut().bad_sync = Some(at);
            } else {
                disk.0.borrow_mut().full = Some(at);
            }
            let (mut log, _) = open(&disk).unwrap();
            let batches = batches();
            let told = batches
                .iter()
                .take_while(|batch| log.commit((*batch).clone()).is_ok())
                .count();
            assert!(told < batches.len());
            assert!(matches!(log.commit(vec![kept(99)]), Err(Unusable::Failed)));
            drop(log);
            let found = found(disk.0.borrow().after(0));
            let next = (told + 1).min(batches.len());
            assert!(
                [told, next].iter().any(|n| found == expected(&batches[..*n])),
                "{at}: {told}"
            );
        }
    }
}

#[test]
fn damage_is_told_with_its_place_and_repaired_by_what_can_be_read() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = Log::open_with(Folder::open(folder.path()).unwrap(), SEGMENT).unwrap();
    (1..=20).for_each(|id| log.commit(vec![kept(id)]).unwrap());
    let second = Folder::open(folder.path()).err().expect("one process at a time");
    assert_eq!(second.kind(), io::ErrorKind::WouldBlock);
    drop(log);
    let path = folder.path().join("deferred-000000000002.log");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[30] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    let open = || Log::open_with(Folder::open(folder.path()).unwrap(), SEGMENT).map(|(_, live)| live.len());
    assert!(matches!(open(), Err(Unusable::Corrupt(name, 16)) if name.contains("0002")));
    let looked = look(&Folder::open(folder.path()).unwrap()).unwrap();
    assert!(
        looked.live.len() < 20 && looked.faults.len() == 1,
        "{}",
        looked.live.len()
    );
    let kept = repair(Folder::open(folder.path()).unwrap()).unwrap().live.len();
    assert_eq!((open().unwrap(), kept > 10), (kept, true));
    // A later release's segment is left alone.
    let newer = folder.path().join("deferred-000000000099.log");
    let mut head = b"QDDEFER\0".to_vec();
    head.extend(2u32.to_le_bytes());
    head.extend(crc32fast::hash(&head).to_le_bytes());
    std::fs::write(&newer, head).unwrap();
    assert!(matches!(open(), Err(Unusable::Version(_, 2))));
    assert!(repair(Folder::open(folder.path()).unwrap()).is_err() && newer.exists());
}

proptest! {
    /// Whatever stands in a segment: an answer, and no panic.
    #[test]
    fn any_bytes_are_read_or_refused(bytes: Vec<u8>, headed: bool) {
        let disk = Shared::default();
        if headed {
            open(&disk).unwrap();
        }
        disk.0.borrow_mut().files.entry("deferred-000000000001.log".into()).or_default().bytes.extend(&bytes);
        let _ = open(&disk);
    }
}
