//! What is registered: entries under leases, their versions, and the history from which watches are answered.
//!
//! Sans-I/O. [`Store::decide`] says what a command would change; the caller makes that durable and then has it
//! [`Store::apply`] it, so that a disk that fails leaves no half of a change behind. Time is the caller's: a monotonic one
//! for leases, and Unix time for starts.

use crate::format::{Host, State, Telling, MAX_LIST_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest id, zone and kind, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Leases last from this ...
pub const MIN_LEASE: Duration = Duration::from_secs(1);
/// ... to this.
pub const MAX_LEASE: Duration = Duration::from_secs(3600);
/// Changes that are kept for watches. Older ones are answered with the whole list.
const MAX_HISTORY: usize = 4096;
/// Versions begin at the time of creation in milliseconds times this, and go on from the time of each start: no two
/// stores' versions meet, nor those before and after a disk was set back. They stay below 2^53, as readers may have no
/// whole numbers beyond.
const VERSIONS_A_MS: u64 = 1 << 10;
/// What [`Telling`] and the commas take beside the entries.
const LIST_FRAME: usize = 128;

/// A caller's clock that is never set, from any origin.
pub type Now = Duration;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub weight: f64,
}

/// What is asked of the store. `revision` is that which the entry must have.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Makes an entry or, where it is the same, renews its lease. Without a lease it stays until it is taken off.
    Register {
        server: Registration,
        lease: Option<Duration>,
        revision: Option<u64>,
    },
    Renew {
        id: String,
    },
    Drain {
        id: String,
        revision: Option<u64>,
    },
    Undrain {
        id: String,
        revision: Option<u64>,
    },
    Deregister {
        id: String,
        revision: Option<u64>,
    },
}

/// Why it is not done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No such entry, or its lease has ended.
    Unknown,
    /// The entry is not at the revision that was named, or is another's where none was.
    Conflict { revision: u64 },
    /// The list would be longer than gateways read.
    TooLong,
}

/// A change that is made durable. Versions rise from each to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The store was opened. What it told before had lower versions.
    Opened {
        version: u64,
    },
    Put {
        version: u64,
        host: Host,
        lease_ms: Option<u64>,
    },
    Gone {
        version: u64,
        id: String,
    },
    /// Operators made this store's process the one that writes. What another one has written since the two last met is
    /// void, so whoever holds an older version is told the whole list.
    Promoted {
        version: u64,
        epoch: u64,
    },
}

impl Record {
    pub fn version(&self) -> u64 {
        let (Record::Opened { version }
        | Record::Put { version, .. }
        | Record::Gone { version, .. }
        | Record::Promoted { version, .. }) = self;
        *version
    }
}

/// What a command comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Nothing that is told changes; an entry's lease begins anew.
    Renew(String),
    /// It is so already.
    Nothing,
    Change(Record),
}

struct StoredEntry {
    host: Host,
    /// The version of its last change.
    revision: u64,
    lease: Option<Duration>,
    /// When the lease ends.
    ends: Option<Now>,
}

impl StoredEntry {
    fn live(&self, now: Now) -> bool {
        self.ends.is_none_or(|ends| now < ends)
    }
}

/// An entry, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shown<'a> {
    #[serde(flatten)]
    pub host: &'a Host,
    pub revision: u64,
    /// What is left of its lease; none where it has none.
    pub lease_left_ms: Option<u64>,
}

/// All that is kept, as a snapshot has it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Image {
    version: u64,
    origin: u64,
    epoch: u64,
    promoted: bool,
    floor: u64,
    entries: Vec<(Host, u64, Option<u64>)>,
    gone: Vec<Host>,
    history: Vec<(u64, String)>,
}

/// What is newer than a version.
#[derive(Debug, PartialEq)]
pub enum Newer<'a> {
    Nothing,
    Changes(Vec<&'a Host>),
    /// The version is of another store, of the future, or older than the history.
    Whole(Vec<&'a Host>),
}

#[derive(Default)]
pub struct Store {
    version: u64,
    /// Its first version, by which it is told from others.
    origin: u64,
    /// Rises with each promotion, and whether the last one was of this process.
    epoch: u64,
    promoted: bool,
    entries: BTreeMap<String, StoredEntry>,
    /// Entries that are gone and whose going is in the history.
    gone: BTreeMap<String, Host>,
    /// The last changes, the oldest first: all of those after `floor`.
    history: VecDeque<(u64, String)>,
    floor: u64,
    /// Bytes of all entries as they are listed.
    listed: usize,
}

fn length(host: &Host) -> usize {
    serde_json::to_vec(host).map_or(MAX_LIST_BYTES, |text| text.len() + 1)
}

fn millis(lease: Duration) -> u64 {
    u64::try_from(lease.as_millis()).unwrap_or(u64::MAX)
}

impl Store {
    /// Goes on from an image and what was recorded after it. All leases begin anew: while the store was away nobody could
    /// renew them.
    pub fn restore(image: Image, records: impl IntoIterator<Item = Record>, now: Now) -> Store {
        let Image { version, origin, epoch, promoted, floor, entries, gone, history } = image;
        let mut store =
            Store { version, origin, epoch, promoted, floor, history: history.into(), ..Store::default() };
        for (host, revision, lease) in entries {
            store.keep(host, revision, lease, now);
        }
        store.gone = gone.into_iter().map(|host| (host.id.clone(), host)).collect();
        records.into_iter().for_each(|record| store.apply(record, now));
        store
    }

    /// A store that follows another takes its image over, and with it whatever the other has.
    pub fn follow(image: Image, now: Now) -> Store {
        Store::restore(Image { promoted: false, ..image }, [], now)
    }

    /// By which it is told from other stores.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether this process was made the one that writes.
    pub fn promoted(&self) -> bool {
        self.promoted
    }

    /// What makes this process the one that writes; none where there was such an epoch already.
    pub fn promotion(&self, epoch: u64, unix_ms: u64) -> Option<Record> {
        let version = unix_ms.saturating_mul(VERSIONS_A_MS).max(self.version + 1);
        (epoch > self.epoch).then_some(Record::Promoted { version, epoch })
    }

    /// All leases begin anew: nobody could renew them while there was none that writes.
    pub fn renew_all(&mut self, now: Now) {
        self.entries.values_mut().for_each(|kept| kept.ends = kept.lease.map(|lease| now + lease));
    }

    /// What brings a store of the same epoch from a version up to this one, or nothing where that is not known any more.
    /// Each server's last change stands for those before it.
    pub fn records(&self, since: u64) -> Option<Vec<Record>> {
        if !self.knows(since) {
            return None;
        }
        let from = self.history.partition_point(|(version, _)| *version <= since);
        let last: BTreeMap<&str, u64> = self.history.range(from..).map(|(v, id)| (id.as_str(), *v)).collect();
        let mut changes: Vec<(u64, &str)> = last.into_iter().map(|(id, version)| (version, id)).collect();
        changes.sort_unstable();
        let record = |(version, id): (u64, &str)| match self.entries.get(id) {
            Some(kept) => Record::Put { version, host: kept.host.clone(), lease_ms: kept.lease.map(millis) },
            None => Record::Gone { version, id: id.to_owned() },
        };
        let mut records: Vec<Record> = changes.into_iter().map(record).collect();
        if self.version > since && records.last().is_none_or(|last| last.version() < self.version) {
            records.push(Record::Opened { version: self.version });
        }
        Some(records)
    }

    /// What is to be recorded first, once it is open.
    pub fn opened(&self, unix_ms: u64) -> Record {
        Record::Opened { version: unix_ms.saturating_mul(VERSIONS_A_MS).max(self.version + 1) }
    }

    pub fn image(&self) -> Image {
        let kept = |kept: &StoredEntry| (kept.host.clone(), kept.revision, kept.lease.map(millis));
        Image {
            version: self.version,
            origin: self.origin,
            epoch: self.epoch,
            promoted: self.promoted,
            floor: self.floor,
            entries: self.entries.values().map(kept).collect(),
            gone: self.gone.values().cloned().collect(),
            history: self.history.iter().cloned().collect(),
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What a command would change. Nothing is changed yet.
    pub fn decide(&self, command: &Command, now: Now, unix_ms: u64) -> Result<Decision, Refusal> {
        let version = self.version + 1;
        match command {
            Command::Register { server, lease, revision } => {
                let wanted = |state, started_ms| Host {
                    id: server.id.clone(),
                    addr: server.addr,
                    zone: server.zone.clone(),
                    kind: server.kind.clone(),
                    cell: server.cell,
                    state,
                    weight: server.weight,
                    started_ms,
                };
                let put = |host: Host| {
                    let before = self.entries.get(&host.id).map_or(0, |kept| length(&kept.host));
                    if self.listed - before + length(&host) + LIST_FRAME > MAX_LIST_BYTES {
                        return Err(Refusal::TooLong);
                    }
                    Ok(Decision::Change(Record::Put { version, host, lease_ms: lease.map(millis) }))
                };
                match self.entries.get(&server.id).filter(|kept| kept.live(now)) {
                    // One that was here is started anew; whatever revision it had is over.
                    None if revision.is_some() => Err(Refusal::Unknown),
                    None => put(wanted(State::Serving, unix_ms)),
                    Some(kept) => {
                        let host = wanted(kept.host.state, kept.host.started_ms);
                        let same = host == kept.host && *lease == kept.lease;
                        match revision {
                            // Another process under the same name must not take it over unasked.
                            None if !same => Err(Refusal::Conflict { revision: kept.revision }),
                            Some(revision) if *revision != kept.revision => {
                                Err(Refusal::Conflict { revision: kept.revision })
                            }
                            _ if same => Ok(Decision::Renew(server.id.clone())),
                            _ => put(host),
                        }
                    }
                }
            }
            Command::Renew { id } => self.live(id, None, now).map(|_| Decision::Renew(id.clone())),
            Command::Drain { id, revision } => self.turn(id, *revision, State::Draining, now),
            Command::Undrain { id, revision } => self.turn(id, *revision, State::Serving, now),
            Command::Deregister { id, revision } => {
                self.live(id, *revision, now)?;
                Ok(Decision::Change(Record::Gone { version, id: id.clone() }))
            }
        }
    }

    fn live(&self, id: &str, revision: Option<u64>, now: Now) -> Result<&StoredEntry, Refusal> {
        let kept = self.entries.get(id).filter(|kept| kept.live(now)).ok_or(Refusal::Unknown)?;
        match revision {
            Some(revision) if revision != kept.revision => Err(Refusal::Conflict { revision: kept.revision }),
            _ => Ok(kept),
        }
    }

    fn turn(&self, id: &str, revision: Option<u64>, state: State, now: Now) -> Result<Decision, Refusal> {
        let kept = self.live(id, revision, now)?;
        if kept.host.state == state {
            return Ok(Decision::Nothing);
        }
        let host = Host { state, ..kept.host.clone() };
        let lease_ms = kept.lease.map(millis);
        Ok(Decision::Change(Record::Put { version: self.version + 1, host, lease_ms }))
    }

    /// The first entry whose lease has ended, as a change to be recorded.
    pub fn ended(&self, now: Now) -> Option<Record> {
        let (id, _) = self.entries.iter().find(|(_, kept)| !kept.live(now))?;
        Some(Record::Gone { version: self.version + 1, id: id.clone() })
    }

    /// When the next lease ends.
    pub fn next_end(&self) -> Option<Now> {
        self.entries.values().filter_map(|kept| kept.ends).min()
    }

    /// A lease begins anew. Not recorded: after a restart all do.
    pub fn renew(&mut self, id: &str, now: Now) {
        if let Some(kept) = self.entries.get_mut(id) {
            kept.ends = kept.lease.map(|lease| now + lease);
        }
    }

    /// Makes a change that is durable. One that is not newer than what is here has been made already.
    pub fn apply(&mut self, record: Record, now: Now) {
        let version = record.version();
        if version <= self.version {
            return;
        }
        self.version = version;
        let id = match record {
            Record::Promoted { epoch, .. } => {
                (self.epoch, self.promoted, self.floor) = (epoch, true, version);
                self.history.clear();
                self.gone.clear();
                return;
            }
            Record::Opened { .. } => {
                // A store that has told nothing yet has no history before this.
                if self.origin == 0 {
                    (self.origin, self.floor) = (version, version);
                }
                return;
            }
            Record::Put { host, lease_ms, .. } => {
                let id = host.id.clone();
                self.gone.remove(&id);
                self.keep(host, version, lease_ms, now);
                id
            }
            Record::Gone { id, .. } => {
                let Some(kept) = self.entries.remove(&id) else { return };
                self.listed -= length(&kept.host);
                self.gone.insert(id.clone(), Host { state: State::Deleted, ..kept.host });
                id
            }
        };
        self.history.push_back((version, id));
        while self.history.len() > MAX_HISTORY {
            let Some((version, id)) = self.history.pop_front() else { break };
            self.floor = version;
            // Told of no more once its last change has left the history.
            if self.gone.contains_key(&id) && !self.history.iter().any(|(_, later)| *later == id) {
                self.gone.remove(&id);
            }
        }
    }

    fn keep(&mut self, host: Host, revision: u64, lease_ms: Option<u64>, now: Now) {
        let lease = lease_ms.map(Duration::from_millis);
        self.listed += length(&host);
        let kept = StoredEntry { revision, lease, ends: lease.map(|lease| now + lease), host };
        if let Some(before) = self.entries.insert(kept.host.id.clone(), kept) {
            self.listed -= length(&before.host);
        }
    }

    /// Every entry as it is listed. One whose lease has just ended is listed until its going is recorded.
    pub fn full_list(&self) -> Vec<&Host> {
        self.entries.values().map(|kept| &kept.host).collect()
    }

    /// Whether what has changed since this version can be told.
    pub fn knows(&self, since: u64) -> bool {
        (self.floor..=self.version).contains(&since)
    }

    /// What whoever holds this version does not know yet.
    pub fn newer(&self, since: u64) -> Newer<'_> {
        if since == self.version {
            return Newer::Nothing;
        }
        if !self.knows(since) {
            return Newer::Whole(self.full_list());
        }
        let from = self.history.partition_point(|(version, _)| *version <= since);
        let changed: BTreeSet<&str> = self.history.range(from..).map(|(_, id)| id.as_str()).collect();
        let host = |id: &str| self.entries.get(id).map(|kept| &kept.host).or_else(|| self.gone.get(id));
        Newer::Changes(changed.into_iter().filter_map(host).collect())
    }

    /// The answer to a watch that holds this version, as bytes; `None` where there is nothing newer.
    pub fn telling(&self, since: Option<u64>) -> Option<Vec<u8>> {
        let (full, servers) = match since.map(|since| self.newer(since)) {
            None => (true, self.full_list()),
            Some(Newer::Nothing) => return None,
            Some(Newer::Whole(servers)) => (true, servers),
            Some(Newer::Changes(servers)) => (false, servers),
        };
        Some(encoded(&Telling {
            version: self.version,
            full,
            store: self.origin,
            epoch: self.epoch,
            servers,
        }))
    }

    /// The answer to a watch in whose time nothing has come.
    pub fn nothing(&self) -> Vec<u8> {
        encoded(&Telling {
            version: self.version,
            full: false,
            store: self.origin,
            epoch: self.epoch,
            servers: Vec::new(),
        })
    }

    pub fn show(&self, id: &str, now: Now) -> Option<Shown<'_>> {
        self.entries.get(id).filter(|kept| kept.live(now)).map(|kept| Shown {
            host: &kept.host,
            revision: kept.revision,
            lease_left_ms: kept.ends.map(|ends| millis(ends.saturating_sub(now))),
        })
    }
}

fn encoded(telling: &Telling) -> Vec<u8> {
    // Names, numbers and an address: there is nothing in it that JSON cannot hold.
    serde_json::to_vec(telling).unwrap_or_default()
}
