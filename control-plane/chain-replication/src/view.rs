//! Views: the members of the chain, their order, and the voters on the next view.
//!
//! The encoded types in this module are stored and sent: their fields keep their order and types.

use musli::{Decode, Encode};
use std::net::SocketAddr;

/// A member of a chain: one process with one disk.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Address at which the other members call it.
    pub address: SocketAddr,
    /// Assigned when its disk was first found empty. A machine that has lost its disk is a new member, so
    /// that no process relies on it for the data of the lost disk.
    pub identity: u64,
    /// Name of its node; empty for a founder, for which the settings contain only the address.
    pub node_name: String,
}

/// A numbered configuration of a chain. Number 0 means that the process has no view yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct View {
    /// Number of the view; views follow each other without gaps.
    pub number: u64,
    /// The members from the head to the tail. Every acknowledged operation is stored by all of them.
    pub members: Vec<Member>,
    /// The processes that decide on the next view by majority: the members, and others that may be behind or
    /// unreachable. The temporary loss of a member changes the chain but not the set of voters. Empty if
    /// another service decides on views.
    pub voters: Vec<Member>,
}

/// The member that follows another in a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Successor<'a> {
    /// The member.
    pub member: &'a Member,
    /// Number of members from this one to the tail, both included.
    pub members_to_tail: usize,
}

impl View {
    /// Returns the member that orders operations.
    pub fn head(&self) -> Option<&Member> {
        self.members.first()
    }

    /// Whether the process with this identity is a member.
    pub fn contains(&self, identity: u64) -> bool {
        self.position_of(identity).is_some()
    }

    /// Returns the index of a member in the chain, counted from the head.
    pub fn position_of(&self, identity: u64) -> Option<usize> {
        self.members.iter().position(|member| member.identity == identity)
    }

    /// Returns the member that follows a member; `None` for the tail, and for an identity that is not a
    /// member.
    pub fn successor_of(&self, identity: u64) -> Option<Successor<'_>> {
        let next = self.position_of(identity)? + 1;
        let member = self.members.get(next)?;
        Some(Successor { member, members_to_tail: self.members.len() - next })
    }

    /// Returns the members' addresses in order, separated by spaces, for logs.
    pub fn addresses(&self) -> String {
        let addresses: Vec<String> = self.members.iter().map(|member| member.address.to_string()).collect();
        addresses.join(" ")
    }

    /// Whether the process with this identity votes on the next view.
    pub fn is_voter(&self, identity: u64) -> bool {
        self.voters.iter().any(|voter| voter.identity == identity)
    }

    /// Returns the smallest number of voters that is more than half of them.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
