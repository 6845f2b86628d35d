//! What a gateway holds of the list, whatever it is told by whom: several services of one store, some of them behind, some
//! of another store, some wrong.
//!
//! Sans-I/O: lists and time in, what is to be passed on out.

use crate::format::{Entry, Host, HostList, State};
use std::collections::BTreeMap;
use std::time::Duration;

/// A caller's clock that is never set, from any origin.
pub type Now = Duration;

/// How a list that has lost most servers is met.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caution {
    /// A whole list without more than this share of the servers that were held ...
    pub share: f64,
    /// ... takes them off only after this long, if nothing else is told of them until then.
    pub removal_delay: Duration,
}

/// What becomes of a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// To be passed on.
    List(HostList),
    /// From a service that is behind what is held, which stands. Another service is to be asked.
    Behind,
    /// Changes of another store or under another writer, which mean nothing without the rest: the whole list is to be asked
    /// for.
    Foreign,
}

/// What is held, and how old it is.
pub struct Follower {
    caution: Caution,
    store: Option<u64>,
    epoch: u64,
    version: Option<u64>,
    endpoints: BTreeMap<String, Host>,
    /// Servers that a list lacked all at once, and when they are given up.
    missing: BTreeMap<String, Now>,
    /// When a service last said how things are.
    heard: Option<Now>,
}

impl Follower {
    pub fn new(caution: Caution) -> Follower {
        Follower {
            caution,
            store: None,
            epoch: 0,
            version: None,
            endpoints: BTreeMap::new(),
            missing: BTreeMap::new(),
            heard: None,
        }
    }

    /// The version from which a watch goes on; none where the whole list is to be asked for.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Another address is asked from now on. Where lists do not say whose versions theirs are, its may begin anywhere.
    pub fn moved(&mut self) {
        if self.store.is_none() {
            self.version = None;
        }
    }

    /// How old what is held is; none while nothing is.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.heard.map(|heard| now.saturating_sub(heard))
    }

    /// Servers that are held though the last whole list lacked them.
    pub fn suspects(&self) -> usize {
        self.missing.len()
    }

    /// Takes a list in.
    pub fn take(&mut self, list: HostList, now: Now) -> Taken {
        let same = self.store.is_none() || list.store == self.store;
        match self.version {
            // Of a writer that another one has replaced, however far it has come since.
            Some(held) if same && (list.epoch < self.epoch || list.version < held) => return Taken::Behind,
            // Also of a new writer: what the one before did last may be void.
            Some(_) if !(list.full || same && list.epoch == self.epoch) => return Taken::Foreign,
            _ => {}
        }
        (self.store, self.epoch) = (list.store, list.epoch);
        self.version = Some(list.version);
        self.heard = Some(now);
        let HostList { version, full, store, epoch, mut servers } = list;
        for entry in &servers {
            match entry {
                // Also one that drains: what is said of it is no longer missing, and binds.
                Entry::Readable(host) if host.state == State::Deleted => self.remove(&host.id),
                Entry::Readable(host) => {
                    self.missing.remove(&host.id);
                    self.endpoints.insert(host.id.clone(), host.clone());
                }
                Entry::Spoilt(Some(id)) => self.remove(id),
                Entry::Spoilt(None) => {}
            }
        }
        if full {
            let told = |id: &str| {
                servers.iter().any(|entry| matches!(entry, Entry::Readable(host) if host.id == id))
            };
            let lacks: Vec<String> = self.endpoints.keys().filter(|id| !told(id)).cloned().collect();
            let sudden = lacks.len() as f64 > self.caution.share * self.endpoints.len() as f64;
            for id in lacks {
                // One that drained has been told so, and is not missed.
                let draining = self.endpoints.get(&id).is_none_or(|host| host.state != State::Serving);
                if draining || !(sudden || self.missing.contains_key(&id)) {
                    self.remove(&id);
                    continue;
                }
                self.missing.entry(id.clone()).or_insert(now + self.caution.removal_delay);
                servers.extend(self.endpoints.get(&id).cloned().map(Entry::Readable));
            }
        }
        Taken::List(HostList { version, full, store, epoch, servers })
    }

    fn remove(&mut self, id: &str) {
        self.endpoints.remove(id);
        self.missing.remove(id);
    }

    /// When the next missing server is given up.
    pub fn next_end(&self) -> Option<Now> {
        self.missing.values().min().copied()
    }

    /// Gives up those that have been missing for too long: what is to be passed on, if there are any.
    pub fn give_up(&mut self, now: Now) -> Option<HostList> {
        let over: Vec<String> =
            self.missing.iter().filter(|(_, until)| **until <= now).map(|(id, _)| id.clone()).collect();
        let gone = |id: &String| {
            let host = self.endpoints.get(id)?;
            Some(Entry::Readable(Host { state: State::Deleted, ..host.clone() }))
        };
        let servers: Vec<Entry> = over.iter().filter_map(gone).collect();
        over.iter().for_each(|id| self.remove(id));
        let version = self.version.filter(|_| !servers.is_empty())?;
        Some(HostList { version, full: false, store: self.store, epoch: self.epoch, servers })
    }
}
