//! What the log asks of a file system.
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

pub trait Files {
    fn list(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Adds to the end; the file is made where it is not there. What was written may be lost until it is synced.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes and removals last.
    fn sync_names(&mut self) -> io::Result<()>;
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder on disk, held by one process at a time.
pub struct Folder {
    path: PathBuf,
    open: HashMap<String, File>,
    _lock: File,
}

impl Folder {
    /// `Err` of kind `WouldBlock`: another process holds it.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join("lock"))?;
        lock.try_lock().map_err(|e| match e {
            fs::TryLockError::WouldBlock => io::Error::new(
                io::ErrorKind::WouldBlock,
                format!("another process uses {}", path.display()),
            ),
            fs::TryLockError::Error(e) => e,
        })?;
        Ok(Folder {
            path: path.to_owned(),
            open: HashMap::new(),
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open
            .get_mut(name)
            .ok_or_else(|| io::Error::other("it was just opened"))
    }
}

impl Files for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let names =
            fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = self.file(name)?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }
}
