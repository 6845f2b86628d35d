//! What other coordinators have said of themselves.

use marblecroft_chain_replication::{Member, Status};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The processes that answered, by address.
#[derive(Default)]
pub(crate) struct PeerStatuses(BTreeMap<SocketAddr, Status>);

impl PeerStatuses {
    pub(crate) fn insert(&mut self, address: SocketAddr, status: Status) {
        self.0.insert(address, status);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Status)> {
        self.0.iter()
    }

    /// What was said at a member's address, by whichever process.
    pub(crate) fn at_address_of(&self, member: &Member) -> Option<&Status> {
        self.0.get(&member.address)
    }

    /// What a member has said.
    pub(crate) fn of_member(&self, member: &Member) -> Option<&Status> {
        self.at_address_of(member).filter(|status| status.identity == member.identity)
    }

    /// Whether a member's disk is known to be lost: its machine answers as another one.
    pub(crate) fn is_lost(&self, member: &Member) -> bool {
        self.at_address_of(member).is_some_and(|status| status.identity != member.identity)
    }

    /// Whether the process at a member's address is about to end, or is to be no member.
    pub(crate) fn is_draining(&self, member: &Member) -> bool {
        self.at_address_of(member).is_some_and(|status| status.draining)
    }
}
