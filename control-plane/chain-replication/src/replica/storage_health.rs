//! What a member knows of its storage.

use crate::position::Position;

/// Whether the storage contains what the member has in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StorageHealth {
    /// It does, durably.
    Consistent,
    /// A write failed: the storage may contain what was written, or not, or a part of it. It had confirmed this before.
    OutcomeUnknown(Progress),
    /// It was read anew, and is what the member has in memory. It may be lost with the power until a segment is started.
    NotDurable,
}

/// What a storage has confirmed. It only grows while nothing that was synced is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Progress {
    /// Number of the view.
    pub(super) view: u64,
    /// Number of the view that was voted on last, and the highest proposal number that was promised for it.
    pub(super) promised: (u64, u64),
    /// The position in the chain's history; the first one where the state was about to be replaced, perhaps by a shorter
    /// history.
    pub(super) position: Position,
}

impl Progress {
    /// Whether this contains all of `earlier`.
    pub(super) fn includes(&self, earlier: &Progress) -> bool {
        let has_entries = self.position == earlier.position || self.position.index > earlier.position.index;
        self.view >= earlier.view && self.promised >= earlier.promised && has_entries
    }
}
