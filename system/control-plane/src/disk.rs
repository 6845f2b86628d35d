//! What a member of a chain finds on its disk when it starts.

use marblecroft_chain::{Replica, StateMachine, View};
use marblecroft_log::{Log, Recovered};
use marblecroft_wire::draw_number;
use std::io;
use std::path::Path;
use tracing::{info, warn};

/// Set in every identity that is drawn, and in none of a founder, whose address and port fill 48 bits.
const DRAWN: u64 = 1 << 63;

/// An identity that no other member has.
fn new_identity() -> u64 {
    draw_number() | DRAWN
}

/// Opens the state in `folder`; where there is none the member begins with an empty one, under the founding view or with an
/// identity of its own. What was found damaged does not count: it may be older than what this member has told, its votes
/// included, so the member begins like one that has lost its disk.
pub fn open<M: StateMachine + Default>(
    folder: &Path,
    founding: Option<(u64, View)>,
) -> io::Result<Replica<M, Log>> {
    let (log, recovered) = Log::open(folder)?;
    if recovered.damaged {
        warn!("the log is damaged: what was synced cannot be read; begins anew, as another member");
        return Replica::open(log, Recovered::default(), M::default(), new_identity(), None);
    }
    if recovered.passed_over > 0 {
        info!(bytes = recovered.passed_over, "passed over what was torn at the end of the log");
    }
    let (identity, view) = match founding {
        Some((identity, view)) => (identity, Some(view)),
        None => (new_identity(), None),
    };
    Replica::open(log, recovered, M::default(), identity, view)
}
