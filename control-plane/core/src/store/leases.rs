//! Leases on items, granted by the head of the stores.

use marblecroft_batch_state::lease::Leases;
use std::time::Duration;

/// A lease that is not renewed expires after this time. Gateways renew their leases several times within it.
pub(super) const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// A new head grants no leases for this time. In the meantime gateways report the items that they run (every
/// 250 ms), which renews the leases granted by the previous head. Because this is shorter than a lease, an
/// item may run twice if its gateway has not reported by then. That only costs work, because only the first
/// result of an item is recorded.
const NEW_HEAD_GRANT_DELAY: Duration = Duration::from_millis(700);

/// The time in which the head of a view may grant leases.
struct GrantWindow {
    /// Number of the view that the leases belong to.
    view: u64,
    /// Time from which on new leases may be granted.
    opens_at: Duration,
}

/// The leases of the current view, and the time from which on new ones may be granted.
#[derive(Default)]
pub(super) struct LeaseManager {
    pub(super) leases: Leases,
    window: Option<GrantWindow>,
}

impl LeaseManager {
    /// Discards the leases unless they belong to `view`, because another process may have been the head in
    /// between.
    pub(super) fn enter_view(&mut self, view: u64, now: Duration) {
        if self.window.as_ref().is_none_or(|window| window.view != view) {
            // In the first view there is no previous head whose leases may still be valid.
            let must_wait = self.window.is_some() || view > 1;
            let opens_at = if must_wait { now + NEW_HEAD_GRANT_DELAY } else { now };
            self.leases = Leases::default();
            self.window = Some(GrantWindow { view, opens_at });
        }
    }

    /// Returns whether new leases may be granted.
    pub(super) fn may_grant(&self, now: Duration) -> bool {
        self.window.as_ref().is_some_and(|window| now >= window.opens_at)
    }
}
