//! Agreement on the view that follows: single-decree consensus (Paxos) for each view number, among the voters of the view
//! before. What a voter promises or accepts is on its disk before it answers.
//!
//! A decision needs a majority of the voters. A voter whose disk is known to be lost never votes again; where the lost ones
//! are fewer than a majority, all voters that are left are enough too: whatever a majority decided, one of them has accepted
//! it, and any two such sets share a voter.

use crate::replica::{Replica, StateMachine};
use crate::storage::{Accepted, Storage, Vote};
use crate::view::View;
use musli::{Decode, Encode};
use std::collections::BTreeSet;
use std::io;

/// Ballots of one round, of which each member has its own.
const PROPOSERS_PER_ROUND: u64 = 64;

/// Asks a voter for its vote on the view `instance`.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum VoteRequest {
    /// Promise to take part in no lower ballot.
    Prepare { instance: u64, proposal_number: u64 },
    /// Accept this view.
    Accept { instance: u64, proposal_number: u64, view: View },
    /// This view is decided.
    Decided { view: View },
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum VoteReply {
    /// Promised; what was accepted before.
    Promised(Option<Accepted>),
    Accepted,
    /// A higher ballot is under way: this one at least.
    Preempted(u64),
    /// The view is decided already, or the member knows of another number; this is the newest that it knows.
    CurrentView(View),
    /// The voter's disk refused, or it is no voter.
    Rejected,
}

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// Answers a request for this member's vote.
    pub fn handle_vote_request(&mut self, request: &VoteRequest) -> VoteReply {
        self.try_handle_vote_request(request).unwrap_or(VoteReply::Rejected)
    }

    fn try_handle_vote_request(&mut self, request: &VoteRequest) -> io::Result<VoteReply> {
        let (instance, ballot) = match request {
            VoteRequest::Decided { view } => {
                self.install_view(view)?;
                return Ok(VoteReply::CurrentView(self.view().clone()));
            }
            VoteRequest::Prepare { instance, proposal_number: ballot }
            | VoteRequest::Accept { instance, proposal_number: ballot, .. } => (*instance, *ballot),
        };
        if instance != self.view().number + 1 {
            return Ok(VoteReply::CurrentView(self.view().clone()));
        }
        if !self.view().is_voter(self.identity()) {
            return Ok(VoteReply::Rejected);
        }
        let mut vote = self.vote().clone();
        if vote.instance != instance {
            vote = Vote { instance, ..Vote::default() };
        }
        if ballot < vote.promised {
            return Ok(VoteReply::Preempted(vote.promised));
        }
        vote.promised = ballot;
        let reply = match request {
            VoteRequest::Accept { view, .. } => {
                vote.accepted = Some(Accepted { proposal_number: ballot, view: view.clone() });
                VoteReply::Accepted
            }
            _ => VoteReply::Promised(vote.accepted.clone()),
        };
        if vote != *self.vote() {
            self.persist_vote(vote)?;
        }
        Ok(reply)
    }
}

/// How an attempt to have a view decided ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Decided, though perhaps another view than the one that was proposed.
    Decided(View),
    /// Too few members answered, or another proposer is ahead with this ballot.
    Undecided { preempted_by: u64 },
}

/// What a proposer does after an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for further answers.
    Wait,
    /// Ask all voters the next request.
    SendRequest,
    Finished(Outcome),
}

/// The two phases of a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Prepare,
    Accept,
}

/// The lowest ballot of a member's own that is above `above`.
pub fn next_proposal_number(above: u64, member: usize) -> u64 {
    (above / PROPOSERS_PER_ROUND + 1) * PROPOSERS_PER_ROUND + member as u64 % PROPOSERS_PER_ROUND
}

/// One proposer's attempt to have a view decided, without network. The proposer's own vote is the first that is noted: its
/// promise is on its disk before anybody is asked to accept, so that no ballot is ever used for two views.
#[derive(Debug)]
pub struct Proposal {
    current: View,
    view: View,
    proposal_number: u64,
    /// Voters whose disk is known to be lost.
    lost_voters: BTreeSet<u64>,
    phase: Phase,
    granted_by: BTreeSet<u64>,
    answered_by: BTreeSet<u64>,
    highest_accepted: Option<Accepted>,
    preempted_by: u64,
}

impl Proposal {
    /// An attempt to have `view` follow `current`, with a ballot of the proposer's own.
    pub fn new(current: View, view: View, proposal_number: u64, lost_voters: BTreeSet<u64>) -> Proposal {
        Proposal {
            current,
            view,
            proposal_number,
            lost_voters,
            phase: Phase::Prepare,
            granted_by: BTreeSet::new(),
            answered_by: BTreeSet::new(),
            highest_accepted: None,
            preempted_by: 0,
        }
    }

    /// The view whose voters are asked.
    pub fn current(&self) -> &View {
        &self.current
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What the voters are asked in this phase.
    pub fn request(&self) -> VoteRequest {
        let (instance, ballot) = (self.current.number + 1, self.proposal_number);
        match self.phase {
            Phase::Prepare => VoteRequest::Prepare { instance, proposal_number: ballot },
            Phase::Accept => {
                VoteRequest::Accept { instance, proposal_number: ballot, view: self.view.clone() }
            }
        }
    }

    /// Takes a voter's answer, or that there is none.
    pub fn handle_reply(&mut self, phase: Phase, identity: u64, reply: Option<VoteReply>) -> Step {
        if phase != self.phase || !self.current.is_voter(identity) || !self.answered_by.insert(identity) {
            return Step::Wait;
        }
        match (phase, reply) {
            (Phase::Prepare, Some(VoteReply::Promised(accepted))) => {
                self.granted_by.insert(identity);
                let known = [self.highest_accepted.take(), accepted];
                self.highest_accepted =
                    known.into_iter().flatten().max_by_key(|accepted| accepted.proposal_number);
            }
            (Phase::Accept, Some(VoteReply::Accepted)) => {
                self.granted_by.insert(identity);
            }
            (_, Some(VoteReply::CurrentView(view))) if view.number > self.current.number => {
                return Step::Finished(Outcome::Decided(view));
            }
            (_, Some(VoteReply::Preempted(other))) => self.preempted_by = self.preempted_by.max(other),
            _ => {}
        }
        if self.is_granted() {
            return self.start_next_phase();
        }
        if self.answered_by.len() == self.current.voters.len() {
            return Step::Finished(Outcome::Undecided { preempted_by: self.preempted_by });
        }
        Step::Wait
    }

    fn is_granted(&self) -> bool {
        let (majority, lost) = (self.current.majority(), self.lost_voters.len());
        let all_left = self.granted_by.union(&self.lost_voters).count() == self.current.voters.len();
        self.granted_by.len() >= majority || (lost > 0 && lost < majority && all_left)
    }

    fn start_next_phase(&mut self) -> Step {
        if self.phase == Phase::Accept {
            return Step::Finished(Outcome::Decided(self.view.clone()));
        }
        if let Some(accepted) = self.highest_accepted.take() {
            self.view = accepted.view;
        }
        self.phase = Phase::Accept;
        self.granted_by.clear();
        self.answered_by.clear();
        Step::SendRequest
    }
}
