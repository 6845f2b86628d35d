//! The current task of the membership.

use super::peer_statuses::PeerStatuses;
use marblecroft_chain_replication::agreement::Proposal;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request that the recipient handles without writing to its disk.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// A task is abandoned after this time. Longer than the timeouts of its calls together: the status requests
/// (400 ms) and the two phases of the vote (800 ms each).
pub(super) const TASK_TIMEOUT: Duration = Duration::from_secs(3);

/// Reason for collecting statuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A non-member queries the view, and requests to join if it has a disk.
    Join,
    /// A member that is still incomplete checks whether there is a newer view.
    CatchUp,
    /// The head excludes members or admits one, or removes voters.
    ChangeView,
    /// A member considers its head failed.
    ReplaceHead,
    /// A voter has accepted a view that is still undecided.
    FinishUndecidedView,
}

/// A task in progress. There is at most one.
pub(super) enum Task {
    CollectingStatuses(StatusCollection),
    Proposing(Box<Proposal>),
}

/// Status requests that were sent at the same time.
pub(super) struct StatusCollection {
    pub(super) purpose: Purpose,
    /// Number of the view in which they were sent.
    pub(super) view: u64,
    /// Addresses of the processes that have not replied or timed out yet.
    pub(super) awaiting: BTreeSet<SocketAddr>,
    pub(super) statuses: PeerStatuses,
}
