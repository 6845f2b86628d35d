//! Who is in the coordinators' chain: a process that is not asks to join, members that fail are left out by agreement, and
//! one that is told to end leaves first.
//!
//! Who holds the state and who votes are two things. A member that fails leaves the chain, as every acknowledgement waits
//! for all members, and goes on voting: so that another loss leaves a majority. A voter that does not answer goes only where
//! 2f + 1 others are left, so it stays until another one has come in its place.
//!
//! A process under way with one [`Task`] begins no other, and gives it up after [`TASK_MOST`].

use crate::answers::Answers;
use crate::coordinator::Coordinator;
use crate::patience::{leaves_until, WaitForCopies};
use marblecroft_chain_replication::agreement::{Phase, Proposal, VoteRequest};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::Member;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Pause between two looks at the chain.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Pause between two requests to join.
const JOIN_EVERY: Duration = Duration::from_millis(300);
/// Pause between two looks of a process that is to be no member.
const WATCH_EVERY: Duration = Duration::from_millis(900);
/// What others have told of the view is of use to callers for so long.
const ASKED_LATELY: Duration = Duration::from_millis(1800);
/// Pause between two announcements of the view to others than members.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(1500);
/// Members of a chain at most: every acknowledgement passes them all. Others wait until one fails.
pub(crate) const MEMBERS_MOST: usize = 7;
/// A member that has heard nothing of its chain for so long takes its head for failed ...
const HEAD_SILENT: Duration = Duration::from_millis(1000);
/// ... and as much longer for each member before it, so that they do not bid against each other.
const SILENT_STEP: Duration = Duration::from_millis(350);
/// A head that answers is left in place for so long all the same; the fault may be another's, which it mends.
const HEAD_ANSWERS: Duration = Duration::from_millis(3500);
/// Time for an answer that needs no disk.
pub(crate) const STATUS_TIME: Duration = Duration::from_millis(400);
/// A voter that is no member and has not been heard of for so long is left out, if enough others are left.
const VOTER_AWAY: Duration = Duration::from_millis(1500);
/// A view that this process has accepted and that is still not decided after this time is proposed again by it ...
const UNDECIDED_MOST: Duration = Duration::from_millis(1500);
/// A task is given up after this time, which is more than all of its calls may take.
const TASK_MOST: Duration = Duration::from_secs(3);

/// Why others are asked for their status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A process that is no member would be one.
    Join,
    /// A member that waits for its state may be in a view that is over.
    CatchUp,
    /// The head leaves members out, or takes one in.
    Lead,
    /// A member takes its head for failed.
    Follow,
    /// A voter has accepted a view that nobody has had decided.
    Finish,
}

/// What is under way.
pub(crate) enum Task {
    Asking {
        purpose: Purpose,
        /// The view in which they were asked.
        view: u64,
        waits_for: BTreeSet<SocketAddr>,
        answers: Answers,
    },
    Proposing(Box<Proposal>),
}

/// What a call of a task was made for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TaskCall {
    /// Answers to the calls of earlier tasks change nothing.
    pub(crate) task: u64,
    pub(crate) asks: Asks,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Asks {
    Status(SocketAddr),
    Vote { phase: Phase, identity: u64 },
    Join,
}

/// A coordinator's side of the membership.
pub(crate) struct Membership {
    started: Duration,
    look_at: Duration,
    join_at: Duration,
    announce_at: Duration,
    pub(crate) task: Option<Task>,
    /// When the task is given up.
    task_until: Duration,
    /// Counts the tasks.
    pub(crate) number: u64,
    /// Processes that would be members and hold the state.
    joining: Vec<Member>,
    /// Members that have asked to be left out.
    leaving: BTreeSet<u64>,
    /// Voters that are no members, and when they were last heard of by this head.
    away: BTreeMap<u64, Duration>,
    pub(crate) waits_for_copies: WaitForCopies,
    /// Members that did not answer before a proposal, and are not asked for their votes.
    pub(crate) silent: BTreeSet<u64>,
    /// The ballot of a view that this process has accepted and that is not decided, and since when.
    undecided: Option<(u64, Duration)>,
    /// When a process that is no member last asked others, with an answer.
    asked_at: Option<Duration>,
    /// When the process ends whether it has left or not, once it was told to.
    ends_at: Option<Duration>,
}

impl Membership {
    pub(crate) fn new(now: Duration) -> Membership {
        Membership {
            started: now,
            look_at: now,
            join_at: now,
            announce_at: now,
            task: None,
            task_until: now,
            number: 0,
            joining: Vec::new(),
            leaving: BTreeSet::new(),
            away: BTreeMap::new(),
            waits_for_copies: WaitForCopies::default(),
            silent: BTreeSet::new(),
            undecided: None,
            asked_at: None,
            ends_at: None,
        }
    }

    /// A process that is no member was heard of.
    pub(crate) fn note_heard(&mut self, now: Duration, identity: u64) {
        if let Some(heard) = self.away.get_mut(&identity) {
            *heard = now;
        }
    }

    pub(crate) fn note_joining(&mut self, member: Member) {
        self.joining.retain(|other| other.address != member.address);
        self.joining.push(member);
    }

    pub(crate) fn note_leaving(&mut self, identity: u64) {
        self.leaving.insert(identity);
    }

    /// Whether the view was asked of others a moment ago.
    pub(crate) fn has_asked_lately(&self, now: Duration) -> bool {
        self.asked_at.is_some_and(|at| now < at + ASKED_LATELY)
    }

    pub(crate) fn next_wake(&self) -> Duration {
        self.look_at
    }
}

impl<S: Storage> Coordinator<S> {
    fn own_member(&self) -> Member {
        Member {
            address: self.settings().address,
            identity: self.chain().replica().identity(),
            node: self.settings().node_name.clone(),
        }
    }

    /// The process is to end: it leaves its chain first, where the others hold everything.
    pub(crate) fn terminate(&mut self, now: Duration) {
        if self.membership.ends_at.is_some() {
            return;
        }
        self.chain_mut().leave();
        self.membership.ends_at = Some(leaves_until(now, self.settings().grace_period));
        info!("told to end: leaves the chain");
    }

    /// Does what is due.
    pub(crate) fn step_membership(&mut self, now: Duration) {
        let identity = self.chain().replica().identity();
        let is_member = self.chain().replica().view().contains(identity);
        if let Some(ends_at) = self.membership.ends_at {
            let alone = self.chain().replica().view().members.len() < 2;
            if !is_member || alone || now >= ends_at {
                self.exit();
                return;
            }
        }
        if now < self.membership.look_at {
            return;
        }
        self.membership.look_at = now + LOOK_EVERY;
        if now >= self.membership.task_until {
            self.membership.task = None;
        }
        if self.membership.task.is_some() {
            return;
        }
        if self.has_undecided_view(now) {
            let voters = self.chain().replica().view().voters.iter().map(|voter| voter.address).collect();
            self.ask_all(now, Purpose::Finish, voters);
            return;
        }
        let may_join = now >= self.membership.join_at;
        if !is_member {
            if may_join {
                let pause = if self.settings().is_durable { JOIN_EVERY } else { WATCH_EVERY };
                self.membership.join_at = now + pause;
                self.ask_all(now, Purpose::Join, self.others());
            }
        } else if self.chain().is_head() {
            self.announce(now);
            self.begin_lead(now);
        } else if self.chain().is_leaving() {
            if let Some(head) = self.chain().head_address() {
                self.tell(head, CoordinatorRequest::Leave(identity), STATUS_TIME);
            }
        } else if self.chain().replica().complete() {
            self.begin_follow(now);
        } else if may_join {
            self.membership.join_at = now + JOIN_EVERY;
            let heard = self.chain().heard_at().is_some_and(|at| now < at + HEAD_SILENT);
            if !heard {
                self.ask_all(now, Purpose::CatchUp, self.others());
            }
        }
    }

    /// The head tells the view to those that are no members: a process that was restarted may know only addresses of others
    /// that know nothing either.
    fn announce(&mut self, now: Duration) {
        if now < self.membership.announce_at {
            return;
        }
        self.membership.announce_at = now + ANNOUNCE_EVERY;
        let view = self.chain().replica().view().clone();
        let is_member = |address: &SocketAddr| view.members.iter().any(|member| member.address == *address);
        for address in self.others().into_iter().filter(|address| !is_member(address)) {
            let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
            self.tell(address, request, STATUS_TIME);
        }
    }

    pub(crate) fn begin_task(&mut self, now: Duration, task: Task) -> u64 {
        self.membership.number += 1;
        self.membership.task_until = now + TASK_MOST;
        self.membership.task = Some(task);
        self.membership.number
    }

    /// Asks processes what they say of themselves, all at the same time.
    fn ask_all(&mut self, now: Duration, purpose: Purpose, addresses: Vec<SocketAddr>) {
        let waits_for: BTreeSet<SocketAddr> =
            addresses.into_iter().filter(|address| *address != self.settings().address).collect();
        let (view, answers) = (self.chain().replica().view().number, Answers::default());
        let task =
            self.begin_task(now, Task::Asking { purpose, view, waits_for: waits_for.clone(), answers });
        if waits_for.is_empty() {
            self.answered(now, purpose, view, Answers::default());
            return;
        }
        for address in waits_for {
            let call = TaskCall { task, asks: Asks::Status(address) };
            self.call_for_task(address, CoordinatorRequest::Status, STATUS_TIME, call);
        }
    }

    /// Takes the answer to a call that a task has made.
    pub(crate) fn take_task_reply(&mut self, now: Duration, call: TaskCall, reply: Option<CoordinatorReply>) {
        match call.asks {
            Asks::Join => self.take_join_reply(reply),
            _ if call.task != self.membership.number => {}
            Asks::Status(address) => self.take_status(now, address, reply),
            Asks::Vote { phase, identity } => {
                let reply = match reply {
                    Some(CoordinatorReply::Vote(reply)) => Some(reply),
                    _ => None,
                };
                self.take_vote(phase, identity, reply);
            }
        }
    }

    fn take_status(&mut self, now: Duration, address: SocketAddr, reply: Option<CoordinatorReply>) {
        let Some(Task::Asking { purpose, view, waits_for, answers }) = &mut self.membership.task else {
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
            self.answered(now, purpose, view, answers);
        }
    }

    /// All have answered, or not in time.
    fn answered(&mut self, now: Duration, purpose: Purpose, asked_in: u64, answers: Answers) {
        self.membership.task = None;
        let newest = answers.iter().map(|(_, status)| &status.view).max_by_key(|view| view.number);
        if let Some(newest) = newest {
            self.learn(newest);
        }
        let view = self.chain().replica().view().clone();
        let is_over = view.number != asked_in;
        for (address, status) in answers.iter() {
            if status.view.number < view.number && view.voters.iter().any(|voter| voter.address == *address) {
                // Whoever is behind can't vote on what follows.
                let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
                self.tell(*address, request, STATUS_TIME);
            }
        }
        match purpose {
            Purpose::Join => {
                self.membership.asked_at = if answers.is_empty() { None } else { Some(now) };
                if self.settings().is_durable {
                    self.ask_to_join();
                }
            }
            Purpose::CatchUp => {}
            // What was to be done was of a view that is over.
            Purpose::Lead | Purpose::Follow | Purpose::Finish if is_over => {}
            Purpose::Lead => self.lead(now, &answers),
            Purpose::Follow => self.follow(now, &answers),
            // What is decided is the view that was accepted, whatever is proposed here.
            Purpose::Finish => self.propose(now, view.members, view.voters, &answers),
        }
    }

    /// Whether this process has accepted a view a while ago that is still not decided. Such a view must be taken up by
    /// whoever sees it later, when machines that it names may have lost their disks, and could then leave no majority of its
    /// voters: so it is decided while they are there.
    fn has_undecided_view(&mut self, now: Duration) -> bool {
        let replica = self.chain().replica();
        let (view, vote) = (replica.view(), replica.vote());
        let is_open = vote.instance == view.number + 1 && view.has_voter(replica.identity());
        let ballot = vote.accepted.as_ref().filter(|_| is_open).map(|accepted| accepted.ballot);
        let rank = view.voters.iter().position(|voter| voter.identity == replica.identity()).unwrap_or(0);
        let since = self.membership.undecided.filter(|undecided| Some(undecided.0) == ballot);
        self.membership.undecided = ballot.map(|ballot| since.unwrap_or((ballot, now)));
        let patience = UNDECIDED_MOST + SILENT_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        self.membership.undecided.is_some_and(|(_, since)| now >= since + patience)
    }

    fn ask_to_join(&mut self) {
        let Some(head) = self.chain().head_address().filter(|head| *head != self.settings().address) else {
            return;
        };
        let position = self.chain().replica().position();
        let request = CoordinatorRequest::Join { member: self.own_member(), position };
        let call = TaskCall { task: self.membership.number, asks: Asks::Join };
        self.call_for_task(head, request, STATUS_TIME, call);
    }

    /// The head has noted this process, or tells the state that it is to have first.
    fn take_join_reply(&mut self, reply: Option<CoordinatorReply>) {
        let Some(CoordinatorReply::Learn(state)) = reply else { return };
        if let Err(e) = self.chain_mut().with_replica(|replica| replica.adopt(&state)) {
            warn!("a state that was learnt could not be kept: {e}");
        }
    }

    fn begin_lead(&mut self, now: Duration) {
        let status = self.chain().status(now);
        let view = status.view;
        let tolerated = self.settings().tolerated_machines;
        let leaves = self.chain().is_leaving();
        let membership = &mut self.membership;
        membership.joining.retain(|member| !view.contains(member.identity));
        membership.leaving.retain(|identity| view.contains(*identity));
        let away = std::mem::take(&mut membership.away);
        let absent = view.voters.iter().filter(|voter| !view.contains(voter.identity));
        membership.away =
            absent.map(|voter| (voter.identity, away.get(&voter.identity).copied().unwrap_or(now))).collect();
        let spare = view.voters.len() > 2 * tolerated + 1;
        let gone = spare && membership.away.values().any(|heard| now >= *heard + VOTER_AWAY);
        let suspects = view.members.iter().any(|member| Some(member.address) == status.suspect);
        let changes = suspects || gone || !membership.joining.is_empty() || !membership.leaving.is_empty();
        if !changes && !leaves {
            return;
        }
        let joining = membership.joining.iter().map(|member| member.address);
        let asked =
            view.members.iter().chain(&view.voters).map(|member| member.address).chain(joining).collect();
        self.ask_all(now, Purpose::Lead, asked);
    }

    /// The head leaves out whom rounds fail at, who has lost its disk and who leaves, and takes in one who asks.
    fn lead(&mut self, now: Duration, answers: &Answers) {
        if !self.chain().is_head() {
            return;
        }
        let own = self.chain().replica().identity();
        let view = self.chain().replica().view().clone();
        let hands_over = self.chain().is_leaving();
        let joining = std::mem::take(&mut self.membership.joining);
        let suspect = self.chain().status(now).suspect;
        let is_complete = |member: &&Member| self.is_complete(member, &view, answers);
        let leaves =
            |member: &Member| answers.leaves(member) && self.membership.leaving.contains(&member.identity);
        let fails = |member: &Member| {
            member.identity != own && (answers.is_lost(member) || Some(member.address) == suspect)
        };
        // Whoever leaves of its own will stays until enough others hold everything.
        let stay =
            |member: &&Member| !fails(member) && !leaves(member) && (!hands_over || member.identity != own);
        let copies = self.settings().tolerated_machines + 1;
        let is_durable = |member: &&Member| !answers.leaves(member);
        let may_leave =
            view.members.iter().filter(stay).filter(is_complete).filter(is_durable).count() >= copies;
        let goes = |member: &&Member| fails(member) || (may_leave && leaves(member));
        let mut members: Vec<Member> = view.members.iter().filter(|member| !goes(member)).cloned().collect();
        if hands_over && may_leave {
            members.retain(|member| member.identity != own);
            let Some(first) = members.iter().position(|member| is_complete(&member)) else { return };
            members.swap(0, first);
        }
        let may_join = |member: &&Member| answers.of(member).is_some_and(|status| !status.leaving);
        // One at a time: each holds everything before the next one votes.
        let joiner = joining.iter().filter(|member| !view.contains(member.identity)).find(may_join);
        members.extend(joiner.filter(|_| members.len() < MEMBERS_MOST).cloned());
        let voters = self.next_voters(&view, &members, answers);
        if (members != view.members || voters != view.voters)
            && self.keeps_copies(now, &view, &members, answers)
        {
            self.propose(now, members, voters, answers);
        }
    }

    fn begin_follow(&mut self, now: Duration) {
        if self.silence(now) >= self.patience() {
            let view = self.chain().replica().view();
            let others = view.members.iter().chain(&view.voters).map(|member| member.address).collect();
            self.ask_all(now, Purpose::Follow, others);
        }
    }

    /// For how long this member has not heard that its chain is whole.
    fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.chain().healthy_at().unwrap_or(self.membership.started))
    }

    fn patience(&self) -> Duration {
        let view = self.chain().replica().view();
        let rank = view.index_of(self.chain().replica().identity()).unwrap_or(0);
        HEAD_SILENT + SILENT_STEP * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// A member whose head is silent proposes a view that it heads itself.
    fn follow(&mut self, now: Duration, answers: &Answers) {
        let (silence, patience) = (self.silence(now), self.patience());
        let replica = self.chain().replica();
        if silence < patience || !replica.complete() || self.chain().is_head() {
            return;
        }
        let (view, identity) = (replica.view().clone(), replica.identity());
        let answering = |member: &Member| answers.of(member).is_some();
        let head_answers = view.head().is_some_and(answering);
        if head_answers && silence < HEAD_ANSWERS + patience {
            return;
        }
        let Some(own) = view.members.iter().find(|member| member.identity == identity) else { return };
        let others = view.members.iter().filter(|member| member.identity != identity && answering(member));
        let members: Vec<Member> = std::iter::once(own).chain(others).cloned().collect();
        let voters = self.next_voters(&view, &members, answers);
        if self.keeps_copies(now, &view, &members, answers) {
            self.propose(now, members, voters, answers);
        }
    }
}
