//! The entries read from the coordination service under one prefix, and the instant of the read.

use marblecroft_coordination::state::{Change, Revision};
use std::collections::BTreeMap;
use std::time::Duration;

/// An instant of the reader's monotonic clock.
pub type Now = Duration;

/// Maximum number of entries of a view. Further entries are dropped and counted.
pub const MAX_ENTRIES: usize = 8192;

/// The entries under one prefix.
#[derive(Clone, Debug, Default)]
pub struct View {
    values: BTreeMap<String, Vec<u8>>,
    /// An instant before the last successful request was sent. The entries were complete then or later.
    as_of: Option<Now>,
    /// Number of entries that were dropped because there were too many.
    pub dropped_entries: u64,
}

impl View {
    /// Replaces all entries by those of a full read. `requested_at` is an instant before the request was
    /// sent.
    pub fn reset(&mut self, requested_at: Now, values: Vec<(String, Vec<u8>, Revision)>) {
        self.dropped_entries += values.len().saturating_sub(MAX_ENTRIES) as u64;
        self.values = values.into_iter().take(MAX_ENTRIES).map(|(key, value, _)| (key, value)).collect();
        self.as_of = Some(requested_at);
    }

    /// Applies the changes since the last response, and returns the keys that changed.
    pub fn apply_changes(&mut self, requested_at: Now, changes: Vec<(Revision, Change)>) -> Vec<String> {
        let mut changed = Vec::new();
        for (_, change) in changes {
            match change {
                Change::Value { key, value } => {
                    if self.values.len() >= MAX_ENTRIES && !self.values.contains_key(&key) {
                        self.dropped_entries += 1;
                        continue;
                    }
                    self.values.insert(key.clone(), value);
                    changed.push(key);
                }
                Change::Deleted { key } => {
                    self.values.remove(&key);
                    changed.push(key);
                }
                Change::Lock { .. } | Change::Session { .. } => {}
            }
        }
        self.as_of = Some(requested_at);
        changed
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&[u8]> {
        self.values.get(key).map(Vec::as_slice)
    }

    /// Returns the entries whose keys begin with `prefix`. The prefix is removed from the returned keys.
    pub fn entries_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let from = self.values.range(prefix.to_owned()..);
        from.map_while(move |(key, value)| Some((key.strip_prefix(prefix)?, value.as_slice())))
    }

    /// Returns the instant at or after which the entries were complete, or `None` before the first read.
    pub fn as_of(&self) -> Option<Now> {
        self.as_of
    }
}
