//! Errors of operations and reads, and errors in the recovery of a member's state.

use marblecroft_rpc::DecodeError;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// The reason why an operation or a read has no result. The variant indicates whether the operation may
    /// have been applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ProposalError {
        /// Another process, at this address, is the head, or no head is known. The operation was not applied.
        NotHead(head: Option<SocketAddr>) {
            display("another process is the head")
        }
        /// The chain has fewer members than [`Config::min_replicas`](crate::Config::min_replicas), or the operation's
        /// deadline passed while it was queued. The operation was not applied.
        NotEnoughReplicas {
            display("not enough replicas")
        }
        /// The operation may have been applied, or may be applied later.
        OutcomeUnknown {
            display("outcome unknown")
        }
    }
}

quick_error! {
    /// The reason why a state that was recovered from storage or received from another member cannot be used.
    #[derive(Debug)]
    pub enum RecoveryError {
        /// The checkpoint at the start of a segment cannot be decoded.
        Checkpoint(error: DecodeError) {
            display("checkpoint: {}", error)
            source(error)
        }
        /// A record after the checkpoint cannot be decoded.
        Record(error: DecodeError) {
            display("record: {}", error)
            source(error)
        }
        /// [`StateMachine::restore`](crate::StateMachine::restore) cannot decode a snapshot.
        Snapshot {
            display("state")
        }
        /// A write failed earlier, and the storage has not been recovered since.
        Suspended {
            display("a write failed earlier, and the storage has not been recovered since")
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
