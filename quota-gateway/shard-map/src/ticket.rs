//! The gateway's side: whether and where a pay run may be written, checked immediately before the write.

use crate::map::{Cell, Epoch, Firm, ShardMap};
use marblecroft_control_messages::published::{DecisionReader, Instant, Validity};
use quick_error::quick_error;
use std::time::Duration;

/// Maximum validity of a ticket. If cells do not fence, the wait for the longest attempt covers this time
/// too.
pub const TICKET_TTL: Duration = Duration::from_millis(100);

/// Retry delay during a migration, on the order of the time for which a migration blocks writes.
const MIGRATING_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay without a valid map or shard.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

quick_error! {
    /// Reason why no ticket was issued. Nothing was written, so a retry is safe.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum TicketError {
        /// No map has been read, or the last one may have expired.
        NoValidMap {
            display("no shard map is valid")
        }
        /// The shard is being migrated to another cell.
        Migrating {
            display("the shard is being migrated")
        }
        /// The firm is in no shard.
        UnknownFirm {
            display("the firm is in no shard")
        }
    }
}

impl TicketError {
    /// Returns the time to wait before a retry.
    pub fn retry_after(self) -> Duration {
        match self {
            TicketError::Migrating => MIGRATING_RETRY_DELAY,
            TicketError::NoValidMap | TicketError::UnknownFirm => UNAVAILABLE_RETRY_DELAY,
        }
    }
}

/// Permission to write one firm's pay run at a cell under an epoch, until an instant of the gateway's
/// monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    cell: Cell,
    epoch: Epoch,
    expires_at: Instant,
}

impl Ticket {
    /// Acquires a ticket for a firm, valid for [`TICKET_TTL`] and no longer than the map.
    ///
    /// # Errors
    ///
    /// [`TicketError`] if the map is not valid at `now`, or the firm's shard is not open.
    pub fn acquire(
        now: Instant,
        reader: &DecisionReader<ShardMap>,
        firm: Firm,
    ) -> Result<Ticket, TicketError> {
        let Validity::Valid(decision) = reader.validity(now) else { return Err(TicketError::NoValidMap) };
        let expires_at = reader.valid_until().unwrap_or(now).min(now + TICKET_TTL);
        let index = decision.body.find(firm).ok_or(TicketError::UnknownFirm)?;
        let shard = decision.body.shards[index];
        if !shard.is_open() {
            return Err(TicketError::Migrating);
        }
        Ok(Ticket { cell: shard.cell, epoch: shard.epoch, expires_at })
    }

    /// Returns the cell that the ticket is for.
    pub fn cell(&self) -> Cell {
        self.cell
    }

    /// Returns the cell and the epoch for a write at `now`, or `None` if the ticket has expired. A cell that
    /// fences checks the epoch as well, because this process may be suspended between this check and the
    /// write.
    pub fn destination(&self, now: Instant) -> Option<(Cell, Epoch)> {
        (now < self.expires_at).then_some((self.cell, self.epoch))
    }
}
