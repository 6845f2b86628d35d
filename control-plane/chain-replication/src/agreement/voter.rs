//! The acceptor of Paxos.

use super::message::{VoteReply, VoteRequest};
use crate::replica::Replica;
use crate::state_machine::StateMachine;
use crate::storage::{Accepted, Storage, Vote};
use std::io;

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// Replies to a request for this member's vote. The vote is durable on return.
    pub fn handle_vote_request(&mut self, request: &VoteRequest) -> VoteReply {
        // A failed write counts as no vote. The vote may still be found when the storage is read again; until
        // then this member is suspended.
        self.vote_on(request).unwrap_or(VoteReply::Rejected)
    }

    fn vote_on(&mut self, request: &VoteRequest) -> io::Result<VoteReply> {
        self.check_not_suspended()?;
        let (instance, proposal_number) = match request {
            VoteRequest::Decided { view } => {
                self.install_view(view)?;
                return Ok(VoteReply::CurrentView(self.view().clone()));
            }
            VoteRequest::Prepare { instance, proposal_number }
            | VoteRequest::Accept { instance, proposal_number, .. } => (*instance, *proposal_number),
        };
        // Only the voters of the directly preceding view decide, and only until they have installed a later
        // view.
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
        // Keeps the promise: a proposer that was promised this number has received everything that this voter
        // accepted under lower ones.
        if proposal_number < vote.promised {
            return Ok(VoteReply::Preempted(vote.promised));
        }
        vote.promised = proposal_number;
        let reply = match request {
            VoteRequest::Accept { view, .. } => {
                vote.accepted = Some(Accepted { proposal_number, view: view.clone() });
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
