//! Opens the log of a member of a chain, or stands in for one where the machine has no disk.

use marblecroft_chain_replication::storage::NullStorage;
use marblecroft_chain_replication::{Replica, StateMachine, View};
use marblecroft_control_plane_core::member;
use marblecroft_rpc::random_id;
use marblecroft_wal::{Recovered, Wal};
use std::io;
use std::path::Path;

/// The state in `folder`, under `founding` where the folder is empty and this member founds its chain.
pub fn open<M: StateMachine + Default>(
    folder: &Path,
    founding: Option<(u64, View)>,
) -> io::Result<Replica<M, Wal>> {
    let (log, recovered) = Wal::open(folder)?;
    member::open(log, recovered, random_id(), founding)
}

/// An empty state on a machine without a disk.
pub fn without<M: StateMachine + Default>(
    founding: Option<(u64, View)>,
) -> io::Result<Replica<M, NullStorage>> {
    member::open(NullStorage, Recovered::default(), random_id(), founding)
}
