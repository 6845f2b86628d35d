//! A gateway's side: whether and where a pay run may be written, asked at the last moment before the write.

use crate::map::{Cell, Epoch, Firm, ShardMap};
use marblecroft_control_messages::published::{DecisionReader, Instant, Validity};
use std::time::Duration;

/// A ticket is asked for at the last moment, and is worth nothing this long after: where cells do not fence, the wait for the longest
/// attempt covers it.
pub const TICKET: Duration = Duration::from_millis(100);

/// Leave to write one firm's pay run at a cell under an epoch, until an instant of the gateway's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    cell: Cell,
    epoch: Epoch,
    until: Instant,
}

/// Why there is none. Nothing was written, so trying again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotNow {
    /// The map cannot be shown valid: whoever cannot read it is alone.
    Alone,
    /// Its book is on its way to another cell.
    Moving,
    /// No book holds such a firm.
    Unknown,
}

impl NotNow {
    /// When to come back.
    pub fn retry_after(self) -> Duration {
        match self {
            // Of the order of a move's pause.
            NotNow::Moving => Duration::from_millis(250),
            NotNow::Alone | NotNow::Unknown => Duration::from_millis(500),
        }
    }
}

impl Ticket {
    /// A ticket for a firm, if the map is valid now and its book is open.
    pub fn acquire(now: Instant, reader: &DecisionReader<ShardMap>, firm: Firm) -> Result<Ticket, NotNow> {
        let Validity::Valid(decision) = reader.validity(now) else { return Err(NotNow::Alone) };
        let until = reader.valid_until().unwrap_or(now).min(now + TICKET);
        let at = decision.body.find(firm).ok_or(NotNow::Unknown)?;
        let book = decision.body.shards[at];
        if !book.open() {
            return Err(NotNow::Moving);
        }
        Ok(Ticket { cell: book.cell, epoch: book.epoch, until })
    }

    /// Where it is for.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Where to write and the epoch to write under, at this moment; none once the map may be another one. A cell that fences
    /// checks the epoch all the same: this process may stop between here and there.
    pub fn write(&self, now: Instant) -> Option<(Cell, Epoch)> {
        (now < self.until).then_some((self.cell, self.epoch))
    }
}
