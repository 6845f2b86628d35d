//! The bounded history of changes. Watches resume from it by revision.

use super::bounds;
use super::change::{Change, Changes};
use super::command::Revision;
use super::tables::State;

/// Estimated size of a change in a response in addition to its name and value, in bytes.
const CHANGE_OVERHEAD_BYTES: usize = 32;

impl State {
    pub(super) fn record(&mut self, change: Change) {
        self.revision += 1;
        self.changes.push_back((self.revision, change));
    }

    /// Drops the oldest changes beyond the limit. Runs after each command, not within one, so that rolling
    /// back a batch never has to restore dropped changes.
    pub(super) fn compact_history(&mut self) {
        while self.changes.len() > bounds::MAX_CHANGES {
            self.compacted = self.changes.pop_front().map_or(self.compacted, |(revision, _)| revision);
        }
    }

    /// Returns whether [`changes`](Self::changes) has anything to report for this prefix after this revision.
    pub fn has_changes(&self, prefix: &str, since: Revision) -> bool {
        !self.is_retained(since) || self.changes_after(prefix, since).next().is_some()
    }

    /// Returns the changes for a prefix after a revision: about `max_bytes` at most, but at least one change
    /// if there is any. The caller gets the rest by continuing from the returned revision.
    pub fn changes(&self, prefix: &str, since: Revision, max_bytes: usize) -> Changes {
        if !self.is_retained(since) {
            return Changes::Lost { now: self.revision };
        }
        let (mut bytes, mut last_revision, mut changes) = (0, self.revision, Vec::new());
        for (revision, change) in self.changes_after(prefix, since) {
            let value = if let Change::Value { value, .. } = change { value.len() } else { 0 };
            bytes += change.name().len() + value + CHANGE_OVERHEAD_BYTES;
            if bytes > max_bytes && !changes.is_empty() {
                last_revision = changes.last().map_or(since, |(revision, _)| *revision);
                break;
            }
            changes.push((*revision, change.clone()));
        }
        Changes::Changes { last_revision, changes }
    }

    fn is_retained(&self, since: Revision) -> bool {
        (self.compacted..=self.revision).contains(&since)
    }

    fn changes_after<'a>(
        &'a self,
        prefix: &'a str,
        since: Revision,
    ) -> impl Iterator<Item = &'a (Revision, Change)> + 'a {
        let from = self.changes.partition_point(|(revision, _)| *revision <= since);
        self.changes.range(from..).filter(move |(_, change)| change.name().starts_with(prefix))
    }
}
