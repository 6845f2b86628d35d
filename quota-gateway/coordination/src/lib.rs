//! Coordination: sessions, locks with fencing tokens, small values and watches, on a log that a majority agrees on.
//!
//! - [`state`]: the state machine, pure and deterministic; commands in, results out.
//! - [`lease`]: when a session ends, for the service and, earlier, for its holder.
//! - [`fencing`]: the place that takes an effect, and remembers the highest token.
//! - [`raft`], [`storage`]: the consensus crate's view of the state machine, and the log on a disk.
//! - [`mod@env`], [`disk`]: clocks, chance, connections and disks, so that whole clusters can be played from a seed.
//! - [`metrics`]: figures for whoever watches over a process.
//! - [`wire`], [`peers`], [`service`], [`client`]: frames, processes among each other, one process, and its clients.
#![forbid(unsafe_code)]

pub mod client;
pub mod disk;
pub mod env;
pub mod fencing;
pub mod lease;
pub mod metrics;
pub mod peers;
pub mod raft;
pub mod service;
pub mod state;
pub mod storage;
pub mod wire;
