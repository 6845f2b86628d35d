//! View changes by the head. It excludes members that have failed, have lost their disks or leave, and admits
//! one process that has requested to join.

use super::peer_statuses::PeerStatuses;
use super::task::Purpose;
use super::voters::next_voters;
use super::{Membership, MAX_MEMBERS};
use crate::coordinator::context::Context;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Member, View};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A voter that is not a member is removed after this time without a join request from it, if enough others
/// are left. Longer than the interval between join requests (300 ms), several of which may be lost.
const ABSENT_VOTER_TIMEOUT: Duration = Duration::from_millis(1500);

impl Membership {
    /// Starts a view change if one is needed. This process must be the head.
    pub(super) fn start_view_change_if_needed<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        let status = ctx.chain().status(now);
        let view = status.view;
        self.joining.retain(|member| !view.contains(member.identity));
        self.leaving.retain(|identity| view.contains(*identity));
        self.update_absent_voters(&view, now);
        let has_spare_voters = view.voters.len() > 2 * ctx.settings.tolerated_machines + 1;
        let has_timed_out = |last_contact_at: &Duration| now >= *last_contact_at + ABSENT_VOTER_TIMEOUT;
        let has_removable_voter = has_spare_voters && self.absent_voters.values().any(has_timed_out);
        let has_suspect = view.members.iter().any(|member| Some(member.address) == status.suspect);
        let is_needed = has_suspect
            || has_removable_voter
            || !self.joining.is_empty()
            || !self.leaving.is_empty()
            || ctx.chain().is_draining();
        if is_needed {
            let concerned = view.members.iter().chain(&view.voters).chain(&self.joining);
            let addresses = concerned.map(|member| member.address).collect();
            self.collect_statuses(ctx, now, Purpose::ChangeView, addresses);
        }
    }

    /// Updates the record of the voters that are not members. For a new one among them, `now` is the time of
    /// the last contact.
    fn update_absent_voters(&mut self, view: &View, now: Duration) {
        let before: BTreeMap<u64, Duration> = std::mem::take(&mut self.absent_voters);
        let absent = view.voters.iter().filter(|voter| !view.contains(voter.identity));
        let last_contact_at = |identity: u64| before.get(&identity).copied().unwrap_or(now);
        self.absent_voters = absent.map(|voter| (voter.identity, last_contact_at(voter.identity))).collect();
    }

    /// Proposes the next view, if its members or voters differ.
    pub(super) fn change_view<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        statuses: &PeerStatuses,
    ) {
        if !ctx.chain().is_head() {
            return;
        }
        let joining = std::mem::take(&mut self.joining);
        let view = ctx.view().clone();
        let change = ViewChange {
            view: &view,
            head_identity: ctx.identity(),
            is_head_draining: ctx.chain().is_draining(),
            suspect: ctx.chain().status(now).suspect,
            leaving: &self.leaving,
            statuses,
            min_replicas: ctx.min_replicas(),
        };
        let Some(members) = change.next_members(&joining) else { return };
        let voters = next_voters(&view, &members, statuses, ctx.settings.tolerated_machines);
        if (members != view.members || voters != view.voters)
            && self.keeps_enough_replicas(ctx, now, &members, statuses)
        {
            self.propose(ctx, now, members, voters, statuses);
        }
    }
}

/// The input from which the head determines the next members.
struct ViewChange<'a> {
    view: &'a View,
    head_identity: u64,
    is_head_draining: bool,
    /// The member at which rounds fail.
    suspect: Option<SocketAddr>,
    /// Identities of the members that have requested to leave.
    leaving: &'a BTreeSet<u64>,
    statuses: &'a PeerStatuses,
    min_replicas: usize,
}

impl ViewChange<'_> {
    fn is_complete(&self, member: &Member) -> bool {
        member.identity == self.head_identity || self.statuses.is_complete(member, self.view)
    }

    /// Returns whether a member other than the head has failed or has lost its disk.
    fn is_failed(&self, member: &Member) -> bool {
        member.identity != self.head_identity
            && (self.statuses.is_lost(member) || Some(member.address) == self.suspect)
    }

    fn is_leaving(&self, member: &Member) -> bool {
        self.statuses.is_draining(member) && self.leaving.contains(&member.identity)
    }

    /// Returns whether members may leave on request: enough of the remaining members hold the complete state
    /// on disk.
    fn may_leave(&self) -> bool {
        let is_leaving_head =
            |member: &Member| self.is_head_draining && member.identity == self.head_identity;
        let stays = |member: &&Member| {
            !self.is_failed(member) && !self.is_leaving(member) && !is_leaving_head(member)
        };
        let is_durable_replica =
            |member: &&Member| self.is_complete(member) && !self.statuses.is_draining(member);
        self.view.members.iter().filter(stays).filter(is_durable_replica).count() >= self.min_replicas
    }

    /// Returns the next members in the order of the chain, or `None` if the head leaves and no complete
    /// member can succeed it.
    fn next_members(&self, joining: &[Member]) -> Option<Vec<Member>> {
        let may_leave = self.may_leave();
        let is_excluded = |member: &Member| self.is_failed(member) || (may_leave && self.is_leaving(member));
        let mut members: Vec<Member> =
            self.view.members.iter().filter(|member| !is_excluded(member)).cloned().collect();
        if self.is_head_draining && may_leave {
            members.retain(|member| member.identity != self.head_identity);
            let next_head = members.iter().position(|member| self.is_complete(member))?;
            members.swap(0, next_head);
        }
        if members.len() < MAX_MEMBERS {
            members.extend(self.joiner(joining).cloned());
        }
        Some(members)
    }

    /// Returns the process to admit. Processes join one at a time, so that each is complete before the next
    /// one votes.
    fn joiner<'j>(&self, joining: &'j [Member]) -> Option<&'j Member> {
        let may_join =
            |member: &&Member| self.statuses.of_member(member).is_some_and(|status| !status.draining);
        joining.iter().filter(|member| !self.view.contains(member.identity)).find(may_join)
    }
}
