//! Snapshots in the state folder: small files that hold state across restarts of the process.
//!
//! A snapshot is written to a temporary file that then replaces the old file, so that a crash leaves either
//! the old or the new snapshot. Use [`SnapshotWriter`] from an event loop: it writes on a dedicated thread,
//! so that a slow disk does not block the loop. Use [`write()`] if the snapshot must be on disk before the
//! caller continues.
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// File name of the last endpoint list.
pub const WORKERS: &str = "workers.json";
/// File name of the state of the forecast model.
pub const FORECASTS: &str = "forecasts.snapshot";
/// File name of the list of the fleet's other members.
pub const MEMBERS: &str = "members.json";
/// File name of the checkpoint that recovery continues from. In the folder of the asynchronous queue's
/// write-ahead log, a file of this name records the log's owner.
pub const CHECKPOINT: &str = "recovery.json";
/// File name of the scheduler's measurements of workers.
pub const MEASUREMENTS: &str = "measured.snapshot";
/// Name that a checkpoint file is renamed to if it cannot be read.
pub const DAMAGED_CHECKPOINT: &str = "recovery.aside";
/// File name of the recovery's state, which the subcommand `recovery` prints.
pub const RECOVERY_VIEW: &str = "stages.json";
/// Name of the file that an operator creates to make the scheduler go to full service immediately.
pub const FORCE_FULL_SERVICE: &str = "force";

/// Start of the last line of each file. CRC-32 and number of the bytes before that line follow.
const CHECKSUM_PREFIX: &[u8] = b"\nquartzdrift seal ";

/// The line that is appended to a snapshot of these bytes.
fn checksum_line(bytes: &[u8]) -> Vec<u8> {
    let line = format!("{:08x} {}\n", crc32fast::hash(bytes), bytes.len());
    [CHECKSUM_PREFIX, line.as_bytes()].concat()
}

/// Verifies and removes the checksum line. Files of earlier releases have none; that is an error only if the
/// checksum is `required`.
fn verify_checksum(mut bytes: Vec<u8>, required: bool) -> io::Result<Vec<u8>> {
    let position = bytes
        .windows(CHECKSUM_PREFIX.len())
        .rposition(|window| window == CHECKSUM_PREFIX);
    match position {
        Some(position) if checksum_line(&bytes[..position]) == bytes[position..] => {
            bytes.truncate(position);
            Ok(bytes)
        }
        None if !required => Ok(bytes),
        Some(_) | None => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the checksum is missing or wrong: the snapshot is damaged or truncated",
        )),
    }
}

/// Writes a snapshot, and returns after it is on disk.
///
/// # Errors
///
/// The folder cannot be written to. The previous snapshot is kept unless only the last sync failed.
pub fn write(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.write_all(&checksum_line(bytes))?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(name))?;
    File::open(folder)?.sync_all()
}

/// Reads a snapshot; `None` if the file does not exist.
///
/// # Errors
///
/// The file cannot be read, or its checksum does not match (error kind `InvalidData`).
pub fn read(folder: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    match fs::read(folder.join(name)) {
        Ok(bytes) => verify_checksum(bytes, name == CHECKPOINT).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Reads a snapshot from the state folder, if there is one. If the snapshot cannot be read, logs `warning`
/// and returns `None`.
pub fn read_or_warn(folder: Option<&Path>, name: &str, warning: &str) -> Option<Vec<u8>> {
    read(folder?, name).unwrap_or_else(|e| {
        tracing::warn!(error = %e, "{warning}");
        None
    })
}

/// Snapshots that wait to be written.
#[derive(Default)]
struct PendingSnapshots {
    /// The newest snapshot for each file name. An older snapshot that still waits is replaced and never
    /// written.
    snapshots: BTreeMap<&'static str, Vec<u8>>,
    stopping: bool,
}

/// Queue of snapshots between the event loop and the writing thread.
#[derive(Default)]
struct SnapshotQueue {
    pending: Mutex<PendingSnapshots>,
    /// Notified when a snapshot is added or the writer stops.
    changed: Condvar,
}

impl SnapshotQueue {
    fn lock(&self) -> MutexGuard<'_, PendingSnapshots> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next snapshot; `None` if the writer stops and no snapshot waits.
    fn next(&self) -> Option<(&'static str, Vec<u8>)> {
        let mut pending = self.lock();
        while pending.snapshots.is_empty() && !pending.stopping {
            pending = self.changed.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        pending.snapshots.pop_first()
    }
}

/// Writes snapshots on a dedicated thread.
pub struct SnapshotWriter {
    queue: Arc<SnapshotQueue>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// Starts a writer for a folder. Creates the folder if it does not exist.
    ///
    /// # Errors
    ///
    /// The folder cannot be created, or the thread cannot be started.
    pub fn start(folder: PathBuf) -> io::Result<SnapshotWriter> {
        fs::create_dir_all(&folder)?;
        let queue = Arc::new(SnapshotQueue::default());
        let thread_queue = queue.clone();
        let thread = std::thread::Builder::new()
            .name("saver".to_owned())
            .spawn(move || write_all(&folder, &thread_queue))?;
        Ok(SnapshotWriter {
            queue,
            thread: Some(thread),
        })
    }

    /// Queues a snapshot for writing. Replaces a waiting snapshot of the same name.
    pub fn enqueue(&self, name: &'static str, bytes: Vec<u8>) {
        self.queue.lock().snapshots.insert(name, bytes);
        self.queue.changed.notify_one();
    }
}

/// Writes snapshots from the queue until the writer stops. Failures are logged and not retried.
fn write_all(folder: &Path, queue: &SnapshotQueue) {
    while let Some((name, bytes)) = queue.next() {
        if let Err(e) = write(folder, name, &bytes) {
            tracing::error!(
                folder = %folder.display(),
                name,
                error = %e,
                "a snapshot could not be written"
            );
        }
    }
}

impl Drop for SnapshotWriter {
    /// Waits until all queued snapshots are written.
    fn drop(&mut self) {
        self.queue.lock().stopping = true;
        self.queue.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

#[cfg(test)]
mod tests;
