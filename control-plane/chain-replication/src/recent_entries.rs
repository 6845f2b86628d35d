//! The newest entries, which bring a member that is a little behind up to date without a complete state.

use crate::position::Position;
use marblecroft_rpc::Bytes;
use std::collections::VecDeque;

/// Entries that are retained, in bytes.
const MAX_RETAINED_BYTES: usize = 8 << 20;

struct RecentEntry {
    previous: Position,
    entry: Vec<u8>,
}

/// A bounded suffix of the log.
#[derive(Default)]
pub(crate) struct RecentEntries {
    entries: VecDeque<RecentEntry>,
    bytes: usize,
}

impl RecentEntries {
    pub fn push(&mut self, previous: Position, entry: Vec<u8>) {
        self.bytes += entry.len();
        self.entries.push_back(RecentEntry { previous, entry });
        // The newest is always retained: the successor has yet to receive it.
        while self.bytes > MAX_RETAINED_BYTES && self.entries.len() > 1 {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.entry.len();
        }
    }

    /// The entries from a position on; `None` where they are not retained, or the position is of another history.
    pub fn since(&self, position: Position) -> Option<Vec<Bytes>> {
        let first = self.entries.iter().position(|recent| recent.previous == position)?;
        Some(self.entries.iter().skip(first).map(|recent| Bytes(recent.entry.clone())).collect())
    }

    pub fn clear(&mut self) {
        *self = RecentEntries::default();
    }
}
