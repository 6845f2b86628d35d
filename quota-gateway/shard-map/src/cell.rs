//! What a steward asks of a cell, and a cell's side of it: one definition for both ends. Frames as all of the fleet's
//! (`marblecroft_control_messages::frame`), an answer behind each ask on the same connection.

use crate::fence::{Due, Fence};
use crate::map::{Epoch, Firm, FIRM_END};
use crate::moves::Ask;
use marblecroft_control_messages::frame::{Kind, Message};
use serde::{Deserialize, Serialize};

/// An ask under the owner's token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    pub token: u64,
    pub ask: Ask,
}

/// What a cell says to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// It is done, now or before.
    Done,
    /// Begun and not at its end: attempts of before are out, or the copy is on its way. To be asked again.
    NotYet,
    /// The range is at a higher epoch here: nothing was changed.
    Higher,
    /// A higher token has asked: whoever asks owns the duty no longer.
    Fenced { token: u64 },
}

impl Ask {
    pub fn range(&self) -> (Firm, Firm) {
        let (Ask::Shut { range, .. } | Ask::Copy { range, .. } | Ask::Open { range, .. }) = self;
        *range
    }

    pub fn epoch(&self) -> Epoch {
        let (Ask::Shut { epoch, .. } | Ask::Copy { epoch, .. } | Ask::Open { epoch, .. }) = self;
        *epoch
    }
}

impl Message for Asked {
    const KIND: Kind = Kind::CellAsked;

    fn sensible(&self) -> bool {
        let (first, end) = self.ask.range();
        self.token > 0 && self.ask.epoch() > 0 && first < end && end <= FIRM_END
    }
}

impl Message for Said {
    const KIND: Kind = Kind::CellSaid;

    fn sensible(&self) -> bool {
        true
    }
}

/// A cell's side: its fence, and the highest token that has asked it anything. What is written and copied is its shell's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    pub fence: Fence,
    token: u64,
    /// Asks under a token below one that came before.
    pub late: u64,
}

/// What an ask needs of the cell's shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Needs {
    /// Nothing: it is answered.
    Nothing(Said),
    /// Done once nothing that was admitted of this range is out.
    Quiet((Firm, Firm)),
    /// Done once the other cell has all that is here of this range.
    Copy { to: crate::map::Cell, range: (Firm, Firm) },
}

impl Keeper {
    /// Takes an ask. Each can come twice, and late.
    pub fn take(&mut self, asked: &Asked) -> Needs {
        if asked.token < self.token {
            self.late += 1;
            return Needs::Nothing(Said::Fenced { token: self.token });
        }
        self.token = asked.token;
        let said = |done: bool| Needs::Nothing(if done { Said::Done } else { Said::Higher });
        match asked.ask {
            Ask::Shut { range, epoch, .. } if self.fence.set(range, epoch, false) => Needs::Quiet(range),
            Ask::Shut { .. } => said(false),
            Ask::Open { range, epoch, .. } => said(self.fence.set(range, epoch, true)),
            Ask::Copy { to, range, .. } => Needs::Copy { to, range },
        }
    }

    /// Whether a write under an epoch is taken.
    pub fn admit(&self, firm: Firm, epoch: Epoch) -> Result<(), Due> {
        self.fence.admit(firm, epoch)
    }
}
