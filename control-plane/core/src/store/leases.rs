//! The leases that the head of the stores grants on items.

use marblecroft_batch_state::lease::Leases;
use std::time::Duration;

/// A lease that is not renewed ends after this time. Gateways renew theirs several times as often.
pub(super) const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// A new head grants nothing for this time: gateways report meanwhile what they run (every 250 ms), and renew the leases of
/// the head before. Shorter than a lease: an item of a gateway that has not reported by then may run twice. That costs work
/// and nothing else, as only the first result of an item is recorded.
const NEW_HEAD_GRANT_DELAY: Duration = Duration::from_millis(700);

struct GrantWindow {
    /// Number of the view that the leases belong to.
    view: u64,
    /// From when on new leases may be granted.
    opens_at: Duration,
}

/// The leases of the current view, and since when new ones may be granted.
#[derive(Default)]
pub(super) struct LeaseManager {
    pub(super) leases: Leases,
    window: Option<GrantWindow>,
}

impl LeaseManager {
    /// Starts anew in `view` unless the leases belong to it: those of another view may be another head's.
    pub(super) fn enter_view(&mut self, view: u64, now: Duration) {
        if self.window.as_ref().is_none_or(|window| window.view != view) {
            // The head of the first view has no head before it.
            let waits = self.window.is_some() || view > 1;
            let opens_at = if waits { now + NEW_HEAD_GRANT_DELAY } else { now };
            self.leases = Leases::default();
            self.window = Some(GrantWindow { view, opens_at });
        }
    }

    /// Whether new leases may be granted.
    pub(super) fn may_grant(&self, now: Duration) -> bool {
        self.window.as_ref().is_some_and(|window| now >= window.opens_at)
    }
}
