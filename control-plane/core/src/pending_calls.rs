//! Things that wait under a number until something with this number comes.

use std::collections::HashMap;

/// Numbers what waits, from 1.
pub(crate) struct PendingCalls<T> {
    last_id: u64,
    pending: HashMap<u64, T>,
}

impl<T> Default for PendingCalls<T> {
    fn default() -> PendingCalls<T> {
        PendingCalls { last_id: 0, pending: HashMap::new() }
    }
}

impl<T> PendingCalls<T> {
    /// Keeps something; its number.
    pub(crate) fn insert(&mut self, waits: T) -> u64 {
        self.last_id += 1;
        self.pending.insert(self.last_id, waits);
        self.last_id
    }

    pub(crate) fn get(&self, number: u64) -> Option<&T> {
        self.pending.get(&number)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        self.pending.get_mut(&number)
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<T> {
        self.pending.remove(&number)
    }
}
