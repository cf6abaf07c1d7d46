//! The record of a run: lines with the time since the start, written to `record.txt`.
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Collects the lines of a run.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Default for Record {
    fn default() -> Record {
        Record::new()
    }
}

impl Record {
    /// An empty record that starts now.
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: impl Into<String>) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }

    /// Writes the lines to the file that the variable `RECORD` names.
    pub fn write(&self) {
        let Some(path) = std::env::var_os("RECORD").map(PathBuf::from) else {
            return;
        };
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64()))
            .collect();
        if let Err(error) = std::fs::write(&path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}

/// Milliseconds since 1970 by the wall clock.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Whether the run has its disruption (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Pseudo-random numbers (xorshift), so that a run needs no library.
pub struct Random(u64);

impl Random {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// The next number from 0 to 1, without 0.
    pub fn share(&mut self) -> f64 {
        ((self.next_u64() >> 11) as f64 + 1.0) / (1u64 << 53) as f64
    }
}
