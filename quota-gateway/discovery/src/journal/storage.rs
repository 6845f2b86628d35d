//! The storage of a journal's files: a trait, so that tests can inject faults, and its implementation on a
//! folder.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The operations on a folder that a journal needs.
///
/// Changes are durable only once they are synced: the contents of a file after [`sync`](Storage::sync), its
/// name after [`sync_folder`](Storage::sync_folder).
pub trait Storage {
    /// Returns the names of all files.
    fn file_names(&self) -> io::Result<Vec<String>>;
    /// Returns the contents of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it does not exist. After an error, any part of the bytes may
    /// have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes the contents of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, and replaces any file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the names of the files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder that this process has locked. The lock is released when the value is dropped.
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

impl Folder {
    /// Locks a folder, which is created if it does not exist. Returns `None` if another process has locked
    /// it.
    pub fn lock(path: &Path) -> io::Result<Option<Folder>> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => Ok(Some(Folder { path: path.to_owned(), _lock: lock })),
            Err(fs::TryLockError::WouldBlock) => Ok(None),
            Err(fs::TryLockError::Error(e)) => Err(e),
        }
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).create(true).open(self.path.join(name))
    }
}

impl Storage for Folder {
    fn file_names(&self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open(name)?.write_all(bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open(name)?.set_len(length)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open(name)?.sync_all()
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
