//! The storage of the log's files. Implement [`LogStorage`] to run the log on something other than a
//! directory, such as an in-memory disk with injected faults in tests.
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file system operations that the log needs. Files are identified by their names, without a path.
pub trait LogStorage {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// An I/O error if the files cannot be listed.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the whole content of a file.
    ///
    /// # Errors
    /// An I/O error if the file does not exist or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created if it does not exist. A crash before [`sync`](Self::sync) may lose
    /// the appended bytes.
    ///
    /// # Errors
    /// An I/O error if the file cannot be created, opened or written, for example because the disk is full.
    /// Some of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// An I/O error if the file cannot be opened or synced. It is then unknown how much of the file is
    /// durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation and removal of files durable.
    ///
    /// # Errors
    /// An I/O error if the directory cannot be opened or synced.
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Truncates a file to `length` bytes and makes that durable.
    ///
    /// # Errors
    /// An I/O error if the file cannot be opened, truncated or synced.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Removes a file. A crash before [`sync_directory`](Self::sync_directory) may undo the removal.
    ///
    /// # Errors
    /// An I/O error if the file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Closes all open files; the next operation on a file reopens it. After a failed sync, a later sync on
    /// the same descriptor may report success although the data was never written.
    fn close_files(&mut self);
}

/// A directory on disk. The lock on its file named `lock` keeps a second process from using the directory.
pub struct DirectoryStorage {
    path: PathBuf,
    open_files: HashMap<String, File>,
    _lock: File,
}

impl DirectoryStorage {
    /// Opens and locks the directory, which is created if it does not exist.
    ///
    /// # Errors
    /// An error of kind [`io::ErrorKind::WouldBlock`] if another process holds the lock. Another I/O error if
    /// the directory cannot be created, or the file `lock` cannot be opened or locked.
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
                format!("directory {} is locked by another process", path.display()),
            ),
            fs::TryLockError::Error(error) => error,
        })?;
        Ok(DirectoryStorage {
            path: path.to_owned(),
            open_files: HashMap::new(),
            _lock: lock,
        })
    }

    /// Returns the file with this name, which is opened for appending on first use and then kept open.
    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))?;
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files
            .get_mut(name)
            .ok_or_else(|| io::Error::other(format!("file {name} is not open")))
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
        self.open_file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_data()
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let file = self.open_file(name)?;
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
