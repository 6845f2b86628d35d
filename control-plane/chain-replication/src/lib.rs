//! Chain replication of a state machine.
//!
//! A numbered [`View`] names the members of a chain in order. The head orders operations, every member has an entry on disk
//! before it passes it on, and an operation is acknowledged once the tail has it: an acknowledged operation is on the disk
//! of every member of its view. The next view is headed by a member that was complete in the one before, so it begins with
//! everything that was acknowledged.
//!
//! Nothing here has threads, sockets or a clock: the time is an argument, and messages are handed in and out.
//!
//! - [`replica`]: one member's durable state.
//! - [`chain`]: a member among others: the head's rounds, and what is passed down the chain.
//! - [`agreement`]: which view follows, decided by a majority of the members of the view before.
#![forbid(unsafe_code)]

pub mod agreement;
pub mod chain;
pub mod message;
pub mod replica;
pub mod storage;
pub mod view;

pub use chain::{Chain, Config, Output, ProposalError, ToSuccessor, Token};
pub use message::{Append, AppendReply, Install, Round, Status};
pub use replica::{Position, Replica, StateMachine};
pub use view::{Member, View};
