//! How long a process that was asked to terminate tries to leave its chain.

use std::time::Duration;

/// Upper bound of the time for leaving the chain. A view change takes less than this where the other members answer.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

/// When a process that was asked to terminate at `now` exits, whether it has left its chain or not. At most half of the
/// grace period is used, so that SIGKILL never comes first.
pub(crate) fn drain_deadline(now: Duration, grace_period: Duration) -> Duration {
    now + MAX_DRAIN_TIME.min(grace_period / 2)
}
