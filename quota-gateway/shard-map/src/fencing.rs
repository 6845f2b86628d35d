//! The cell's side of fencing: stores the epoch of each range and rejects writes under any other epoch.

use crate::map::{Epoch, Firm, FIRM_END};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Maximum number of ranges that a cell stores. Adjacent ranges with the same epoch and state are merged.
pub const MAX_RANGES: usize = 4096;

quick_error! {
    /// Reason why a cell rejected a write. The write was not executed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum EpochMismatch {
        /// The range is closed at this cell.
        Closed {
            display("the range is closed at this cell")
        }
        /// The range is open under this epoch, which differs from the epoch of the write.
        OtherEpoch(expected: Epoch) {
            display("the range is open under epoch {expected}")
        }
    }
}

impl EpochMismatch {
    /// Returns the epoch that the cell admits, or `None` if the range is closed.
    pub fn expected_epoch(self) -> Option<Epoch> {
        match self {
            EpochMismatch::Closed => None,
            EpochMismatch::OtherEpoch(expected) => Some(expected),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Range {
    first: Firm,
    epoch: Epoch,
    /// Whether writes under `epoch` are admitted; otherwise all writes are rejected.
    open: bool,
}

impl Range {
    /// Returns whether a change would undo a later one, because it lowers the epoch or reopens a range that
    /// was closed at the same epoch.
    fn rejects(&self, epoch: Epoch, open: bool) -> bool {
        self.epoch > epoch || (self.epoch == epoch && open && !self.open)
    }
}

/// The epochs of all firms at a cell. Ranges that were never set are closed at epoch 0.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EpochFence {
    ranges: Vec<Range>,
}

impl Default for EpochFence {
    fn default() -> EpochFence {
        EpochFence { ranges: vec![Range { first: 0, epoch: 0, open: false }] }
    }
}

impl EpochFence {
    /// Opens or closes the firms from `first` up to, but excluding, `end` at an epoch.
    ///
    /// Returns `false` and changes nothing if any of these firms has a higher epoch or, when opening, is
    /// closed at the same epoch. This way a late request of a previous owner opens nothing. Also returns
    /// `false` if the range or the epoch is invalid, or if there are too many ranges.
    pub fn set(&mut self, (first, end): (Firm, Firm), epoch: Epoch, open: bool) -> bool {
        if first >= end || end > FIRM_END || epoch == 0 || self.ranges.len() + 2 > MAX_RANGES {
            return false;
        }
        if self.overlapping(first, end).any(|range| range.rejects(epoch, open)) {
            return false;
        }
        self.split_at(first);
        self.split_at(end);
        for range in self.ranges.iter_mut().filter(|range| (first..end).contains(&range.first)) {
            (range.epoch, range.open) = (epoch, open);
        }
        self.ranges.dedup_by(|next, before| (next.epoch, next.open) == (before.epoch, before.open));
        true
    }

    /// Admits a write only under the current epoch of its range. A write under a higher epoch is rejected
    /// too, because the records that it belongs to may not have been copied to this cell yet.
    ///
    /// # Errors
    ///
    /// [`EpochMismatch`] if the range is closed or has another epoch.
    pub fn admit(&self, firm: Firm, epoch: Epoch) -> Result<(), EpochMismatch> {
        let range = &self.ranges[self.index(firm)];
        if !range.open {
            Err(EpochMismatch::Closed)
        } else if range.epoch != epoch {
            Err(EpochMismatch::OtherEpoch(range.epoch))
        } else {
            Ok(())
        }
    }

    /// Returns the epoch of a firm's range.
    pub fn epoch(&self, firm: Firm) -> Epoch {
        self.ranges[self.index(firm)].epoch
    }

    fn index(&self, firm: Firm) -> usize {
        self.ranges.partition_point(|range| range.first <= firm).saturating_sub(1)
    }

    /// Returns the ranges that overlap the firms from `first` up to, but excluding, `end`.
    fn overlapping(&self, first: Firm, end: Firm) -> impl Iterator<Item = &Range> {
        let ends = self.ranges.iter().skip(1).map(|next| next.first).chain([FIRM_END]);
        let has_firms = move |(range, range_end): &(&Range, Firm)| range.first < end && first < *range_end;
        self.ranges.iter().zip(ends).filter(has_firms).map(|(range, _)| range)
    }

    /// Splits the range of a firm so that a range begins at this firm.
    fn split_at(&mut self, firm: Firm) {
        if firm >= FIRM_END {
            return;
        }
        let index = self.index(firm);
        if self.ranges[index].first != firm {
            self.ranges.insert(index + 1, Range { first: firm, ..self.ranges[index] });
        }
    }
}
