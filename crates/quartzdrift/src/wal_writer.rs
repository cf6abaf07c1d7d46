//! Makes changes of the asynchronous queue durable, on a thread of its own: the event loop never waits for the disk.
//!
//! The loop submits numbered batches to a [`WalWriter`]. The thread writes all batches that wait with one sync, and reports the
//! last batch up to which everything is durable. Where the disk fails, the thread reports it, and tries again until the batch
//! is durable or the writer is dropped.
use calloop::channel::{self, Channel, Sender};
use quartzdrift_async_queue::{Invocation, InvocationId, StoreChange, StoredInvocation};
use quartzdrift_wal::{DirectoryStorage, InvocationRecord, Log, LogError, LogRecord};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum batches that wait for the disk. Beyond it changes gather in the queue, and new invocations are rejected.
const MAX_WAITING_BATCHES: usize = 256;

/// Before a batch that failed is tried again; doubled with each further failure, up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest wait before a batch that failed is tried again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How long a batch is tried after the writer was dropped.
const MAX_LAST_TRIES: Duration = Duration::from_secs(1);
/// Between two looks whether the writer was dropped.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// What the writer's thread reports to the event loop.
#[derive(Debug)]
pub enum WriterEvent {
    /// All batches up to this number are durable.
    Durable(u64),
    /// The disk has failed for this reason; what waits for it is tried again. The next [`WriterEvent::Durable`] ends this.
    Stalled(String),
}

/// Changes that become durable together or not at all.
struct Batch {
    number: u64,
    changes: Vec<StoreChange>,
}

/// The event loop's end of the thread that writes the log.
pub struct WalWriter {
    /// `None` once the last batch was submitted.
    batches: Option<SyncSender<Batch>>,
    thread: Option<JoinHandle<()>>,
    stopping: Arc<AtomicBool>,
    last_number: u64,
}

/// A log that was opened, and the thread that writes it.
pub struct OpenedWal {
    /// Takes batches.
    pub writer: WalWriter,
    /// The invocations that have not completed.
    pub open_invocations: Vec<InvocationRecord>,
    /// What the thread reports.
    pub events: Channel<WriterEvent>,
}

impl WalWriter {
    /// Opens the log in a directory and starts its thread.
    ///
    /// # Errors
    /// Those of [`Log::open`], of the directory and of the thread's start.
    pub fn open(directory: &Path) -> Result<OpenedWal, LogError> {
        let (log, open_invocations) = Log::open(DirectoryStorage::open(directory)?)?;
        let (batches, submitted) = sync_channel(MAX_WAITING_BATCHES);
        let (reports, events) = channel::channel();
        let stopping = Arc::new(AtomicBool::new(false));
        let thread_stopping = stopping.clone();
        let thread = std::thread::Builder::new()
            .name("deferred".to_owned())
            .spawn(move || {
                let mut writing = Writing {
                    log,
                    reports,
                    stopping: thread_stopping,
                };
                writing.write_batches(&submitted);
            })?;
        Ok(OpenedWal {
            writer: WalWriter {
                batches: Some(batches),
                thread: Some(thread),
                stopping,
                last_number: 0,
            },
            open_invocations,
            events,
        })
    }

    /// Submits a batch and returns its number.
    ///
    /// # Errors
    /// Returns the changes where the disk does not keep up.
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

    /// Submits the last batch, however long the disk takes; one that fails is not tried for long.
    pub fn submit_last(&mut self, changes: Vec<StoreChange>) {
        self.stopping.store(true, Ordering::Relaxed);
        self.last_number += 1;
        let number = self.last_number;
        if let Some(batches) = self.batches.take() {
            // A thread that has ended has reported why.
            drop(batches.send(Batch { number, changes }));
        }
    }
}

impl Drop for WalWriter {
    /// Waits until all submitted batches are written, or were tried for long enough.
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.batches = None;
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// The thread's state.
struct Writing {
    log: Log<DirectoryStorage>,
    reports: Sender<WriterEvent>,
    stopping: Arc<AtomicBool>,
}

impl Writing {
    /// Writes batches until the writer is dropped or nobody listens any more.
    fn write_batches(&mut self, submitted: &Receiver<Batch>) {
        while let Ok(batch) = submitted.recv() {
            let mut last_number = batch.number;
            let mut records: Vec<LogRecord> = batch.changes.into_iter().map(log_record).collect();
            // One sync for all batches that have gathered meanwhile.
            for batch in submitted.try_iter() {
                last_number = batch.number;
                records.extend(batch.changes.into_iter().map(log_record));
            }
            let is_durable = self.write_until_durable(&records);
            if !is_durable || self.reports.send(WriterEvent::Durable(last_number)).is_err() {
                return;
            }
        }
    }

    /// Commits records, and tries again where the disk fails. Returns `false` where it still fails a while after the writer
    /// was dropped.
    fn write_until_durable(&mut self, records: &[LogRecord]) -> bool {
        let mut delay = RETRY_DELAY;
        let mut stopping_since = None;
        let mut is_reported = false;
        while let Err(error) = self.try_commit(records) {
            tracing::debug!(%error, "the log cannot be written");
            if !std::mem::replace(&mut is_reported, true)
                && self
                    .reports
                    .send(WriterEvent::Stalled(error.to_string()))
                    .is_err()
            {
                return false;
            }
            self.wait(delay);
            delay = MAX_RETRY_DELAY.min(delay * 2);
            if self.stopping.load(Ordering::Relaxed) {
                let since = *stopping_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= MAX_LAST_TRIES {
                    return false;
                }
            }
        }
        true
    }

    fn try_commit(&mut self, records: &[LogRecord]) -> Result<(), LogError> {
        self.log.resume()?;
        self.log.commit(records.to_vec())
    }

    /// Waits, but no longer than a moment once the writer was dropped.
    fn wait(&self, delay: Duration) {
        let until = Instant::now() + delay;
        loop {
            std::thread::sleep(STOP_CHECK);
            if Instant::now() >= until || self.stopping.load(Ordering::Relaxed) {
                return;
            }
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
