//! The contents of a store, in memory and in the tables of its database.

use super::record::{decode, Damage};
use super::writer::Write;
use crate::raft_types::{NodeId, Types};
use openraft::{BasicNode, Entry, LogId, SnapshotMeta, Vote};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
/// Names of the records that are stored in addition to the log entries.
pub(super) const VOTE: &str = "vote";
pub(super) const COMMITTED: &str = "committed";
pub(super) const PURGED: &str = "purged";
pub(super) const SNAPSHOT: &str = "snapshot";
pub(super) const IDENTITY: &str = "identity";

/// The identity of a data folder, and its cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The process that runs on the folder. The number is drawn at random when the folder is created.
    pub node: NodeId,
    /// The cluster that the process belongs to, or 0 if it belongs to none yet.
    pub cluster: u64,
    /// The version of the storage format.
    pub(super) version: u16,
}

/// A snapshot as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// The last log entry and the membership that the snapshot covers.
    pub meta: SnapshotMeta<NodeId, BasicNode>,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// The contents that are kept in memory: everything except purged entries.
#[derive(Default)]
pub(super) struct Contents {
    pub(super) entries: BTreeMap<u64, Entry<Types>>,
    pub(super) purged: Option<LogId<NodeId>>,
    pub(super) committed: Option<LogId<NodeId>>,
    pub(super) vote: Option<Vote<NodeId>>,
    pub(super) snapshot: Option<StoredSnapshot>,
    pub(super) identity: Option<Identity>,
}

impl Contents {
    /// Reads a database. The indexes of the entries must be consecutive; a gap is reported as damage.
    pub(super) fn read(database: &Database) -> Result<Contents, Damage> {
        create_tables(database).map_err(Damage::of_store)?;
        let transaction = database.begin_read().map_err(Damage::of_store)?;
        let meta = transaction.open_table(META).map_err(Damage::of_store)?;
        let mut contents = Contents {
            entries: BTreeMap::new(),
            purged: read_record(&meta, PURGED)?,
            committed: read_record(&meta, COMMITTED)?,
            vote: read_record(&meta, VOTE)?,
            snapshot: read_record(&meta, SNAPSHOT)?,
            identity: read_record(&meta, IDENTITY)?,
        };
        let log = transaction.open_table(LOG).map_err(Damage::of_store)?;
        let first = contents.purged.map_or(0, |purged: LogId<NodeId>| purged.index + 1);
        for (expected, entry) in (first..).zip(log.iter().map_err(Damage::of_store)?) {
            let (index, bytes) = entry.map_err(Damage::of_store)?;
            let index = index.value();
            if index != expected {
                return Err(Damage::of_store(format!("entry {expected} is missing before entry {index}")));
            }
            contents.entries.insert(index, decode(&format!("entry {index}"), bytes.value())?);
        }
        Ok(contents)
    }
}

fn create_tables(database: &Database) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    transaction.open_table(LOG)?;
    transaction.open_table(META)?;
    Ok(transaction.commit()?)
}

fn read_record<T: DeserializeOwned>(
    meta: &impl ReadableTable<&'static str, &'static [u8]>,
    name: &'static str,
) -> Result<Option<T>, Damage> {
    let value = meta.get(name).map_err(Damage::of_store)?;
    value.map(|value| decode(name, value.value())).transpose()
}

/// Applies writes in one transaction, which is durable when this returns.
pub(super) fn write_batch(database: &Database, writes: &[Write]) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut log = transaction.open_table(LOG)?;
        let mut meta = transaction.open_table(META)?;
        for write in writes {
            match write {
                Write::Append { entries, committed, .. } => {
                    for (index, bytes) in entries {
                        log.insert(index, bytes.as_slice())?;
                    }
                    if let Some(committed) = committed {
                        meta.insert(COMMITTED, committed.as_slice())?;
                    }
                }
                Write::Truncate { from } => log.retain(|index, _| index < *from)?,
                Write::Purge { up_to, record } => {
                    log.retain(|index, _| index > *up_to)?;
                    meta.insert(PURGED, record.as_slice())?;
                }
                Write::Meta { name, record, .. } => drop(meta.insert(*name, record.as_slice())?),
            }
        }
    }
    Ok(transaction.commit()?)
}
