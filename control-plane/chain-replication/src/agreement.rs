//! Agreement on the next view: single-decree Paxos (Lamport, "Paxos Made Simple", 2001) for each view number,
//! among the voters of the preceding view.
//!
//! Every voter is an acceptor ([`Replica::handle_vote_request`](crate::Replica::handle_vote_request)); any
//! voter may be a proposer ([`Proposal`]); a process that receives the decision installs the view. A voter
//! makes its promise or acceptance durable before it replies, so that it survives a restart.
//!
//! **Quorums, and voters that lost their disk.** A majority of the voters decides, as in Paxos. A voter whose
//! disk is lost returns under another identity and never votes again, so with majorities alone a chain of two
//! could not exclude a member that lost its disk. A proposer that has detected lost voters may therefore
//! also count *all the others* as a quorum, provided that the lost voters are fewer than a majority. Paxos
//! requires that any two quorums share an acceptor that still has its vote:
//!
//! - Two majorities share a voter.
//! - A majority and all voters except the lost ones share one, since the lost ones are too few to be that
//!   majority.
//! - Of two quorums that exclude lost voters, the one of the later proposal contains no voter that the
//!   earlier one excluded, because that voter had been lost before. The later quorum is therefore a subset of
//!   the earlier one.
//!
//! In each case the shared voter also granted the later request, so its disk was not lost and it still has
//! its vote.
//!
//! A voter must therefore be *known* to be lost, which is the case when a process of another identity replies
//! at its address. An unreachable voter does not count as lost, as it may accept another view meanwhile.

mod message;
mod proposal;
mod voter;

pub use message::{VoteReply, VoteRequest};
pub use proposal::{next_proposal_number, Outcome, Phase, Proposal, Step};
