//! Agreement on the view that follows: single-decree consensus (Paxos) for each view number, among the members of the view
//! before. What a member promises or accepts is on its disk before it answers.
//!
//! A decision needs a majority of the members. A member whose disk is known to be lost never votes again; where the lost
//! ones are fewer than a majority, all members that are left are enough too: whatever a majority decided, one of them has
//! accepted it, and any two such sets share a member.

use crate::replica::{Replica, StateMachine};
use crate::storage::{Accepted, Storage, Vote};
use crate::view::{Member, View};
use musli::{Decode, Encode};
use std::io;

/// Ballots of one round, of which each member has its own.
const BALLOTS_A_ROUND: u64 = 64;

/// Asks a member for its vote on the view `instance`.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum VoteRequest {
    /// Promise to take part in no lower ballot.
    Prepare { instance: u64, ballot: u64 },
    /// Accept this view.
    Accept { instance: u64, ballot: u64, view: View },
    /// This view is decided.
    Decided { view: View },
}

/// A member's answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum VoteReply {
    /// Promised; what was accepted before.
    Promised(Option<Accepted>),
    Accepted,
    /// A higher ballot is under way: this one at least.
    Outbid(u64),
    /// The view is decided already, or the member knows of another number; this is the newest that it knows.
    Known(View),
    /// The member's disk refused, or it is not a member.
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
        if !self.view().contains(self.identity()) {
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

/// What a proposer needs of the network.
pub trait Voters {
    /// A member's vote; `None` where it does not answer.
    fn ask(&self, member: &Member, request: &VoteRequest) -> Option<VoteReply>;
    /// Whether the disk of this member is known to be lost: its machine answers with another identity.
    fn is_lost(&self, member: &Member) -> bool;
}

/// How an attempt to have a view decided ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Decided, though perhaps another view than the one that was proposed.
    Decided(View),
    /// Too few members answered, or another proposer is ahead with this ballot.
    Undecided { outbid: u64 },
}

/// The lowest ballot of a member's own that is above `above`.
pub fn next_ballot(above: u64, member: usize) -> u64 {
    (above / BALLOTS_A_ROUND + 1) * BALLOTS_A_ROUND + member as u64 % BALLOTS_A_ROUND
}

/// Tries to have `proposal` decided as the view after `current`, with a ballot of the proposer's own. The proposer's own
/// vote is asked for like the others'.
pub fn decide(current: &View, proposal: View, ballot: u64, voters: &impl Voters) -> Outcome {
    let instance = current.number + 1;
    let lost = current.members.iter().filter(|member| voters.is_lost(member)).count();
    let majority = current.majority();
    let enough = |granted: usize| {
        granted >= majority || (lost > 0 && lost < majority && granted + lost >= current.members.len())
    };
    let mut outbid = 0;
    let (mut granted, mut highest) = (0, None::<Accepted>);
    for member in &current.members {
        match voters.ask(member, &VoteRequest::Prepare { instance, ballot }) {
            Some(VoteReply::Promised(accepted)) => {
                granted += 1;
                highest = [highest, accepted].into_iter().flatten().max_by_key(|accepted| accepted.ballot);
            }
            Some(VoteReply::Known(view)) if view.number >= instance => return Outcome::Decided(view),
            Some(VoteReply::Outbid(other)) => outbid = outbid.max(other),
            _ => {}
        }
    }
    if !enough(granted) {
        return Outcome::Undecided { outbid };
    }
    let view = highest.map_or(proposal, |accepted| accepted.view);
    let mut granted = 0;
    for member in &current.members {
        let request = VoteRequest::Accept { instance, ballot, view: view.clone() };
        match voters.ask(member, &request) {
            Some(VoteReply::Accepted) => granted += 1,
            Some(VoteReply::Known(view)) if view.number >= instance => return Outcome::Decided(view),
            Some(VoteReply::Outbid(other)) => outbid = outbid.max(other),
            _ => {}
        }
    }
    if enough(granted) {
        Outcome::Decided(view)
    } else {
        Outcome::Undecided { outbid }
    }
}
