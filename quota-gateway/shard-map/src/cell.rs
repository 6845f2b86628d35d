//! What a steward asks of a cell, and a cell's side of it: one definition for both ends. Frames as all of the fleet's
//! (`marblecroft_control_messages::frame`), an answer behind each ask on the same connection.

use crate::fencing::{Due, EpochFence};
use crate::map::{Epoch, Firm, FIRM_END};
use crate::moves::CellOperation;
use marblecroft_control_messages::frame::{Kind, Message};
use serde::{Deserialize, Serialize};

/// An ask under the owner's token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRequest {
    pub token: u64,
    pub operation: CellOperation,
}

/// What a cell says to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellReply {
    /// It is done, now or before.
    Done,
    /// Begun and not at its end: attempts of before are out, or the copy is on its way. To be asked again.
    InProgress,
    /// The range is at a higher epoch here: nothing was changed.
    Higher,
    /// A higher token has asked: whoever asks owns the duty no longer.
    Fenced { token: u64 },
}

impl CellOperation {
    pub fn range(&self) -> (Firm, Firm) {
        let (CellOperation::Close { range, .. }
        | CellOperation::Copy { range, .. }
        | CellOperation::Open { range, .. }) = self;
        *range
    }

    pub fn epoch(&self) -> Epoch {
        let (CellOperation::Close { epoch, .. }
        | CellOperation::Copy { epoch, .. }
        | CellOperation::Open { epoch, .. }) = self;
        *epoch
    }
}

impl Message for CellRequest {
    const KIND: Kind = Kind::CellRequest;

    fn is_valid(&self) -> bool {
        let (first, end) = self.operation.range();
        self.token > 0 && self.operation.epoch() > 0 && first < end && end <= FIRM_END
    }
}

impl Message for CellReply {
    const KIND: Kind = Kind::CellReply;

    fn is_valid(&self) -> bool {
        true
    }
}

/// A cell's side: its fence, and the highest token that has asked it anything. What is written and copied is its shell's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellState {
    pub fence: EpochFence,
    token: u64,
    /// Asks under a token below one that came before.
    pub late: u64,
}

/// What an ask needs of the cell's shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Needs {
    /// Nothing: it is answered.
    Nothing(CellReply),
    /// Done once nothing that was admitted of this range is out.
    Quiet((Firm, Firm)),
    /// Done once the other cell has all that is here of this range.
    Copy { to: crate::map::Cell, range: (Firm, Firm) },
}

impl CellState {
    /// Takes an ask. Each can come twice, and late.
    pub fn take(&mut self, asked: &CellRequest) -> Needs {
        if asked.token < self.token {
            self.late += 1;
            return Needs::Nothing(CellReply::Fenced { token: self.token });
        }
        self.token = asked.token;
        let said = |done: bool| Needs::Nothing(if done { CellReply::Done } else { CellReply::Higher });
        match asked.operation {
            CellOperation::Close { range, epoch, .. } if self.fence.set(range, epoch, false) => {
                Needs::Quiet(range)
            }
            CellOperation::Close { .. } => said(false),
            CellOperation::Open { range, epoch, .. } => said(self.fence.set(range, epoch, true)),
            CellOperation::Copy { to, range, .. } => Needs::Copy { to, range },
        }
    }

    /// Whether a write under an epoch is taken.
    pub fn admit(&self, firm: Firm, epoch: Epoch) -> Result<(), Due> {
        self.fence.admit(firm, epoch)
    }
}
