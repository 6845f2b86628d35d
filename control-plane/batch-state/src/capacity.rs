//! How many items all gateways together may run: what the servers hold, less what live requests need.

use std::collections::BTreeMap;
use std::time::Duration;

/// A gateway that has not been heard of for so long is not counted.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Part of all slots that live requests and items may fill together; what is left takes what comes unforeseen.
const MAX_OCCUPANCY: f64 = 1.0;
/// Live requests are taken to grow to so many times their latest mean while an item runs.
const LIVE_GROWTH_FACTOR: f64 = 1.15;
/// Items may always fill this part of all slots, so that they are never starved ...
const MIN_ITEM_SHARE: f64 = 0.08;
/// ... and never more than this.
const MAX_ITEM_SHARE: f64 = 0.8;
/// Items that a gateway may run beyond an equal part, as gateways do not ask equally often.
const EXTRA_ITEMS_PER_GATEWAY: usize = 2;

/// What one gateway told.
#[derive(Clone, Copy, Debug)]
struct GatewayReport {
    live: f64,
    slots: u32,
    received_at: Duration,
}

/// What all gateways told.
#[derive(Debug, Default)]
pub struct ItemCapacity {
    gateways: BTreeMap<String, GatewayReport>,
}

impl ItemCapacity {
    /// A gateway had `live` requests at servers in the mean, and sees `slots` in all.
    pub fn record_report(&mut self, gateway: &str, live: f64, slots: u32, now: Duration) {
        self.gateways.insert(gateway.to_owned(), GatewayReport { live, slots, received_at: now });
        self.gateways.retain(|_, told| now.saturating_sub(told.received_at) < REPORT_TTL);
    }

    /// Live requests that all gateways had at servers lately, in the mean.
    pub fn live_requests(&self) -> f64 {
        self.gateways.values().map(|told| told.live).sum()
    }

    /// Items that all gateways together may run.
    pub fn max_running_items(&self) -> usize {
        let slots = f64::from(self.gateways.values().map(|told| told.slots).max().unwrap_or(0));
        let left = MAX_OCCUPANCY * slots - LIVE_GROWTH_FACTOR * self.live_requests();
        // The conversion saturates.
        left.clamp(MIN_ITEM_SHARE * slots, MAX_ITEM_SHARE * slots).ceil() as usize
    }

    /// Items that one gateway may run.
    pub fn max_running_items_per_gateway(&self) -> usize {
        self.max_running_items().div_ceil(self.gateways.len().max(1)) + EXTRA_ITEMS_PER_GATEWAY
    }
}
