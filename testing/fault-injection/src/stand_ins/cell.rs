//! The store of a cell, which its pay servers share: it holds the writes to shards and admits or refuses
//! them.
//!
//! Models: records that outlive the pay servers' processes, and epoch fencing of writes, which can be
//! disabled. Leaves out: how a cell stores the records. A cell that is wiped loses all of them.

use crate::history::Trace;
use marblecroft_shard_map::cell::{CellAction, CellReply, CellRequest, CellState};
use marblecroft_shard_map::fencing::EpochMismatch;
use marblecroft_shard_map::map::{Epoch, Firm};
use std::collections::{BTreeSet, HashMap};

/// The store of a cell: its records, and the state of its fencing.
#[derive(Default)]
pub struct Cell {
    state: CellState,
    fencing: bool,
    /// The firm of each attempt that was admitted and has not ended.
    in_flight: HashMap<u64, Firm>,
    /// The writes that have been made, by firm.
    records: BTreeSet<(Firm, Trace)>,
}

/// The next step of handling a controller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send this reply.
    Reply(CellReply),
    /// Copy these records to the cell with this number.
    Copy(u32, Vec<(Firm, Trace)>),
}

impl Cell {
    /// Returns an empty store.
    pub fn new(fencing: bool) -> Cell {
        Cell { fencing, ..Cell::default() }
    }

    /// Admits a write, or refuses it if fencing is enabled and its epoch does not match.
    pub fn admit(&mut self, attempt: u64, firm: Firm, epoch: Option<Epoch>) -> Result<(), EpochMismatch> {
        if self.fencing {
            self.state.admit(firm, epoch.unwrap_or(0))?;
        }
        self.in_flight.insert(attempt, firm);
        Ok(())
    }

    /// Records the write of an attempt that has started to run.
    pub fn ran(&mut self, attempt: u64, trace: Trace) {
        if let Some(firm) = self.in_flight.get(&attempt) {
            self.records.insert((*firm, trace));
        }
    }

    /// Ends an attempt, which can no longer take effect.
    pub fn ended(&mut self, attempt: u64) {
        self.in_flight.remove(&attempt);
    }

    /// Handles a request of a controller.
    pub fn handle_request(&mut self, request: &CellRequest) -> NextStep {
        match self.state.handle_request(request) {
            CellAction::Reply(reply) => NextStep::Reply(reply),
            CellAction::AwaitDrained((first, end)) => {
                let is_drained = !self.in_flight.values().any(|firm| (first..end).contains(firm));
                NextStep::Reply(if is_drained { CellReply::Done } else { CellReply::InProgress })
            }
            CellAction::Copy { to, range: (first, end) } => {
                NextStep::Copy(to, self.records.range((first, 0)..(end, 0)).copied().collect())
            }
        }
    }

    /// Inserts records that were copied from another cell.
    pub fn insert_copied(&mut self, records: Vec<(Firm, Trace)>) {
        self.records.extend(records);
    }

    /// Returns all writes, with their firms.
    pub fn written(&self) -> impl Iterator<Item = (Trace, Firm)> + '_ {
        self.records.iter().map(|(firm, trace)| (*trace, *firm))
    }

    /// Whether the cell holds a write.
    pub fn contains(&self, firm: Firm, trace: Trace) -> bool {
        self.records.contains(&(firm, trace))
    }
}
