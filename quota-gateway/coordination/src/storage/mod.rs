//! Storage of the log, the vote, the snapshot and the identity of the data folder, in an embedded database on
//! a disk.
//!
//! - `contents`: the contents of a store, in memory and in its database.
//! - `writer`: group commit.
//! - `raft_log`: the storage interface of the consensus crate.
//! - `record`: the encoding of a record.

mod contents;
mod error;
mod raft_log;
mod record;
mod writer;

pub use contents::{Identity, StoredSnapshot};
pub use error::StoreError;
pub use writer::{Counts, Writer};

use crate::disk::Overlay;
use crate::env::with_rng;
use contents::{write_batch, Contents, COMMITTED, IDENTITY, PURGED, SNAPSHOT};
use error::database;
use openraft::{BasicNode, CommittedLeaderId, LogId, Membership, SnapshotMeta, StoredMembership};
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use rand::Rng;
use record::encode;
use redb::backends::FileBackend;
use redb::{Database, StorageBackend};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use writer::{Write, WriteQueue};

/// The version of the storage format. Version 2: every record begins with its checksum. Version 3: an entry
/// holds several commands.
const VERSION: u16 = 3;
/// The name of the store's file in the data folder.
const FILE_NAME: &str = "log.redb";

/// The store of one process. Clones share the same store.
#[derive(Clone)]
pub struct LogStore {
    contents: Arc<Mutex<Contents>>,
    writes: WriteQueue,
    sync_times: Histogram,
}

/// Returns whether a folder contains a store.
pub fn exists_in(folder: &Path) -> bool {
    folder.join(FILE_NAME).exists()
}

impl LogStore {
    /// Opens the store in a folder, or creates it. Damage is detected before anything is written: the
    /// database writes to its file when it recovers from a crash, so the file is first checked in memory.
    ///
    /// # Errors
    ///
    /// The store cannot be read or written, is damaged, or has another version. The error names the file.
    pub fn open(folder: &Path) -> Result<LogStore, StoreError> {
        LogStore::open_with_wrapper(folder, true, |file| file)
    }

    /// Opens the store on a backend that `wrap` creates from the file's backend. Without `group_commit`, each
    /// write has its own sync, which is the baseline for benchmarks of group commit.
    ///
    /// # Errors
    ///
    /// As for [`LogStore::open`].
    pub fn open_with_wrapper<B: StorageBackend>(
        folder: &Path,
        group_commit: bool,
        wrap: impl FnOnce(FileBackend) -> B,
    ) -> Result<LogStore, StoreError> {
        fs::create_dir_all(folder).map_err(|error| StoreError::File(folder.to_owned(), error))?;
        let path = folder.join(FILE_NAME);
        let with_path = |error: StoreError| error.in_file(path.clone());
        if fs::metadata(&path).is_ok_and(|file| file.len() > 0) {
            check_undamaged(&path).map_err(with_path)?;
        }
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
        let file = file.map_err(|error| StoreError::File(path.clone(), error))?;
        let backend = FileBackend::new(file).map_err(|error| with_path(database(error)))?;
        let opened = Database::builder().create_with_backend(wrap(backend));
        let opened = opened.map_err(|error| with_path(database(error)))?;
        LogStore::from_database(opened, group_commit, Writer::Thread).map_err(with_path)
    }

    /// Opens a store on any storage backend. With [`Writer::Task`], this must be called within a runtime.
    ///
    /// # Errors
    ///
    /// As for [`LogStore::open`].
    pub fn open_on_backend(
        backend: impl StorageBackend,
        group_commit: bool,
        writer: Writer,
    ) -> Result<LogStore, StoreError> {
        let opened = Database::builder().create_with_backend(backend).map_err(database)?;
        LogStore::from_database(opened, group_commit, writer)
    }

    fn from_database(opened: Database, group_commit: bool, writer: Writer) -> Result<LogStore, StoreError> {
        let mut contents = Contents::read(&opened).map_err(|damage| damage.into_error(None))?;
        let identity = match contents.identity {
            Some(identity) if identity.version != VERSION => {
                return Err(StoreError::Version(identity.version, VERSION));
            }
            Some(identity) => identity,
            None => create_identity(&opened)?,
        };
        contents.identity = Some(identity);
        let sync_times = Histogram::new(exponential_buckets(1e-5, 2.0, 20));
        let writes = WriteQueue::start(opened, group_commit, writer, sync_times.clone())?;
        Ok(LogStore { contents: Arc::new(Mutex::new(contents)), writes, sync_times })
    }

    /// Locks the contents. No code panics while it holds the lock, so the lock is never poisoned. Even after
    /// a panic, the contents would be consistent.
    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the identity of the data folder.
    pub fn identity(&self) -> Identity {
        self.contents().identity.unwrap_or(Identity { node: 0, cluster: 0, version: VERSION })
    }

    /// Assigns the data folder to a cluster.
    ///
    /// # Errors
    ///
    /// Returns the store's error. Despite the error, the folder may belong to the cluster after the next
    /// start.
    pub async fn join(&self, cluster: u64) -> io::Result<()> {
        let identity = Identity { cluster, ..self.identity() };
        self.write_record(IDENTITY, &identity).await?;
        self.contents().identity = Some(identity);
        Ok(())
    }

    /// Initializes a new data folder from a state, as a new cluster whose only member is this process. Must
    /// be called outside a runtime, because it blocks.
    ///
    /// # Errors
    ///
    /// Returns the store's error. The folder then belongs to no cluster.
    pub fn restore_from(&self, state: Vec<u8>, address: &str) -> Result<(), StoreError> {
        let node = self.identity().node;
        let last = LogId::new(CommittedLeaderId::new(1, node), 1);
        let members = BTreeMap::from([(node, BasicNode::new(address))]);
        let membership = Membership::new(vec![BTreeSet::from([node])], members);
        let meta = SnapshotMeta {
            last_log_id: Some(last),
            last_membership: StoredMembership::new(Some(last), membership),
            snapshot_id: "restored".to_owned(),
        };
        self.write_record_blocking(SNAPSHOT, &StoredSnapshot { meta, state })?;
        self.write_record_blocking(PURGED, &last)?;
        self.write_record_blocking(COMMITTED, &last)?;
        // The identity is written last, so that an incompletely written folder belongs to no cluster.
        let identity = Identity { cluster: with_rng(|rng| rng.random::<u64>()) | 1, ..self.identity() };
        self.write_record_blocking(IDENTITY, &identity)?;
        self.contents().identity = Some(identity);
        Ok(())
    }

    /// Returns the number of writes and syncs since the start.
    pub fn counts(&self) -> Counts {
        self.writes.counts()
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Option<StoredSnapshot> {
        self.contents().snapshot.clone()
    }

    /// Replaces the snapshot. The new one is durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn write_snapshot(&self, stored: StoredSnapshot) -> io::Result<()> {
        self.write_record(SNAPSHOT, &stored).await?;
        self.contents().snapshot = Some(stored);
        Ok(())
    }

    /// Returns the histogram of the durations of writes with their sync, in seconds.
    pub fn sync_times(&self) -> Histogram {
        self.sync_times.clone()
    }

    async fn write_record(&self, name: &'static str, value: &impl Serialize) -> io::Result<()> {
        self.writes.write_record(name, encode(value)?).await
    }

    fn write_record_blocking(&self, name: &'static str, value: &impl Serialize) -> io::Result<()> {
        self.writes.write_record_blocking(name, encode(value)?)
    }
}

/// Reads the database in a file as it would be after crash recovery, without writing to the file.
fn check_undamaged(path: &Path) -> Result<(), StoreError> {
    let overlay = Overlay::open(path)?;
    let recovered = Database::builder().create_with_backend(overlay).map_err(database)?;
    Contents::read(&recovered).map_err(|damage| damage.into_error(Some(path)))?;
    Ok(())
}

/// Draws the identity of a new data folder, and stores it.
fn create_identity(opened: &Database) -> Result<Identity, StoreError> {
    let node = with_rng(|rng| rng.random::<u64>()) | 1;
    let identity = Identity { node, cluster: 0, version: VERSION };
    let (done, _) = oneshot::channel();
    let write = Write::Meta { name: IDENTITY, record: encode(&identity)?, done };
    write_batch(opened, &[write]).map_err(database)?;
    Ok(identity)
}
