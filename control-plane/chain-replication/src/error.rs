//! Why an operation has no result, and why a member's stored state cannot be used.

use marblecroft_rpc::DecodeError;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// Why an operation or a read has no result. The variant says whether the operation may have been applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposalError {
        /// Another process, at this address, is the head, or no head is known. The operation was not applied.
        NotHead(head: Option<SocketAddr>) {
            display("another process is the head")
        }
        /// The chain has fewer members than [`Config::min_replicas`](crate::Config::min_replicas), or the operation's
        /// deadline passed while it was queued. The operation was not applied.
        NotEnoughReplicas {
            display("too few copies would be made")
        }
        /// The operation may have been applied, or may be applied later.
        OutcomeUnknown {
            display("outcome unknown")
        }
    }
}

quick_error! {
    /// Why a state, recovered from storage or received from another member, cannot be used.
    #[derive(Debug)]
    pub enum RecoveryError {
        /// The checkpoint at the start of a segment cannot be decoded.
        Checkpoint(error: DecodeError) {
            display("checkpoint: {}", error)
            source(error)
        }
        /// A record behind the checkpoint cannot be decoded.
        Record(error: DecodeError) {
            display("record: {}", error)
            source(error)
        }
        /// [`StateMachine::restore`](crate::StateMachine::restore) cannot read a snapshot.
        Snapshot {
            display("state")
        }
        /// A write failed earlier, and the storage has not been read anew since.
        Suspended {
            display("a write failed earlier; the storage is yet to be read anew")
        }
        /// The storage returned an error.
        Storage(error: io::Error) {
            display("{}", error)
            source(error)
            from()
        }
    }
}

impl From<RecoveryError> for io::Error {
    fn from(error: RecoveryError) -> io::Error {
        match error {
            RecoveryError::Storage(error) => error,
            RecoveryError::Suspended => io::Error::other(error),
            unreadable => io::Error::new(io::ErrorKind::InvalidData, unreadable),
        }
    }
}
