//! A reader's view of the list, merged from several services that may be behind, belong to another store, or
//! be wrong.
//!
//! Each received list is checked before it changes the view. It must not be older than the view. A list from
//! another store or epoch must be a full list. A full list in which many servers are suddenly missing removes
//! them only after a delay, since it may come from a store that lost its data. The module is sans-I/O: it
//! takes lists and the time, and returns lists for the caller to apply.

use crate::format::{Entry, Host, HostList, State};
use std::collections::BTreeMap;
use std::time::Duration;

/// A reading of the caller's monotonic clock, as the time since an arbitrary origin.
pub type Now = Duration;

/// The policy for full lists from which many known servers are missing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemovalPolicy {
    /// The fraction of the known servers, from 0 to 1, that may be missing from a list and be removed at
    /// once. If more are missing, they are removed only after the delay.
    pub max_missing_fraction: f64,
    /// How long the missing servers are kept, unless a list contains them again.
    pub removal_delay: Duration,
}

/// The result of merging a received list into the view.
#[derive(Clone, Debug, PartialEq)]
pub enum MergeOutcome {
    /// The list was merged. The caller applies the returned list, to which kept servers may have been added.
    Merged(HostList),
    /// The list is older than the view, which does not change. The caller requests the list from another
    /// service.
    Stale,
    /// The list contains only changes, and is from another store or epoch, so it cannot be merged. The caller
    /// requests the full list.
    OtherStore,
}

/// A reader's view of the list.
pub struct Follower {
    removal_policy: RemovalPolicy,
    store: Option<u64>,
    epoch: u64,
    version: Option<u64>,
    servers: BTreeMap<String, Host>,
    /// Servers that were suddenly missing from a full list, and when each is removed.
    removal_due_at: BTreeMap<String, Now>,
    last_list_at: Option<Now>,
}

impl Follower {
    /// Returns an empty view.
    pub fn new(removal_policy: RemovalPolicy) -> Follower {
        Follower {
            removal_policy,
            store: None,
            epoch: 0,
            version: None,
            servers: BTreeMap::new(),
            removal_due_at: BTreeMap::new(),
            last_list_at: None,
        }
    }

    /// Returns the version from which a watch continues; `None` if the full list must be requested.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Records that the caller uses another service from now on. If the lists do not name their store, the
    /// versions of the two services may not be comparable, so the version is cleared.
    pub fn on_service_changed(&mut self) {
        if self.store.is_none() {
            self.version = None;
        }
    }

    /// Returns the time since the last list was merged; `None` before the first one.
    pub fn age(&self, now: Now) -> Option<Duration> {
        self.last_list_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the number of servers that are kept although they were missing from a full list.
    pub fn servers_pending_removal(&self) -> usize {
        self.removal_due_at.len()
    }

    /// Merges a received list into the view.
    pub fn merge(&mut self, mut list: HostList, now: Now) -> MergeOutcome {
        let is_same_store = self.store.is_none() || list.store == self.store;
        match self.version {
            // A lower epoch belongs to a writer that has been replaced, even if its version is higher.
            Some(version) if is_same_store && (list.epoch < self.epoch || list.version < version) => {
                return MergeOutcome::Stale;
            }
            // This includes a new epoch, which may discard the last changes of the former one.
            Some(_) if !(list.full || is_same_store && list.epoch == self.epoch) => {
                return MergeOutcome::OtherStore
            }
            _ => {}
        }
        (self.store, self.epoch) = (list.store, list.epoch);
        self.version = Some(list.version);
        self.last_list_at = Some(now);
        list.servers.iter().for_each(|entry| self.apply(entry));
        if list.full {
            self.remove_or_keep_missing(&mut list.servers, now);
        }
        MergeOutcome::Merged(list)
    }

    fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Readable(host) if host.state == State::Deleted => self.remove(&host.id),
            Entry::Readable(host) => {
                self.removal_due_at.remove(&host.id);
                self.servers.insert(host.id.clone(), host.clone());
            }
            Entry::Malformed(Some(id)) => self.remove(id),
            Entry::Malformed(None) => {}
        }
    }

    /// Removes the servers that are missing from a full list. If too many are missing at once, keeps them for
    /// the removal delay and adds them to the list.
    fn remove_or_keep_missing(&mut self, entries: &mut Vec<Entry>, now: Now) {
        let is_listed =
            |id: &str| entries.iter().any(|entry| matches!(entry, Entry::Readable(host) if host.id == id));
        let missing: Vec<String> = self.servers.keys().filter(|id| !is_listed(id)).cloned().collect();
        let is_sudden =
            missing.len() as f64 > self.removal_policy.max_missing_fraction * self.servers.len() as f64;
        for id in missing {
            // A server that is not serving is expected to leave.
            let is_draining = self.servers.get(&id).is_none_or(|host| host.state != State::Serving);
            if is_draining || !(is_sudden || self.removal_due_at.contains_key(&id)) {
                self.remove(&id);
                continue;
            }
            self.removal_due_at.entry(id.clone()).or_insert(now + self.removal_policy.removal_delay);
            entries.extend(self.servers.get(&id).cloned().map(Entry::Readable));
        }
    }

    fn remove(&mut self, id: &str) {
        self.servers.remove(id);
        self.removal_due_at.remove(id);
    }

    /// Returns when [`remove_overdue`](Self::remove_overdue) has the next server to remove.
    pub fn next_removal_at(&self) -> Option<Now> {
        self.removal_due_at.values().min().copied()
    }

    /// Removes the servers whose removal delay has passed. Returns a list of these deletions, if there are
    /// any, for the caller to apply.
    pub fn remove_overdue(&mut self, now: Now) -> Option<HostList> {
        let is_due = |(_, due_at): &(&String, &Now)| **due_at <= now;
        let due: Vec<String> = self.removal_due_at.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        let deletion = |id: &String| {
            let host = self.servers.get(id)?;
            Some(Entry::Readable(Host { state: State::Deleted, ..host.clone() }))
        };
        let servers: Vec<Entry> = due.iter().filter_map(deletion).collect();
        due.iter().for_each(|id| self.remove(id));
        let version = self.version.filter(|_| !servers.is_empty())?;
        Some(HostList { version, full: false, store: self.store, epoch: self.epoch, servers })
    }
}
