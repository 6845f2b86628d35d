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
const BALLOTS_A_ROUND: u64 = 64;

/// Asks a voter for its vote on the view `instance`.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum VoteRequest {
    /// Promise to take part in no lower ballot.
    Prepare { instance: u64, ballot: u64 },
    /// Accept this view.
    Accept { instance: u64, ballot: u64, view: View },
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
    Outbid(u64),
    /// The view is decided already, or the member knows of another number; this is the newest that it knows.
    Known(View),
    /// The voter's disk refused, or it is no voter.
    Unable,
}

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// Answers a request for this member's vote.
    pub fn answer_vote(&mut self, request: &VoteRequest) -> VoteReply {
        self.try_answer_vote(request).unwrap_or(VoteReply::Unable)
    }

    fn try_answer_vote(&mut self, request: &VoteRequest) -> io::Result<VoteReply> {
        let (instance, ballot) = match request {
            VoteRequest::Decided { view } => {
                self.learn(view)?;
                return Ok(VoteReply::Known(self.view().clone()));
            }
            VoteRequest::Prepare { instance, ballot } | VoteRequest::Accept { instance, ballot, .. } => {
                (*instance, *ballot)
            }
        };
        if instance != self.view().number + 1 {
            return Ok(VoteReply::Known(self.view().clone()));
        }
        if !self.view().has_voter(self.identity()) {
            return Ok(VoteReply::Unable);
        }
        let mut vote = self.vote().clone();
        if vote.instance != instance {
            vote = Vote { instance, ..Vote::default() };
        }
        if ballot < vote.promised {
            return Ok(VoteReply::Outbid(vote.promised));
        }
        vote.promised = ballot;
        let reply = match request {
            VoteRequest::Accept { view, .. } => {
                vote.accepted = Some(Accepted { ballot, view: view.clone() });
                VoteReply::Accepted
            }
            _ => VoteReply::Promised(vote.accepted.clone()),
        };
        if vote != *self.vote() {
            self.keep_vote(vote)?;
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
    Undecided { outbid: u64 },
}

/// What a proposer does after an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for further answers.
    Wait,
    /// Ask all voters the next request.
    Ask,
    Ended(Outcome),
}

/// The two phases of a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Prepare,
    Accept,
}

/// The lowest ballot of a member's own that is above `above`.
pub fn next_ballot(above: u64, member: usize) -> u64 {
    (above / BALLOTS_A_ROUND + 1) * BALLOTS_A_ROUND + member as u64 % BALLOTS_A_ROUND
}

/// One proposer's attempt to have a view decided, without network. The proposer's own vote is the first that is noted: its
/// promise is on its disk before anybody is asked to accept, so that no ballot is ever used for two views.
#[derive(Debug)]
pub struct Proposal {
    current: View,
    view: View,
    ballot: u64,
    /// Voters whose disk is known to be lost.
    lost: BTreeSet<u64>,
    phase: Phase,
    granted: BTreeSet<u64>,
    answered: BTreeSet<u64>,
    highest: Option<Accepted>,
    outbid: u64,
}

impl Proposal {
    /// An attempt to have `view` follow `current`, with a ballot of the proposer's own.
    pub fn new(current: View, view: View, ballot: u64, lost: BTreeSet<u64>) -> Proposal {
        Proposal {
            current,
            view,
            ballot,
            lost,
            phase: Phase::Prepare,
            granted: BTreeSet::new(),
            answered: BTreeSet::new(),
            highest: None,
            outbid: 0,
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
        let (instance, ballot) = (self.current.number + 1, self.ballot);
        match self.phase {
            Phase::Prepare => VoteRequest::Prepare { instance, ballot },
            Phase::Accept => VoteRequest::Accept { instance, ballot, view: self.view.clone() },
        }
    }

    /// Takes a voter's answer, or that there is none.
    pub fn note(&mut self, phase: Phase, identity: u64, reply: Option<VoteReply>) -> Step {
        if phase != self.phase || !self.current.has_voter(identity) || !self.answered.insert(identity) {
            return Step::Wait;
        }
        match (phase, reply) {
            (Phase::Prepare, Some(VoteReply::Promised(accepted))) => {
                self.granted.insert(identity);
                let known = [self.highest.take(), accepted];
                self.highest = known.into_iter().flatten().max_by_key(|accepted| accepted.ballot);
            }
            (Phase::Accept, Some(VoteReply::Accepted)) => {
                self.granted.insert(identity);
            }
            (_, Some(VoteReply::Known(view))) if view.number > self.current.number => {
                return Step::Ended(Outcome::Decided(view));
            }
            (_, Some(VoteReply::Outbid(other))) => self.outbid = self.outbid.max(other),
            _ => {}
        }
        if self.is_granted() {
            return self.advance();
        }
        if self.answered.len() == self.current.voters.len() {
            return Step::Ended(Outcome::Undecided { outbid: self.outbid });
        }
        Step::Wait
    }

    fn is_granted(&self) -> bool {
        let (majority, lost) = (self.current.majority(), self.lost.len());
        let all_left = self.granted.union(&self.lost).count() == self.current.voters.len();
        self.granted.len() >= majority || (lost > 0 && lost < majority && all_left)
    }

    fn advance(&mut self) -> Step {
        if self.phase == Phase::Accept {
            return Step::Ended(Outcome::Decided(self.view.clone()));
        }
        if let Some(accepted) = self.highest.take() {
            self.view = accepted.view;
        }
        self.phase = Phase::Accept;
        self.granted.clear();
        self.answered.clear();
        Step::Ask
    }
}
