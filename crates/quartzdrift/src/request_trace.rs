//! A trace of all requests that a gateway accepted, as JSON lines. A dedicated thread writes the file, up to
//! a size limit.
//!
//! Each line has `at_us` (time since the first request), `workload` (index of the request class in the
//! settings), `function`, `work_us` (0: unknown), `gateway` (0), `customer` (index of the tenant) and
//! `left_us` (time until the request's deadline). The simulator and the load generator read the trace.
use crate::settings::RequestTrace;
use flate2::Compression;
use flate2::write::GzEncoder;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum number of lines that wait for the thread. Further lines are dropped and counted.
const MAX_WAITING_LINES: usize = 10_000;

/// Records accepted requests in a trace file.
pub struct TraceRecorder {
    /// `None` after the trace has ended.
    lines: Option<SyncSender<String>>,
    thread: Option<JoinHandle<()>>,
    /// Time at which the first request was accepted.
    first_request_at: Option<Duration>,
    bytes_left: u64,
    hash_names: bool,
    dropped_lines: u64,
}

/// Creates the file of a trace. The file is compressed with gzip if its name ends in `.gz`.
///
/// # Errors
/// The file cannot be created.
pub fn create_file(path: &Path) -> io::Result<Box<dyn Write + Send>> {
    let file = std::fs::File::create(path)?;
    let compressed = path.extension().is_some_and(|extension| extension == "gz");
    Ok(if compressed {
        Box::new(GzEncoder::new(file, Compression::default()))
    } else {
        Box::new(BufWriter::new(file))
    })
}

impl TraceRecorder {
    /// Creates the trace file and starts the thread that writes it.
    ///
    /// # Errors
    /// The file cannot be created, or the thread cannot be started.
    pub fn start(trace: &RequestTrace) -> io::Result<TraceRecorder> {
        let file = create_file(&trace.file)?;
        let (line_sender, lines) = sync_channel(MAX_WAITING_LINES);
        let thread = std::thread::Builder::new()
            .name("recorder".to_owned())
            .spawn(move || write_lines(file, lines))?;
        Ok(TraceRecorder {
            lines: Some(line_sender),
            thread: Some(thread),
            first_request_at: None,
            bytes_left: trace.max_bytes,
            hash_names: trace.hash_names,
            dropped_lines: 0,
        })
    }

    /// Records a request that was accepted at `now`. `time_left` is the time until its deadline.
    pub fn record_request(
        &mut self,
        now: Duration,
        function: &str,
        request_class: u32,
        tenant: u32,
        time_left: Duration,
    ) {
        let Some(lines) = &self.lines else { return };
        let first_request_at = *self.first_request_at.get_or_insert(now);
        let at_us = now.saturating_sub(first_request_at).as_micros();
        let name = recorded_name(function, self.hash_names);
        let left_us = time_left.as_micros();
        let line = format!(
            "{{\"at_us\":{at_us},\"workload\":{request_class},\"function\":{name},\"work_us\":0,\"gateway\":0.0,\
             \"customer\":{tenant},\"left_us\":{left_us}}}\n"
        );
        let bytes = line.len() as u64;
        if bytes > self.bytes_left {
            tracing::warn!("the request trace has reached the size limit record.bytes and ends");
            self.lines = None;
            return;
        }
        self.bytes_left -= bytes;
        match lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.dropped_lines += 1,
            Err(TrySendError::Disconnected(_)) => self.lines = None,
        }
    }
}

impl Drop for TraceRecorder {
    /// Waits until all lines are written.
    fn drop(&mut self) {
        self.lines = None;
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
        if self.dropped_lines > 0 {
            tracing::warn!(
                lines = self.dropped_lines,
                "lines were dropped from the request trace because the disk was too slow"
            );
        }
    }
}

/// Writes lines until the recorder ends the trace or a write fails.
fn write_lines(mut file: Box<dyn Write + Send>, lines: Receiver<String>) {
    for line in lines {
        if let Err(error) = file.write_all(line.as_bytes()) {
            return tracing::error!(%error, "the request trace ends because a write failed");
        }
    }
    if let Err(error) = file.flush() {
        tracing::error!(%error, "the last lines of the request trace could not be written");
    }
}

/// The name of a function as a JSON string, or its hash if `hash_name` is set.
fn recorded_name(function: &str, hash_name: bool) -> serde_json::Value {
    if !hash_name {
        return function.into();
    }
    let mut hasher = DefaultHasher::new();
    function.hash(&mut hasher);
    format!("{:016x}", hasher.finish()).into()
}
