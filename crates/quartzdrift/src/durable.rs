//! Asynchronous requests on disk, off the event loop: a thread writes what it is given, all that waits in one go, and says up to which
//! batch everything lasts.
use calloop::channel::{self, Channel};
use quartzdrift_async_queue::{Change, Id, Kept, Submitted};
use quartzdrift_wal::{DirectoryStorage, InvocationRecord, Log, LogError, LogRecord};
use std::path::Path;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Batches that wait for the disk at most; then changes gather in the queue, and new requests are rejected.
const MAX_WAITING: usize = 256;

/// What the thread says: all up to this batch lasts, or nothing from here on will.
#[derive(Debug)]
pub enum Said {
    Lasts(u64),
    Failed(String),
}

pub struct Durable {
    sender: Option<SyncSender<(u64, Vec<Change>)>>,
    thread: Option<JoinHandle<()>>,
    /// The number of the last batch handed over.
    pub handed: u64,
}

fn micros(of: Duration) -> u64 {
    of.as_micros() as u64
}

fn written(change: Change) -> LogRecord {
    match change {
        Change::Taken { id, at, request } => {
            let (taken_us, due_us) = (micros(at), micros(at));
            LogRecord::Snapshot(InvocationRecord {
                id: id.0,
                accepted_us: taken_us,
                due_us,
                request,
                ..InvocationRecord::default()
            })
        }
        Change::Out { id, at, tries } => LogRecord::AttemptStarted {
            id: id.0,
            at_us: micros(at),
            attempts: tries,
        },
        Change::Waits {
            id,
            until,
            tries,
            confined,
        } => {
            let (due_us, confined_us) = (micros(until), confined.map(micros));
            LogRecord::RetryScheduled {
                id: id.0,
                due_us,
                attempts: tries,
                deduplication_deadline_us: confined_us,
            }
        }
        Change::Over { id } => LogRecord::Completed { id: id.0 },
    }
}

/// A request as the queue takes it back; `None`: another release wrote it.
pub fn kept(live: &InvocationRecord) -> Option<Kept> {
    Some(Kept {
        id: Id(live.id),
        request: Submitted::from_bytes(&live.request)?,
        taken: Duration::from_micros(live.accepted_us),
        due: Duration::from_micros(live.due_us),
        tries: live.attempts,
        confined: live.deduplication_deadline_us.map(Duration::from_micros),
        out: live.attempt_started_us.map(Duration::from_micros),
    })
}

impl Durable {
    /// Opens the store and starts its thread; gives the requests that are not over.
    pub fn start(path: &Path) -> Result<(Durable, Vec<InvocationRecord>, Channel<Said>), LogError> {
        let (mut log, live) = Log::open(DirectoryStorage::open(path)?)?;
        let (sender, batches) = sync_channel::<(u64, Vec<Change>)>(MAX_WAITING);
        let (says, said) = channel::channel();
        let work = move || {
            while let Ok((mut number, changes)) = batches.recv() {
                let mut all: Vec<LogRecord> = changes.into_iter().map(written).collect();
                // One write and one sync for all that came meanwhile.
                for (next, changes) in batches.try_iter() {
                    number = next;
                    all.extend(changes.into_iter().map(written));
                }
                let said = match log.commit(all) {
                    Ok(()) => Said::Lasts(number),
                    Err(e) => Said::Failed(e.to_string()),
                };
                let failed = matches!(said, Said::Failed(_));
                if says.send(said).is_err() || failed {
                    return;
                }
            }
        };
        let thread = std::thread::Builder::new()
            .name("deferred".to_owned())
            .spawn(work)?;
        Ok((
            Durable {
                sender: Some(sender),
                thread: Some(thread),
                handed: 0,
            },
            live,
            said,
        ))
    }

    /// Hands a batch over; `Err` gives it back: the disk does not keep up, or has failed.
    pub fn hand(&mut self, changes: Vec<Change>) -> Result<u64, Vec<Change>> {
        let Some(sender) = &self.sender else {
            return Err(changes);
        };
        match sender.try_send((self.handed + 1, changes)) {
            Ok(()) => {
                self.handed += 1;
                Ok(self.handed)
            }
            Err(TrySendError::Full((_, changes)) | TrySendError::Disconnected((_, changes))) => Err(changes),
        }
    }
}

impl Durable {
    /// Hands the last batch over, however long the disk takes.
    pub fn hand_last(&mut self, changes: Vec<Change>) {
        self.handed += 1;
        if let Some(sender) = self.sender.take() {
            // Where the thread has ended, it has said why.
            drop(sender.send((self.handed, changes)));
        }
    }
}

impl Drop for Durable {
    /// Waits until what was handed over is written.
    fn drop(&mut self) {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
