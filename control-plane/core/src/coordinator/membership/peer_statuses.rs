//! Statuses received from other coordinators.

use marblecroft_chain_replication::{Member, Status, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Statuses of the processes that replied, by address.
#[derive(Default)]
pub(super) struct PeerStatuses(BTreeMap<SocketAddr, Status>);

impl PeerStatuses {
    pub(super) fn insert(&mut self, address: SocketAddr, status: Status) {
        self.0.insert(address, status);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the statuses in ascending order of the addresses.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &Status)> {
        self.0.iter()
    }

    /// Returns the status of the process that replied at a member's address, whatever its identity.
    pub(super) fn at_address_of(&self, member: &Member) -> Option<&Status> {
        self.0.get(&member.address)
    }

    /// Returns the status of a member; `None` if it did not reply, or if another process replied at its
    /// address.
    pub(super) fn of_member(&self, member: &Member) -> Option<&Status> {
        self.at_address_of(member).filter(|status| status.identity == member.identity)
    }

    /// Returns whether a member reports that it holds everything that was acknowledged in `view`.
    pub(super) fn is_complete(&self, member: &Member, view: &View) -> bool {
        self.of_member(member).is_some_and(|status| status.complete && status.view.number == view.number)
    }

    /// Returns whether a member reports that it is in `view` and is incomplete: it lacks acknowledged
    /// operations, or a write to its disk has failed.
    pub(super) fn is_incomplete(&self, member: &Member, view: &View) -> bool {
        self.of_member(member).is_some_and(|status| !status.complete && status.view.number == view.number)
    }

    /// Returns whether a member's disk is known to be lost: its machine replies with another identity.
    pub(super) fn is_lost(&self, member: &Member) -> bool {
        self.at_address_of(member).is_some_and(|status| status.identity != member.identity)
    }

    /// Returns whether the process at a member's address is terminating, or has no disk and so should not be
    /// a member.
    pub(super) fn is_draining(&self, member: &Member) -> bool {
        self.at_address_of(member).is_some_and(|status| status.draining)
    }
}
