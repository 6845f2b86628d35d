//! Proposal of a view: the check that enough replicas are kept, the phases of the vote, and the announcement
//! of the decided view.

use super::peer_statuses::PeerStatuses;
use super::task::{Task, STATUS_TIMEOUT};
use super::Membership;
use crate::coordinator::context::Context;
use crate::coordinator::operations::{CallPurpose, TaskCall, TaskCallKind};
use crate::replica_wait::MIN_COMPLETE_MEMBERS;
use marblecroft_chain_replication::agreement::{
    next_proposal_number, Outcome, Phase, Proposal, Step, VoteReply, VoteRequest,
};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Member, View};
use marblecroft_protocol::coordinator::CoordinatorRequest;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Timeout of a vote, which the voter writes to its disk before it replies. Two votes and one status request
/// fit into the 3 s of a task.
const VOTE_TIMEOUT: Duration = Duration::from_millis(800);

impl Membership {
    /// Returns whether enough of the next members are complete, if the change excludes members whose disks
    /// may be intact. Only members that were complete in a view can head the next one. If a single complete
    /// member were left, the chain would depend on its disk alone, so the change waits for the unreachable
    /// members. The wait is bounded, because their disks may be lost permanently.
    pub(super) fn keeps_enough_replicas<S: Storage>(
        &mut self,
        ctx: &Context<S>,
        now: Duration,
        members: &[Member],
        statuses: &PeerStatuses,
    ) -> bool {
        let (view, local_identity) = (ctx.view(), ctx.identity());
        let is_complete =
            |member: &&Member| member.identity == local_identity || statuses.is_complete(member, view);
        let stays = |member: &Member| members.iter().any(|other| other.identity == member.identity);
        let excludes_intact_disk =
            view.members.iter().any(|member| !stays(member) && !statuses.is_lost(member));
        let complete = members.iter().filter(is_complete).count();
        if !excludes_intact_disk || complete >= MIN_COMPLETE_MEMBERS.min(ctx.min_replicas()) {
            self.replica_wait.reset();
            return true;
        }
        self.replica_wait.has_timed_out(now, view.number)
    }

    /// Starts a task that proposes `members` and `voters` as the next view.
    pub(super) fn propose<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        members: Vec<Member>,
        voters: Vec<Member>,
        statuses: &PeerStatuses,
    ) {
        let replica = ctx.chain().replica();
        let (current, local_identity) = (replica.view().clone(), replica.identity());
        let rank = current.voters.iter().position(|voter| voter.identity == local_identity).unwrap_or(0);
        let instance = current.number + 1;
        let promised = if replica.vote().instance == instance { replica.vote().promised } else { 0 };
        let identities = |matches: &dyn Fn(&Member) -> bool| -> BTreeSet<u64> {
            current.voters.iter().filter(|voter| matches(voter)).map(|voter| voter.identity).collect()
        };
        let lost = identities(&|voter| statuses.is_lost(voter));
        let unresponsive =
            identities(&|voter| voter.identity != local_identity && statuses.of_member(voter).is_none());
        let view = View { number: instance, members, voters };
        info!(view = view.number, members = %view.addresses(), "view proposed");
        let proposal = Proposal::new(current, view, next_proposal_number(promised, rank), lost);
        self.begin_task(now, Task::Proposing(Box::new(proposal)));
        self.unresponsive_voters = unresponsive;
        self.request_votes(ctx);
    }

    /// Requests the votes of the current phase. This process votes first, and its vote must be on its disk
    /// before any other vote is requested.
    fn request_votes<S: Storage>(&mut self, ctx: &mut Context<S>) {
        let Some(Task::Proposing(proposal)) = &self.task else { return };
        let (request, phase) = (proposal.request(), proposal.phase());
        let voters = proposal.current().voters.clone();
        let local_identity = ctx.identity();
        let reply = ctx.chain_mut().with_replica(|replica| replica.handle_vote_request(&request));
        if !matches!(reply, VoteReply::Promised(_) | VoteReply::Accepted) {
            warn!(?reply, "vote of this process was rejected");
            self.task = None;
            return;
        }
        let task = self.task_number;
        self.handle_vote_reply(ctx, phase, local_identity, Some(reply));
        for member in voters.iter().filter(|voter| voter.identity != local_identity) {
            // A reply handled in this loop may have ended the phase.
            if !self.is_in_phase(task, phase) {
                return;
            }
            if self.unresponsive_voters.contains(&member.identity) {
                self.handle_vote_reply(ctx, phase, member.identity, None);
                continue;
            }
            let call = TaskCall { task, kind: TaskCallKind::Vote { phase, identity: member.identity } };
            let request = CoordinatorRequest::Vote(request.clone());
            ctx.call(member.address, request, VOTE_TIMEOUT, CallPurpose::Task(call));
        }
    }

    fn is_in_phase(&self, task: u64, phase: Phase) -> bool {
        self.task_number == task
            && matches!(&self.task, Some(Task::Proposing(proposal)) if proposal.phase() == phase)
    }

    /// Handles the vote of the voter with this identity, which is `None` if the voter did not reply.
    pub(super) fn handle_vote_reply<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        phase: Phase,
        identity: u64,
        reply: Option<VoteReply>,
    ) {
        let Some(Task::Proposing(proposal)) = &mut self.task else { return };
        match proposal.handle_reply(phase, identity, reply) {
            Step::Wait => {}
            Step::SendRequest => self.request_votes(ctx),
            Step::Finished(outcome) => {
                let current = proposal.current().clone();
                self.task = None;
                finish_proposal(ctx, &current, outcome);
            }
        }
    }
}

fn finish_proposal<S: Storage>(ctx: &mut Context<S>, current: &View, outcome: Outcome) {
    match outcome {
        Outcome::Decided(view) => {
            ctx.install_view(&view);
            announce_decided_view(ctx, current, &view);
        }
        Outcome::Undecided { preempted_by } => {
            let instance = current.number + 1;
            if preempted_by > 0 {
                // The next proposal number of this process will be above its highest promise, so this process
                // promises the number that preempted its proposal.
                let request = VoteRequest::Prepare { instance, proposal_number: preempted_by };
                // The reply is not needed: a refusal means that a higher number is already promised, or that
                // this process cannot vote on the view.
                let _ = ctx.chain_mut().with_replica(|replica| replica.handle_vote_request(&request));
            }
            warn!(view = instance, preempted_by, "view was not decided");
        }
    }
}

/// Sends a decided view to the members and voters of this view and the one before. A process that misses the
/// notification receives the view with the next message of the chain.
fn announce_decided_view<S: Storage>(ctx: &mut Context<S>, before: &View, view: &View) {
    let members = before.members.iter().chain(&before.voters).chain(&view.members).chain(&view.voters);
    let mut addresses: BTreeSet<SocketAddr> = members.map(|member| member.address).collect();
    addresses.remove(&ctx.settings.address);
    for address in addresses {
        let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
        ctx.notify(address, request, STATUS_TIMEOUT);
    }
}
