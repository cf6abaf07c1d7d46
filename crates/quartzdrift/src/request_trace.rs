//! A trace of all requests that a gateway accepted, as JSON lines. A thread of its own writes it, and its length is bounded.
//!
//! Each line has `at_us` (since the trace began), `workload` (index of the request class in the settings), `function`,
//! `work_us` (0: unknown), `gateway` (0), `customer` (index of the tenant) and `left_us` (time until the request's deadline).
//! The simulator and the load generator read it.
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

/// Maximum lines that wait for the thread; further ones are left out and counted.
const MAX_WAITING_LINES: usize = 10_000;

/// Writes the trace.
pub struct TraceRecorder {
    /// `None` once the trace has ended.
    lines: Option<SyncSender<String>>,
    thread: Option<JoinHandle<()>>,
    /// Time of the first request.
    began: Option<Duration>,
    bytes_left: u64,
    hash_names: bool,
    lines_left_out: u64,
}

/// Creates the file of a trace; a name that ends in `.gz` is compressed.
///
/// # Errors
/// Those of the file system.
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
    /// Creates the trace's file and starts the thread that writes it.
    ///
    /// # Errors
    /// Those of the file and of the thread's start.
    pub fn start(trace: &RequestTrace) -> io::Result<TraceRecorder> {
        let file = create_file(&trace.file)?;
        let (lines, received) = sync_channel(MAX_WAITING_LINES);
        let thread = std::thread::Builder::new()
            .name("recorder".to_owned())
            .spawn(move || write_lines(file, received))?;
        Ok(TraceRecorder {
            lines: Some(lines),
            thread: Some(thread),
            began: None,
            bytes_left: trace.max_bytes,
            hash_names: trace.hash_names,
            lines_left_out: 0,
        })
    }

    /// Records a request that was accepted at `now`. `left`: time until its deadline.
    pub fn record_request(
        &mut self,
        now: Duration,
        function: &str,
        request_class: u32,
        tenant: u32,
        left: Duration,
    ) {
        let Some(lines) = &self.lines else { return };
        let began = *self.began.get_or_insert(now);
        let at_us = now.saturating_sub(began).as_micros();
        let name = recorded_name(function, self.hash_names);
        let left_us = left.as_micros();
        let line = format!(
            "{{\"at_us\":{at_us},\"workload\":{request_class},\"function\":{name},\"work_us\":0,\"gateway\":0.0,\
             \"customer\":{tenant},\"left_us\":{left_us}}}\n"
        );
        let bytes = line.len() as u64;
        if bytes > self.bytes_left {
            tracing::warn!("the trace is as long as the settings allow, and ends");
            self.lines = None;
            return;
        }
        self.bytes_left -= bytes;
        match lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.lines_left_out += 1,
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
        if self.lines_left_out > 0 {
            tracing::warn!(
                lines = self.lines_left_out,
                "lines of the trace were left out: the disk was too slow"
            );
        }
    }
}

/// Writes lines until the recorder ends the trace, or a write fails.
fn write_lines(mut file: Box<dyn Write + Send>, lines: Receiver<String>) {
    for line in lines {
        if let Err(error) = file.write_all(line.as_bytes()) {
            return tracing::error!(%error, "the trace ends: it cannot be written");
        }
    }
    if let Err(error) = file.flush() {
        tracing::error!(%error, "the end of the trace was not written");
    }
}

/// A function's name, or its hash, as a JSON string.
fn recorded_name(function: &str, hashed: bool) -> serde_json::Value {
    if !hashed {
        return function.into();
    }
    let mut hasher = DefaultHasher::new();
    function.hash(&mut hasher);
    format!("{:016x}", hasher.finish()).into()
}
