//! Simulation of a slow or failing disk.

use redb::backends::FileBackend;
use redb::StorageBackend;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// A file whose syncs are delayed, or fail after a number of syncs. For fault tests only.
#[derive(Debug)]
pub struct FaultyFile {
    file: FileBackend,
    sync_delay: Duration,
    fails_after: Option<u64>,
    syncs: AtomicU64,
}

impl FaultyFile {
    /// Wraps a file. Each sync takes longer by `sync_delay`, and syncs fail after `fails_after` of them.
    pub fn new(file: FileBackend, sync_delay: Duration, fails_after: Option<u64>) -> FaultyFile {
        FaultyFile { file, sync_delay, fails_after, syncs: AtomicU64::new(0) }
    }
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        let before = self.syncs.fetch_add(1, Ordering::Relaxed);
        if self.fails_after.is_some_and(|max_syncs| before >= max_syncs) {
            return Err(io::Error::other("injected disk fault: the sync failed"));
        }
        // Blocking is fine: this runs on the log's own thread, or before the process serves requests.
        thread::sleep(self.sync_delay);
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.file.close()
    }
}
