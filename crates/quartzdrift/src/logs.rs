//! Structured logs on standard error, as text or as one JSON object a line.
use crate::settings::Log;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, IsTerminal, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing_subscriber::EnvFilter;

/// Bytes of a line at most: so many a pipe that is ready takes without waiting (PIPE_BUF on Linux).
const MAX_LINE: usize = 4096;

/// Lines that nobody took.
static LOST: AtomicU64 = AtomicU64::new(0);

/// Standard error, which keeps nobody waiting: a line is lost where its reader has left or does not read.
struct Lines {
    json: bool,
}

impl Lines {
    fn is_ready() -> bool {
        let error = io::stderr();
        let mut of = [PollFd::new(&error, PollFlags::OUT)];
        let at_once = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // Where the system cannot say, writing tells.
        poll(&mut of, Some(&at_once)).map_or(true, |ready| ready > 0)
    }

    fn lost(&self, count: u64) -> String {
        let what = format!("{count} lines of the log were lost, as nobody took them");
        if self.json {
            format!("{{\"level\":\"WARN\",\"message\":\"{what}\"}}\n")
        } else {
            what + "\n"
        }
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut error = io::stderr();
        let lost = LOST.load(Ordering::Relaxed);
        if lost > 0 && Lines::is_ready() && error.write_all(self.lost(lost).as_bytes()).is_ok() {
            LOST.fetch_sub(lost, Ordering::Relaxed);
        }
        // A line that is too long ends with a whole character.
        let begins = |at: &usize| line.get(*at).is_none_or(|byte| byte & 0xc0 != 0x80);
        let (text, end) = match line.len() > MAX_LINE {
            true => (&line[..(0..MAX_LINE).rev().find(begins).unwrap_or(0)], &b"\n"[..]),
            false => (line, &b""[..]),
        };
        if !Lines::is_ready() || error.write_all(&[text, end].concat()).is_err() {
            LOST.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging as text, filtered by the environment.
pub fn start_by_environment() {
    let filter = std::env::var(EnvFilter::DEFAULT_ENV).unwrap_or_else(|_| "info".to_owned());
    start(&Log { json: false, filter });
}

/// Starts logging; a second start in one process changes nothing.
pub fn start(log: &Log) {
    let filter = EnvFilter::try_new(&log.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let colours = std::io::stderr().is_terminal();
    let json = log.json;
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(colours);
    let lines = lines.with_writer(move || Lines { json });
    let started = match json {
        true => lines.json().flatten_event(true).try_init(),
        false => lines.try_init(),
    };
    // Already started: by another gateway in the same process.
    drop(started);
}
