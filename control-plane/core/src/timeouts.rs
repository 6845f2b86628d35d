//! How long a process waits for others before it goes on without them.

use std::time::Duration;

/// Complete members that a chain keeps while left-out disks may be sound. A chain of f + 2 still has so many after f losses.
pub(crate) const MIN_COMPLETE_MEMBERS: usize = 2;
/// How long members that are out of reach are waited for, where the others are too few.
const REPLICA_WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// A process that is told to end tries so long to leave its chain, or half of the time that it has.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

/// Members out of reach that are waited for: the view, and since when.
#[derive(Default)]
pub(crate) struct ReplicaWait(Option<(u64, Duration)>);

impl ReplicaWait {
    /// Nobody is waited for.
    pub(crate) fn reset(&mut self) {
        self.0 = None;
    }

    /// Whether those out of reach in the view of this number have been waited for long enough; begins to wait.
    pub(crate) fn has_timed_out(&mut self, now: Duration, view: u64) -> bool {
        let since = self.0.filter(|since| since.0 == view).unwrap_or((view, now));
        self.0 = Some(since);
        now >= since.1 + REPLICA_WAIT_TIMEOUT
    }
}

/// When a process that is told to end at `now` ends, whether it has left its chain or not.
pub(crate) fn drain_deadline(now: Duration, grace_period: Duration) -> Duration {
    now + MAX_DRAIN_TIME.min(grace_period / 2)
}
