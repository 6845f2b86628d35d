//! Coordination service: sessions, locks with fencing tokens, small values and watches, replicated by
//! consensus.
//!
//! - [`state`]: the deterministic state machine.
//! - [`lease`]: the expiry of sessions, at the service and, earlier, at the session's holder.
//! - [`fencing`]: the check of fencing tokens at a resource.
//! - [`raft_types`], [`raft`], [`storage`]: the types of the consensus crate, its interface to the state
//!   machine, and the log on a disk.
//! - [`mod@env`], [`disk`]: clocks, random numbers, connections and disks, which can be replaced to simulate
//!   complete clusters.
//! - [`metrics`]: the metrics of a process.
//! - [`wire`], [`peers`], [`service`], [`client`]: the wire format, the connections between processes, one
//!   process of the service, and its clients.
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
