//! Opens the log of a member of a chain, or stands in for one where the machine has no disk.

use marblecroft_chain_replication::storage::NoDisk;
use marblecroft_chain_replication::{Replica, StateMachine, View};
use marblecroft_control_plane_core::member;
use marblecroft_rpc::draw_number;
use marblecroft_wal::{Log, Recovered};
use std::io;
use std::path::Path;

/// The state in `folder`, under `founding` where the folder is empty and this member founds its chain.
pub fn open<M: StateMachine + Default>(
    folder: &Path,
    founding: Option<(u64, View)>,
) -> io::Result<Replica<M, Log>> {
    let (log, recovered) = Log::open(folder)?;
    member::open(log, recovered, draw_number(), founding)
}

/// An empty state on a machine without a disk.
pub fn without<M: StateMachine + Default>(founding: Option<(u64, View)>) -> io::Result<Replica<M, NoDisk>> {
    member::open(NoDisk, Recovered::default(), draw_number(), founding)
}
