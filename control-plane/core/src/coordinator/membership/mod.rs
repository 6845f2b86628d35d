//! Who is in the coordinators' chain: a process outside it requests to join, members that fail are excluded by agreement, and
//! a member that terminates leaves first.
//!
//! Who replicates the state and who votes are two things. A member that fails leaves the chain, as every acknowledgement
//! waits for all members, and stays a voter, so that another loss leaves a majority. A voter that does not reply goes only
//! where 2f + 1 others are left, so it stays until another one has taken its place.
//!
//! A process has at most one [`Task`] under way. Every task collects statuses first (`status_collection`); what it does next
//! depends on its [`Purpose`]: `join`, `view_change` by the head, `head_replacement` by another member. The latter two end in
//! a vote on the next view (`proposal`). A task that takes longer than [`TASK_TIMEOUT`] is abandoned.

mod head_replacement;
mod join;
mod peer_statuses;
mod proposal;
mod status_collection;
mod task;
mod view_change;
mod voters;

use super::context::Context;
use super::io::Output;
use super::operations::{TaskCall, TaskCallKind};
use crate::drain::drain_deadline;
use crate::replica_wait::ReplicaWait;
use marblecroft_chain_replication::agreement::VoteRequest;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::Member;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use task::{Purpose, Task, STATUS_TIMEOUT, TASK_TIMEOUT};
use tracing::info;

/// Pause between two checks of the membership. Short against every timeout here.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Pause between two queries of a process without a disk, which does not join. Half of [`VIEW_QUERY_TTL`], so that one query
/// may be lost.
const OBSERVER_INTERVAL: Duration = Duration::from_millis(900);
/// For how long a view that was queried from others is good enough to redirect callers.
const VIEW_QUERY_TTL: Duration = Duration::from_millis(1800);
/// Pause between two announcements of the view to processes that are no members.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1500);
/// Upper bound of the members: every acknowledgement passes them all. Others wait until one fails.
const MAX_MEMBERS: usize = 7;
/// A member that has not heard of a committed round for this time takes its head for failed. Longer, by at least the
/// quarter that steady clocks may run apart, than the members' leases (600 ms) and the head's suspicion (800 ms) last ...
const HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// ... and by this much longer for each member before it, so that members do not compete with their proposals. Long
/// enough for the statuses and the vote of one of them where the others reply.
const HEAD_TIMEOUT_STEP: Duration = Duration::from_millis(350);
/// A voter proposes a view again that it has accepted and that is not decided after this time. Longer than a vote
/// takes (800 ms at most), which may still be under way.
const UNDECIDED_VIEW_TIMEOUT: Duration = Duration::from_millis(1500);

/// A view that this process has accepted and that is not decided.
#[derive(Clone, Copy)]
struct UndecidedView {
    /// The proposal under which it was accepted.
    proposal_number: u64,
    /// When this process first saw it undecided.
    since: Duration,
}

/// A coordinator's part in the membership of its chain.
pub(super) struct Membership {
    started_at: Duration,
    next_check_at: Duration,
    next_join_at: Duration,
    next_announce_at: Duration,
    task: Option<Task>,
    /// When the task is abandoned.
    task_deadline: Duration,
    /// Number of the last task; replies to calls of earlier ones are ignored.
    task_number: u64,
    /// Processes that want to be members and hold the state.
    joining: Vec<Member>,
    /// Identities of the members that have requested to leave.
    leaving: BTreeSet<u64>,
    /// When this head last heard from each voter that is no member, by identity.
    absent_voters: BTreeMap<u64, Duration>,
    replica_wait: ReplicaWait,
    /// Identities of the voters that did not reply before the proposal, and are not called for their votes.
    unresponsive_voters: BTreeSet<u64>,
    undecided_view: Option<UndecidedView>,
    /// When this process, while no member, last queried the view from others, if any replied.
    view_queried_at: Option<Duration>,
    /// When the process exits, whether it has left or not; set when it terminates.
    drain_deadline: Option<Duration>,
}

impl Membership {
    pub(super) fn new(now: Duration) -> Membership {
        Membership {
            started_at: now,
            next_check_at: now,
            next_join_at: now,
            next_announce_at: now,
            task: None,
            task_deadline: now,
            task_number: 0,
            joining: Vec::new(),
            leaving: BTreeSet::new(),
            absent_voters: BTreeMap::new(),
            replica_wait: ReplicaWait::default(),
            unresponsive_voters: BTreeSet::new(),
            undecided_view: None,
            view_queried_at: None,
            drain_deadline: None,
        }
    }

    /// Whether this process has queried the view from others a moment ago.
    pub(super) fn has_recent_view(&self, now: Duration) -> bool {
        self.view_queried_at.is_some_and(|at| now < at + VIEW_QUERY_TTL)
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.next_check_at
    }

    /// Begins to leave the chain before the process exits; the others must hold everything first.
    pub(super) fn on_terminate<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        if self.drain_deadline.is_some() {
            return;
        }
        ctx.chain_mut().start_draining();
        self.drain_deadline = Some(drain_deadline(now, ctx.settings.grace_period));
        info!("terminating: leaving the chain");
    }

    /// Does what is due by the clock: exits when the process has left, abandons a task that takes too long, or begins one.
    pub(super) fn step<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        let is_member = ctx.view().contains(ctx.identity());
        if let Some(deadline) = self.drain_deadline {
            let is_alone = ctx.view().members.len() < 2;
            if !is_member || is_alone || now >= deadline {
                ctx.outputs.push(Output::Exit);
                return;
            }
        }
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        if now >= self.task_deadline {
            self.task = None;
        }
        if self.task.is_some() {
            return;
        }
        if self.has_overdue_view(ctx, now) {
            let voters = ctx.view().voters.iter().map(|voter| voter.address).collect();
            self.collect_statuses(ctx, now, Purpose::FinishUndecidedView, voters);
        } else if !is_member {
            self.join_if_due(ctx, now);
        } else {
            self.step_member(ctx, now);
        }
    }

    /// Queries the view, and joins, as a process that is no member.
    fn join_if_due<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        if now < self.next_join_at {
            return;
        }
        let pause = if ctx.settings.is_durable { JOIN_INTERVAL } else { OBSERVER_INTERVAL };
        self.next_join_at = now + pause;
        let others = ctx.other_coordinators();
        self.collect_statuses(ctx, now, Purpose::Join, others);
    }

    /// Does what is due as a member.
    fn step_member<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        if ctx.chain().is_head() {
            self.announce_view(ctx, now);
            self.start_view_change_if_needed(ctx, now);
        } else if ctx.chain().is_draining() {
            if let Some(head) = ctx.chain().head_address() {
                let request = CoordinatorRequest::Leave(ctx.identity());
                ctx.notify(head, request, STATUS_TIMEOUT);
            }
        } else if ctx.chain().replica().is_complete() {
            self.start_head_replacement_if_needed(ctx, now);
        } else if now >= self.next_join_at {
            self.next_join_at = now + JOIN_INTERVAL;
            let last_append_at = ctx.chain().last_append_received_at();
            if last_append_at.is_none_or(|at| now >= at + HEAD_TIMEOUT) {
                let others = ctx.other_coordinators();
                self.collect_statuses(ctx, now, Purpose::CatchUp, others);
            }
        }
    }

    /// Announces the view, as the head, to processes that are no members: one that was restarted may know only addresses of
    /// others that know nothing either.
    fn announce_view<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        if now < self.next_announce_at {
            return;
        }
        self.next_announce_at = now + ANNOUNCE_INTERVAL;
        let view = ctx.view().clone();
        let is_member = |address: &SocketAddr| view.members.iter().any(|member| member.address == *address);
        for address in ctx.other_coordinators().into_iter().filter(|address| !is_member(address)) {
            let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
            ctx.notify(address, request, STATUS_TIMEOUT);
        }
    }

    /// Starts a task, and returns its number.
    fn begin_task(&mut self, now: Duration, task: Task) -> u64 {
        self.task_number += 1;
        self.task_deadline = now + TASK_TIMEOUT;
        self.task = Some(task);
        self.task_number
    }

    /// Takes the reply to a call of a task.
    pub(super) fn handle_task_reply<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        now: Duration,
        call: TaskCall,
        reply: Option<CoordinatorReply>,
    ) {
        match call.kind {
            TaskCallKind::Join => self.handle_join_reply(ctx, reply),
            _ if call.task != self.task_number => {}
            TaskCallKind::Status(address) => self.handle_status_reply(ctx, now, address, reply),
            TaskCallKind::Vote { phase, identity } => {
                let reply = match reply {
                    Some(CoordinatorReply::Vote(reply)) => Some(reply),
                    _ => None,
                };
                self.handle_vote_reply(ctx, phase, identity, reply);
            }
        }
    }

    /// Whether this process accepted a view a while ago that is still not decided. Whoever sees such a view later must
    /// propose it again; by then the machines that it names may have lost their disks and leave no majority of its voters. So
    /// it is decided while they are there.
    fn has_overdue_view<S: Storage>(&mut self, ctx: &Context<S>, now: Duration) -> bool {
        let replica = ctx.chain().replica();
        let (view, vote) = (replica.view(), replica.vote());
        let is_open = vote.instance == view.number + 1 && view.is_voter(replica.identity());
        let accepted = vote.accepted.as_ref().filter(|_| is_open);
        let known = self.undecided_view;
        self.undecided_view = accepted.map(|accepted| {
            let proposal_number = accepted.proposal_number;
            known
                .filter(|known| known.proposal_number == proposal_number)
                .unwrap_or(UndecidedView { proposal_number, since: now })
        });
        let rank = view.voters.iter().position(|voter| voter.identity == replica.identity());
        let timeout = UNDECIDED_VIEW_TIMEOUT + rank_delay(rank);
        self.undecided_view.is_some_and(|undecided| now >= undecided.since + timeout)
    }
}

/// The extra wait of the member or voter at this rank, so that they do not compete with their proposals.
fn rank_delay(rank: Option<usize>) -> Duration {
    HEAD_TIMEOUT_STEP * u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX)
}
