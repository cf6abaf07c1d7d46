//! What outlasts the process on disk, one file for each thing: written whole beside its place and then renamed, on a thread of its own,
//! so that neither a crash nor a slow disk leaves a torn list or holds up the event loop.
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;

/// The last list of workers.
pub const WORKERS: &str = "workers.json";
/// What forecasts have learnt.
pub const FORECASTS: &str = "forecasts.snapshot";

/// Other schedulers, as last believed.
pub const MEMBERS: &str = "members.json";
/// What a start goes on from; and, in the folder of asynchronous requests, whose they are.
pub const MARK: &str = "recovery.json";
/// What the decision module has measured of workers.
pub const MEASURED: &str = "measured.snapshot";
/// A mark that could not be read.
pub const ASIDE: &str = "recovery.aside";
/// What operators see of a start.
pub const STAGES: &str = "stages.json";
/// Made by an operator: service returns at once.
pub const FORCE: &str = "force";

/// Begins the last line of each file: its checksum (CRC-32) and how many bytes come before it.
const SEAL: &[u8] = b"\nquartzdrift seal ";

fn seal(bytes: &[u8]) -> Vec<u8> {
    let line = format!("{:08x} {}\n", crc32fast::hash(bytes), bytes.len());
    [SEAL, line.as_bytes()].concat()
}

/// What was sealed; a file of an earlier release bears no seal and is given as it is, unless it `must`.
fn opened(mut bytes: Vec<u8>, must: bool) -> io::Result<Vec<u8>> {
    let at = bytes.windows(SEAL.len()).rposition(|part| part == SEAL);
    match at {
        Some(at) if seal(&bytes[..at]) == bytes[at..] => bytes.truncate(at),
        None if !must => {}
        Some(_) | None => {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "it is damaged or cut short",
            ));
        }
    }
    Ok(bytes)
}

#[derive(Default)]
struct Box {
    /// The newest of each not yet written; older ones are of no use.
    next: BTreeMap<&'static str, Vec<u8>>,
    stop: bool,
}

pub struct Saver {
    shared: Arc<(Mutex<Box>, Condvar)>,
    thread: Option<JoinHandle<()>>,
}

/// Writes one thing whole, and returns once it lasts.
pub fn write(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let beside = folder.join(format!("{name}.new"));
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.write_all(&seal(bytes))?;
    file.sync_all()?;
    fs::rename(&beside, folder.join(name))?;
    File::open(folder)?.sync_all()
}

/// What was saved last; `None` where nothing was. `Err` of kind `InvalidData`: not what was written.
pub fn last(folder: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    match fs::read(folder.join(name)) {
        Ok(bytes) => opened(bytes, name == MARK).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// The same from the folder that the settings tell, if they tell one; `otherwise` is said where it cannot be read.
pub fn found(folder: Option<&Path>, name: &str, otherwise: &str) -> Option<Vec<u8>> {
    last(folder?, name).unwrap_or_else(|e| {
        tracing::warn!(error = %e, "{otherwise}");
        None
    })
}

impl Saver {
    pub fn start(folder: PathBuf) -> io::Result<Saver> {
        fs::create_dir_all(&folder)?;
        let shared = Arc::new((Mutex::new(Box::default()), Condvar::new()));
        let of = shared.clone();
        let work = move || {
            let (place, bell) = &*of;
            loop {
                let mut held = place.lock().unwrap_or_else(PoisonError::into_inner);
                while held.next.is_empty() && !held.stop {
                    held = bell.wait(held).unwrap_or_else(PoisonError::into_inner);
                }
                let Some((name, bytes)) = held.next.pop_first() else {
                    return;
                };
                drop(held);
                if let Err(e) = write(&folder, name, &bytes) {
                    tracing::error!(folder = %folder.display(), name, error = %e, "what is to outlast the process was not saved");
                }
            }
        };
        let thread = std::thread::Builder::new().name("saver".to_owned()).spawn(work)?;
        Ok(Saver {
            shared,
            thread: Some(thread),
        })
    }

    /// Has `bytes` written soon, in place of what still waits under this name.
    pub fn save(&self, name: &'static str, bytes: Vec<u8>) {
        let (place, bell) = &*self.shared;
        place
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .next
            .insert(name, bytes);
        bell.notify_one();
    }
}

impl Drop for Saver {
    /// Waits until what was handed over is written.
    fn drop(&mut self) {
        let (place, bell) = &*self.shared;
        place.lock().unwrap_or_else(PoisonError::into_inner).stop = true;
        bell.notify_one();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_that_is_not_what_was_written_is_an_error() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join(MARK);
        write(folder.path(), MARK, b"{\"starts\": 3}").unwrap();
        let whole = fs::read(&path).unwrap();
        assert_eq!(last(folder.path(), MARK).unwrap().unwrap(), b"{\"starts\": 3}");
        for bit in 0..whole.len() * 8 {
            let mut spoilt = whole.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            fs::write(&path, &spoilt).unwrap();
            assert!(last(folder.path(), MARK).is_err(), "bit {bit}");
        }
        for length in 0..whole.len() {
            fs::write(&path, &whole[..length]).unwrap();
            assert!(last(folder.path(), MARK).is_err(), "{length} bytes");
        }
        // An earlier release sealed nothing.
        fs::write(folder.path().join(WORKERS), b"[]").unwrap();
        assert_eq!(last(folder.path(), WORKERS).unwrap().unwrap(), b"[]");
    }

    #[test]
    fn the_newest_list_is_there_after_the_end() {
        let folder = tempfile::tempdir().unwrap();
        assert!(last(folder.path(), WORKERS).unwrap().is_none());
        let saver = Saver::start(folder.path().join("state")).unwrap();
        (0..100).for_each(|n| saver.save(WORKERS, format!("[{n}]").into_bytes()));
        saver.save(FORECASTS, b"other".to_vec());
        drop(saver);
        assert_eq!(
            last(&folder.path().join("state"), WORKERS).unwrap().unwrap(),
            b"[99]"
        );
    }
}
