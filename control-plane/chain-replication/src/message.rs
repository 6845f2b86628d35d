//! What members of a chain tell each other.

use crate::replica::Position;
use crate::view::View;
use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};
use std::net::SocketAddr;

/// Names one round of one head's process. Rounds of another session, or of another view, prove nothing about each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Round {
    /// Drawn when the head's process started.
    pub session: u64,
    /// Counts the head's attempts to pass something down the chain, from 1.
    pub number: u64,
    /// The last round of this session and view that went through the whole chain; 0 where none did.
    pub confirmed: u64,
}

impl Round {
    /// Whether the round directly before this one went through the whole chain.
    pub fn follows_committed_round(&self) -> bool {
        self.confirmed > 0 && self.confirmed + 1 >= self.number
    }
}

/// From a member to the one that follows it: entries, or none as a heartbeat.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Append {
    pub view: View,
    pub round: Round,
    /// Where the entries begin.
    pub previous: Position,
    pub entries: Vec<Bytes>,
    /// Where they end: the sender's position.
    pub last: Position,
    /// Volatile data that the head gives to all members.
    pub broadcast: Bytes,
}

/// The answer to an [`Append`] or an [`Install`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum AppendReply {
    /// The member and all that follow it hold everything up to the sender's position, so many of them on a disk.
    Accepted { durable_replicas: usize },
    /// The member's state is another one; it is at this position.
    Mismatch(Position),
    /// The member knows of a newer view.
    StaleView(View),
    /// The process is not the member that the view names.
    NotMember,
    /// The member's own disk refused.
    StorageError,
    /// A member further down the chain does not answer, or refuses.
    DownstreamFailed(SocketAddr),
}

/// A whole state, for a member whose own is another one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Install {
    pub view: View,
    pub position: Position,
    pub machine: Bytes,
}

/// What a process says of itself.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Status {
    pub identity: u64,
    pub view: View,
    /// Whether it holds everything that was acknowledged, as far as it knows.
    pub complete: bool,
    pub position: Position,
    /// Whether its state is known to be acknowledged by the whole chain.
    pub committed: bool,
    /// A member further down the chain that has failed its part for a while.
    pub suspect: Option<SocketAddr>,
    /// Whether its process is about to end, and is to be left out.
    pub draining: bool,
}
