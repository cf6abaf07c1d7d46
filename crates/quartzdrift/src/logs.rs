//! Structured logs on standard error, as text or as one JSON object per line. Call [`start`] after the
//! settings are loaded.
//!
//! Logging never blocks the event loop. A line that would block is dropped and counted, and the count is
//! logged as soon as standard error is writable again.
use crate::settings::Log;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, IsTerminal, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing_subscriber::EnvFilter;

/// Maximum length of a log line, in bytes: PIPE_BUF on Linux. A write of up to this size does not block on a
/// pipe that polls as writable.
const MAX_LINE_BYTES: usize = 4096;
/// Log filter if the settings or the environment have no valid one.
const DEFAULT_FILTER: &str = "info";

/// Number of lines that were dropped and not yet reported.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// A writer to standard error that drops lines instead of blocking. Each write must be one whole line.
struct NonBlockingStderr {
    json: bool,
}

impl NonBlockingStderr {
    fn is_writable() -> bool {
        let stderr = io::stderr();
        let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // If polling fails, the write itself decides.
        poll(&mut polled, Some(&no_wait)).map_or(true, |ready| ready > 0)
    }

    /// Logs the number of dropped lines, if there are any and standard error is writable.
    fn report_dropped(&self) {
        let count = DROPPED_LINES.load(Ordering::Relaxed);
        if count == 0 || !Self::is_writable() {
            return;
        }
        let report = self.dropped_lines_report(count);
        if io::stderr().write_all(report.as_bytes()).is_ok() {
            DROPPED_LINES.fetch_sub(count, Ordering::Relaxed);
        }
    }

    fn dropped_lines_report(&self, count: u64) -> String {
        let message = format!("{count} lines of the log were lost because standard error was not writable");
        if self.json {
            format!("{{\"level\":\"WARN\",\"message\":\"{message}\"}}\n")
        } else {
            message + "\n"
        }
    }
}

impl Write for NonBlockingStderr {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.report_dropped();
        let written = Self::is_writable() && io::stderr().write_all(&truncated(line)).is_ok();
        if !written {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Truncates a line to [`MAX_LINE_BYTES`]. A truncated line ends with a whole UTF-8 character and a line
/// feed.
fn truncated(line: &[u8]) -> Vec<u8> {
    if line.len() <= MAX_LINE_BYTES {
        return line.to_vec();
    }
    let is_char_start = |index: &usize| line[*index] & 0xc0 != 0x80;
    let end = (0..MAX_LINE_BYTES).rev().find(is_char_start).unwrap_or(0);
    [&line[..end], b"\n"].concat()
}

/// Starts logging as text, with the filter of the environment variable `RUST_LOG`.
pub fn start_from_environment() {
    let filter = std::env::var(EnvFilter::DEFAULT_ENV).unwrap_or_else(|_| DEFAULT_FILTER.to_owned());
    start(&Log { json: false, filter });
}

/// Starts logging. Has no effect if logging is already started in this process.
pub fn start(log: &Log) {
    let filter = EnvFilter::try_new(&log.filter).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let json = log.json;
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(move || NonBlockingStderr { json });
    let result = if json {
        subscriber.json().flatten_event(true).try_init()
    } else {
        subscriber.try_init()
    };
    // Fails only if logging is already started, for example by another gateway in this process.
    drop(result);
}
