//! Smooth weighted round robin among zones, with a rate limit (token bucket) for each zone.
//!
//! The shares and rates are decided centrally for all gateways. Requests over the rate limit of a zone go to
//! the other zones.

use crate::api::{Time, ZoneShare};
use crate::arithmetic::sanitize;

/// Bound of a zone's credit. Without it, a zone that took no requests for a while would later get all that it
/// missed.
const MAX_CREDIT: f64 = 4.0;

/// One zone, with its round-robin credit and its token bucket.
#[derive(Clone, Copy)]
struct ZoneEntry {
    zone_share: ZoneShare,
    /// Rises by the zone's share with each request, and falls by one with each request sent to the zone.
    credit: f64,
    /// Requests that may go to the zone now. The bucket holds one second's worth of requests, and at least
    /// one.
    tokens: f64,
    refilled_at: Time,
}

impl ZoneEntry {
    fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    fn refill(&mut self, now: Time) {
        let max_rate = self.zone_share.max_rate.max(0.0);
        let filled =
            if max_rate.is_finite() { self.tokens + now.since(self.refilled_at) * max_rate } else { 1.0 };
        self.tokens = filled.min(max_rate.max(1.0));
        self.refilled_at = now;
    }
}

/// The zones that first attempts are distributed to; empty if no shares are decided.
#[derive(Clone, Default)]
pub struct ZoneRoundRobin(Vec<ZoneEntry>);

impl ZoneRoundRobin {
    /// Sets new shares. Zones that were in the previous ones keep their credit and their tokens.
    pub fn set(&mut self, now: Time, shares: &[ZoneShare]) {
        let previous_entries = std::mem::take(&mut self.0);
        let entry = |share: &ZoneShare| {
            let zone_share = ZoneShare { share: sanitize(share.share).min(1.0), ..*share };
            let previous =
                previous_entries.iter().find(|entry| entry.zone_share.zone == zone_share.zone).copied();
            previous.map_or(ZoneEntry { zone_share, credit: 0.0, tokens: 1.0, refilled_at: now }, |entry| {
                ZoneEntry { zone_share, ..entry }
            })
        };
        self.0 = shares.iter().map(entry).collect();
    }

    /// Returns whether no shares are decided.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether requests may go to a zone. All zones are open if no shares are decided.
    pub fn is_open(&self, zone: u32) -> bool {
        self.0.is_empty()
            || self.0.iter().any(|entry| entry.zone_share.zone == zone && entry.zone_share.share > 0.0)
    }

    /// Adds every zone's share of one request to its credit, and returns the zones in the order in which to
    /// try them. Zones without a token are included, after the others, only while a zone without a rate limit
    /// is open.
    pub fn order_zones(&mut self, now: Time) -> Vec<u32> {
        for entry in &mut self.0 {
            entry.refill(now);
            entry.credit = (entry.credit + entry.zone_share.share).clamp(-MAX_CREDIT, MAX_CREDIT);
        }
        let has_unbounded = self
            .0
            .iter()
            .any(|entry| entry.zone_share.share > 0.0 && entry.zone_share.max_rate.is_infinite());
        let is_open =
            |entry: &&ZoneEntry| entry.zone_share.share > 0.0 && (has_unbounded || entry.has_token());
        let mut open: Vec<&ZoneEntry> = self.0.iter().filter(is_open).collect();
        open.sort_by(|a, b| b.has_token().cmp(&a.has_token()).then(b.credit.total_cmp(&a.credit)));
        open.into_iter().map(|entry| entry.zone_share.zone).collect()
    }

    /// Records that a request went to a zone.
    pub fn on_sent(&mut self, zone: u32) {
        for entry in self.0.iter_mut().filter(|entry| entry.zone_share.zone == zone) {
            entry.credit -= 1.0;
            entry.tokens -= 1.0;
        }
    }
}
