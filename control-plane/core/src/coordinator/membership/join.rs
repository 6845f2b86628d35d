//! Requests to join or leave the chain, and their handling by the head.

use super::task::STATUS_TIMEOUT;
use super::{Membership, MAX_MEMBERS};
use crate::coordinator::context::Context;
use crate::coordinator::operations::{CallPurpose, TaskCall, TaskCallKind};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Member, Position};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use std::time::Duration;
use tracing::warn;

impl Membership {
    /// Requests admission to the chain from the head.
    pub(super) fn send_join_request<S: Storage>(&self, ctx: &mut Context<S>) {
        let local_address = ctx.settings.address;
        let Some(head) = ctx.chain().head_address().filter(|head| *head != local_address) else {
            return;
        };
        let member = Member {
            address: local_address,
            identity: ctx.identity(),
            node_name: ctx.settings.node_name.clone(),
        };
        let request = CoordinatorRequest::Join { member, position: ctx.chain().replica().position() };
        let call = TaskCall { task: self.task_number, kind: TaskCallKind::Join };
        ctx.call(head, request, STATUS_TIMEOUT, CallPurpose::Task(call));
    }

    /// Handles the reply to a join request. The head either acknowledges the request, or sends the state that
    /// this process must install before it can join.
    pub(super) fn handle_join_reply<S: Storage>(
        &self,
        ctx: &mut Context<S>,
        reply: Option<CoordinatorReply>,
    ) {
        let Some(CoordinatorReply::InstallFirst(state)) = reply else { return };
        if let Err(error) = ctx.chain_mut().with_replica(|replica| replica.install_as_learner(&state)) {
            warn!(%error, "fetched state could not be stored");
        }
    }

    /// Handles, as the head, the join request of `member`, whose state is at `position` in the history.
    pub(in crate::coordinator) fn handle_join<S: Storage>(
        &mut self,
        ctx: &Context<S>,
        now: Duration,
        member: Member,
        position: Position,
    ) -> CoordinatorReply {
        if !ctx.chain().is_head() {
            return CoordinatorReply::NotHead(ctx.chain().head_address());
        }
        if let Some(last_contact_at) = self.absent_voters.get_mut(&member.identity) {
            *last_contact_at = now;
        }
        if ctx.view().contains(member.identity) || ctx.view().members.len() >= MAX_MEMBERS {
            return CoordinatorReply::Acknowledged;
        }
        if ctx.chain().replica().entries_since(position).is_none() {
            // The process must install the state first, because a member votes and every acknowledgement
            // waits for it.
            return CoordinatorReply::InstallFirst(ctx.chain().replica().snapshot_message());
        }
        self.joining.retain(|other| other.address != member.address);
        self.joining.push(member);
        CoordinatorReply::Acknowledged
    }

    /// Handles, as the head, the request of the member with this identity to leave the chain.
    pub(in crate::coordinator) fn handle_leave<S: Storage>(
        &mut self,
        ctx: &Context<S>,
        identity: u64,
    ) -> CoordinatorReply {
        if !ctx.chain().is_head() {
            return CoordinatorReply::NotHead(ctx.chain().head_address());
        }
        self.leaving.insert(identity);
        CoordinatorReply::Acknowledged
    }
}
