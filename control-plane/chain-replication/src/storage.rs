//! What a replica needs of a disk, and what it writes there.

use crate::replica::Position;
use crate::view::View;
use marblecroft_rpc::Bytes;
use marblecroft_wal::Wal;
use musli::{Decode, Encode};
use std::io;

/// A log whose segments begin with a checkpoint.
pub trait Storage {
    /// Writes records and syncs them.
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()>;
    /// Begins a segment with a checkpoint, which is durable on return.
    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()>;
    /// Whether records can be appended.
    fn is_writable(&self) -> bool;
    /// Bytes of records behind the checkpoint.
    fn record_bytes(&self) -> u64;
}

impl Storage for Wal {
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        Wal::append(self, records)
    }

    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()> {
        Wal::start_segment(self, checkpoint)
    }

    fn is_writable(&self) -> bool {
        Wal::is_writable(self)
    }

    fn record_bytes(&self) -> u64 {
        Wal::record_bytes(self)
    }
}

/// What a member keeps on a machine without a disk: nothing.
pub struct NullStorage;

impl Storage for NullStorage {
    fn append(&mut self, _: &[&[u8]]) -> io::Result<()> {
        Ok(())
    }

    fn start_segment(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn is_writable(&self) -> bool {
        true
    }

    fn record_bytes(&self) -> u64 {
        0
    }
}

/// What a member has promised and accepted for the view that follows its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Vote {
    /// Number of the view that is voted on.
    pub instance: u64,
    /// The highest ballot that was promised.
    pub promised: u64,
    pub accepted: Option<Accepted>,
}

/// A view that a member has accepted under a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Accepted {
    pub proposal_number: u64,
    pub view: View,
}

/// Everything that a replica keeps.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Checkpoint {
    pub identity: u64,
    pub view: View,
    pub complete: bool,
    pub vote: Vote,
    pub position: Position,
    pub machine: Bytes,
}

/// A change of it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) enum Record {
    Entry(Bytes),
    View { view: View, complete: bool },
    Vote(Vote),
}
