//! Who is in the coordinators' chain: a process that is not asks to join, members that fail are left out by agreement, and
//! one that is told to end leaves first.
//!
//! Who holds the state and who votes are two things. A member that fails leaves the chain, as every acknowledgement waits
//! for all members, and goes on voting: so that another loss leaves a majority. A voter that does not answer goes only where
//! 2f + 1 others are left, so it stays until another one has come in its place.
//!
//! A process under way with one [`Task`] begins no other, and gives it up after [`TASK_MOST`].

use crate::coordinator::Coordinator;
use crate::drain::drain_deadline;
use crate::peer_statuses::PeerStatuses;
use crate::replica_wait::ReplicaWait;
use marblecroft_chain_replication::agreement::{Phase, Proposal, VoteRequest};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::Member;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Pause between two looks at the chain.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Pause between two looks of a process that is to be no member.
const OBSERVER_INTERVAL: Duration = Duration::from_millis(900);
/// What others have told of the view is of use to callers for so long.
const VIEW_QUERY_TTL: Duration = Duration::from_millis(1800);
/// Pause between two announcements of the view to others than members.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1500);
/// Members of a chain at most: every acknowledgement passes them all. Others wait until one fails.
pub(crate) const MAX_MEMBERS: usize = 7;
/// A member that has heard nothing of its chain for so long takes its head for failed ...
const HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// ... and as much longer for each member before it, so that they do not bid against each other.
const HEAD_TIMEOUT_STEP: Duration = Duration::from_millis(350);
/// A head that answers is left in place for so long all the same; the fault may be another's, which it mends.
const RESPONSIVE_HEAD_GRACE: Duration = Duration::from_millis(3500);
/// Time for an answer that needs no disk.
pub(crate) const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// A voter that is no member and has not been heard of for so long is left out, if enough others are left.
const ABSENT_VOTER_TIMEOUT: Duration = Duration::from_millis(1500);
/// A view that this process has accepted and that is still not decided after this time is proposed again by it ...
const UNDECIDED_VIEW_TIMEOUT: Duration = Duration::from_millis(1500);
/// A task is given up after this time, which is more than all of its calls may take.
const TASK_TIMEOUT: Duration = Duration::from_secs(3);

/// Why others are asked for their status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A process that is no member would be one.
    Join,
    /// A member that waits for its state may be in a view that is over.
    CatchUp,
    /// The head leaves members out, or takes one in.
    ChangeView,
    /// A member takes its head for failed.
    ReplaceHead,
    /// A voter has accepted a view that nobody has had decided.
    FinishUndecidedView,
}

/// What is under way.
pub(crate) enum Task {
    CollectingStatus {
        purpose: Purpose,
        /// The view in which they were asked.
        view: u64,
        awaiting: BTreeSet<SocketAddr>,
        statuses: PeerStatuses,
    },
    Proposing(Box<Proposal>),
}

/// What a call of a task was made for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TaskCall {
    /// Answers to the calls of earlier tasks change nothing.
    pub(crate) task: u64,
    pub(crate) kind: TaskCallKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskCallKind {
    Status(SocketAddr),
    Vote { phase: Phase, identity: u64 },
    Join,
}

/// A coordinator's side of the membership.
pub(crate) struct Membership {
    started_at: Duration,
    next_check_at: Duration,
    next_join_at: Duration,
    next_announce_at: Duration,
    pub(crate) task: Option<Task>,
    /// When the task is given up.
    task_deadline: Duration,
    /// Counts the tasks.
    pub(crate) task_number: u64,
    /// Processes that would be members and hold the state.
    joining: Vec<Member>,
    /// Members that have asked to be left out.
    leaving: BTreeSet<u64>,
    /// Voters that are no members, and when they were last heard of by this head.
    absent_voters: BTreeMap<u64, Duration>,
    pub(crate) replica_wait: ReplicaWait,
    /// Members that did not answer before a proposal, and are not asked for their votes.
    pub(crate) unresponsive_voters: BTreeSet<u64>,
    /// The ballot of a view that this process has accepted and that is not decided, and since when.
    undecided_since: Option<(u64, Duration)>,
    /// When a process that is no member last asked others, with an answer.
    view_queried_at: Option<Duration>,
    /// When the process ends whether it has left or not, once it was told to.
    drain_deadline: Option<Duration>,
}

impl Membership {
    pub(crate) fn new(now: Duration) -> Membership {
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
            undecided_since: None,
            view_queried_at: None,
            drain_deadline: None,
        }
    }

    /// A process that is no member was heard of.
    pub(crate) fn record_contact(&mut self, now: Duration, identity: u64) {
        if let Some(heard) = self.absent_voters.get_mut(&identity) {
            *heard = now;
        }
    }

    pub(crate) fn record_join_request(&mut self, member: Member) {
        self.joining.retain(|other| other.address != member.address);
        self.joining.push(member);
    }

    pub(crate) fn record_leave_request(&mut self, identity: u64) {
        self.leaving.insert(identity);
    }

    /// Whether the view was asked of others a moment ago.
    pub(crate) fn has_recent_view(&self, now: Duration) -> bool {
        self.view_queried_at.is_some_and(|at| now < at + VIEW_QUERY_TTL)
    }

    pub(crate) fn next_wake(&self) -> Duration {
        self.next_check_at
    }
}

impl<S: Storage> Coordinator<S> {
    fn local_member(&self) -> Member {
        Member {
            address: self.settings().address,
            identity: self.chain().replica().identity(),
            node_name: self.settings().node_name.clone(),
        }
    }

    /// The process is to end: it leaves its chain first, where the others hold everything.
    pub(crate) fn terminate(&mut self, now: Duration) {
        if self.membership.drain_deadline.is_some() {
            return;
        }
        self.chain_mut().start_draining();
        self.membership.drain_deadline = Some(drain_deadline(now, self.settings().grace_period));
        info!("told to end: leaves the chain");
    }

    /// Does what is due.
    pub(crate) fn step_membership(&mut self, now: Duration) {
        let identity = self.chain().replica().identity();
        let is_member = self.chain().replica().view().contains(identity);
        if let Some(ends_at) = self.membership.drain_deadline {
            let alone = self.chain().replica().view().members.len() < 2;
            if !is_member || alone || now >= ends_at {
                self.exit();
                return;
            }
        }
        if now < self.membership.next_check_at {
            return;
        }
        self.membership.next_check_at = now + CHECK_INTERVAL;
        if now >= self.membership.task_deadline {
            self.membership.task = None;
        }
        if self.membership.task.is_some() {
            return;
        }
        if self.has_undecided_view(now) {
            let voters = self.chain().replica().view().voters.iter().map(|voter| voter.address).collect();
            self.collect_statuses(now, Purpose::FinishUndecidedView, voters);
            return;
        }
        let may_join = now >= self.membership.next_join_at;
        if !is_member {
            if may_join {
                let pause = if self.settings().is_durable { JOIN_INTERVAL } else { OBSERVER_INTERVAL };
                self.membership.next_join_at = now + pause;
                self.collect_statuses(now, Purpose::Join, self.other_coordinators());
            }
        } else if self.chain().is_head() {
            self.announce_view(now);
            self.start_view_change_if_needed(now);
        } else if self.chain().is_draining() {
            if let Some(head) = self.chain().head_address() {
                self.notify(head, CoordinatorRequest::Leave(identity), STATUS_TIMEOUT);
            }
        } else if self.chain().replica().is_complete() {
            self.start_head_replacement_if_needed(now);
        } else if may_join {
            self.membership.next_join_at = now + JOIN_INTERVAL;
            let heard = self.chain().last_append_received_at().is_some_and(|at| now < at + HEAD_TIMEOUT);
            if !heard {
                self.collect_statuses(now, Purpose::CatchUp, self.other_coordinators());
            }
        }
    }

    /// The head tells the view to those that are no members: a process that was restarted may know only addresses of others
    /// that know nothing either.
    fn announce_view(&mut self, now: Duration) {
        if now < self.membership.next_announce_at {
            return;
        }
        self.membership.next_announce_at = now + ANNOUNCE_INTERVAL;
        let view = self.chain().replica().view().clone();
        let is_member = |address: &SocketAddr| view.members.iter().any(|member| member.address == *address);
        for address in self.other_coordinators().into_iter().filter(|address| !is_member(address)) {
            let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
            self.notify(address, request, STATUS_TIMEOUT);
        }
    }

    pub(crate) fn begin_task(&mut self, now: Duration, task: Task) -> u64 {
        self.membership.task_number += 1;
        self.membership.task_deadline = now + TASK_TIMEOUT;
        self.membership.task = Some(task);
        self.membership.task_number
    }

    /// Asks processes what they say of themselves, all at the same time.
    fn collect_statuses(&mut self, now: Duration, purpose: Purpose, addresses: Vec<SocketAddr>) {
        let waits_for: BTreeSet<SocketAddr> =
            addresses.into_iter().filter(|address| *address != self.settings().address).collect();
        let (view, answers) = (self.chain().replica().view().number, PeerStatuses::default());
        let task = self.begin_task(
            now,
            Task::CollectingStatus { purpose, view, awaiting: waits_for.clone(), statuses: answers },
        );
        if waits_for.is_empty() {
            self.on_statuses(now, purpose, view, PeerStatuses::default());
            return;
        }
        for address in waits_for {
            let call = TaskCall { task, kind: TaskCallKind::Status(address) };
            self.call_for_task(address, CoordinatorRequest::Status, STATUS_TIMEOUT, call);
        }
    }

    /// Takes the answer to a call that a task has made.
    pub(crate) fn handle_task_reply(
        &mut self,
        now: Duration,
        call: TaskCall,
        reply: Option<CoordinatorReply>,
    ) {
        match call.kind {
            TaskCallKind::Join => self.handle_join_reply(reply),
            _ if call.task != self.membership.task_number => {}
            TaskCallKind::Status(address) => self.handle_status_reply(now, address, reply),
            TaskCallKind::Vote { phase, identity } => {
                let reply = match reply {
                    Some(CoordinatorReply::Vote(reply)) => Some(reply),
                    _ => None,
                };
                self.handle_vote_reply(phase, identity, reply);
            }
        }
    }

    fn handle_status_reply(&mut self, now: Duration, address: SocketAddr, reply: Option<CoordinatorReply>) {
        let Some(Task::CollectingStatus { purpose, view, awaiting: waits_for, statuses: answers }) =
            &mut self.membership.task
        else {
            return;
        };
        if !waits_for.remove(&address) {
            return;
        }
        if let Some(CoordinatorReply::Status(status)) = reply {
            answers.insert(address, status);
        }
        if waits_for.is_empty() {
            let (purpose, view, answers) = (*purpose, *view, std::mem::take(answers));
            self.on_statuses(now, purpose, view, answers);
        }
    }

    /// All have answered, or not in time.
    fn on_statuses(&mut self, now: Duration, purpose: Purpose, asked_in: u64, answers: PeerStatuses) {
        self.membership.task = None;
        let newest = answers.iter().map(|(_, status)| &status.view).max_by_key(|view| view.number);
        if let Some(newest) = newest {
            self.install_view(newest);
        }
        let view = self.chain().replica().view().clone();
        let is_over = view.number != asked_in;
        for (address, status) in answers.iter() {
            if status.view.number < view.number && view.voters.iter().any(|voter| voter.address == *address) {
                // Whoever is behind can't vote on what follows.
                let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
                self.notify(*address, request, STATUS_TIMEOUT);
            }
        }
        match purpose {
            Purpose::Join => {
                self.membership.view_queried_at = if answers.is_empty() { None } else { Some(now) };
                if self.settings().is_durable {
                    self.send_join_request();
                }
            }
            Purpose::CatchUp => {}
            // What was to be done was of a view that is over.
            Purpose::ChangeView | Purpose::ReplaceHead | Purpose::FinishUndecidedView if is_over => {}
            Purpose::ChangeView => self.change_view(now, &answers),
            Purpose::ReplaceHead => self.replace_head(now, &answers),
            // What is decided is the view that was accepted, whatever is proposed here.
            Purpose::FinishUndecidedView => self.propose(now, view.members, view.voters, &answers),
        }
    }

    /// Whether this process has accepted a view a while ago that is still not decided. Such a view must be taken up by
    /// whoever sees it later, when machines that it names may have lost their disks, and could then leave no majority of its
    /// voters: so it is decided while they are there.
    fn has_undecided_view(&mut self, now: Duration) -> bool {
        let replica = self.chain().replica();
        let (view, vote) = (replica.view(), replica.vote());
        let is_open = vote.instance == view.number + 1 && view.is_voter(replica.identity());
        let ballot = vote.accepted.as_ref().filter(|_| is_open).map(|accepted| accepted.proposal_number);
        let rank = view.voters.iter().position(|voter| voter.identity == replica.identity()).unwrap_or(0);
        let since = self.membership.undecided_since.filter(|undecided| Some(undecided.0) == ballot);
        self.membership.undecided_since = ballot.map(|ballot| since.unwrap_or((ballot, now)));
        let patience = UNDECIDED_VIEW_TIMEOUT + HEAD_TIMEOUT_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        self.membership.undecided_since.is_some_and(|(_, since)| now >= since + patience)
    }

    fn send_join_request(&mut self) {
        let Some(head) = self.chain().head_address().filter(|head| *head != self.settings().address) else {
            return;
        };
        let position = self.chain().replica().position();
        let request = CoordinatorRequest::Join { member: self.local_member(), position };
        let call = TaskCall { task: self.membership.task_number, kind: TaskCallKind::Join };
        self.call_for_task(head, request, STATUS_TIMEOUT, call);
    }

    /// The head has noted this process, or tells the state that it is to have first.
    fn handle_join_reply(&mut self, reply: Option<CoordinatorReply>) {
        let Some(CoordinatorReply::InstallFirst(state)) = reply else { return };
        if let Err(e) = self.chain_mut().with_replica(|replica| replica.install_as_learner(&state)) {
            warn!("a state that was learnt could not be kept: {e}");
        }
    }

    fn start_view_change_if_needed(&mut self, now: Duration) {
        let status = self.chain().status(now);
        let view = status.view;
        let tolerated = self.settings().tolerated_machines;
        let leaves = self.chain().is_draining();
        let membership = &mut self.membership;
        membership.joining.retain(|member| !view.contains(member.identity));
        membership.leaving.retain(|identity| view.contains(*identity));
        let away = std::mem::take(&mut membership.absent_voters);
        let absent = view.voters.iter().filter(|voter| !view.contains(voter.identity));
        membership.absent_voters =
            absent.map(|voter| (voter.identity, away.get(&voter.identity).copied().unwrap_or(now))).collect();
        let spare = view.voters.len() > 2 * tolerated + 1;
        let gone =
            spare && membership.absent_voters.values().any(|heard| now >= *heard + ABSENT_VOTER_TIMEOUT);
        let suspects = view.members.iter().any(|member| Some(member.address) == status.suspect);
        let changes = suspects || gone || !membership.joining.is_empty() || !membership.leaving.is_empty();
        if !changes && !leaves {
            return;
        }
        let joining = membership.joining.iter().map(|member| member.address);
        let asked =
            view.members.iter().chain(&view.voters).map(|member| member.address).chain(joining).collect();
        self.collect_statuses(now, Purpose::ChangeView, asked);
    }

    /// The head leaves out whom rounds fail at, who has lost its disk and who leaves, and takes in one who asks.
    fn change_view(&mut self, now: Duration, answers: &PeerStatuses) {
        if !self.chain().is_head() {
            return;
        }
        let own = self.chain().replica().identity();
        let view = self.chain().replica().view().clone();
        let hands_over = self.chain().is_draining();
        let joining = std::mem::take(&mut self.membership.joining);
        let suspect = self.chain().status(now).suspect;
        let is_complete = |member: &&Member| self.is_complete(member, &view, answers);
        let leaves = |member: &Member| {
            answers.is_draining(member) && self.membership.leaving.contains(&member.identity)
        };
        let fails = |member: &Member| {
            member.identity != own && (answers.is_lost(member) || Some(member.address) == suspect)
        };
        // Whoever leaves of its own will stays until enough others hold everything.
        let stay =
            |member: &&Member| !fails(member) && !leaves(member) && (!hands_over || member.identity != own);
        let copies = self.settings().tolerated_machines + 1;
        let is_durable = |member: &&Member| !answers.is_draining(member);
        let may_leave =
            view.members.iter().filter(stay).filter(is_complete).filter(is_durable).count() >= copies;
        let goes = |member: &&Member| fails(member) || (may_leave && leaves(member));
        let mut members: Vec<Member> = view.members.iter().filter(|member| !goes(member)).cloned().collect();
        if hands_over && may_leave {
            members.retain(|member| member.identity != own);
            let Some(first) = members.iter().position(|member| is_complete(&member)) else { return };
            members.swap(0, first);
        }
        let may_join = |member: &&Member| answers.of_member(member).is_some_and(|status| !status.draining);
        // One at a time: each holds everything before the next one votes.
        let joiner = joining.iter().filter(|member| !view.contains(member.identity)).find(may_join);
        members.extend(joiner.filter(|_| members.len() < MAX_MEMBERS).cloned());
        let voters = self.next_voters(&view, &members, answers);
        if (members != view.members || voters != view.voters)
            && self.keeps_enough_replicas(now, &view, &members, answers)
        {
            self.propose(now, members, voters, answers);
        }
    }

    fn start_head_replacement_if_needed(&mut self, now: Duration) {
        if self.time_since_committed_round(now) >= self.head_timeout() {
            let view = self.chain().replica().view();
            let others = view.members.iter().chain(&view.voters).map(|member| member.address).collect();
            self.collect_statuses(now, Purpose::ReplaceHead, others);
        }
    }

    /// For how long this member has not heard that its chain is whole.
    fn time_since_committed_round(&self, now: Duration) -> Duration {
        now.saturating_sub(self.chain().last_committed_round_at().unwrap_or(self.membership.started_at))
    }

    fn head_timeout(&self) -> Duration {
        let view = self.chain().replica().view();
        let rank = view.position_of(self.chain().replica().identity()).unwrap_or(0);
        HEAD_TIMEOUT + HEAD_TIMEOUT_STEP * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// A member whose head is silent proposes a view that it heads itself.
    fn replace_head(&mut self, now: Duration, answers: &PeerStatuses) {
        let (silence, patience) = (self.time_since_committed_round(now), self.head_timeout());
        let replica = self.chain().replica();
        if silence < patience || !replica.is_complete() || self.chain().is_head() {
            return;
        }
        let (view, identity) = (replica.view().clone(), replica.identity());
        let answering = |member: &Member| answers.of_member(member).is_some();
        let head_answers = view.head().is_some_and(answering);
        if head_answers && silence < RESPONSIVE_HEAD_GRACE + patience {
            return;
        }
        let Some(own) = view.members.iter().find(|member| member.identity == identity) else { return };
        let others = view.members.iter().filter(|member| member.identity != identity && answering(member));
        let members: Vec<Member> = std::iter::once(own).chain(others).cloned().collect();
        let voters = self.next_voters(&view, &members, answers);
        if self.keeps_enough_replicas(now, &view, &members, answers) {
            self.propose(now, members, voters, answers);
        }
    }
}
