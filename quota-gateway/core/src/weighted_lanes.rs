//! Smooth weighted round robin among zones, each within a rate (token bucket).
//!
//! The shares and rates are decided for the whole fleet. What a zone's bucket does not hold goes to the others.

use crate::api::{Time, ZoneShare};
use crate::arithmetic::sanitize;

/// Credits stay within this, so that a zone that took nothing for a while is not owed all that it missed.
const MAX_CREDIT: f64 = 4.0;

/// One zone, with its turn and its bucket.
#[derive(Clone, Copy)]
struct WeightedLane {
    zone_share: ZoneShare,
    /// What it is owed in turns: it rises by its share with each request, and falls by one with each that it gets.
    credit: f64,
    /// Requests that may go there now; a second's worth at most, and one at least.
    tokens: f64,
    refilled_at: Time,
}

impl WeightedLane {
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

/// The zones among which first attempts are spread; none while nothing is decided.
#[derive(Clone, Default)]
pub struct WeightedLanes(Vec<WeightedLane>);

impl WeightedLanes {
    /// Sets other shares; zones that go on keep their turn and their bucket.
    pub fn set(&mut self, now: Time, shares: &[ZoneShare]) {
        let before = std::mem::take(&mut self.0);
        let lane = |share: &ZoneShare| {
            let zone_share = ZoneShare { share: sanitize(share.share).min(1.0), ..*share };
            let known = before.iter().find(|lane| lane.zone_share.zone == zone_share.zone).copied();
            known.map_or(WeightedLane { zone_share, credit: 0.0, tokens: 1.0, refilled_at: now }, |lane| {
                WeightedLane { zone_share, ..lane }
            })
        };
        self.0 = shares.iter().map(lane).collect();
    }

    /// Whether nothing is decided.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether requests may go to a zone; to any while nothing is decided.
    pub fn is_open(&self, zone: u32) -> bool {
        self.0.is_empty()
            || self.0.iter().any(|lane| lane.zone_share.zone == zone && lane.zone_share.share > 0.0)
    }

    /// Gives every zone its share of one request, and returns the zones in the order in which they are to be asked. Zones
    /// without a token are among them only while a zone without a rate is open: nothing has been decided against them.
    pub fn turns(&mut self, now: Time) -> Vec<u32> {
        for lane in &mut self.0 {
            lane.refill(now);
            lane.credit = (lane.credit + lane.zone_share.share).clamp(-MAX_CREDIT, MAX_CREDIT);
        }
        let has_unbounded =
            self.0.iter().any(|lane| lane.zone_share.share > 0.0 && lane.zone_share.max_rate.is_infinite());
        let is_open =
            |lane: &&WeightedLane| lane.zone_share.share > 0.0 && (has_unbounded || lane.has_token());
        let mut open: Vec<&WeightedLane> = self.0.iter().filter(is_open).collect();
        open.sort_by(|a, b| b.has_token().cmp(&a.has_token()).then(b.credit.total_cmp(&a.credit)));
        open.into_iter().map(|lane| lane.zone_share.zone).collect()
    }

    /// Records that a request went to a zone.
    pub fn on_sent(&mut self, zone: u32) {
        for lane in self.0.iter_mut().filter(|lane| lane.zone_share.zone == zone) {
            lane.credit -= 1.0;
            lane.tokens -= 1.0;
        }
    }
}
