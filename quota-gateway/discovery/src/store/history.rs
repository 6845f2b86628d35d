//! The latest changes, from which watches are answered without sending the full list.

use crate::format::Host;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum number of changes in the history. Readers with an older version get the full list.
const MAX_HISTORY: usize = 4096;

/// The latest changes: the entry that changed at each version.
#[derive(Default)]
pub(super) struct History {
    /// The version and the entry's id of each change after `floor`, the oldest first.
    changes: VecDeque<(u64, String)>,
    floor: u64,
    /// Deleted entries whose deletion is in the history.
    deleted: BTreeMap<String, Host>,
}

impl History {
    /// Returns the history of a snapshot.
    pub(super) fn restore(changes: Vec<(u64, String)>, floor: u64, deleted: Vec<Host>) -> History {
        let deleted = deleted.into_iter().map(|host| (host.id.clone(), host)).collect();
        History { changes: changes.into(), floor, deleted }
    }

    /// Discards all changes, and continues with the changes after `floor`.
    pub(super) fn restart(&mut self, floor: u64) {
        *self = History { floor, ..History::default() };
    }

    /// Raises the floor of a history that has no changes yet.
    pub(super) fn set_floor(&mut self, floor: u64) {
        self.floor = floor;
    }

    /// Returns the version after which all changes are known.
    pub(super) fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the version and the entry's id of each change, the oldest first.
    pub(super) fn changes(&self) -> impl Iterator<Item = &(u64, String)> {
        self.changes.iter()
    }

    /// Returns the deleted entries whose deletion is in the history.
    pub(super) fn deleted(&self) -> impl Iterator<Item = &Host> {
        self.deleted.values()
    }

    /// Returns a deleted entry.
    pub(super) fn deleted_entry(&self, id: &str) -> Option<&Host> {
        self.deleted.get(id)
    }

    /// Records that an entry was created or changed.
    pub(super) fn on_put(&mut self, version: u64, id: String) {
        self.deleted.remove(&id);
        self.push(version, id);
    }

    /// Records that an entry was deleted.
    pub(super) fn on_delete(&mut self, version: u64, deleted: Host) {
        let id = deleted.id.clone();
        self.deleted.insert(id.clone(), deleted);
        self.push(version, id);
    }

    fn push(&mut self, version: u64, id: String) {
        self.changes.push_back((version, id));
        while self.changes.len() > MAX_HISTORY {
            let Some((version, id)) = self.changes.pop_front() else { break };
            self.floor = version;
            // A deletion is reported as long as the entry's last change is in the history.
            if self.deleted.contains_key(&id) && !self.changes.iter().any(|(_, later)| *later == id) {
                self.deleted.remove(&id);
            }
        }
    }

    /// Returns the ids of the entries that changed after a version, in ascending order.
    pub(super) fn changed_since(&self, version: u64) -> BTreeSet<&str> {
        self.changes.range(self.position_after(version)..).map(|(_, id)| id.as_str()).collect()
    }

    /// Returns the ids of the entries that changed after a version, each with the version of its last change,
    /// in the order of versions.
    pub(super) fn last_changes_since(&self, version: u64) -> Vec<(u64, &str)> {
        let changes = self.changes.range(self.position_after(version)..);
        let last: BTreeMap<&str, u64> = changes.map(|(version, id)| (id.as_str(), *version)).collect();
        let mut changes: Vec<(u64, &str)> = last.into_iter().map(|(id, version)| (version, id)).collect();
        changes.sort_unstable();
        changes
    }

    fn position_after(&self, since: u64) -> usize {
        self.changes.partition_point(|(version, _)| *version <= since)
    }
}
