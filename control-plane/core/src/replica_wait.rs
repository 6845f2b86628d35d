//! Bounded wait for unreachable members whose disks may be intact, before a view change excludes them.

use std::time::Duration;

/// Number of complete members that a view change must keep while the disks of excluded members may be intact.
/// A chain of f + 2 members still has this many after f losses.
pub(crate) const MIN_COMPLETE_MEMBERS: usize = 2;
/// Upper bound on the wait for unreachable members when fewer than [`MIN_COMPLETE_MEMBERS`] complete ones are
/// left. Far longer than the restart of a process, and finite because the disks may be lost permanently.
const REPLICA_WAIT_TIMEOUT: Duration = Duration::from_secs(20);

struct Wait {
    /// Number of the view whose members are unreachable.
    view: u64,
    started_at: Duration,
}

/// The wait in progress, if any.
#[derive(Default)]
pub(crate) struct ReplicaWait(Option<Wait>);

impl ReplicaWait {
    /// Ends the wait, because no unreachable member needs to be waited for.
    pub(crate) fn reset(&mut self) {
        self.0 = None;
    }

    /// Returns whether the wait for the unreachable members of `view` has timed out. The first call in a view
    /// starts the wait.
    pub(crate) fn has_timed_out(&mut self, now: Duration, view: u64) -> bool {
        let wait = self.0.take().filter(|wait| wait.view == view).unwrap_or(Wait { view, started_at: now });
        let timed_out = now >= wait.started_at + REPLICA_WAIT_TIMEOUT;
        self.0 = Some(wait);
        timed_out
    }
}
