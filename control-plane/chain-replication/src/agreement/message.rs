//! The messages between proposers and voters. Their fields and variants keep their order and types.

use crate::storage::Accepted;
use crate::view::View;
use musli::{Decode, Encode};

/// Requests a vote on the view with the number `instance`.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum VoteRequest {
    /// Phase 1: requests the promise not to vote for a proposal with a lower number.
    Prepare {
        /// Number of the view that is voted on.
        instance: u64,
        /// Number of the proposal.
        proposal_number: u64,
    },
    /// Phase 2: requests acceptance of this view.
    Accept {
        /// Number of the view that is voted on.
        instance: u64,
        /// Number of the proposal.
        proposal_number: u64,
        /// The proposed view.
        view: View,
    },
    /// Announces that this view is decided.
    Decided {
        /// The decided view.
        view: View,
    },
}

/// A voter's reply.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum VoteReply {
    /// The voter has promised; contains the view that it had accepted before, if any.
    Promised(Option<Accepted>),
    /// The voter has accepted the view.
    Accepted,
    /// The voter has promised a higher proposal number, which is this one.
    Preempted(u64),
    /// The voter cannot vote on this instance; contains the newest view that it has installed.
    CurrentView(View),
    /// The voter's storage failed, or the process is not a voter.
    Rejected,
}
