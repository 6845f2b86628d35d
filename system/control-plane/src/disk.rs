//! What a member of a chain finds on its disk when it starts.

use marblecroft_chain::{Replica, StateMachine, View};
use marblecroft_log::Log;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::info;

/// Set in every identity that is drawn, and in none of a founder, whose address and port fill 48 bits.
const DRAWN: u64 = 1 << 63;

/// An identity that no other member has.
pub fn new_identity(address: &str) -> u64 {
    // The standard library seeds its hashes from the system's source of randomness.
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(address.as_bytes());
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(since.as_nanos());
    hasher.finish() | DRAWN
}

/// Opens the state in `folder`; where there is none the member begins with an empty one, under the founding view or with an
/// identity of its own.
pub fn open<M: StateMachine + Default>(
    folder: &Path,
    address: &str,
    founding: Option<(u64, View)>,
) -> io::Result<Replica<M, Log>> {
    let (log, recovered) = Log::open(folder)?;
    if recovered.passed_over > 0 {
        info!(bytes = recovered.passed_over, "passed over what was torn at the end of the log");
    }
    let (identity, view) = match founding {
        Some((identity, view)) => (identity, Some(view)),
        None => (new_identity(address), None),
    };
    Replica::open(log, recovered, M::default(), identity, view)
}
