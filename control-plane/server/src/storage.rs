//! Opens the durable state of a member of a chain.

use marblecroft_chain_replication::storage::NullStorage;
use marblecroft_chain_replication::{Replica, StateMachine, View};
use marblecroft_control_plane_core::member;
use marblecroft_rpc::random_id;
use marblecroft_wal::{Recovered, Wal};
use std::io;
use std::path::Path;

/// Opens the state in `folder`. If the folder is empty, a founder starts in the `founding` view, with its
/// identity in that view.
///
/// # Errors
///
/// Returns an error if the log cannot be read or written.
pub fn open<M: StateMachine>(folder: &Path, founding: Option<(u64, View)>) -> io::Result<Replica<M, Wal>> {
    let (log, recovered) = Wal::open(folder)?;
    member::open(log, recovered, random_id(), founding)
}

/// Creates an empty state on a machine without a disk.
///
/// # Errors
///
/// Never fails in practice, because writes to [`NullStorage`] always succeed.
pub fn without_disk<M: StateMachine>(founding: Option<(u64, View)>) -> io::Result<Replica<M, NullStorage>> {
    member::open(NullStorage, Recovered::default(), random_id(), founding)
}
