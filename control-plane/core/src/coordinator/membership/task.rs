//! The membership's task under way.

use super::peer_statuses::PeerStatuses;
use marblecroft_chain_replication::agreement::Proposal;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for a reply that needs no disk.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_millis(400);
/// A task is abandoned after this time. Longer than all of its calls together: one for statuses (400 ms) and one for each
/// phase of the vote (800 ms each).
pub(super) const TASK_TIMEOUT: Duration = Duration::from_secs(3);

/// Why statuses are collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A process that is no member wants to be one.
    Join,
    /// A member that waits for its state may be in a view that is over.
    CatchUp,
    /// The head excludes members, or admits one.
    ChangeView,
    /// A member takes its head for failed.
    ReplaceHead,
    /// A voter has accepted a view that is still not decided.
    FinishUndecidedView,
}

/// The task under way. There is at most one.
pub(super) enum Task {
    CollectingStatuses(StatusCollection),
    Proposing(Box<Proposal>),
}

/// Status requests that were sent at the same time.
pub(super) struct StatusCollection {
    pub(super) purpose: Purpose,
    /// Number of the view in which they were sent.
    pub(super) view: u64,
    /// Who has neither replied nor timed out.
    pub(super) awaiting: BTreeSet<SocketAddr>,
    pub(super) statuses: PeerStatuses,
}
