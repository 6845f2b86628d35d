//! Pending entries, stored under an id until the event with the same id arrives.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

/// A table of pending entries. Ids start at 1 and are never reused, so that a late reply is not matched to
/// another call. They are part of the traces that the simulation compares.
pub(crate) struct PendingTable<T> {
    last_id: u64,
    pending: HashMap<u64, T>,
}

impl<T> Default for PendingTable<T> {
    fn default() -> PendingTable<T> {
        PendingTable { last_id: 0, pending: HashMap::new() }
    }
}

impl<T> PendingTable<T> {
    /// Stores an entry and returns its id.
    pub(crate) fn insert(&mut self, entry: T) -> u64 {
        self.last_id += 1;
        self.pending.insert(self.last_id, entry);
        self.last_id
    }

    /// Returns the entry with this id.
    pub(crate) fn get(&self, id: u64) -> Option<&T> {
        self.pending.get(&id)
    }

    /// Returns a mutable reference to the entry with this id.
    pub(crate) fn get_mut(&mut self, id: u64) -> Option<&mut T> {
        self.pending.get_mut(&id)
    }

    /// Removes and returns the entry with this id.
    pub(crate) fn remove(&mut self, id: u64) -> Option<T> {
        self.pending.remove(&id)
    }
}
