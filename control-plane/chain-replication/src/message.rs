//! The messages between members of a chain.
//!
//! Processes of different releases exchange the encoded types in this module: their fields and variants keep
//! their order and types.

use crate::position::Position;
use crate::view::View;
use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};
use std::net::SocketAddr;

/// Identifies a round that a process starts as the head. A round proves nothing about rounds of another
/// session or view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Round {
    /// Random number that the head's process drew at its start.
    pub session: u64,
    /// Counts the head's messages to its successor, from 1.
    pub number: u64,
    /// The last round of this session and view that went through the complete chain; 0 if there is none.
    pub confirmed: u64,
}

impl Round {
    /// Whether the round directly before this one went through the complete chain.
    pub fn follows_committed_round(&self) -> bool {
        self.confirmed > 0 && self.confirmed + 1 >= self.number
    }
}

/// Sent by a member to its successor: entries, or none as a heartbeat.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Append {
    /// The sender's view.
    pub view: View,
    /// The head's round that this message is part of.
    pub round: Round,
    /// The position before the first entry.
    pub previous: Position,
    /// The encoded entries.
    pub entries: Vec<Bytes>,
    /// The position after the last entry: the sender's own.
    pub last: Position,
    /// Volatile data that the head sends to all members.
    pub broadcast: Bytes,
}

/// The reply to an [`Append`] or an [`Install`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AppendReply {
    /// The members from the recipient to the tail have reached the sender's position.
    Accepted {
        /// Number of them whose storage is durable.
        durable_replicas: usize,
    },
    /// The message does not continue the recipient's state, which is at this position.
    Mismatch(Position),
    /// The recipient has a newer view, which is this one.
    StaleView(View),
    /// The recipient is not a member of the message's view.
    NotMember,
    /// The recipient's storage failed.
    StorageError,
    /// The member at this address, further down the chain, does not reply or rejects the round.
    DownstreamFailed(SocketAddr),
}

/// The sender's complete state, for a member whose own state belongs to another history or is too far behind.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Install {
    /// The sender's view.
    pub view: View,
    /// The position of the state.
    pub position: Position,
    /// A snapshot of the state machine.
    pub machine: Bytes,
}

/// The status that a process reports to others.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Status {
    /// Its identity as a member.
    pub identity: u64,
    /// The newest view that it has installed.
    pub view: View,
    /// Whether it has every acknowledged operation, as far as it can determine.
    pub complete: bool,
    /// The position of its state.
    pub position: Position,
    /// Whether every member is known to have its state.
    pub committed: bool,
    /// A member further down the chain that has been failing for
    /// [`Config::suspect_timeout`](crate::Config::suspect_timeout) or longer.
    pub suspect: Option<SocketAddr>,
    /// Whether its process is about to exit, and should be excluded from the next view.
    pub draining: bool,
}
