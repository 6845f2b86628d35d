//! Things that wait under a number until something with this number comes.

use std::collections::HashMap;

/// Numbers what waits, from 1.
pub(crate) struct Numbered<T> {
    last: u64,
    waiting: HashMap<u64, T>,
}

impl<T> Default for Numbered<T> {
    fn default() -> Numbered<T> {
        Numbered { last: 0, waiting: HashMap::new() }
    }
}

impl<T> Numbered<T> {
    /// Keeps something; its number.
    pub(crate) fn insert(&mut self, waits: T) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, waits);
        self.last
    }

    pub(crate) fn get(&self, number: u64) -> Option<&T> {
        self.waiting.get(&number)
    }

    pub(crate) fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        self.waiting.get_mut(&number)
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<T> {
        self.waiting.remove(&number)
    }
}
