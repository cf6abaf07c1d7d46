//! Structured logs on standard error, as text or as one JSON object a line.
use crate::settings::Log;
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// Starts logging as text, filtered by the environment.
pub fn start_by_environment() {
    let filter = std::env::var(EnvFilter::DEFAULT_ENV).unwrap_or_else(|_| "info".to_owned());
    start(&Log { json: false, filter });
}

/// Starts logging; a second start in one process changes nothing.
pub fn start(log: &Log) {
    let filter = EnvFilter::try_new(&log.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let colours = std::io::stderr().is_terminal();
    let lines =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(colours);
    let started = match log.json {
        true => lines.json().flatten_event(true).try_init(),
        false => lines.try_init(),
    };
    // Already started: by another gateway in the same process.
    drop(started);
}
