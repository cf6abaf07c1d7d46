//! Writes changes of the asynchronous queue to the write-ahead log on a dedicated thread, so that the event
//! loop never waits for the disk.
//!
//! The event loop submits numbered batches to a [`WalWriter`]. The thread writes all waiting batches with
//! one sync, and reports the number of the last durable batch. If a write fails, the thread reports the
//! failure and retries until the batch is durable. Retries end after a time limit once the writer is
//! stopping.
use calloop::channel::{self, Channel, Sender};
use quartzdrift_async_queue::{Invocation, InvocationId, StoreChange, StoredInvocation};
use quartzdrift_wal::{DirectoryStorage, InvocationRecord, Log, LogError, LogRecord};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of batches that wait for the disk. Further changes stay in the queue, which then rejects
/// new invocations.
const MAX_WAITING_BATCHES: usize = 256;

/// Delay before the first retry of a failed write; doubled with each further failure, up to
/// [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before a failed write is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum time for which a failing write is retried after [`WalWriter::submit_last`] or the drop of the
/// writer.
const SHUTDOWN_RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the thread checks, during a retry delay, whether the writer is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Reports of the writer's thread to the event loop.
#[derive(Debug)]
pub enum WriterEvent {
    /// All batches with a number up to and including this one are durable.
    Durable(u64),
    /// A write failed with this error, and is being retried. The next [`WriterEvent::Durable`] reports its
    /// success.
    Stalled(String),
}

/// Changes that become durable together or not at all.
struct Batch {
    number: u64,
    changes: Vec<StoreChange>,
}

/// The event loop's handle of the thread that writes the write-ahead log.
pub struct WalWriter {
    /// `None` after the last batch was submitted.
    batches: Option<SyncSender<Batch>>,
    thread: Option<JoinHandle<()>>,
    stopping: Arc<AtomicBool>,
    /// Number of the last submitted batch.
    last_number: u64,
}

/// The result of [`WalWriter::open`].
pub struct OpenedWal {
    /// Handle to submit batches.
    pub writer: WalWriter,
    /// The logged invocations that have not completed.
    pub open_invocations: Vec<InvocationRecord>,
    /// Reports of the writer's thread.
    pub events: Channel<WriterEvent>,
}

impl WalWriter {
    /// Opens the write-ahead log in a directory and starts the thread that writes it.
    ///
    /// # Errors
    /// Errors of [`Log::open`], of opening the directory, and of starting the thread.
    pub fn open(directory: &Path) -> Result<OpenedWal, LogError> {
        let (log, open_invocations) = Log::open(DirectoryStorage::open(directory)?)?;
        let (batch_sender, batches) = sync_channel(MAX_WAITING_BATCHES);
        let (event_sender, events) = channel::channel();
        let stopping = Arc::new(AtomicBool::new(false));
        let thread_stopping = stopping.clone();
        let thread = std::thread::Builder::new()
            .name("deferred".to_owned())
            .spawn(move || {
                let mut writer = WriterThread {
                    log,
                    events: event_sender,
                    stopping: thread_stopping,
                };
                writer.write_batches(&batches);
            })?;
        Ok(OpenedWal {
            writer: WalWriter {
                batches: Some(batch_sender),
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
    /// Returns the changes if `MAX_WAITING_BATCHES` batches wait, or the thread has ended.
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

    /// Submits the last batch. Blocks while `MAX_WAITING_BATCHES` batches wait. If writing fails, the
    /// thread gives up after `SHUTDOWN_RETRY_TIMEOUT`.
    pub fn submit_last(&mut self, changes: Vec<StoreChange>) {
        self.stopping.store(true, Ordering::Relaxed);
        self.last_number += 1;
        let number = self.last_number;
        if let Some(batches) = self.batches.take() {
            // Sending fails only if the thread has ended, and the thread reports errors itself.
            drop(batches.send(Batch { number, changes }));
        }
    }
}

impl Drop for WalWriter {
    /// Waits until all submitted batches are written, or the retries of a failing write have timed out.
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.batches = None;
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// The state of the thread that writes the log.
struct WriterThread {
    log: Log<DirectoryStorage>,
    events: Sender<WriterEvent>,
    stopping: Arc<AtomicBool>,
}

impl WriterThread {
    /// Writes batches until the writer is dropped, or until its events can no longer be sent.
    fn write_batches(&mut self, batches: &Receiver<Batch>) {
        while let Ok(batch) = batches.recv() {
            let mut last_number = batch.number;
            let mut records: Vec<LogRecord> = batch.changes.into_iter().map(log_record).collect();
            // All batches that wait are written with the same sync.
            for batch in batches.try_iter() {
                last_number = batch.number;
                records.extend(batch.changes.into_iter().map(log_record));
            }
            let is_durable = self.write_until_durable(&records);
            if !is_durable || self.events.send(WriterEvent::Durable(last_number)).is_err() {
                return;
            }
        }
    }

    /// Commits records, and retries while the commit fails. Returns `false` if it still fails
    /// [`SHUTDOWN_RETRY_TIMEOUT`] after the writer began to stop, or if the failure cannot be reported.
    fn write_until_durable(&mut self, records: &[LogRecord]) -> bool {
        let mut delay = INITIAL_RETRY_DELAY;
        let mut stopping_since = None;
        let mut is_reported = false;
        while let Err(error) = self.try_commit(records) {
            tracing::debug!(%error, "writing to the write-ahead log failed");
            if !std::mem::replace(&mut is_reported, true)
                && self.events.send(WriterEvent::Stalled(error.to_string())).is_err()
            {
                return false;
            }
            self.wait_before_retry(delay);
            delay = MAX_RETRY_DELAY.min(delay * 2);
            if self.stopping.load(Ordering::Relaxed) {
                let since = *stopping_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= SHUTDOWN_RETRY_TIMEOUT {
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

    /// Waits for `delay`. Returns within [`STOP_CHECK_INTERVAL`] if the writer is stopping.
    fn wait_before_retry(&self, delay: Duration) {
        let deadline = Instant::now() + delay;
        loop {
            std::thread::sleep(STOP_CHECK_INTERVAL);
            if Instant::now() >= deadline || self.stopping.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// Converts a change of the queue to a log record.
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

/// Converts a logged invocation to the form that the queue restores; `None` if it is in the format of another
/// release.
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
