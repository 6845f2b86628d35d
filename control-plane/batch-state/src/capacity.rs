//! Number of items that all gateways together may run: the slots of the servers, less those that live
//! requests need.
//!
//! Each gateway reports its live requests and the slots of the servers in its list. The bound leaves headroom
//! for growth of live traffic while an item runs, because a running item is not preempted. It has a minimum,
//! so that live traffic cannot starve jobs, and a maximum, so that items do not occupy all servers while
//! there is little live traffic.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a gateway's report is dropped unless the gateway has sent another one.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Fraction of all slots that live requests and items together may occupy.
const MAX_OCCUPANCY: f64 = 1.0;
/// Factor by which the number of live requests is expected to grow over its latest mean while an item runs.
const LIVE_GROWTH_FACTOR: f64 = 1.15;
/// Fraction of all slots that items may always occupy.
const MIN_ITEM_SHARE: f64 = 0.08;
/// Fraction of all slots that items may occupy at most.
const MAX_ITEM_SHARE: f64 = 0.8;
/// Number of items that a gateway may run beyond an equal share, because gateways do not request work equally
/// often.
const EXTRA_ITEMS_PER_GATEWAY: usize = 2;

/// The latest report of one gateway.
#[derive(Clone, Copy, Debug)]
struct GatewayReport {
    /// Mean number of concurrent live requests.
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
    /// Records that `gateway` had a mean of `live_requests` concurrent live requests at servers, and that the
    /// servers in its list have `slots` slots in total. Drops reports that have expired. `now` is on the
    /// caller's monotonic clock.
    pub fn record_report(&mut self, gateway: &str, live_requests: f64, slots: u32, now: Duration) {
        let report = GatewayReport { live_requests, slots, received_at: now };
        self.reports.insert(gateway.to_owned(), report);
        self.reports.retain(|_, report| now.saturating_sub(report.received_at) < REPORT_TTL);
    }

    /// Returns the mean number of concurrent live requests of all gateways together.
    pub fn live_requests(&self) -> f64 {
        self.reports.values().map(|report| report.live_requests).sum()
    }

    /// Returns the number of items that all gateways together may run.
    pub fn max_running_items(&self) -> usize {
        // All gateways have the same list of servers, but a gateway that has just started may not have all of
        // it yet.
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
