//! Membership of the coordinators' chain. A process outside the chain requests to join, failed members are
//! excluded by agreement, and a member that terminates leaves the chain before it exits.
//!
//! Members replicate the state, and voters decide on the next view; the two sets may differ. A failed member
//! is removed from the chain, because every acknowledgement waits for all members. It remains a voter, so
//! that a majority is left after another loss. A voter that does not reply is removed only if 2f + 1 others
//! are left, so it remains until another voter has taken its place.
//!
//! A process has at most one [`Task`] at a time. Every task first collects statuses (`status_collection`).
//! The next step depends on its [`Purpose`]: `join`, `view_change` by the head, or `head_replacement` by
//! another member. The latter two end with a vote on the next view (`proposal`), as does a task that
//! completes an undecided view. A task that takes longer than [`TASK_TIMEOUT`] is abandoned.

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

/// Interval between checks of the membership. Short compared with every timeout in this module.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between join requests, and between view queries of an incomplete member.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between view queries of a process without a disk, which does not join. Half of
/// [`VIEW_QUERY_TTL`], so that the loss of one query is tolerated.
const OBSERVER_INTERVAL: Duration = Duration::from_millis(900);
/// Time for which a view that was queried from other coordinators may be used to redirect callers.
const VIEW_QUERY_TTL: Duration = Duration::from_millis(1800);
/// Interval between announcements of the view to non-members.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1500);
/// Upper bound on the number of members, because every acknowledgement passes through all of them. Further
/// processes are admitted only after a member has been removed.
const MAX_MEMBERS: usize = 7;
/// Time without a committed round after which a member considers its head failed. It is at least a quarter
/// longer than the members' leases (600 ms) and than the time after which the head suspects a member
/// (800 ms), because the rates of monotonic clocks may differ by that much.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// Addition to [`HEAD_TIMEOUT`] for each preceding member, so that the proposals of several members do not
/// compete. Long enough for one member to collect statuses and complete the vote if the others reply.
const HEAD_TIMEOUT_STEP: Duration = Duration::from_millis(350);
/// A voter that has accepted a view proposes it again if it is still undecided after this time. Longer than a
/// vote takes (800 ms at most), because the vote may still be in progress.
const UNDECIDED_VIEW_TIMEOUT: Duration = Duration::from_millis(1500);

/// A view that this process has accepted as a voter and that is undecided.
#[derive(Clone, Copy)]
struct UndecidedView {
    /// Number of the proposal under which the view was accepted.
    proposal_number: u64,
    /// When this process first found the view undecided.
    since: Duration,
}

/// Membership state of a coordinator.
pub(super) struct Membership {
    started_at: Duration,
    next_check_at: Duration,
    next_join_at: Duration,
    next_announce_at: Duration,
    task: Option<Task>,
    /// Time at which the task is abandoned.
    task_deadline: Duration,
    /// Number of the latest task. Replies to calls of earlier tasks are ignored, except those to join
    /// requests.
    task_number: u64,
    /// Processes that have requested to join and hold the state.
    joining: Vec<Member>,
    /// Identities of the members that have requested to leave.
    leaving: BTreeSet<u64>,
    /// Time of the last join request of each voter that is not a member, by identity. Before the first
    /// request it is the time at which this head found the voter outside the members.
    absent_voters: BTreeMap<u64, Duration>,
    replica_wait: ReplicaWait,
    /// Identities of the voters that did not reply to the status requests before the proposal. They are not
    /// called for their votes.
    unresponsive_voters: BTreeSet<u64>,
    undecided_view: Option<UndecidedView>,
    /// Time of the last query of the view while this process was not a member; `None` if no process replied.
    view_queried_at: Option<Duration>,
    /// Time at which the process exits even if it is still a member; set on termination.
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

    /// Returns whether this process, as a non-member, has queried the view within [`VIEW_QUERY_TTL`].
    pub(super) fn has_recent_view(&self, now: Duration) -> bool {
        self.view_queried_at.is_some_and(|at| now < at + VIEW_QUERY_TTL)
    }

    pub(super) fn next_wake(&self) -> Duration {
        self.next_check_at
    }

    /// Starts to leave the chain before the process exits. The head lets a member leave only when enough
    /// others hold the complete state.
    pub(super) fn on_terminate<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        if self.drain_deadline.is_some() {
            return;
        }
        ctx.chain_mut().start_draining();
        self.drain_deadline = Some(drain_deadline(now, ctx.settings.grace_period));
        info!("terminating: leaving the chain");
    }

    /// Performs what is due at `now`: exits once the process has left the chain, abandons a task that takes
    /// too long, or starts a task.
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

    /// Queries the view as a non-member. A process with a disk then requests to join.
    fn join_if_due<S: Storage>(&mut self, ctx: &mut Context<S>, now: Duration) {
        if now < self.next_join_at {
            return;
        }
        let interval = if ctx.settings.is_durable { JOIN_INTERVAL } else { OBSERVER_INTERVAL };
        self.next_join_at = now + interval;
        let others = ctx.other_coordinators();
        self.collect_statuses(ctx, now, Purpose::Join, others);
    }

    /// Performs what is due as a member.
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

    /// Announces the view, as the head, to non-members. A restarted process may have only the addresses of
    /// processes that do not have the current view either.
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

    /// Starts a task and returns its number.
    fn begin_task(&mut self, now: Duration, task: Task) -> u64 {
        self.task_number += 1;
        self.task_deadline = now + TASK_TIMEOUT;
        self.task = Some(task);
        self.task_number
    }

    /// Handles the reply to a call of a task.
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

    /// Returns whether this process accepted a view at least [`UNDECIDED_VIEW_TIMEOUT`] ago that is still
    /// undecided. Any later proposer that finds such a view must propose it again. By then the machines in
    /// the view may have lost their disks, so that no majority of its voters is left. The view is therefore
    /// decided while they are available.
    fn has_overdue_view<S: Storage>(&mut self, ctx: &Context<S>, now: Duration) -> bool {
        let replica = ctx.chain().replica();
        let (view, vote) = (replica.view(), replica.vote());
        let is_for_next_view = vote.instance == view.number + 1 && view.is_voter(replica.identity());
        let accepted = vote.accepted.as_ref().filter(|_| is_for_next_view);
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

/// Returns the additional wait of the member or voter at this rank. Different waits keep proposals from
/// competing.
fn rank_delay(rank: Option<usize>) -> Duration {
    HEAD_TIMEOUT_STEP * u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX)
}
