//! Snapshots in the state folder: small files, each replaced as a whole, that outlast the process. A snapshot is written
//! beside its place and then renamed, by a thread of its own, so that neither a crash nor a slow disk leaves a torn file or
//! blocks the event loop. Use [`SnapshotWriter`] from an event loop, [`write`] where the snapshot has to be on disk before
//! anything else happens.
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// The last list of workers.
pub const WORKERS: &str = "workers.json";
/// What forecasts have learnt.
pub const FORECASTS: &str = "forecasts.snapshot";
/// The other members of the fleet.
pub const MEMBERS: &str = "members.json";
/// The checkpoint that a start continues from; in the folder of asynchronous requests, the store's owner.
pub const CHECKPOINT: &str = "recovery.json";
/// What the scheduler has measured of workers.
pub const MEASUREMENTS: &str = "measured.snapshot";
/// A checkpoint that could not be read.
pub const DAMAGED_CHECKPOINT: &str = "recovery.aside";
/// What operators see of a recovery.
pub const RECOVERY_VIEW: &str = "stages.json";
/// Created by an operator: the scheduler goes to full service at once.
pub const FORCE_FULL_SERVICE: &str = "force";

/// Begins the last line of each file: the CRC-32 of the bytes before it, and their number.
const SEAL_PREFIX: &[u8] = b"\nquartzdrift seal ";

fn seal(bytes: &[u8]) -> Vec<u8> {
    let line = format!("{:08x} {}\n", crc32fast::hash(bytes), bytes.len());
    [SEAL_PREFIX, line.as_bytes()].concat()
}

/// Checks and removes the seal. Files of earlier releases have none, which is an error only where one is `required`.
fn unseal(mut bytes: Vec<u8>, required: bool) -> io::Result<Vec<u8>> {
    let position = bytes
        .windows(SEAL_PREFIX.len())
        .rposition(|window| window == SEAL_PREFIX);
    match position {
        Some(position) if seal(&bytes[..position]) == bytes[position..] => {
            bytes.truncate(position);
            Ok(bytes)
        }
        None if !required => Ok(bytes),
        Some(_) | None => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "it is damaged or cut short",
        )),
    }
}

/// Writes a snapshot and returns once it is on disk.
///
/// # Errors
///
/// The folder cannot be written to; the snapshot before it stays.
pub fn write(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.write_all(&seal(bytes))?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}

/// Reads a snapshot; `None` where there is none.
///
/// # Errors
///
/// It cannot be read, or, with kind `InvalidData`, is not what was written.
pub fn read(folder: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    match fs::read(folder.join(name)) {
        Ok(bytes) => unseal(bytes, name == CHECKPOINT).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Reads a snapshot from the folder of the settings, if they name one. Where it cannot be read, logs `warning` and returns
/// `None`.
pub fn read_or_warn(folder: Option<&Path>, name: &str, warning: &str) -> Option<Vec<u8>> {
    read(folder?, name).unwrap_or_else(|e| {
        tracing::warn!(error = %e, "{warning}");
        None
    })
}

/// Snapshots that wait to be written.
#[derive(Default)]
struct Pending {
    /// The newest snapshot of each name; older ones are never written.
    snapshots: BTreeMap<&'static str, Vec<u8>>,
    stopping: bool,
}

/// What the event loop and the writing thread share.
#[derive(Default)]
struct Shared {
    pending: Mutex<Pending>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next snapshot; `None` once all are written and the writer stops.
    fn next(&self) -> Option<(&'static str, Vec<u8>)> {
        let mut pending = self.lock();
        while pending.snapshots.is_empty() && !pending.stopping {
            pending = self.changed.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        pending.snapshots.pop_first()
    }
}

/// Writes snapshots in a thread of its own.
pub struct SnapshotWriter {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// A writer into this folder, which is created if need be.
    ///
    /// # Errors
    ///
    /// The folder cannot be created, or the thread cannot be started.
    pub fn start(folder: PathBuf) -> io::Result<SnapshotWriter> {
        fs::create_dir_all(&folder)?;
        let shared = Arc::new(Shared::default());
        let source = shared.clone();
        let thread = std::thread::Builder::new()
            .name("saver".to_owned())
            .spawn(move || write_all(&folder, &source))?;
        Ok(SnapshotWriter {
            shared,
            thread: Some(thread),
        })
    }

    /// Queues a snapshot to be written soon, in place of one of this name that still waits.
    pub fn enqueue(&self, name: &'static str, bytes: Vec<u8>) {
        self.shared.lock().snapshots.insert(name, bytes);
        self.shared.changed.notify_one();
    }
}

fn write_all(folder: &Path, source: &Shared) {
    while let Some((name, bytes)) = source.next() {
        if let Err(e) = write(folder, name, &bytes) {
            tracing::error!(
                folder = %folder.display(),
                name,
                error = %e,
                "what is to outlast the process was not saved"
            );
        }
    }
}

impl Drop for SnapshotWriter {
    /// Waits until all queued snapshots are written.
    fn drop(&mut self) {
        self.shared.lock().stopping = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

#[cfg(test)]
mod tests;
