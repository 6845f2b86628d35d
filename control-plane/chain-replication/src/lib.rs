//! Chain replication of a state machine (van Renesse and Schneider, "Chain Replication for Supporting High
//! Throughput and Availability", OSDI 2004). The members of the chain agree on changes of its membership
//! themselves.
//!
//! A numbered [`View`] lists the members of a chain in order. The head orders operations, every member stores
//! an entry before it forwards it, and an operation is acknowledged once the tail has stored it: an
//! acknowledged operation is stored by every member of its view. The head of the next view is a complete
//! member of this one, so the next view begins with every acknowledged operation.
//!
//! The protocol differs from the paper in two respects. Views are decided by Paxos among the voters of the
//! preceding view, and not by a separate master. Reads are served by the head after a round through the
//! chain, as with Raft's ReadIndex, or by any member that holds a lease, and not by the tail.
//!
//! The crate has no threads, sockets or clock: the time is an argument, and messages are passed in and out.
//! The code therefore runs the same in programs, in simulations and in tests.
//!
//! - [`replica`]: one member's durable state.
//! - [`chain`]: the protocol of one member: its rounds, its lease and its failure detector.
//! - [`agreement`]: the decision on the next view.
//! - [`view`], [`message`], [`storage`]: the data types on which members agree and which they send and store.
//!
//! A chain of one member acknowledges an operation as soon as it is stored:
//!
//! ```
//! use marblecroft_chain_replication::storage::NullStorage;
//! use marblecroft_chain_replication::{Chain, Config, Member, Output, Replica, StateMachine, View};
//! use marblecroft_wal::Recovered;
//! use std::time::Duration;
//!
//! #[derive(Default)]
//! struct Sum(u8);
//!
//! impl StateMachine for Sum {
//!     type Operation = u8;
//!     type Output = u8;
//!     fn apply(&mut self, operation: u8) -> u8 {
//!         self.0 = self.0.wrapping_add(operation);
//!         self.0
//!     }
//!     fn size_of(_: &u8) -> usize {
//!         1
//!     }
//!     fn snapshot(&self) -> Vec<u8> {
//!         vec![self.0]
//!     }
//!     fn restore(snapshot: &[u8]) -> Option<Sum> {
//!         snapshot.first().copied().map(Sum)
//!     }
//! }
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let member = Member { address: "127.0.0.1:7000".parse()?, identity: 1, node_name: String::new() };
//! let founding = View { number: 1, members: vec![member.clone()], voters: vec![member] };
//! let replica = Replica::<Sum, _>::open(NullStorage, Recovered::default(), 1, Some(founding))?;
//! let config = Config {
//!     heartbeat_interval: Duration::from_millis(150),
//!     append_timeout: Duration::from_millis(350),
//!     install_timeout: Duration::from_secs(3),
//!     min_replicas: 1,
//!     is_durable: true,
//!     suspect_timeout: Duration::from_millis(800),
//! };
//! let mut chain = Chain::new(replica, config, 1);
//! chain.propose(7, 40, Duration::from_secs(1));
//! let mut outputs = Vec::new();
//! chain.advance(Duration::ZERO, &mut outputs);
//! assert!(matches!(outputs[..], [Output::Applied { token: 7, result: Ok(40) }]));
//! # Ok(())
//! # }
//! ```
#![forbid(unsafe_code)]

pub mod agreement;
pub mod chain;
mod config;
mod error;
mod failure_detector;
mod in_flight;
mod lease;
pub mod message;
mod output;
mod pending;
mod position;
mod recent_entries;
pub mod replica;
mod state_machine;
pub mod storage;
pub mod view;

pub use chain::Chain;
pub use config::Config;
pub use error::{ProposalError, RecoveryError};
pub use message::{Append, AppendReply, Install, Round, Status};
pub use output::{Output, ToSuccessor, Token};
pub use position::Position;
pub use replica::Replica;
pub use state_machine::StateMachine;
pub use view::{Member, Successor, View};
