//! The storage interface of a replica, and the records that a replica stores.
//!
//! The encoded types in this module are stored: their fields and variants keep their order and types.

use crate::position::Position;
use crate::view::View;
use marblecroft_rpc::Bytes;
use marblecroft_wal::{Recovered, Wal};
use musli::{Decode, Encode};
use std::io;

/// A log in segments, each of which begins with a checkpoint.
pub trait Storage {
    /// Appends records, which are durable on return.
    ///
    /// # Errors
    ///
    /// After an error it is unknown whether the records are durable, and nothing can be appended until a
    /// segment is started.
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()>;

    /// Starts a segment with a checkpoint, which is durable on return and replaces everything before it.
    ///
    /// # Errors
    ///
    /// After an error a recovery finds either this segment or the one before it.
    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()>;

    /// Reads the complete contents again, as the next process would. Records can be appended after a segment
    /// was started.
    ///
    /// Until then the contents may be only in the operating system's cache, and a power failure may lose
    /// them.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage cannot be read.
    fn recover(&mut self) -> io::Result<Recovered>;

    /// Whether records can be appended.
    fn is_writable(&self) -> bool;

    /// Returns the size in bytes of the records after the checkpoint.
    fn record_bytes(&self) -> u64;
}

impl Storage for Wal {
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        Wal::append(self, records)
    }

    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()> {
        Wal::start_segment(self, checkpoint)
    }

    fn recover(&mut self) -> io::Result<Recovered> {
        Wal::recover(self)
    }

    fn is_writable(&self) -> bool {
        Wal::is_writable(self)
    }

    fn record_bytes(&self) -> u64 {
        Wal::record_bytes(self)
    }
}

/// The storage of a member on a machine without a disk: it stores nothing. The member must not be configured as
/// [durable](crate::Config::is_durable).
pub struct NullStorage;

impl Storage for NullStorage {
    fn append(&mut self, _: &[&[u8]]) -> io::Result<()> {
        Ok(())
    }

    fn start_segment(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn recover(&mut self) -> io::Result<Recovered> {
        Ok(Recovered::default())
    }

    fn is_writable(&self) -> bool {
        true
    }

    fn record_bytes(&self) -> u64 {
        0
    }
}

/// A voter's promise and accepted view, for the view number that follows its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Vote {
    /// Number of the view that is voted on.
    pub instance: u64,
    /// The highest proposal number that was promised.
    pub promised: u64,
    /// The view that was accepted last, if one was.
    pub accepted: Option<Accepted>,
}

/// A view that a voter has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Accepted {
    /// Number of the proposal.
    pub proposal_number: u64,
    /// The proposed view.
    pub view: View,
}

/// The complete durable state of a replica.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Checkpoint {
    pub identity: u64,
    pub view: View,
    pub complete: bool,
    pub vote: Vote,
    pub position: Position,
    pub machine: Bytes,
}

/// A change of the durable state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum Record {
    Entry(Bytes),
    View { view: View, complete: bool },
    Vote(Vote),
}
