//! Whether a member's storage is consistent with its state in memory.

use crate::position::Position;

/// Whether the storage contains what the member has in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StorageHealth {
    /// The storage durably contains the state in memory.
    Consistent,
    /// A write failed: the storage may contain all, part or nothing of what was written. Before, it had
    /// confirmed this progress.
    OutcomeUnknown(Progress),
    /// The storage was read again into memory. A power failure may lose the contents until a segment is
    /// started.
    NotDurable,
}

/// The progress that a storage has confirmed. It never decreases unless synced data is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    /// Number of the view.
    pub(super) view: u64,
    /// Number of the view that was voted on last, and the highest proposal number that was promised for it.
    pub(super) promised: (u64, u64),
    /// The position in the chain's history; the default position if the state was about to be replaced,
    /// possibly by a shorter history.
    pub(super) position: Position,
}

impl Progress {
    /// Whether this progress includes all of `earlier`.
    pub(super) fn includes(&self, earlier: &Progress) -> bool {
        let has_entries = self.position == earlier.position || self.position.index > earlier.position.index;
        self.view >= earlier.view && self.promised >= earlier.promised && has_entries
    }
}
