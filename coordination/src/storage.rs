//! The log, the vote and the snapshot on a disk, in an embedded store; and the identity of the folder.
//!
//! One thread writes. What waits for it is written together and shares one sync (group commit). After a write that fails
//! nothing more is written until the next start: what is on the disk then is as after a crash, and is read as such.

use crate::raft::{NodeId, Types};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{
    AnyError, BasicNode, CommittedLeaderId, Entry, LogId, Membership, OptionalSend, RaftLogId, RaftLogReader,
    SnapshotMeta, StorageError, StorageIOError, StoredMembership, Vote,
};
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::io;
use std::ops::RangeBounds;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const SNAPSHOT: &str = "snapshot";
const IDENTITY: &str = "identity";
/// What is written together at the most.
const TOGETHER: usize = 1024;

/// Who a folder is, and of which cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub node: NodeId,
    /// 0: of none yet.
    pub cluster: u64,
    /// The format of what is stored.
    version: u16,
}

const VERSION: u16 = 1;

/// A snapshot as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    pub meta: SnapshotMeta<NodeId, BasicNode>,
    pub state: Vec<u8>,
}

/// One change of the store, and who waits for it.
enum Write {
    /// Entries, and how far the log is known to be committed: that costs no sync of its own.
    Append(Vec<(u64, Vec<u8>)>, Option<Vec<u8>>, LogFlushed<Types>),
    Truncate(u64),
    Purge(u64, Vec<u8>),
    Meta(&'static str, Vec<u8>, oneshot::Sender<io::Result<()>>),
}

/// What is in memory: all entries that are not purged.
#[derive(Default)]
struct Held {
    entries: BTreeMap<u64, Entry<Types>>,
    purged: Option<LogId<NodeId>>,
    committed: Option<LogId<NodeId>>,
    vote: Option<Vote<NodeId>>,
    snapshot: Option<Stored>,
    identity: Option<Identity>,
}

#[derive(Clone)]
pub struct LogStore {
    held: Arc<Mutex<Held>>,
    writes: Sender<Write>,
    together: Arc<Mutex<Counts>>,
}

/// How much was written, in how many syncs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub writes: u64,
    pub syncs: u64,
}

fn encode(value: &impl Serialize) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(io::Error::other)
}

fn decode<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|e| format!("{what} cannot be read: {e}"))
}

impl LogStore {
    /// Opens the store in a folder, or makes it; the error is one line that names the file.
    pub fn open(folder: &Path) -> Result<LogStore, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let path = folder.join("log.redb");
        let database = Database::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        LogStore::of(database, true).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// The same on another backend. `group`: writes that wait share a sync; without it each has its own, which is what the
    /// measurement compares with.
    pub fn on(backend: impl StorageBackend, group: bool) -> Result<LogStore, String> {
        let database = Database::builder().create_with_backend(backend).map_err(|e| e.to_string())?;
        LogStore::of(database, group)
    }

    fn of(database: Database, group: bool) -> Result<LogStore, String> {
        let mut held = read(&database)?;
        let fresh = held.identity.is_none();
        let identity = held.identity.unwrap_or(Identity {
            node: rand::random::<u64>() | 1,
            cluster: 0,
            version: VERSION,
        });
        if identity.version != VERSION {
            return Err(format!("its version is {}, this program reads {VERSION}", identity.version));
        }
        held.identity = Some(identity);
        let (writes, queue) = std::sync::mpsc::channel();
        let together = Arc::<Mutex<Counts>>::default();
        let counts = together.clone();
        let most = if group { TOGETHER } else { 1 };
        // It ends with its last sender.
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&database, &queue, most, &counts))
            .map_err(|e| e.to_string())?;
        let store = LogStore { held: Arc::new(Mutex::new(held)), writes, together };
        if fresh {
            store.keep_now(IDENTITY, &identity)?;
        }
        Ok(store)
    }

    /// Nobody panics while holding it, so it is never poisoned; if somebody did, what is held is whole all the same.
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn identity(&self) -> Identity {
        self.held().identity.unwrap_or(Identity { node: 0, cluster: 0, version: VERSION })
    }

    /// This folder is of a cluster from now on.
    pub async fn join(&self, cluster: u64) -> io::Result<()> {
        let identity = Identity { cluster, ..self.identity() };
        self.keep(IDENTITY, &identity).await?;
        self.held().identity = Some(identity);
        Ok(())
    }

    /// A new folder begins with a state, as the whole history of a cluster that it alone is. The error is one line.
    pub fn begin_from(&self, state: Vec<u8>, addr: &str) -> Result<(), String> {
        let node = self.identity().node;
        let last = LogId::new(CommittedLeaderId::new(1, node), 1);
        let members = BTreeMap::from([(node, BasicNode::new(addr))]);
        let membership = Membership::new(vec![BTreeSet::from([node])], members);
        let meta = SnapshotMeta {
            last_log_id: Some(last),
            last_membership: StoredMembership::new(Some(last), membership),
            snapshot_id: "restored".to_owned(),
        };
        self.keep_now(SNAPSHOT, &Stored { meta, state })?;
        self.keep_now(PURGED, &last)?;
        self.keep_now(COMMITTED, &last)?;
        // Last: a folder that was not finished is of no cluster.
        let identity = Identity { cluster: rand::random::<u64>() | 1, ..self.identity() };
        self.keep_now(IDENTITY, &identity)?;
        self.held().identity = Some(identity);
        Ok(())
    }

    pub fn counts(&self) -> Counts {
        *self.together.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn snapshot(&self) -> Result<Option<Stored>, String> {
        Ok(self.held().snapshot.clone())
    }

    pub async fn keep_snapshot(&self, stored: Stored) -> io::Result<()> {
        self.keep(SNAPSHOT, &stored).await?;
        self.held().snapshot = Some(stored);
        Ok(())
    }

    /// Writes, and waits until it is synced.
    async fn keep(&self, name: &'static str, value: &impl Serialize) -> io::Result<()> {
        let (done, waits) = oneshot::channel();
        self.write(Write::Meta(name, encode(value)?, done))?;
        waits.await.map_err(|_| broken())?
    }

    /// The same before there is a runtime.
    fn keep_now(&self, name: &'static str, value: &impl Serialize) -> Result<(), String> {
        let (done, waits) = oneshot::channel();
        let written = encode(value).and_then(|bytes| self.write(Write::Meta(name, bytes, done)));
        written.map_err(|e| e.to_string())?;
        match waits.blocking_recv() {
            Ok(written) => written.map_err(|e| e.to_string()),
            Err(_) => Err(broken().to_string()),
        }
    }

    fn write(&self, write: Write) -> io::Result<()> {
        self.writes.send(write).map_err(|_| broken())
    }
}

fn broken() -> io::Error {
    io::Error::other("a write failed before; nothing is written until the next start")
}

/// All that a store holds. Entries must be consecutive: a hole is damage, and nothing is touched then.
fn read(database: &Database) -> Result<Held, String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let setup = database.begin_write().map_err(|e| text(&e))?;
    setup.open_table(LOG).map_err(|e| text(&e))?;
    setup.open_table(META).map_err(|e| text(&e))?;
    setup.commit().map_err(|e| text(&e))?;
    let reading = database.begin_read().map_err(|e| text(&e))?;
    let meta = reading.open_table(META).map_err(|e| text(&e))?;
    fn part<T: DeserializeOwned>(
        meta: &impl ReadableTable<&'static str, &'static [u8]>,
        name: &'static str,
    ) -> Result<Option<T>, String> {
        let value = meta.get(name).map_err(|e| e.to_string())?;
        value.map(|value| decode(name, value.value())).transpose()
    }
    let mut held = Held {
        entries: BTreeMap::new(),
        purged: part(&meta, PURGED)?,
        committed: part(&meta, COMMITTED)?,
        vote: part(&meta, VOTE)?,
        snapshot: part(&meta, SNAPSHOT)?,
        identity: part(&meta, IDENTITY)?,
    };
    let log = reading.open_table(LOG).map_err(|e| text(&e))?;
    let first = held.purged.map_or(0, |purged: LogId<NodeId>| purged.index + 1);
    for (expected, entry) in (first..).zip(log.iter().map_err(|e| text(&e))?) {
        let (index, bytes) = entry.map_err(|e| text(&e))?;
        let index = index.value();
        if index != expected {
            return Err(format!("entry {expected} is missing before entry {index}"));
        }
        held.entries.insert(index, decode(&format!("entry {index}"), bytes.value())?);
    }
    Ok(held)
}

/// Writes what comes, as much as waits at once, until nobody can send any more or a write fails.
fn write_all(database: &Database, queue: &Receiver<Write>, most: usize, counts: &Mutex<Counts>) {
    while let Ok(first) = queue.recv() {
        let mut all = vec![first];
        all.extend(queue.try_iter().take(most - 1));
        let written = write_together(database, &all).map_err(|e| e.to_string());
        {
            let mut counts = counts.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            counts.writes += all.len() as u64;
            counts.syncs += 1;
        }
        let failed = written.is_err();
        for write in all {
            let result = written.clone().map_err(io::Error::other);
            match write {
                Write::Append(_, _, flushed) => flushed.log_io_completed(result),
                // Whoever waited may have gone.
                Write::Meta(_, _, done) => drop(done.send(result)),
                Write::Truncate(_) | Write::Purge(..) => {}
            }
        }
        if failed {
            return;
        }
    }
}

fn write_together(database: &Database, all: &[Write]) -> Result<(), redb::Error> {
    let writing = database.begin_write()?;
    {
        let mut log = writing.open_table(LOG)?;
        let mut meta = writing.open_table(META)?;
        for write in all {
            match write {
                Write::Append(entries, committed, _) => {
                    for (index, bytes) in entries {
                        log.insert(index, bytes.as_slice())?;
                    }
                    if let Some(committed) = committed {
                        meta.insert(COMMITTED, committed.as_slice())?;
                    }
                }
                Write::Truncate(from) => log.retain(|index, _| index < *from)?,
                Write::Purge(upto, purged) => {
                    log.retain(|index, _| index > *upto)?;
                    meta.insert(PURGED, purged.as_slice())?;
                }
                Write::Meta(name, bytes, _) => drop(meta.insert(*name, bytes.as_slice())?),
            }
        }
    }
    Ok(writing.commit()?)
}

fn write_error(e: impl std::error::Error + 'static) -> StorageError<NodeId> {
    StorageIOError::write_logs(AnyError::error(e)).into()
}

impl RaftLogReader<Types> for LogStore {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<Types>>, StorageError<NodeId>> {
        Ok(self.held().entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<Types> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<NodeId>> {
        let held = self.held();
        let last = held.entries.last_key_value().map(|(_, entry)| *entry.get_log_id());
        Ok(LogState { last_purged_log_id: held.purged, last_log_id: last.or(held.purged) })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), StorageError<NodeId>> {
        self.keep(VOTE, vote).await.map_err(|e| StorageIOError::write_vote(AnyError::error(e)))?;
        self.held().vote = Some(*vote);
        Ok(())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, StorageError<NodeId>> {
        Ok(self.held().vote)
    }

    /// Written with the next entries: an older one only means that less is applied before a leader is heard of.
    async fn save_committed(&mut self, committed: Option<LogId<NodeId>>) -> Result<(), StorageError<NodeId>> {
        self.held().committed = committed;
        Ok(())
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<NodeId>>, StorageError<NodeId>> {
        Ok(self.held().committed)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError<NodeId>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut bytes = Vec::new();
        let committed = {
            let mut held = self.held();
            for entry in entries {
                let index = entry.get_log_id().index;
                bytes.push((index, encode(&entry).map_err(write_error)?));
                held.entries.insert(index, entry);
            }
            held.committed.map(|committed| encode(&committed)).transpose().map_err(write_error)?
        };
        self.write(Write::Append(bytes, committed, callback)).map_err(write_error)
    }

    async fn truncate(&mut self, from: LogId<NodeId>) -> Result<(), StorageError<NodeId>> {
        self.held().entries.retain(|index, _| *index < from.index);
        self.write(Write::Truncate(from.index)).map_err(write_error)
    }

    async fn purge(&mut self, upto: LogId<NodeId>) -> Result<(), StorageError<NodeId>> {
        {
            let mut held = self.held();
            held.entries.retain(|index, _| *index > upto.index);
            held.purged = Some(upto);
        }
        let bytes = encode(&upto).map_err(write_error)?;
        self.write(Write::Purge(upto.index, bytes)).map_err(write_error)
    }
}
