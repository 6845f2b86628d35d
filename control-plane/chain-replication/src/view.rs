//! Views: which members form the chain, in which order.

use musli::{Decode, Encode};
use std::net::SocketAddr;

/// A member of a chain: one process with one disk.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Where the other members call it.
    pub address: SocketAddr,
    /// Drawn when its disk was first seen empty; a machine that lost its disk is another member.
    pub identity: u64,
    /// Name of its machine; empty for a founder, of whom the settings tell the address alone.
    pub node_name: String,
}

/// A numbered configuration of a chain. Number 0 means that the process knows of none yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct View {
    pub number: u64,
    /// The head first, the tail last. Everything that is acknowledged is on all their disks.
    pub members: Vec<Member>,
    /// Who decides on the next view, by majority: the members, and others that may be behind or out of reach. Losing members
    /// for a while changes the chain, and not who votes. Empty where somebody else decides.
    pub voters: Vec<Member>,
}

impl View {
    /// The member that orders operations.
    pub fn head(&self) -> Option<&Member> {
        self.members.first()
    }

    /// Whether this identity is a member.
    pub fn contains(&self, identity: u64) -> bool {
        self.position_of(identity).is_some()
    }

    /// Place of a member in the chain, counted from the head.
    pub fn position_of(&self, identity: u64) -> Option<usize> {
        self.members.iter().position(|member| member.identity == identity)
    }

    /// The member that follows, and how many members there are from it to the tail.
    pub fn successor_of(&self, identity: u64) -> Option<(&Member, usize)> {
        let next = self.position_of(identity)? + 1;
        Some((self.members.get(next)?, self.members.len() - next))
    }

    /// Where the members are called, in order, for logs.
    pub fn addresses(&self) -> String {
        let addresses: Vec<String> = self.members.iter().map(|member| member.address.to_string()).collect();
        addresses.join(" ")
    }

    /// Whether this identity votes on the next view.
    pub fn is_voter(&self, identity: u64) -> bool {
        self.voters.iter().any(|voter| voter.identity == identity)
    }

    /// Voters that are more than half.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
