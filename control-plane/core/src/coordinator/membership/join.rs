//! Joining and leaving the chain: the requests of a process that is no member, and how the head takes them.

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
    /// Requests from the head that it admits this process.
    pub(super) fn send_join_request<S: Storage>(&self, ctx: &mut Context<S>) {
        let own_address = ctx.settings.address;
        let Some(head) = ctx.chain().head_address().filter(|head| *head != own_address) else {
            return;
        };
        let member = Member {
            address: own_address,
            identity: ctx.identity(),
            node_name: ctx.settings.node_name.clone(),
        };
        let request = CoordinatorRequest::Join { member, position: ctx.chain().replica().position() };
        let call = TaskCall { task: self.task_number, kind: TaskCallKind::Join };
        ctx.call(head, request, STATUS_TIMEOUT, CallPurpose::Task(call));
    }

    /// The head has noted the request, or replies with the state that this process needs first.
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

    /// Takes, as the head, the request of `member` to be admitted; it is at `position` in the history.
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
        if let Some(last_heard_at) = self.absent_voters.get_mut(&member.identity) {
            *last_heard_at = now;
        }
        if ctx.view().contains(member.identity) || ctx.view().members.len() >= MAX_MEMBERS {
            return CoordinatorReply::Acknowledged;
        }
        if ctx.chain().replica().entries_since(position).is_none() {
            // It learns the state first: a member has a vote, and is on the path of every acknowledgement.
            return CoordinatorReply::InstallFirst(ctx.chain().replica().snapshot_message());
        }
        self.joining.retain(|other| other.address != member.address);
        self.joining.push(member);
        CoordinatorReply::Acknowledged
    }

    /// Takes, as the head, the request of the member with this identity to be excluded.
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
