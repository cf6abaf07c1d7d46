//! A trace of all requests that a gateway took: JSON lines, written by a thread of its own, bounded.
//!
//! Each line: `at_us` since the trace began, `request_class` (its place in the settings), `function`, `work_us` (what the
//! settings say of its work, 0 where nothing), `gateway` (0), `tenant`, `left_us`. The lab's emulator and load read it.
use crate::settings::Record;
use flate2::Compression;
use flate2::write::GzEncoder;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Lines that wait for the thread at most; more are left out and counted.
const MAX_WAITING: usize = 10_000;

pub struct Recorder {
    sender: Option<SyncSender<String>>,
    thread: Option<JoinHandle<()>>,
    began: Option<Duration>,
    left: u64,
    hash_names: bool,
    left_out: u64,
}

/// Makes a trace's file; a name that ends in `.gz` is compressed.
pub fn create(path: &Path) -> io::Result<Box<dyn Write + Send>> {
    let file = std::fs::File::create(path)?;
    Ok(match path.extension().is_some_and(|end| end == "gz") {
        true => Box::new(GzEncoder::new(file, Compression::default())),
        false => Box::new(BufWriter::new(file)),
    })
}

impl Recorder {
    pub fn start(record: &Record) -> io::Result<Recorder> {
        let mut out = create(&record.file)?;
        let (sender, lines) = sync_channel::<String>(MAX_WAITING);
        let work = move || {
            for line in lines {
                if let Err(e) = out.write_all(line.as_bytes()) {
                    return tracing::error!(error = %e, "the trace ends: it cannot be written");
                }
            }
            if let Err(e) = out.flush() {
                tracing::error!(error = %e, "the end of the trace was not written");
            }
        };
        let thread = std::thread::Builder::new()
            .name("recorder".to_owned())
            .spawn(work)?;
        Ok(Recorder {
            sender: Some(sender),
            thread: Some(thread),
            began: None,
            left: record.bytes,
            hash_names: record.hash_names,
            left_out: 0,
        })
    }

    pub fn request(
        &mut self,
        now: Duration,
        function: &str,
        request_class: u32,
        tenant: u32,
        left: Duration,
    ) {
        let Some(sender) = &self.sender else { return };
        let at = now.saturating_sub(*self.began.get_or_insert(now)).as_micros();
        let name = match self.hash_names {
            true => {
                let mut hasher = DefaultHasher::new();
                function.hash(&mut hasher);
                format!("{:016x}", hasher.finish())
            }
            false => function.to_owned(),
        };
        let name = serde_json::Value::String(name);
        let left_us = left.as_micros();
        let line = format!(
            "{{\"at_us\":{at},\"workload\":{request_class},\"function\":{name},\"work_us\":0,\"gateway\":0.0,\
             \"customer\":{tenant},\"left_us\":{left_us}}}\n"
        );
        if line.len() as u64 > self.left {
            tracing::warn!("the trace is as long as the settings allow, and ends");
            self.sender = None;
            return;
        }
        self.left -= line.len() as u64;
        match sender.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.left_out += 1,
            Err(TrySendError::Disconnected(_)) => self.sender = None,
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
        if self.left_out > 0 {
            tracing::warn!(
                lines = self.left_out,
                "lines of the trace were left out: the disk was too slow"
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_trace_is_bounded_and_hides_names() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("trace.jsonl");
        let record = Record {
            file: file.clone(),
            bytes: 600,
            hash_names: true,
        };
        let mut recorder = Recorder::start(&record).unwrap();
        for n in 0..100 {
            recorder.request(
                Duration::from_millis(1000 + n),
                "secret",
                1,
                0,
                Duration::from_secs(3),
            );
        }
        drop(recorder);
        let text = std::fs::read_to_string(file).unwrap();
        assert!(text.len() <= 600 && text.lines().count() >= 4 && !text.contains("secret"));
        let first: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
        assert_eq!(
            (first["at_us"].as_u64(), first["left_us"].as_u64()),
            (Some(0), Some(3_000_000))
        );
    }
}
