//! The newest entries. A member that is slightly behind catches up from them, without a transfer of the
//! complete state.

use crate::position::Position;
use marblecroft_rpc::Bytes;
use std::collections::VecDeque;

/// Upper bound of the total size of the retained entries in bytes.
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
        // The newest entry is always retained, as the successor has not received it yet.
        while self.bytes > MAX_RETAINED_BYTES && self.entries.len() > 1 {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.entry.len();
        }
    }

    /// Returns the entries after a position; `None` if they are no longer retained, or if the position
    /// belongs to another history.
    pub fn since(&self, position: Position) -> Option<Vec<Bytes>> {
        let first = self.entries.iter().position(|recent| recent.previous == position)?;
        Some(self.entries.iter().skip(first).map(|recent| Bytes(recent.entry.clone())).collect())
    }

    pub fn clear(&mut self) {
        *self = RecentEntries::default();
    }
}
