//! Changes of the coordinators' view: who votes on the next one, whether enough copies are left, and the proposal itself.

use crate::coordinator::Coordinator;
use crate::membership::{Task, TaskCall, TaskCallKind, STATUS_TIMEOUT};
use crate::peer_statuses::PeerStatuses;
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

/// Time for a vote, which goes to a disk.
const VOTE_TIMEOUT: Duration = Duration::from_millis(800);

impl<S: Storage> Coordinator<S> {
    /// Whether a member holds everything that was acknowledged in this view: this process, or one that says so.
    pub(crate) fn is_complete(&self, member: &Member, view: &View, answers: &PeerStatuses) -> bool {
        member.identity == self.chain().replica().identity()
            || answers
                .of_member(member)
                .is_some_and(|status| status.complete && status.view.number == view.number)
    }

    /// Who votes after `view`, where these are to be the members. Of the others those go that are lost, do not answer or leave,
    /// as long as 2f + 1 are left.
    pub(crate) fn next_voters(&self, view: &View, members: &[Member], answers: &PeerStatuses) -> Vec<Member> {
        let least = 2 * self.settings().tolerated_machines + 1;
        let mut voters = view.voters.clone();
        voters.extend(members.iter().filter(|member| !view.is_voter(member.identity)).cloned());
        let holds = |voter: &Member| members.iter().any(|member| member.identity == voter.identity);
        let is_lost = |voter: &Member| answers.is_lost(voter);
        let is_back = |voter: &Member| {
            let identity = answers.at_address_of(voter).map(|status| status.identity);
            is_lost(voter) && members.iter().any(|member| Some(member.identity) == identity)
        };
        // Its machine votes as another one.
        voters.retain(|voter| !is_back(voter));
        let is_silent = |voter: &Member| answers.at_address_of(voter).is_none();
        let leaves = |voter: &Member| answers.is_draining(voter);
        let reasons: [&dyn Fn(&Member) -> bool; 3] = [&is_lost, &is_silent, &leaves];
        for goes in reasons {
            while voters.len() > least {
                let Some(at) = voters.iter().position(|voter| !holds(voter) && goes(voter)) else { break };
                voters.remove(at);
            }
        }
        voters
    }

    /// Whether enough of the next members hold everything, where members are left out whose disks may be there: only those
    /// that were complete can head the view after. With a single one, its disk would be the only one that counts, so it is
    /// better to wait for those that are out of reach; for a while, as they may be gone for good.
    pub(crate) fn keeps_enough_replicas(
        &mut self,
        now: Duration,
        view: &View,
        members: &[Member],
        answers: &PeerStatuses,
    ) -> bool {
        let is_complete = |member: &&Member| self.is_complete(member, view, answers);
        let stays = |member: &Member| members.iter().any(|other| other.identity == member.identity);
        let leaves_out = view.members.iter().any(|member| !stays(member) && !answers.is_lost(member));
        let holders = members.iter().filter(is_complete).count();
        if !leaves_out || holders >= MIN_COMPLETE_MEMBERS.min(self.settings().tolerated_machines + 1) {
            self.membership.replica_wait.reset();
            return true;
        }
        self.membership.replica_wait.has_timed_out(now, view.number)
    }

    /// Begins to have `members` decided as the next view.
    pub(crate) fn propose(
        &mut self,
        now: Duration,
        members: Vec<Member>,
        voters: Vec<Member>,
        answers: &PeerStatuses,
    ) {
        let replica = self.chain().replica();
        let (current, own) = (replica.view().clone(), replica.identity());
        let rank = current.voters.iter().position(|voter| voter.identity == own).unwrap_or(0);
        let instance = current.number + 1;
        let promised = if replica.vote().instance == instance { replica.vote().promised } else { 0 };
        let identities = |of: &dyn Fn(&Member) -> bool| -> BTreeSet<u64> {
            current.voters.iter().filter(|voter| of(voter)).map(|voter| voter.identity).collect()
        };
        let lost = identities(&|voter| answers.is_lost(voter));
        let silent = identities(&|voter| voter.identity != own && answers.of_member(voter).is_none());
        let view = View { number: instance, members, voters };
        info!("proposes view {}: {}", view.number, view.addresses());
        let proposal = Proposal::new(current, view, next_proposal_number(promised, rank), lost);
        self.begin_task(now, Task::Proposing(Box::new(proposal)));
        self.membership.unresponsive_voters = silent;
        self.request_votes();
    }

    /// Asks for the votes of one phase: this process's own first, which must be on its disk before any other is asked.
    fn request_votes(&mut self) {
        let Some(Task::Proposing(proposal)) = &self.membership.task else { return };
        let (request, phase) = (proposal.request(), proposal.phase());
        let voters = proposal.current().voters.clone();
        let own = self.chain().replica().identity();
        let reply = self.chain_mut().with_replica(|replica| replica.handle_vote_request(&request));
        let granted = matches!(reply, VoteReply::Promised(_) | VoteReply::Accepted);
        if !granted {
            warn!("this process's own vote was not given: {reply:?}");
            self.membership.task = None;
            return;
        }
        let task = self.membership.task_number;
        self.handle_vote_reply(phase, own, Some(reply));
        for member in voters.iter().filter(|voter| voter.identity != own) {
            let under_way = self.membership.task_number == task
                && matches!(&self.membership.task, Some(Task::Proposing(p)) if p.phase() == phase);
            if !under_way {
                return;
            }
            if self.membership.unresponsive_voters.contains(&member.identity) {
                self.handle_vote_reply(phase, member.identity, None);
                continue;
            }
            let call = TaskCall { task, kind: TaskCallKind::Vote { phase, identity: member.identity } };
            self.call_for_task(member.address, CoordinatorRequest::Vote(request.clone()), VOTE_TIMEOUT, call);
        }
    }

    pub(crate) fn handle_vote_reply(&mut self, phase: Phase, identity: u64, reply: Option<VoteReply>) {
        let Some(Task::Proposing(proposal)) = &mut self.membership.task else { return };
        match proposal.handle_reply(phase, identity, reply) {
            Step::Wait => {}
            Step::SendRequest => self.request_votes(),
            Step::Finished(outcome) => {
                let current = proposal.current().clone();
                self.membership.task = None;
                self.finish_proposal(&current, outcome);
            }
        }
    }

    fn finish_proposal(&mut self, current: &View, outcome: Outcome) {
        match outcome {
            Outcome::Decided(view) => {
                self.install_view(&view);
                self.announce_decided_view(current, &view);
            }
            Outcome::Undecided { preempted_by: outbid } => {
                if outbid > 0 {
                    // The next ballot of one's own is above what one has promised; promise the other one's.
                    let request =
                        VoteRequest::Prepare { instance: current.number + 1, proposal_number: outbid };
                    self.chain_mut().with_replica(|replica| replica.handle_vote_request(&request));
                }
                warn!("view {} was not agreed", current.number + 1);
            }
        }
    }

    /// Tells everyone concerned of a view that was decided. Whoever does not hear it learns it from the next message of the
    /// chain.
    fn announce_decided_view(&mut self, before: &View, view: &View) {
        let members = before.members.iter().chain(&before.voters).chain(&view.members).chain(&view.voters);
        let mut addresses: BTreeSet<SocketAddr> = members.map(|member| member.address).collect();
        addresses.remove(&self.settings().address);
        for address in addresses {
            let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
            self.notify(address, request, STATUS_TIMEOUT);
        }
    }
}
