//! Agreement on the next view: single-decree Paxos (Lamport, "Paxos Made Simple", 2001) for each view number, among the
//! voters of the view before.
//!
//! Every voter is an acceptor ([`Replica::handle_vote_request`](crate::Replica::handle_vote_request)); any voter may be a
//! proposer ([`Proposal`]); a process that learns the decision installs the view. What a voter promises or accepts is
//! durable before it replies, so it survives a restart.
//!
//! **Quorums, and voters that lost their disk.** A majority of the voters decides, as in Paxos. A voter whose disk is lost
//! comes back under another identity and never votes again, so with majorities alone a chain of two could not leave out a
//! member that lost its disk. A proposer that knows of lost voters may therefore also take *all the others* as a quorum,
//! provided that the lost voters are fewer than a majority. Paxos needs any two quorums to share an acceptor that remembers
//! its vote:
//!
//! - Two majorities share a voter.
//! - A majority and all voters but the lost ones share one, since the lost ones are too few to be that majority.
//! - Of two quorums that leave out lost voters, the one whose proposal began later has no voter that the earlier one left
//!   out, as that one was lost before. So it is part of the earlier one.
//!
//! In each case the shared voter has granted the later request too, so its disk was not lost, and it remembers.
//!
//! It follows that a voter must be *known* to be lost - its address is answered by a process of another identity - and not
//! merely unreachable: an unreachable voter may accept another view meanwhile.

mod message;
mod proposal;
mod voter;

pub use message::{VoteReply, VoteRequest};
pub use proposal::{next_proposal_number, Outcome, Phase, Proposal, Step};
