//! The statuses that other coordinators have replied with.

use marblecroft_chain_replication::{Member, Status, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The statuses of the processes that replied, by address.
#[derive(Default)]
pub(super) struct PeerStatuses(BTreeMap<SocketAddr, Status>);

impl PeerStatuses {
    pub(super) fn insert(&mut self, address: SocketAddr, status: Status) {
        self.0.insert(address, status);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The statuses in ascending order of the addresses.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Status)> {
        self.0.iter()
    }

    /// The status of whichever process replied at a member's address.
    pub(super) fn at_address_of(&self, member: &Member) -> Option<&Status> {
        self.0.get(&member.address)
    }

    /// The status of this very member.
    pub(super) fn of_member(&self, member: &Member) -> Option<&Status> {
        self.at_address_of(member).filter(|status| status.identity == member.identity)
    }

    /// Whether a member has replied that it holds everything that was acknowledged in `view`.
    pub(super) fn is_complete(&self, member: &Member, view: &View) -> bool {
        self.of_member(member).is_some_and(|status| status.complete && status.view.number == view.number)
    }

    /// Whether a member has replied that it is in `view` and does not hold everything, or that its disk failed.
    pub(super) fn is_incomplete(&self, member: &Member, view: &View) -> bool {
        self.of_member(member).is_some_and(|status| !status.complete && status.view.number == view.number)
    }

    /// Whether a member's disk is known to be lost: its machine replies with another identity.
    pub(super) fn is_lost(&self, member: &Member) -> bool {
        self.at_address_of(member).is_some_and(|status| status.identity != member.identity)
    }

    /// Whether the process at a member's address is terminating, or should not be a member.
    pub(super) fn is_draining(&self, member: &Member) -> bool {
        self.at_address_of(member).is_some_and(|status| status.draining)
    }
}
