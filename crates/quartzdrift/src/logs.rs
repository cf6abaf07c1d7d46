//! Structured logs on standard error, as text or as one JSON object a line. Call [`start`] once the settings are known.
//!
//! Logging never blocks the event loop: a line that standard error does not take at once is dropped and counted, and the
//! count is logged as soon as lines are taken again.
use crate::settings::Log;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, IsTerminal, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing_subscriber::EnvFilter;

/// Bytes of a line. A pipe that polls as ready takes this many without blocking (PIPE_BUF on Linux).
const MAX_LINE_BYTES: usize = 4096;
/// Filter where the settings or the environment have none that can be parsed.
const DEFAULT_FILTER: &str = "info";

/// Lines dropped since the last one that was written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Standard error that drops lines instead of blocking. Takes one whole line a write.
struct NonBlockingStderr {
    json: bool,
}

impl NonBlockingStderr {
    fn is_ready() -> bool {
        let stderr = io::stderr();
        let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // Where polling fails, writing shows whether it works.
        poll(&mut polled, Some(&no_wait)).map_or(true, |ready| ready > 0)
    }

    /// Logs the count of dropped lines, if there are any and the line is taken.
    fn report_dropped(&self) {
        let count = DROPPED_LINES.load(Ordering::Relaxed);
        if count == 0 || !Self::is_ready() {
            return;
        }
        let report = self.dropped_report(count);
        if io::stderr().write_all(report.as_bytes()).is_ok() {
            DROPPED_LINES.fetch_sub(count, Ordering::Relaxed);
        }
    }

    fn dropped_report(&self, count: u64) -> String {
        let message = format!("{count} lines of the log were lost, as nobody took them");
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
        let written = Self::is_ready() && io::stderr().write_all(&truncated(line)).is_ok();
        if !written {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A line of at most [`MAX_LINE_BYTES`]. One that is cut ends with a whole character and a line feed.
fn truncated(line: &[u8]) -> Vec<u8> {
    if line.len() <= MAX_LINE_BYTES {
        return line.to_vec();
    }
    let is_char_start = |at: &usize| line[*at] & 0xc0 != 0x80;
    let end = (0..MAX_LINE_BYTES).rev().find(is_char_start).unwrap_or(0);
    [&line[..end], b"\n"].concat()
}

/// Starts logging as text, with the filter of the environment (`RUST_LOG`).
pub fn start_from_environment() {
    let filter = std::env::var(EnvFilter::DEFAULT_ENV).unwrap_or_else(|_| DEFAULT_FILTER.to_owned());
    start(&Log { json: false, filter });
}

/// Starts logging. Without effect if logging has been started in this process.
pub fn start(log: &Log) {
    let filter = EnvFilter::try_new(&log.filter).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let json = log.json;
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(move || NonBlockingStderr { json });
    let started = if json {
        subscriber.json().flatten_event(true).try_init()
    } else {
        subscriber.try_init()
    };
    // An error says that another gateway in this process has started it.
    drop(started);
}
