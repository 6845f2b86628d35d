//! How many items all gateways together may run: what the servers hold, less what live requests need.

use std::collections::BTreeMap;
use std::time::Duration;

/// A gateway that has not been heard of for so long is not counted.
const HEARD_WITHIN: Duration = Duration::from_millis(1500);
/// Part of all slots that live requests and items may fill together; what is left takes what comes unforeseen.
const FILLED_MOST: f64 = 1.0;
/// Live requests are taken to grow to so many times their latest mean while an item runs.
const LIVE_GROWS: f64 = 1.15;
/// Items may always fill this part of all slots, so that they are never starved ...
const ITEMS_LEAST: f64 = 0.08;
/// ... and never more than this.
const ITEMS_MOST: f64 = 0.8;
/// Items that a gateway may run beyond an equal part, as gateways do not ask equally often.
const BEYOND_EQUAL: usize = 2;

/// What one gateway told.
#[derive(Clone, Copy, Debug)]
struct Told {
    live: f64,
    slots: u32,
    at: Duration,
}

/// What all gateways told.
#[derive(Debug, Default)]
pub struct Capacity {
    gateways: BTreeMap<String, Told>,
}

impl Capacity {
    /// A gateway had `live` requests at servers in the mean, and sees `slots` in all.
    pub fn note(&mut self, gateway: &str, live: f64, slots: u32, now: Duration) {
        self.gateways.insert(gateway.to_owned(), Told { live, slots, at: now });
        self.gateways.retain(|_, told| now.saturating_sub(told.at) < HEARD_WITHIN);
    }

    /// Live requests that all gateways had at servers lately, in the mean.
    pub fn live(&self) -> f64 {
        self.gateways.values().map(|told| told.live).sum()
    }

    /// Items that all gateways together may run.
    pub fn items(&self) -> usize {
        let slots = f64::from(self.gateways.values().map(|told| told.slots).max().unwrap_or(0));
        let left = FILLED_MOST * slots - LIVE_GROWS * self.live();
        // The conversion saturates.
        left.clamp(ITEMS_LEAST * slots, ITEMS_MOST * slots).ceil() as usize
    }

    /// Items that one gateway may run.
    pub fn items_of_one(&self) -> usize {
        self.items().div_ceil(self.gateways.len().max(1)) + BEYOND_EQUAL
    }
}
