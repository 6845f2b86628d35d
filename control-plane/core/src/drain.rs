//! Time limit for leaving the chain on termination.

use std::time::Duration;

/// Upper bound on the time for leaving the chain. A view change takes less than this if the other members
/// reply.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

/// Returns when a process that was asked to terminate at `now` exits, even if it has not left its chain. It
/// uses at most half of the grace period, so that it exits before SIGKILL.
pub(crate) fn drain_deadline(now: Duration, grace_period: Duration) -> Duration {
    now + MAX_DRAIN_TIME.min(grace_period / 2)
}
