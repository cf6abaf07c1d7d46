//! The last list of workers on disk: written whole beside its place and then renamed, on a thread of its own,
//! so that neither a crash nor a slow disk leaves a torn list or holds up the event loop.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;

const NAME: &str = "workers.json";

#[derive(Default)]
struct Box {
    /// The newest list not yet written; older ones are of no use.
    next: Option<Vec<u8>>,
    stop: bool,
}

pub struct Saver {
    shared: Arc<(Mutex<Box>, Condvar)>,
    thread: Option<JoinHandle<()>>,
}

fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = folder.join(format!("{NAME}.new"));
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, folder.join(NAME))?;
    File::open(folder)?.sync_all()
}

/// What was saved last; `None` where nothing was.
pub fn last(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::read(folder.join(NAME)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
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
                while held.next.is_none() && !held.stop {
                    held = bell.wait(held).unwrap_or_else(PoisonError::into_inner);
                }
                let Some(bytes) = held.next.take() else { return };
                drop(held);
                if let Err(e) = write(&folder, &bytes) {
                    tracing::error!(folder = %folder.display(), error = %e, "the list of workers was not saved");
                }
            }
        };
        let thread = std::thread::Builder::new().name("saver".to_owned()).spawn(work)?;
        Ok(Saver { shared, thread: Some(thread) })
    }

    /// Has `bytes` written soon, in place of what still waits.
    pub fn save(&self, bytes: Vec<u8>) {
        let (place, bell) = &*self.shared;
        place.lock().unwrap_or_else(PoisonError::into_inner).next = Some(bytes);
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
    fn the_newest_list_is_there_after_the_end() {
        let folder = tempfile::tempdir().unwrap();
        assert!(last(folder.path()).unwrap().is_none());
        let saver = Saver::start(folder.path().join("state")).unwrap();
        (0..100).for_each(|n| saver.save(format!("[{n}]").into_bytes()));
        drop(saver);
        assert_eq!(last(&folder.path().join("state")).unwrap().unwrap(), b"[99]");
    }
}
