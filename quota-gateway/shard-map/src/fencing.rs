//! A cell's side, where pay servers fence: each range's epoch, remembered, and lower ones turned away. It only rises.

use crate::map::{Epoch, Firm, FIRM_END};
use serde::{Deserialize, Serialize};

/// What a write under another epoch is told: that it never ran, and which epoch is due; nothing is open here if there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Due(pub Option<Epoch>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Range {
    first: Firm,
    epoch: Epoch,
    /// Whether writes under the epoch are taken, or none at all.
    open: bool,
}

/// A cell's account of all firms; those that it was never told of are at epoch 0 and shut.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EpochFence {
    ranges: Vec<Range>,
}

/// Ranges that a cell keeps account of; neighbours that are alike are one.
pub const MAX_RANGES: usize = 4096;

impl Default for EpochFence {
    fn default() -> EpochFence {
        EpochFence { ranges: vec![Range { first: 0, epoch: 0, open: false }] }
    }
}

impl EpochFence {
    fn at(&self, firm: Firm) -> usize {
        self.ranges.partition_point(|range| range.first <= firm).saturating_sub(1)
    }

    /// Cuts a range in two where a firm begins one.
    fn split_at(&mut self, firm: Firm) {
        if firm >= FIRM_END {
            return;
        }
        let at = self.at(firm);
        if self.ranges[at].first != firm {
            self.ranges.insert(at + 1, Range { first: firm, ..self.ranges[at] });
        }
    }

    /// From now on firms from `first` up to `end` are at this epoch, open or shut. False, and nothing is changed, where any of
    /// them is at a higher one, or at the same and shut: an old owner that woke late opens nothing.
    pub fn set(&mut self, (first, end): (Firm, Firm), epoch: Epoch, open: bool) -> bool {
        if first >= end || end > FIRM_END || epoch == 0 || self.ranges.len() + 2 > MAX_RANGES {
            return false;
        }
        let touched = self.ranges.iter().enumerate().filter(|(at, range)| {
            let next = self.ranges.get(at + 1).map_or(FIRM_END, |next| next.first);
            range.first < end && first < next
        });
        let newer = |range: &Range| range.epoch > epoch || (range.epoch == epoch && open && !range.open);
        if touched.clone().any(|(_, range)| newer(range)) {
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

    /// Whether a write under an epoch is taken. One under a higher epoch than this cell knows is not: what it would be written
    /// beside may not be here yet.
    pub fn admit(&self, firm: Firm, epoch: Epoch) -> Result<(), Due> {
        let range = &self.ranges[self.at(firm)];
        if range.open && range.epoch == epoch {
            Ok(())
        } else {
            Err(Due(range.open.then_some(range.epoch)))
        }
    }

    /// The epoch that a firm's range has here.
    pub fn epoch(&self, firm: Firm) -> Epoch {
        self.ranges[self.at(firm)].epoch
    }
}
