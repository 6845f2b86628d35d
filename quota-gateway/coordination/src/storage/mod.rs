//! The log, the vote and the snapshot on a disk, in an embedded database; and the identity of the folder.
//!
//! - `contents`: what a store contains, in memory and in its database.
//! - `writer`: group commit.
//! - `raft_log`: the consensus crate's view of it.
//! - `record`: the encoding of a record.

mod contents;
mod error;
mod raft_log;
mod record;
mod writer;

pub use contents::{Identity, Stored};
pub use error::StoreError;
pub use writer::{Counts, Writer};

use crate::disk::Overlay;
use crate::env::chance;
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

/// The version of the format. 2: every record begins with its checksum; 3: an entry holds several commands.
const VERSION: u16 = 3;
/// The file of a store in its folder.
const FILE_NAME: &str = "log.redb";

/// The store of one process; clones share it.
#[derive(Clone)]
pub struct LogStore {
    contents: Arc<Mutex<Contents>>,
    writes: WriteQueue,
    sync_times: Histogram,
}

/// Whether a folder holds a store.
pub fn exists_in(folder: &Path) -> bool {
    folder.join(FILE_NAME).exists()
}

impl LogStore {
    /// Opens the store in a folder, or creates it. Damage is found before anything is written: a database that recovers from a
    /// crash writes, so it is examined in memory first.
    ///
    /// # Errors
    ///
    /// The store cannot be read or written, is damaged, or is of another version. The error names the file.
    pub fn open(folder: &Path) -> Result<LogStore, StoreError> {
        LogStore::open_on(folder, true, |file| file)
    }

    /// Opens the store on a disk of another kind, which `disk` makes of the file's. Without `group_commit` each write has its
    /// own sync, to measure what sharing them gains.
    ///
    /// # Errors
    ///
    /// As for [`LogStore::open`].
    pub fn open_on<B: StorageBackend>(
        folder: &Path,
        group_commit: bool,
        disk: impl FnOnce(FileBackend) -> B,
    ) -> Result<LogStore, StoreError> {
        fs::create_dir_all(folder).map_err(|error| StoreError::File(folder.to_owned(), error))?;
        let path = folder.join(FILE_NAME);
        let named = |error: StoreError| error.in_file(path.clone());
        if fs::metadata(&path).is_ok_and(|file| file.len() > 0) {
            check_undamaged(&path).map_err(named)?;
        }
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
        let file = file.map_err(|error| StoreError::File(path.clone(), error))?;
        let backend = FileBackend::new(file).map_err(|error| named(database(error)))?;
        let opened = Database::builder().create_with_backend(disk(backend));
        let opened = opened.map_err(|error| named(database(error)))?;
        LogStore::from_database(opened, group_commit, Writer::Thread).map_err(named)
    }

    /// Opens a store on any disk. Within a runtime where a task writes.
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

    /// Nobody panics while holding the lock, so it is never poisoned; if somebody did, what is there is consistent all the same.
    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the identity of the folder.
    pub fn identity(&self) -> Identity {
        self.contents().identity.unwrap_or(Identity { node: 0, cluster: 0, version: VERSION })
    }

    /// Makes the folder belong to a cluster from now on.
    ///
    /// # Errors
    ///
    /// Returns the store's error; the folder may belong to the cluster all the same after the next start.
    pub async fn join(&self, cluster: u64) -> io::Result<()> {
        let identity = Identity { cluster, ..self.identity() };
        self.write_record(IDENTITY, &identity).await?;
        self.contents().identity = Some(identity);
        Ok(())
    }

    /// Makes a new folder begin with a state, as the complete history of a cluster of which it is the only member. There must
    /// be no runtime.
    ///
    /// # Errors
    ///
    /// Returns the store's error; the folder belongs to no cluster then.
    pub fn begin_from(&self, state: Vec<u8>, address: &str) -> Result<(), StoreError> {
        let node = self.identity().node;
        let last = LogId::new(CommittedLeaderId::new(1, node), 1);
        let members = BTreeMap::from([(node, BasicNode::new(address))]);
        let membership = Membership::new(vec![BTreeSet::from([node])], members);
        let meta = SnapshotMeta {
            last_log_id: Some(last),
            last_membership: StoredMembership::new(Some(last), membership),
            snapshot_id: "restored".to_owned(),
        };
        self.write_record_blocking(SNAPSHOT, &Stored { meta, state })?;
        self.write_record_blocking(PURGED, &last)?;
        self.write_record_blocking(COMMITTED, &last)?;
        // Last: a folder that was not finished belongs to no cluster.
        let identity = Identity { cluster: chance(|rng| rng.random::<u64>()) | 1, ..self.identity() };
        self.write_record_blocking(IDENTITY, &identity)?;
        self.contents().identity = Some(identity);
        Ok(())
    }

    /// Returns how much was written since the start.
    pub fn counts(&self) -> Counts {
        self.writes.counts()
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Option<Stored> {
        self.contents().snapshot.clone()
    }

    /// Replaces the snapshot, which is durable on return.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn write_snapshot(&self, stored: Stored) -> io::Result<()> {
        self.write_record(SNAPSHOT, &stored).await?;
        self.contents().snapshot = Some(stored);
        Ok(())
    }

    /// Returns how long each sync took, in seconds.
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

/// Reads a file as the database would be after a recovery, without writing to it.
fn check_undamaged(path: &Path) -> Result<(), StoreError> {
    let overlay = Overlay::open(path)?;
    let recovered = Database::builder().create_with_backend(overlay).map_err(database)?;
    Contents::read(&recovered).map_err(|damage| damage.into_error(Some(path)))?;
    Ok(())
}

/// Draws the identity of a new folder, and stores it.
fn create_identity(opened: &Database) -> Result<Identity, StoreError> {
    let node = chance(|rng| rng.random::<u64>()) | 1;
    let identity = Identity { node, cluster: 0, version: VERSION };
    let (done, _) = oneshot::channel();
    let write = Write::Meta { name: IDENTITY, record: encode(&identity)?, done };
    write_batch(opened, &[write]).map_err(database)?;
    Ok(identity)
}
