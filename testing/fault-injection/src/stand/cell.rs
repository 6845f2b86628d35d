//! A cell: what its pay servers share. Where books are written, and whether their writes are admitted.
//!
//! Models: records that outlive the pay servers' processes, and a fence beside them; with or without the ability to fence. Leaves
//! out: how a cell keeps them. A cell that is wiped has lost all of it.

use crate::history::Trace;
use marblecroft_shard_map::cell::{CellAction, CellReply, CellRequest, CellState};
use marblecroft_shard_map::fencing::EpochMismatch;
use marblecroft_shard_map::map::{Epoch, Firm};
use std::collections::{BTreeSet, HashMap};

/// The store of a cell: what was written, and under which epochs.
#[derive(Default)]
pub struct Cell {
    keeper: CellState,
    fencing: bool,
    /// Attempts that were admitted and have not ended, by whose book they write.
    out: HashMap<u64, Firm>,
    /// What is written, by firm.
    records: BTreeSet<(Firm, Trace)>,
}

/// What is left to do before an ask can be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Then {
    /// Reply.
    Say(CellReply),
    /// These records are to be at the other cell.
    Copy(u32, Vec<(Firm, Trace)>),
}

impl Cell {
    /// Returns an empty store.
    pub fn new(fencing: bool) -> Cell {
        Cell { fencing, ..Cell::default() }
    }

    /// A write comes, under an epoch where it names one.
    pub fn admit(&mut self, attempt: u64, firm: Firm, epoch: Option<Epoch>) -> Result<(), EpochMismatch> {
        if self.fencing {
            self.keeper.admit(firm, epoch.unwrap_or(0))?;
        }
        self.out.insert(attempt, firm);
        Ok(())
    }

    /// It begins to run: it is written.
    pub fn ran(&mut self, attempt: u64, trace: Trace) {
        if let Some(firm) = self.out.get(&attempt) {
            self.records.insert((*firm, trace));
        }
    }

    /// It can take effect no more.
    pub fn ended(&mut self, attempt: u64) {
        self.out.remove(&attempt);
    }

    /// Handles a call of the controller.
    pub fn ask(&mut self, asked: &CellRequest) -> Then {
        match self.keeper.handle_request(asked) {
            CellAction::Reply(said) => Then::Say(said),
            CellAction::AwaitDrained((first, end)) => {
                let quiet = !self.out.values().any(|firm| (first..end).contains(firm));
                Then::Say(if quiet { CellReply::Done } else { CellReply::InProgress })
            }
            CellAction::Copy { to, range: (first, end) } => {
                Then::Copy(to, self.records.range((first, 0)..(end, 0)).copied().collect())
            }
        }
    }

    /// Records of another cell come.
    pub fn copied(&mut self, records: Vec<(Firm, Trace)>) {
        self.records.extend(records);
    }

    /// Returns all writes, with their firms.
    pub fn written(&self) -> impl Iterator<Item = (Trace, Firm)> + '_ {
        self.records.iter().map(|(firm, trace)| (*trace, *firm))
    }

    /// Whether a write is there.
    pub fn holds(&self, firm: Firm, trace: Trace) -> bool {
        self.records.contains(&(firm, trace))
    }
}
