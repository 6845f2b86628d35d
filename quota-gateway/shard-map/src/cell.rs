//! The requests of the owner of the shard map to a cell, and how a cell handles them. Both sides use these
//! definitions.
//!
//! Requests and replies are frames (`marblecroft_control_messages::frame`). Each request is followed by its
//! reply on the same connection.

use crate::fencing::{EpochFence, EpochMismatch};
use crate::map::{Cell, Epoch, Firm, FIRM_END};
use crate::migration::CellOperation;
use marblecroft_control_messages::frame::{Kind, Message};
use serde::{Deserialize, Serialize};

/// A request under the owner's fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRequest {
    /// The fencing token under which the owner holds its role.
    pub token: u64,
    /// The requested operation.
    pub operation: CellOperation,
}

/// A cell's reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellReply {
    /// The operation is complete, by this request or an earlier one.
    Done,
    /// Earlier attempts are still in flight, or the copy is incomplete: the owner repeats the request.
    InProgress,
    /// The range has a higher epoch at this cell, or was closed at this epoch: nothing was changed.
    Higher,
    /// An earlier request had a higher token: the sender is no longer the owner.
    Fenced {
        /// The higher token.
        token: u64,
    },
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

/// The state of a cell: its fence and the highest token of any request. The caller stores and copies the
/// records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellState {
    /// The epochs of the ranges at this cell.
    pub fence: EpochFence,
    token: u64,
    /// Number of requests that were rejected because an earlier one had a higher token.
    pub fenced_requests: u64,
}

/// Action that the caller must take to handle a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellAction {
    /// Send this reply.
    Reply(CellReply),
    /// Reply [`CellReply::Done`] once no admitted write to this range (first firm, first firm after it) is in
    /// flight.
    AwaitDrained((Firm, Firm)),
    /// Copy all records of the range to the other cell, then reply [`CellReply::Done`].
    Copy {
        /// The other cell.
        to: Cell,
        /// The first firm, and the first firm after the range.
        range: (Firm, Firm),
    },
}

impl CellState {
    /// Handles a request, which may be repeated or late.
    pub fn handle_request(&mut self, request: &CellRequest) -> CellAction {
        if request.token < self.token {
            self.fenced_requests += 1;
            return CellAction::Reply(CellReply::Fenced { token: self.token });
        }
        self.token = request.token;
        match request.operation {
            CellOperation::Close { range, epoch, .. } if self.fence.set(range, epoch, false) => {
                CellAction::AwaitDrained(range)
            }
            CellOperation::Open { range, epoch, .. } if self.fence.set(range, epoch, true) => {
                CellAction::Reply(CellReply::Done)
            }
            CellOperation::Close { .. } | CellOperation::Open { .. } => CellAction::Reply(CellReply::Higher),
            CellOperation::Copy { to, range, .. } => CellAction::Copy { to, range },
        }
    }

    /// Admits a write under an epoch.
    ///
    /// # Errors
    ///
    /// As [`EpochFence::admit`].
    pub fn admit(&self, firm: Firm, epoch: Epoch) -> Result<(), EpochMismatch> {
        self.fence.admit(firm, epoch)
    }
}
