//! Opens the durable state of a member of a chain.

use marblecroft_chain_replication::storage::NullStorage;
use marblecroft_chain_replication::{Replica, StateMachine, View};
use marblecroft_control_plane_core::member;
use marblecroft_rpc::random_id;
use marblecroft_wal::{Recovered, Wal};
use std::io;
use std::path::Path;

/// Opens the state in `folder`. From an empty folder a founder starts in the `founding` view, with its identity there.
///
/// # Errors
///
/// The log cannot be read or written.
pub fn open<M: StateMachine>(folder: &Path, founding: Option<(u64, View)>) -> io::Result<Replica<M, Wal>> {
    let (log, recovered) = Wal::open(folder)?;
    member::open(log, recovered, random_id(), founding)
}

/// Creates an empty state on a machine without a disk.
///
/// # Errors
///
/// None in practice: the storage takes every write.
pub fn without_disk<M: StateMachine>(founding: Option<(u64, View)>) -> io::Result<Replica<M, NullStorage>> {
    member::open(NullStorage, Recovered::default(), random_id(), founding)
}
