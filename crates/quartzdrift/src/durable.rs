//! Makes changes of the asynchronous queue durable, on a thread of its own: the event loop never waits for the disk.
//!
//! The loop submits numbered batches to a [`LogWriter`]. The thread writes all batches that wait with one sync, and reports the
//! last batch up to which everything is durable.
use calloop::channel::{self, Channel, Sender};
use quartzdrift_async_queue::{Invocation, InvocationId, StoreChange, StoredInvocation};
use quartzdrift_wal::{DirectoryStorage, InvocationRecord, Log, LogError, LogRecord};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Maximum batches that wait for the disk. Beyond it changes gather in the queue, and new invocations are rejected.
const MAX_WAITING_BATCHES: usize = 256;

/// What the writer's thread reports to the event loop.
#[derive(Debug)]
pub enum WriterEvent {
    /// All batches up to this number are durable.
    Durable(u64),
    /// The log has failed for this reason: no further batch becomes durable.
    Failed(String),
}

/// Changes that become durable together or not at all.
struct Batch {
    number: u64,
    changes: Vec<StoreChange>,
}

/// The event loop's end of the thread that writes the log.
pub struct LogWriter {
    /// `None` once the last batch was submitted.
    batches: Option<SyncSender<Batch>>,
    thread: Option<JoinHandle<()>>,
    last_number: u64,
}

/// A log that was opened, and the thread that writes it.
pub struct OpenedLog {
    /// Takes batches.
    pub writer: LogWriter,
    /// The invocations that have not completed.
    pub open_invocations: Vec<InvocationRecord>,
    /// What the thread reports.
    pub events: Channel<WriterEvent>,
}

impl LogWriter {
    /// Opens the log in a directory and starts its thread.
    ///
    /// # Errors
    /// Those of [`Log::open`], of the directory and of the thread's start.
    pub fn open(directory: &Path) -> Result<OpenedLog, LogError> {
        let (log, open_invocations) = Log::open(DirectoryStorage::open(directory)?)?;
        let (batches, submitted) = sync_channel(MAX_WAITING_BATCHES);
        let (reports, events) = channel::channel();
        let thread = std::thread::Builder::new()
            .name("deferred".to_owned())
            .spawn(move || write_batches(log, &submitted, &reports))?;
        Ok(OpenedLog {
            writer: LogWriter {
                batches: Some(batches),
                thread: Some(thread),
                last_number: 0,
            },
            open_invocations,
            events,
        })
    }

    /// Submits a batch and returns its number.
    ///
    /// # Errors
    /// Returns the changes where the disk does not keep up, or the log has failed.
    pub fn submit(&mut self, changes: Vec<StoreChange>) -> Result<u64, Vec<StoreChange>> {
        let Some(batches) = &self.batches else {
            return Err(changes);
        };
        let number = self.last_number + 1;
        match batches.try_send(Batch { number, changes }) {
            Ok(()) => {
                self.last_number = number;
                Ok(number)
            }
            Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) => Err(batch.changes),
        }
    }

    /// Submits the last batch, however long the disk takes.
    pub fn submit_last(&mut self, changes: Vec<StoreChange>) {
        self.last_number += 1;
        let number = self.last_number;
        if let Some(batches) = self.batches.take() {
            // A thread that has ended has reported why.
            drop(batches.send(Batch { number, changes }));
        }
    }
}

impl Drop for LogWriter {
    /// Waits until all submitted batches are written.
    fn drop(&mut self) {
        self.batches = None;
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Writes batches until the writer is dropped, nobody listens any more, or the log fails.
fn write_batches(mut log: Log<DirectoryStorage>, submitted: &Receiver<Batch>, reports: &Sender<WriterEvent>) {
    while let Ok(batch) = submitted.recv() {
        let mut last_number = batch.number;
        let mut records: Vec<LogRecord> = batch.changes.into_iter().map(log_record).collect();
        // One sync for all batches that have gathered meanwhile.
        for batch in submitted.try_iter() {
            last_number = batch.number;
            records.extend(batch.changes.into_iter().map(log_record));
        }
        let event = match log.commit(records) {
            Ok(()) => WriterEvent::Durable(last_number),
            Err(error) => WriterEvent::Failed(error.to_string()),
        };
        let failed = matches!(event, WriterEvent::Failed(_));
        if reports.send(event).is_err() || failed {
            return;
        }
    }
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// A change of the queue as the log records it.
fn log_record(change: StoreChange) -> LogRecord {
    match change {
        StoreChange::Accepted { id, at, encoded } => LogRecord::Snapshot(InvocationRecord {
            id: id.0,
            accepted_us: micros(at),
            due_us: micros(at),
            request: encoded,
            ..InvocationRecord::default()
        }),
        StoreChange::AttemptStarted { id, at, attempts } => LogRecord::AttemptStarted {
            id: id.0,
            at_us: micros(at),
            attempts,
        },
        StoreChange::RetryScheduled {
            id,
            due_at,
            attempts,
            deduplication_deadline,
        } => LogRecord::RetryScheduled {
            id: id.0,
            due_us: micros(due_at),
            attempts,
            deduplication_deadline_us: deduplication_deadline.map(micros),
        },
        StoreChange::Completed { id } => LogRecord::Completed { id: id.0 },
    }
}

/// A logged invocation as the queue restores it; `None` where another release wrote it.
pub fn stored_invocation(record: &InvocationRecord) -> Option<StoredInvocation> {
    Some(StoredInvocation {
        id: InvocationId(record.id),
        invocation: Invocation::from_bytes(&record.request)?,
        accepted_at: Duration::from_micros(record.accepted_us),
        due_at: Duration::from_micros(record.due_us),
        attempts: record.attempts,
        deduplication_deadline: record.deduplication_deadline_us.map(Duration::from_micros),
        attempt_started_at: record.attempt_started_us.map(Duration::from_micros),
    })
}
