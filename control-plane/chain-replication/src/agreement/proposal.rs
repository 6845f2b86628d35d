//! The proposer of Paxos.

use super::message::{VoteReply, VoteRequest};
use crate::storage::Accepted;
use crate::view::View;
use std::collections::BTreeSet;

/// Number of proposal numbers in one round. Each voter owns one of them.
const PROPOSERS_PER_ROUND: u64 = 64;

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A view is decided, possibly a different one than the proposed view.
    Decided(View),
    /// Too few voters granted the request.
    Undecided {
        /// The highest proposal number of another proposer that a voter reported; 0 if none did.
        preempted_by: u64,
    },
}

/// The next step of a proposal after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for further replies.
    Wait,
    /// Send all voters the next phase's [`Proposal::request`].
    SendRequest,
    /// The proposal has ended.
    Finished(Outcome),
}

/// The two phases of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Phase 1: collects promises, and the views that were accepted before.
    Prepare,
    /// Phase 2: requests acceptance of the view.
    Accept,
}

/// Returns the lowest proposal number above the round of `above` that belongs to the voter with this index.
/// Voters have disjoint sets of numbers, so that two proposers never use the same number.
pub fn next_proposal_number(above: u64, voter: usize) -> u64 {
    (above / PROPOSERS_PER_ROUND + 1) * PROPOSERS_PER_ROUND + voter as u64 % PROPOSERS_PER_ROUND
}

/// A proposal of one proposer, without I/O.
///
/// The caller sends [`Proposal::request`] to the voters, passes their replies to [`Proposal::handle_reply`],
/// and follows the [`Step`]s. In each phase the caller must request the vote of the proposer's own voter
/// first, and abandon the proposal if that voter does not grant the request: the promise is then durable
/// before any voter is asked to accept a view, so that the proposer does not use the same number for another
/// view after a restart.
#[derive(Debug)]
pub struct Proposal {
    /// The view whose voters decide.
    current: View,
    /// The view that phase 2 proposes.
    view: View,
    proposal_number: u64,
    /// Identities of voters whose disk is known to be lost.
    lost_voters: BTreeSet<u64>,
    phase: Phase,
    /// Voters that have granted this phase's request.
    granted_by: BTreeSet<u64>,
    /// Voters that have replied to this phase's request, or have failed to in time.
    replied_by: BTreeSet<u64>,
    highest_accepted: Option<Accepted>,
    preempted_by: u64,
}

impl Proposal {
    /// Creates a proposal for `view` to follow `current`, under a [number](next_proposal_number) of the
    /// proposer's own. `lost_voters` are the identities of the voters whose disk is known to be lost.
    pub fn new(current: View, view: View, proposal_number: u64, lost_voters: BTreeSet<u64>) -> Proposal {
        Proposal {
            current,
            view,
            proposal_number,
            lost_voters,
            phase: Phase::Prepare,
            granted_by: BTreeSet::new(),
            replied_by: BTreeSet::new(),
            highest_accepted: None,
            preempted_by: 0,
        }
    }

    /// Returns the view whose voters decide.
    pub fn current(&self) -> &View {
        &self.current
    }

    /// Returns the phase that the proposal is in.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the request to the voters in this phase.
    pub fn request(&self) -> VoteRequest {
        let (instance, proposal_number) = (self.current.number + 1, self.proposal_number);
        match self.phase {
            Phase::Prepare => VoteRequest::Prepare { instance, proposal_number },
            Phase::Accept => VoteRequest::Accept { instance, proposal_number, view: self.view.clone() },
        }
    }

    /// Handles a voter's reply to the request of a phase; `None` if no reply arrived in time.
    pub fn handle_reply(&mut self, phase: Phase, identity: u64, reply: Option<VoteReply>) -> Step {
        if phase != self.phase || !self.current.is_voter(identity) || !self.replied_by.insert(identity) {
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
            (_, Some(VoteReply::Preempted(number))) => self.preempted_by = self.preempted_by.max(number),
            _ => {}
        }
        if self.is_granted() {
            return self.start_next_phase();
        }
        if self.replied_by.len() == self.current.voters.len() {
            return Step::Finished(Outcome::Undecided { preempted_by: self.preempted_by });
        }
        Step::Wait
    }

    /// Whether a quorum has granted the request; the [module](super) explains why all remaining voters are a
    /// quorum.
    fn is_granted(&self) -> bool {
        let (majority, lost) = (self.current.majority(), self.lost_voters.len());
        let all_others = self.granted_by.union(&self.lost_voters).count() == self.current.voters.len();
        self.granted_by.len() >= majority || (lost > 0 && lost < majority && all_others)
    }

    fn start_next_phase(&mut self) -> Step {
        if self.phase == Phase::Accept {
            return Step::Finished(Outcome::Decided(self.view.clone()));
        }
        // A view that a quorum has accepted under a lower number is decided. Every quorum shares a voter with
        // this one, so such a view is the accepted view with the highest number. Proposing it again ensures
        // that no other view is decided.
        if let Some(accepted) = self.highest_accepted.take() {
            self.view = accepted.view;
        }
        self.phase = Phase::Accept;
        self.granted_by.clear();
        self.replied_by.clear();
        Step::SendRequest
    }
}
