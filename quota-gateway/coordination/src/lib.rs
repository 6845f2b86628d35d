//! Coordination: sessions, locks with fencing tokens, small values and watches, replicated by consensus.
//!
//! - [`state`]: the state machine, pure and deterministic.
//! - [`lease`]: when a session ends, at the service and, earlier, for its holder.
//! - [`fencing`]: the check of tokens at a resource.
//! - [`raft_types`], [`raft`], [`storage`]: the consensus crate's types, its view of the state machine, and the log on a disk.
//! - [`mod@env`], [`disk`]: clocks, random numbers, connections and disks, so that complete clusters can be simulated.
//! - [`metrics`]: the metrics of a process.
//! - [`wire`], [`peers`], [`service`], [`client`]: frames, the processes' connections, one process, and its clients.
#![forbid(unsafe_code)]

pub mod client;
pub mod disk;
pub mod env;
pub mod fencing;
pub mod lease;
pub mod metrics;
pub mod peers;
pub mod raft;
pub mod raft_types;
pub mod service;
pub mod state;
pub mod storage;
pub mod wire;
