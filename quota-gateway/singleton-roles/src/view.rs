//! What was read of the service under one prefix, and as of when.

use marblecroft_coordination::state::{Change, Revision};
use std::collections::BTreeMap;
use std::time::Duration;

/// An instant of the reader's monotonic clock.
pub type Now = Duration;

/// The most entries that are kept; what is beyond is not known here, and counted.
pub const MAX_ENTRIES: usize = 8192;

#[derive(Clone, Debug, Default)]
pub struct View {
    values: BTreeMap<String, Vec<u8>>,
    /// An instant before the last answer's question left: what is held was all there is then, or later.
    as_of: Option<Now>,
    pub beyond: u64,
}

impl View {
    /// All there is, read anew.
    pub fn reset(&mut self, asked: Now, values: Vec<(String, Vec<u8>, Revision)>) {
        self.beyond += values.len().saturating_sub(MAX_ENTRIES) as u64;
        self.values = values.into_iter().take(MAX_ENTRIES).map(|(key, value, _)| (key, value)).collect();
        self.as_of = Some(asked);
    }

    /// What has changed since, possibly nothing; the names of it.
    pub fn change(&mut self, asked: Now, changes: Vec<(Revision, Change)>) -> Vec<String> {
        let mut changed = Vec::new();
        for (_, change) in changes {
            match change {
                Change::Value { key, value } => {
                    if self.values.len() >= MAX_ENTRIES && !self.values.contains_key(&key) {
                        self.beyond += 1;
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
        self.as_of = Some(asked);
        changed
    }

    pub fn get(&self, key: &str) -> Option<&[u8]> {
        self.values.get(key).map(Vec::as_slice)
    }

    /// Entries whose names begin so, by what follows.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let from = self.values.range(prefix.to_owned()..);
        from.map_while(move |(key, value)| Some((key.strip_prefix(prefix)?, value.as_slice())))
    }

    pub fn as_of(&self) -> Option<Now> {
        self.as_of
    }
}
