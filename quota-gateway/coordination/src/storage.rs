//! The log, the vote and the snapshot on a disk, in an embedded store; and the identity of the folder.
//!
//! One thread writes. What waits for it is written together and shares one sync (group commit). After a write that fails
//! nothing more is written until the next start: what is on the disk then is as after a crash, and is read as such.

use crate::disk::Overlay;
use crate::env::chance;
use crate::raft::{NodeId, Types};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{
    AnyError, BasicNode, CommittedLeaderId, Entry, LogId, Membership, OptionalSend, RaftLogId, RaftLogReader,
    SnapshotMeta, StorageError, StorageIOError, StoredMembership, Vote,
};
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use rand::Rng;
use redb::backends::FileBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::fs::{self, OpenOptions};
use std::io;
use std::ops::RangeBounds;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const VOTE: &str = "vote";
const COMMITTED: &str = "committed";
const PURGED: &str = "purged";
const SNAPSHOT: &str = "snapshot";
const IDENTITY: &str = "identity";
/// What is written together at the most.
const TOGETHER: usize = 1024;
/// Writes that wait at the most; whoever has another one waits until there is room.
const WAITING: usize = 8192;

/// Who a folder is, and of which cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub node: NodeId,
    /// 0: of none yet.
    pub cluster: u64,
    /// The format of what is stored.
    version: u16,
}

/// 2: every record begins with its checksum; 3: an entry holds several commands.
const VERSION: u16 = 3;

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
struct StoredLog {
    entries: BTreeMap<u64, Entry<Types>>,
    purged: Option<LogId<NodeId>>,
    committed: Option<LogId<NodeId>>,
    vote: Option<Vote<NodeId>>,
    snapshot: Option<Stored>,
    identity: Option<Identity>,
}

#[derive(Clone)]
pub struct LogStore {
    state: Arc<Mutex<StoredLog>>,
    writes: Sender<Write>,
    together: Arc<Mutex<Counts>>,
    syncs: Histogram,
}

/// Who writes: a thread of its own, which a sync may hold up; or, on a virtual clock, a task for which a sync takes as long as
/// this says at the time.
#[derive(Clone)]
pub enum Writer {
    Thread,
    Task(Rc<dyn Fn() -> Duration>),
}

/// A record that cannot be read.
struct Damage {
    what: String,
    /// As it was found.
    bytes: Vec<u8>,
}

impl Damage {
    /// One line; with where the record is in the file, if it can be found there.
    fn into_line(self, file: Option<&Path>) -> String {
        let at = file.and_then(|file| offset(&fs::read(file).ok()?, &self.bytes));
        match at {
            Some(at) => format!("{} at byte {at}; nothing was touched", self.what),
            None => format!("{}; nothing was touched", self.what),
        }
    }
}

/// Where these bytes are in a file.
fn offset(file: &[u8], bytes: &[u8]) -> Option<usize> {
    if bytes.is_empty() {
        return None;
    }
    file.windows(bytes.len()).position(|window| window == bytes)
}

/// How much was written, in how many syncs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub writes: u64,
    pub syncs: u64,
}

/// A record: the CRC-32 of what follows, and the value in `postcard`.
fn encode(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut bytes = postcard::to_extend(value, vec![0; 4]).map_err(io::Error::other)?;
    let sum = crc32fast::hash(&bytes[4..]);
    bytes[..4].copy_from_slice(&sum.to_le_bytes());
    Ok(bytes)
}

fn decode<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, Damage> {
    let damage = |why: &str| Damage { what: format!("{what}: {why}"), bytes: bytes.to_vec() };
    let Some((sum, value)) = bytes.split_first_chunk::<4>() else { return Err(damage("is cut off")) };
    if crc32fast::hash(value) != u32::from_le_bytes(*sum) {
        return Err(damage("its checksum is wrong"));
    }
    postcard::from_bytes(value).map_err(|e| damage(&e.to_string()))
}

/// The file of a store in a folder.
const FILE: &str = "log.redb";

impl LogStore {
    /// Opens the store in a folder, or makes it; the error is one line that names the file. What is damaged is found before
    /// anything is written: a store that recovers from a crash writes, so it is looked through in memory first.
    pub fn open(folder: &Path) -> Result<LogStore, String> {
        LogStore::open_as(folder, true, |file| file)
    }

    /// The same on a disk of another kind, which is made of the file's. `group`: writes that wait share a sync; without it
    /// each has its own, which is what the measurement compares with.
    pub fn open_as<B: StorageBackend>(
        folder: &Path,
        group: bool,
        disk: impl FnOnce(FileBackend) -> B,
    ) -> Result<LogStore, String> {
        fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let path = folder.join(FILE);
        let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        if fs::metadata(&path).is_ok_and(|there| there.len() > 0) {
            let overlay = Overlay::open(&path).map_err(|e| named(&e))?;
            let seen = Database::builder().create_with_backend(overlay).map_err(|e| named(&e))?;
            drop(read(&seen).map_err(|damage| named(&damage.into_line(Some(&path))))?);
        }
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
        let backend = FileBackend::new(file.map_err(|e| named(&e))?).map_err(|e| named(&e))?;
        let database = Database::builder().create_with_backend(disk(backend)).map_err(|e| named(&e))?;
        LogStore::of(database, group, Writer::Thread).map_err(|e| named(&e))
    }

    /// The same on any disk; opened within a runtime where a task writes.
    pub fn on(backend: impl StorageBackend, group: bool, writer: Writer) -> Result<LogStore, String> {
        let database = Database::builder().create_with_backend(backend).map_err(|e| e.to_string())?;
        LogStore::of(database, group, writer)
    }

    fn of(database: Database, group: bool, writer: Writer) -> Result<LogStore, String> {
        let mut held = read(&database).map_err(|damage| damage.into_line(None))?;
        let identity = match held.identity {
            Some(identity) if identity.version != VERSION => {
                return Err(format!("its version is {}, this program reads {VERSION}", identity.version));
            }
            Some(identity) => identity,
            None => {
                let node = chance(|rng| rng.random::<u64>()) | 1;
                let identity = Identity { node, cluster: 0, version: VERSION };
                let (done, _) = oneshot::channel();
                let write = Write::Meta(IDENTITY, encode(&identity).map_err(|e| e.to_string())?, done);
                write_together(&database, &[write]).map_err(|e| e.to_string())?;
                identity
            }
        };
        held.identity = Some(identity);
        let (writes, mut queue) = channel(WAITING);
        let syncs = Histogram::new(exponential_buckets(1e-5, 2.0, 20));
        let mut log = Log {
            database,
            most: if group { TOGETHER } else { 1 },
            counts: Arc::default(),
            syncs: syncs.clone(),
        };
        let together = log.counts.clone();
        // Either ends with its last sender, or with a write that fails.
        match writer {
            Writer::Thread => {
                let write_all = move || {
                    while let Some(first) = queue.blocking_recv() {
                        let all = log.gather(first, &mut queue);
                        let written = log.write(&all);
                        if !acknowledge(all, written) {
                            return;
                        }
                    }
                };
                let thread = std::thread::Builder::new().name("log".to_owned());
                drop(thread.spawn(write_all).map_err(|e| e.to_string())?);
            }
            Writer::Task(takes) => drop(spawn_local(async move {
                while let Some(first) = queue.recv().await {
                    let all = log.gather(first, &mut queue);
                    let written = log.write(&all);
                    tokio::time::sleep(takes()).await;
                    if !acknowledge(all, written) {
                        return;
                    }
                }
            })),
        }
        Ok(LogStore { state: Arc::new(Mutex::new(held)), writes, together, syncs })
    }

    /// Nobody panics while holding it, so it is never poisoned; if somebody did, what is held is whole all the same.
    fn state(&self) -> MutexGuard<'_, StoredLog> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn identity(&self) -> Identity {
        self.state().identity.unwrap_or(Identity { node: 0, cluster: 0, version: VERSION })
    }

    /// This folder is of a cluster from now on.
    pub async fn join(&self, cluster: u64) -> io::Result<()> {
        let identity = Identity { cluster, ..self.identity() };
        self.keep(IDENTITY, &identity).await?;
        self.state().identity = Some(identity);
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
        let identity = Identity { cluster: chance(|rng| rng.random::<u64>()) | 1, ..self.identity() };
        self.keep_now(IDENTITY, &identity)?;
        self.state().identity = Some(identity);
        Ok(())
    }

    pub fn counts(&self) -> Counts {
        *self.together.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn snapshot(&self) -> Result<Option<Stored>, String> {
        Ok(self.state().snapshot.clone())
    }

    pub async fn keep_snapshot(&self, stored: Stored) -> io::Result<()> {
        self.keep(SNAPSHOT, &stored).await?;
        self.state().snapshot = Some(stored);
        Ok(())
    }

    /// How long each sync took, in seconds.
    pub fn sync_times(&self) -> Histogram {
        self.syncs.clone()
    }

    /// Writes, and waits until it is synced.
    async fn keep(&self, name: &'static str, value: &impl Serialize) -> io::Result<()> {
        let (done, waits) = oneshot::channel();
        self.write(Write::Meta(name, encode(value)?, done)).await?;
        waits.await.map_err(|_| broken())?
    }

    /// The same before there is a runtime.
    fn keep_now(&self, name: &'static str, value: &impl Serialize) -> Result<(), String> {
        let (done, waits) = oneshot::channel();
        let bytes = encode(value).map_err(|e| e.to_string())?;
        self.writes.blocking_send(Write::Meta(name, bytes, done)).map_err(|_| broken().to_string())?;
        match waits.blocking_recv() {
            Ok(written) => written.map_err(|e| e.to_string()),
            Err(_) => Err(broken().to_string()),
        }
    }

    async fn write(&self, write: Write) -> io::Result<()> {
        self.writes.send(write).await.map_err(|_| broken())
    }
}

fn broken() -> io::Error {
    io::Error::other("a write failed before; nothing is written until the next start")
}

/// All that a store holds. Entries must be consecutive: a hole is damage, and nothing is touched then.
fn read(database: &Database) -> Result<StoredLog, Damage> {
    fn store(e: impl std::fmt::Display) -> Damage {
        Damage { what: e.to_string(), bytes: Vec::new() }
    }
    let setup = database.begin_write().map_err(store)?;
    setup.open_table(LOG).map_err(store)?;
    setup.open_table(META).map_err(store)?;
    setup.commit().map_err(store)?;
    let reading = database.begin_read().map_err(store)?;
    let meta = reading.open_table(META).map_err(store)?;
    fn read_entry<T: DeserializeOwned>(
        meta: &impl ReadableTable<&'static str, &'static [u8]>,
        name: &'static str,
    ) -> Result<Option<T>, Damage> {
        let value = meta.get(name).map_err(store)?;
        value.map(|value| decode(name, value.value())).transpose()
    }
    let mut held = StoredLog {
        entries: BTreeMap::new(),
        purged: read_entry(&meta, PURGED)?,
        committed: read_entry(&meta, COMMITTED)?,
        vote: read_entry(&meta, VOTE)?,
        snapshot: read_entry(&meta, SNAPSHOT)?,
        identity: read_entry(&meta, IDENTITY)?,
    };
    let log = reading.open_table(LOG).map_err(store)?;
    let first = held.purged.map_or(0, |purged: LogId<NodeId>| purged.index + 1);
    for (expected, entry) in (first..).zip(log.iter().map_err(store)?) {
        let (index, bytes) = entry.map_err(store)?;
        let index = index.value();
        if index != expected {
            return Err(store(format!("entry {expected} is missing before entry {index}")));
        }
        held.entries.insert(index, decode(&format!("entry {index}"), bytes.value())?);
    }
    Ok(held)
}

/// The store as whoever writes has it.
struct Log {
    database: Database,
    most: usize,
    counts: Arc<Mutex<Counts>>,
    syncs: Histogram,
}

impl Log {
    /// As much as waits at once.
    fn gather(&self, first: Write, queue: &mut Receiver<Write>) -> Vec<Write> {
        let mut all = vec![first];
        while all.len() < self.most {
            match queue.try_recv() {
                Ok(next) => all.push(next),
                Err(_) => break,
            }
        }
        all
    }

    fn write(&mut self, all: &[Write]) -> Result<(), String> {
        let begun = Instant::now();
        let written = write_together(&self.database, all).map_err(|e| e.to_string());
        self.syncs.observe(begun.elapsed().as_secs_f64());
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.writes += all.len() as u64;
        counts.syncs += 1;
        written
    }
}

/// Tells those that wait; false: nothing more may be written.
fn acknowledge(all: Vec<Write>, written: Result<(), String>) -> bool {
    for write in all {
        let result = written.clone().map_err(io::Error::other);
        match write {
            Write::Append(_, _, flushed) => flushed.log_io_completed(result),
            // Whoever waited may have gone.
            Write::Meta(_, _, done) => drop(done.send(result)),
            Write::Truncate(_) | Write::Purge(..) => {}
        }
    }
    written.is_ok()
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
        Ok(self.state().entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<Types> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<NodeId>> {
        let held = self.state();
        let last = held.entries.last_key_value().map(|(_, entry)| *entry.get_log_id());
        Ok(LogState { last_purged_log_id: held.purged, last_log_id: last.or(held.purged) })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), StorageError<NodeId>> {
        self.keep(VOTE, vote).await.map_err(|e| StorageIOError::write_vote(AnyError::error(e)))?;
        self.state().vote = Some(*vote);
        Ok(())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, StorageError<NodeId>> {
        Ok(self.state().vote)
    }

    /// Written with the next entries: an older one only means that less is applied before a leader is heard of.
    async fn save_committed(&mut self, committed: Option<LogId<NodeId>>) -> Result<(), StorageError<NodeId>> {
        self.state().committed = committed;
        Ok(())
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<NodeId>>, StorageError<NodeId>> {
        Ok(self.state().committed)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError<NodeId>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut bytes = Vec::new();
        let committed = {
            let mut held = self.state();
            for entry in entries {
                let index = entry.get_log_id().index;
                bytes.push((index, encode(&entry).map_err(write_error)?));
                held.entries.insert(index, entry);
            }
            held.committed.map(|committed| encode(&committed)).transpose().map_err(write_error)?
        };
        self.write(Write::Append(bytes, committed, callback)).await.map_err(write_error)
    }

    async fn truncate(&mut self, from: LogId<NodeId>) -> Result<(), StorageError<NodeId>> {
        self.state().entries.retain(|index, _| *index < from.index);
        self.write(Write::Truncate(from.index)).await.map_err(write_error)
    }

    async fn purge(&mut self, upto: LogId<NodeId>) -> Result<(), StorageError<NodeId>> {
        {
            let mut held = self.state();
            held.entries.retain(|index, _| *index > upto.index);
            held.purged = Some(upto);
        }
        let bytes = encode(&upto).map_err(write_error)?;
        self.write(Write::Purge(upto.index, bytes)).await.map_err(write_error)
    }
}
