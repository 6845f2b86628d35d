//! The registered servers: entries with leases, their versions, and the history from which watches are
//! answered.
//!
//! The store is sans-I/O. For each command, [`Store::decide`] returns the record of the change, the caller
//! makes the record durable and then passes it to [`Store::apply`]. A failed disk therefore leaves no partial
//! change behind. The caller provides the time: a monotonic clock for leases, and Unix time for versions and
//! the starts of servers.

mod command;
mod history;

pub use command::{Command, Decision, Record, Registration, Rejection};

use crate::format::{Host, HostListRef, State, MAX_LIST_BYTES};
use history::History;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum length of an id, zone or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The minimum duration of a lease.
pub const MIN_LEASE: Duration = Duration::from_secs(1);
/// The maximum duration of a lease.
pub const MAX_LEASE: Duration = Duration::from_secs(3600);
/// At its creation and at each start or promotion of a writer, a store's version advances at least to the
/// Unix time in milliseconds times this factor. The versions of two stores, or those before and after a
/// restore from a backup, therefore do not overlap. They stay below 2^53, up to which every JSON reader
/// represents integers exactly.
const VERSIONS_PER_MS: u64 = 1 << 10;
/// An upper bound of the length of a list without its entries, in bytes.
const LIST_OVERHEAD_BYTES: usize = 128;

/// A reading of the caller's monotonic clock, as the time since an arbitrary origin.
pub type Now = Duration;

struct StoredEntry {
    host: Host,
    /// The version of its last change.
    revision: u64,
    lease: Option<Duration>,
    expires_at: Option<Now>,
}

impl StoredEntry {
    fn is_live(&self, now: Now) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }

    fn lease_ms(&self) -> Option<u64> {
        self.lease.map(as_millis)
    }

    fn conflict(&self) -> Rejection {
        Rejection::Conflict { revision: self.revision }
    }
}

/// An entry with details for operators that the list does not contain.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntryDetails<'a> {
    /// The entry as the list contains it.
    #[serde(flatten)]
    pub host: &'a Host,
    /// The version of its last change.
    pub revision: u64,
    /// The time until its lease expires, in milliseconds; `None` if it has no lease.
    pub lease_left_ms: Option<u64>,
}

/// The full state of a store, as it is written to snapshots and sent to replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    version: u64,
    origin: u64,
    epoch: u64,
    promoted: bool,
    floor: u64,
    /// The entry, its revision and its lease in milliseconds. A tuple, since it is stored as a JSON array.
    entries: Vec<(Host, u64, Option<u64>)>,
    #[serde(rename = "gone")]
    deleted: Vec<Host>,
    /// The version and the entry's id of each change.
    history: Vec<(u64, String)>,
}

/// The changes after a version.
#[derive(Debug, PartialEq)]
pub enum Delta<'a> {
    /// Nothing has changed.
    Unchanged,
    /// These entries have changed. Deleted ones are included.
    Changes(Vec<&'a Host>),
    /// The changes are unknown, since the version is from another store, from the future, or older than the
    /// history. These are all entries.
    Full(Vec<&'a Host>),
}

/// The registered servers.
#[derive(Default)]
pub struct Store {
    version: u64,
    /// The first version, which identifies the store; 0 before the store is first opened.
    origin: u64,
    epoch: u64,
    promoted: bool,
    entries: BTreeMap<String, StoredEntry>,
    history: History,
    /// The encoded length of all entries.
    entries_bytes: usize,
}

/// Returns the length of an entry in a list, with its comma.
fn encoded_len(host: &Host) -> usize {
    serde_json::to_vec(host).map_or(MAX_LIST_BYTES, |text| text.len() + 1)
}

fn as_millis(lease: Duration) -> u64 {
    u64::try_from(lease.as_millis()).unwrap_or(u64::MAX)
}

impl Store {
    /// Restores a store from a snapshot and the records after it. All leases restart with their full
    /// duration, since servers could not renew them while the store was down.
    pub fn restore(snapshot: Snapshot, records: impl IntoIterator<Item = Record>, now: Now) -> Store {
        let Snapshot { version, origin, epoch, promoted, floor, entries, deleted, history } = snapshot;
        let history = History::restore(history, floor, deleted);
        let mut store = Store { version, origin, epoch, promoted, history, ..Store::default() };
        for (host, revision, lease_ms) in entries {
            store.insert(host, revision, lease_ms, now);
        }
        records.into_iter().for_each(|record| store.apply(record, now));
        store
    }

    /// Restores the store of a replica from the writer's snapshot. The writer's promotion does not apply to
    /// the replica.
    pub fn restore_replica(snapshot: Snapshot, now: Now) -> Store {
        Store::restore(Snapshot { promoted: false, ..snapshot }, [], now)
    }

    /// Returns the first version, which identifies the store; 0 before the store is first opened.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// Returns the epoch of the writer, which each promotion raises.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether this process was the last one promoted.
    pub fn is_promoted(&self) -> bool {
        self.promoted
    }

    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the record that promotes this process to writer; `None` if the epoch is not higher than all
    /// earlier ones.
    pub fn promotion_record(&self, epoch: u64, unix_ms: u64) -> Option<Record> {
        (epoch > self.epoch).then_some(Record::Promoted { version: self.start_version(unix_ms), epoch })
    }

    /// Returns the record that a writer makes at its start, before any other record.
    pub fn opening_record(&self, unix_ms: u64) -> Record {
        Record::Opened { version: self.start_version(unix_ms) }
    }

    fn start_version(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_mul(VERSIONS_PER_MS).max(self.version + 1)
    }

    /// Restarts all leases with their full duration, since servers could not renew them while there was no
    /// writer.
    pub fn renew_all(&mut self, now: Now) {
        self.entries.values_mut().for_each(|entry| entry.expires_at = entry.lease.map(|lease| now + lease));
    }

    /// Returns the records that bring a replica of the same epoch from a version to the current one; `None`
    /// if the history does not cover that version. Only the last change of each entry is included.
    pub fn records_since(&self, version: u64) -> Option<Vec<Record>> {
        if !self.has_history_since(version) {
            return None;
        }
        let record = |(version, id): (u64, &str)| match self.entries.get(id) {
            Some(entry) => Record::Put { version, host: entry.host.clone(), lease_ms: entry.lease_ms() },
            None => Record::Deleted { version, id: id.to_owned() },
        };
        let mut records: Vec<Record> =
            self.history.last_changes_since(version).into_iter().map(record).collect();
        if self.version > version && records.last().is_none_or(|last| last.version() < self.version) {
            records.push(Record::Opened { version: self.version });
        }
        Some(records)
    }

    /// Returns the full state.
    pub fn snapshot(&self) -> Snapshot {
        let entry = |entry: &StoredEntry| (entry.host.clone(), entry.revision, entry.lease_ms());
        Snapshot {
            version: self.version,
            origin: self.origin,
            epoch: self.epoch,
            promoted: self.promoted,
            floor: self.history.floor(),
            entries: self.entries.values().map(entry).collect(),
            deleted: self.history.deleted().cloned().collect(),
            history: self.history.changes().cloned().collect(),
        }
    }

    /// Returns the change that a command requires, without applying it.
    pub fn decide(&self, command: &Command, now: Now, unix_ms: u64) -> Result<Decision, Rejection> {
        match command {
            Command::Register { server, lease, revision } => {
                self.decide_registration(server, *lease, *revision, now, unix_ms)
            }
            Command::Renew { id } => self.live_entry(id, None, now).map(|_| Decision::Renew(id.clone())),
            Command::Drain { id, revision } => self.decide_state(id, *revision, State::Draining, now),
            Command::Undrain { id, revision } => self.decide_state(id, *revision, State::Serving, now),
            Command::Deregister { id, revision } => {
                self.live_entry(id, *revision, now)?;
                Ok(Decision::Change(Record::Deleted { version: self.version + 1, id: id.clone() }))
            }
        }
    }

    fn decide_registration(
        &self,
        server: &Registration,
        lease: Option<Duration>,
        revision: Option<u64>,
        now: Now,
        unix_ms: u64,
    ) -> Result<Decision, Rejection> {
        let host = |state, started_ms| Host {
            id: server.id.clone(),
            addr: server.addr,
            zone: server.zone.clone(),
            kind: server.kind.clone(),
            cell: server.cell,
            state,
            weight: server.weight,
            started_ms,
        };
        let Some(entry) = self.entries.get(&server.id).filter(|entry| entry.is_live(now)) else {
            // The revision of an expired entry is no longer valid.
            if revision.is_some() {
                return Err(Rejection::Unknown);
            }
            return self.decide_put(host(State::Serving, unix_ms), lease);
        };
        let host = host(entry.host.state, entry.host.started_ms);
        let is_equal = host == entry.host && lease == entry.lease;
        match revision {
            // Without a revision, a different server with the same id must not replace the entry.
            None if !is_equal => Err(entry.conflict()),
            Some(revision) if revision != entry.revision => Err(entry.conflict()),
            _ if is_equal => Ok(Decision::Renew(server.id.clone())),
            _ => self.decide_put(host, lease),
        }
    }

    fn decide_put(&self, host: Host, lease: Option<Duration>) -> Result<Decision, Rejection> {
        let replaced = self.entries.get(&host.id).map_or(0, |entry| encoded_len(&entry.host));
        if self.entries_bytes - replaced + encoded_len(&host) + LIST_OVERHEAD_BYTES > MAX_LIST_BYTES {
            return Err(Rejection::ListTooLong);
        }
        let lease_ms = lease.map(as_millis);
        Ok(Decision::Change(Record::Put { version: self.version + 1, host, lease_ms }))
    }

    fn decide_state(
        &self,
        id: &str,
        revision: Option<u64>,
        state: State,
        now: Now,
    ) -> Result<Decision, Rejection> {
        let entry = self.live_entry(id, revision, now)?;
        if entry.host.state == state {
            return Ok(Decision::Nothing);
        }
        let host = Host { state, ..entry.host.clone() };
        Ok(Decision::Change(Record::Put { version: self.version + 1, host, lease_ms: entry.lease_ms() }))
    }

    fn live_entry(&self, id: &str, revision: Option<u64>, now: Now) -> Result<&StoredEntry, Rejection> {
        let entry = self.entries.get(id).filter(|entry| entry.is_live(now)).ok_or(Rejection::Unknown)?;
        match revision {
            Some(revision) if revision != entry.revision => Err(entry.conflict()),
            _ => Ok(entry),
        }
    }

    /// Returns the record that deletes the first entry whose lease has expired; `None` if there is none.
    pub fn expiry_record(&self, now: Now) -> Option<Record> {
        let (id, _) = self.entries.iter().find(|(_, entry)| !entry.is_live(now))?;
        Some(Record::Deleted { version: self.version + 1, id: id.clone() })
    }

    /// Returns when the next lease expires.
    pub fn next_expiry(&self) -> Option<Now> {
        self.entries.values().filter_map(|entry| entry.expires_at).min()
    }

    /// Renews the lease of an entry. Renewals are not recorded, since all leases restart when the store is
    /// restored.
    pub fn renew(&mut self, id: &str, now: Now) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.expires_at = entry.lease.map(|lease| now + lease);
        }
    }

    /// Applies a durable record. A record that is not newer than the store is ignored, since it was already
    /// applied.
    pub fn apply(&mut self, record: Record, now: Now) {
        let version = record.version();
        if version <= self.version {
            return;
        }
        self.version = version;
        match record {
            Record::Promoted { epoch, .. } => {
                (self.epoch, self.promoted) = (epoch, true);
                self.history.restart(version);
            }
            Record::Opened { .. } => {
                // The history of a new store begins here.
                if self.origin == 0 {
                    self.origin = version;
                    self.history.set_floor(version);
                }
            }
            Record::Put { host, lease_ms, .. } => {
                let id = host.id.clone();
                self.insert(host, version, lease_ms, now);
                self.history.on_put(version, id);
            }
            Record::Deleted { id, .. } => {
                let Some(entry) = self.entries.remove(&id) else { return };
                self.entries_bytes -= encoded_len(&entry.host);
                self.history.on_delete(version, Host { state: State::Deleted, ..entry.host });
            }
        }
    }

    fn insert(&mut self, host: Host, revision: u64, lease_ms: Option<u64>, now: Now) {
        let lease = lease_ms.map(Duration::from_millis);
        self.entries_bytes += encoded_len(&host);
        let entry = StoredEntry { revision, lease, expires_at: lease.map(|lease| now + lease), host };
        if let Some(replaced) = self.entries.insert(entry.host.id.clone(), entry) {
            self.entries_bytes -= encoded_len(&replaced.host);
        }
    }

    /// Returns all entries in the order of their ids. One whose lease has expired is included until its
    /// deletion is recorded.
    pub fn full_list(&self) -> Vec<&Host> {
        self.entries.values().map(|entry| &entry.host).collect()
    }

    /// Returns whether the changes after this version are known.
    pub fn has_history_since(&self, version: u64) -> bool {
        (self.history.floor()..=self.version).contains(&version)
    }

    /// Returns the changes after a version.
    pub fn delta_since(&self, version: u64) -> Delta<'_> {
        if version == self.version {
            return Delta::Unchanged;
        }
        if !self.has_history_since(version) {
            return Delta::Full(self.full_list());
        }
        let host = |id: &str| {
            self.entries.get(id).map(|entry| &entry.host).or_else(|| self.history.deleted_entry(id))
        };
        Delta::Changes(self.history.changed_since(version).into_iter().filter_map(host).collect())
    }

    /// Encodes the list for a reader with this version, or the full list for a reader without a version.
    /// Returns `None` if nothing has changed.
    pub fn encode_list(&self, since: Option<u64>) -> Option<Vec<u8>> {
        let (full, servers) = match since.map(|since| self.delta_since(since)) {
            None => (true, self.full_list()),
            Some(Delta::Unchanged) => return None,
            Some(Delta::Full(servers)) => (true, servers),
            Some(Delta::Changes(servers)) => (false, servers),
        };
        Some(self.encode(full, servers))
    }

    /// Encodes the response to a watch whose wait ended without a change.
    pub fn encode_unchanged(&self) -> Vec<u8> {
        self.encode(false, Vec::new())
    }

    fn encode(&self, full: bool, servers: Vec<&Host>) -> Vec<u8> {
        let list =
            HostListRef { version: self.version, full, store: self.origin, epoch: self.epoch, servers };
        // Serialization of strings, numbers and addresses cannot fail.
        serde_json::to_vec(&list).unwrap_or_default()
    }

    /// Returns an entry whose lease has not expired.
    pub fn entry_details(&self, id: &str, now: Now) -> Option<EntryDetails<'_>> {
        self.entries.get(id).filter(|entry| entry.is_live(now)).map(|entry| EntryDetails {
            host: &entry.host,
            revision: entry.revision,
            lease_left_ms: entry.expires_at.map(|at| as_millis(at.saturating_sub(now))),
        })
    }
}
