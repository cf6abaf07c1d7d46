//! The storage below the log. Implement [`LogStorage`] to run the log on something other than a directory, such as a disk
//! that fails on purpose in tests.
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file system operations that the log needs. Names are file names without a path.
pub trait LogStorage {
    /// Names of all files.
    ///
    /// # Errors
    /// Those of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    ///
    /// # Errors
    /// Those of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created if it does not exist. A crash before [`sync`](Self::sync) may lose the bytes.
    ///
    /// # Errors
    /// Those of the file system; some of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// Those of the file system; what is durable is then unknown.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation and removal of files durable.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync_names(&mut self) -> io::Result<()>;

    /// Shortens a file to `length` bytes, durably.
    ///
    /// # Errors
    /// Those of the file system.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Removes a file. A crash before [`sync_names`](Self::sync_names) may bring it back.
    ///
    /// # Errors
    /// Those of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Closes all files, so that the next operation on each opens it anew. A descriptor on which a sync has failed may report
    /// success the next time although nothing was written.
    fn close_files(&mut self);
}

/// A directory on disk, which one process at a time may hold: a lock on the file `lock` in it guards against a second one.
pub struct DirectoryStorage {
    path: PathBuf,
    open_files: HashMap<String, File>,
    _lock: File,
}

impl DirectoryStorage {
    /// Opens the directory, which is created if it does not exist, and locks it.
    ///
    /// # Errors
    /// Kind [`io::ErrorKind::WouldBlock`] where another process holds the lock, else those of the file system.
    pub fn open(path: &Path) -> io::Result<DirectoryStorage> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join("lock"))?;
        lock.try_lock().map_err(|error| match error {
            fs::TryLockError::WouldBlock => io::Error::new(
                io::ErrorKind::WouldBlock,
                format!("another process uses {}", path.display()),
            ),
            fs::TryLockError::Error(error) => error,
        })?;
        Ok(DirectoryStorage {
            path: path.to_owned(),
            open_files: HashMap::new(),
            _lock: lock,
        })
    }

    /// The file with this name, opened for appending and kept open.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))?;
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files
            .get_mut(name)
            .ok_or_else(|| io::Error::other("it was just opened"))
    }
}

impl LogStorage for DirectoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
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
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn close_files(&mut self) {
        self.open_files.clear();
    }
}
