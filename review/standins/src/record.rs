//! The record of a case (`record.txt`): what was sent, answered and run.
use crate::lock;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Starts a record in a new file.
    pub fn start(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:9.4} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
