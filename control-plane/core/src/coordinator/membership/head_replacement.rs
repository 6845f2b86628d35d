//! Replacement of a failed head by another member.

use super::peer_statuses::PeerStatuses;
use super::task::Purpose;
use super::voters::next_voters;
use super::{rank_delay, Membership, HEAD_TIMEOUT};
use crate::coordinator::context::Context;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::Member;
use std::time::Duration;

/// Additional time before a head that replies and is complete is replaced. The fault may be in another
/// member, which the head then excludes (after 800 ms and the vote that follows).
const RESPONSIVE_HEAD_GRACE: Duration = Duration::from_millis(3500);

impl Membership {
    /// Starts the replacement of the head if no round has been committed for too long. This process must be a
    /// complete member.
    pub(super) fn start_head_replacement_if_needed<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
    ) {
        if self.time_since_committed_round(ctx, now) >= head_timeout(ctx) {
            let view = ctx.view();
            let addresses = view.members.iter().chain(&view.voters).map(|member| member.address).collect();
            self.collect_statuses(ctx, now, Purpose::ReplaceHead, addresses);
        }
    }

    /// Returns the time since the last round that this member knows to be committed by all members.
    fn time_since_committed_round<S: Storage>(&self, ctx: &Context<S>, now: Duration) -> Duration {
        now.saturating_sub(ctx.chain().last_committed_round_at().unwrap_or(self.started_at))
    }

    /// Proposes a view with this member as the head, followed by the members that replied.
    pub(super) fn replace_head<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        statuses: &PeerStatuses,
    ) {
        let (elapsed, timeout) = (self.time_since_committed_round(ctx, now), head_timeout(ctx));
        let replica = ctx.chain().replica();
        if elapsed < timeout || !replica.is_complete() || ctx.chain().is_head() {
            return;
        }
        let (view, identity) = (replica.view().clone(), replica.identity());
        let is_responsive = |member: &Member| statuses.of_member(member).is_some();
        let is_healthy = |member: &Member| is_responsive(member) && !statuses.is_incomplete(member, &view);
        if view.head().is_some_and(is_healthy) && elapsed < RESPONSIVE_HEAD_GRACE + timeout {
            return;
        }
        let Some(local_member) = view.members.iter().find(|member| member.identity == identity) else {
            return;
        };
        let others =
            view.members.iter().filter(|member| member.identity != identity && is_responsive(member));
        let members: Vec<Member> = std::iter::once(local_member).chain(others).cloned().collect();
        let voters = next_voters(&view, &members, statuses, ctx.settings.tolerated_machines);
        if self.keeps_enough_replicas(ctx, now, &members, statuses) {
            self.propose(ctx, now, members, voters, statuses);
        }
    }
}

/// Returns the time without a committed round after which this member replaces the head.
fn head_timeout<S: Storage>(ctx: &Context<S>) -> Duration {
    HEAD_TIMEOUT + rank_delay(ctx.view().position_of(ctx.identity()))
}
