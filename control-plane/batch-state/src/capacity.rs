//! The number of items that all gateways together may run: the servers' slots, less those that live requests need.
//!
//! Each gateway reports its live requests and the slots that it sees. The bound keeps headroom for the growth of live
//! traffic while an item runs, as an item that has begun is not preempted; it is clamped from below so that live traffic
//! cannot starve jobs, and from above so that a lull in live traffic does not fill all servers with items.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which the report of a gateway that has not sent another one is dropped.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Fraction of all slots that live requests and items together may occupy.
const MAX_OCCUPANCY: f64 = 1.0;
/// Factor by which live requests are expected to grow over their latest mean while an item runs.
const LIVE_GROWTH_FACTOR: f64 = 1.15;
/// Fraction of all slots that items may always occupy.
const MIN_ITEM_SHARE: f64 = 0.08;
/// Fraction of all slots that items may occupy at most.
const MAX_ITEM_SHARE: f64 = 0.8;
/// Items that a gateway may run beyond an equal share, as gateways do not request work equally often.
const EXTRA_ITEMS_PER_GATEWAY: usize = 2;

/// The latest report of one gateway.
#[derive(Clone, Copy, Debug)]
struct GatewayReport {
    /// Concurrent live requests, as a mean.
    live_requests: f64,
    slots: u32,
    received_at: Duration,
}

/// The latest reports of all gateways, and the bounds that follow from them.
#[derive(Debug, Default)]
pub struct ItemCapacity {
    /// By name of the gateway.
    reports: BTreeMap<String, GatewayReport>,
}

impl ItemCapacity {
    /// Records that `gateway` had `live_requests` concurrent live requests at servers, as a mean, and sees `slots` slots
    /// in all; drops reports that have become too old. `now` is on the caller's monotonic clock.
    pub fn record_report(&mut self, gateway: &str, live_requests: f64, slots: u32, now: Duration) {
        let report = GatewayReport { live_requests, slots, received_at: now };
        self.reports.insert(gateway.to_owned(), report);
        self.reports.retain(|_, report| now.saturating_sub(report.received_at) < REPORT_TTL);
    }

    /// Returns the concurrent live requests of all gateways together, as a mean.
    pub fn live_requests(&self) -> f64 {
        self.reports.values().map(|report| report.live_requests).sum()
    }

    /// Returns the number of items that all gateways together may run.
    pub fn max_running_items(&self) -> usize {
        // Every gateway sees the same servers; one that has just started may not see all of them yet.
        let slots = f64::from(self.reports.values().map(|report| report.slots).max().unwrap_or(0));
        let free_slots = MAX_OCCUPANCY * slots - LIVE_GROWTH_FACTOR * self.live_requests();
        // The conversion saturates.
        free_slots.clamp(MIN_ITEM_SHARE * slots, MAX_ITEM_SHARE * slots).ceil() as usize
    }

    /// Returns the number of items that one gateway may run.
    pub fn max_running_items_per_gateway(&self) -> usize {
        self.max_running_items().div_ceil(self.reports.len().max(1)) + EXTRA_ITEMS_PER_GATEWAY
    }
}
