//! The bounded wait for unreachable members whose disks may be sound, before a view goes on without them.

use std::time::Duration;

/// Complete members that a view change keeps while excluded disks may be sound. A chain of f + 2 members still has this
/// many after f losses.
pub(crate) const MIN_COMPLETE_MEMBERS: usize = 2;
/// How long unreachable members are waited for when fewer than [`MIN_COMPLETE_MEMBERS`] complete ones are left. Far longer
/// than the restart of a process, and finite because the disks may be lost for good.
const REPLICA_WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct Wait {
    /// Number of the view whose members are unreachable.
    view: u64,
    started_at: Duration,
}

/// The wait under way, if any.
#[derive(Default)]
pub(crate) struct ReplicaWait(Option<Wait>);

impl ReplicaWait {
    /// Ends the wait: enough complete members are in reach.
    pub(crate) fn reset(&mut self) {
        self.0 = None;
    }

    /// Whether the unreachable members in `view` have been waited for long enough. The first call in a view starts the wait.
    pub(crate) fn has_timed_out(&mut self, now: Duration, view: u64) -> bool {
        let wait = self.0.take().filter(|wait| wait.view == view).unwrap_or(Wait { view, started_at: now });
        let timed_out = now >= wait.started_at + REPLICA_WAIT_TIMEOUT;
        self.0 = Some(wait);
        timed_out
    }
}
