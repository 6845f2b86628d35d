//! The cell's side where pay servers fence: the epoch of each range is stored, and writes under another one are rejected.

use crate::map::{Epoch, Firm, FIRM_END};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// The largest number of ranges that a cell stores; adjacent ranges in the same state are one.
pub const MAX_RANGES: usize = 4096;

quick_error! {
    /// Why a cell rejected a write. The write was not executed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum EpochMismatch {
        /// The range is closed at this cell.
        Closed {
            display("the range is closed at this cell")
        }
        /// The range is open under this epoch, which is another one than the write's.
        OtherEpoch(expected: Epoch) {
            display("the range is open under epoch {expected}")
        }
    }
}

impl EpochMismatch {
    /// Returns the epoch that the cell admits; `None` if it is closed.
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
    /// Whether writes under the epoch are admitted, or none at all.
    open: bool,
}

impl Range {
    /// Whether a change to an epoch would undo a later one: to a lower epoch, or an opening of what was closed at its epoch.
    fn rejects(&self, epoch: Epoch, open: bool) -> bool {
        self.epoch > epoch || (self.epoch == epoch && open && !self.open)
    }
}

/// The epochs of all firms at a cell; those that were never set are closed at epoch 0.
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
    /// Sets the epoch of the firms from `first` up to, but without, `end`, open or closed.
    ///
    /// Returns `false`, and changes nothing, if any of them has a higher epoch or is closed at the same one, so that a previous
    /// owner's late request opens nothing; and if the range is not valid or there are too many.
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

    /// Admits a write under exactly the epoch of its range. One under a higher epoch is rejected too: the records that it
    /// belongs to may not have been copied to this cell yet.
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

    /// The ranges that have firms from `first` up to `end`.
    fn overlapping(&self, first: Firm, end: Firm) -> impl Iterator<Item = &Range> {
        let ends = self.ranges.iter().skip(1).map(|next| next.first).chain([FIRM_END]);
        let has_firms = move |(range, range_end): &(&Range, Firm)| range.first < end && first < *range_end;
        self.ranges.iter().zip(ends).filter(has_firms).map(|(range, _)| range)
    }

    /// Splits a range so that one begins at a firm.
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
