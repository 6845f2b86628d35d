//! Arithmetic that the decisions use, and no decision.

use crate::api::{Plan, Time, ZoneShare};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A finite, non-negative number, whatever was told.
pub fn sanitize(x: f64) -> f64 {
    if x.is_finite() {
        x.clamp(0.0, 1e12)
    } else {
        0.0
    }
}

/// The same for a plan's figures.
pub fn sanitize_plan(p: &mut Plan) {
    for x in [&mut p.rate, &mut p.burst, &mut p.price, &mut p.over_quota_value, &mut p.over_quota_cost] {
        *x = sanitize(*x);
    }
    for x in [&mut p.rate_limit, &mut p.rate_limit_burst, &mut p.rate_limit_slack] {
        *x = sanitize(*x);
    }
}

/// The average that moves from `old` towards `new` by `weight`.
pub fn ewma(old: f64, new: f64, weight: f64) -> f64 {
    old + weight * (new - old)
}

/// An average rate of events with exponential memory, in seconds.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Rate {
    value: f64,
    at: Time,
    memory: f64,
}

impl Rate {
    pub fn new(memory: f64, at: Time) -> Rate {
        Rate { value: 0.0, at, memory }
    }

    /// Events a second.
    pub fn get(&self, now: Time) -> f64 {
        if self.memory > 0.0 {
            self.value * (-now.since(self.at) / self.memory).exp()
        } else {
            0.0
        }
    }

    pub fn add(&mut self, now: Time, amount: f64) {
        if self.memory > 0.0 {
            self.value = self.get(now) + amount / self.memory;
            self.at = now;
        }
    }
}

/// Weight of an attempt in failures of late.
const FAILURE_WEIGHT: f64 = 0.5;

/// Failures of late, from 0 to 1, and when that was reckoned; half forgotten in so many seconds, so that what failed is tried again.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct FailureRate(f64, Time);

impl FailureRate {
    pub fn get(&self, now: Time, half: f64) -> f64 {
        self.0 * 0.5_f64.powf(now.since(self.1) / half)
    }

    /// Takes in whether an attempt failed; whether that is news.
    pub fn record(&mut self, failed: bool, now: Time, half: f64) -> bool {
        let before = self.get(now, half);
        *self = FailureRate(ewma(before, f64::from(u8::from(failed)), FAILURE_WEIGHT), now);
        before < FAILURE_WEIGHT && self.0 >= FAILURE_WEIGHT
    }
}

/// One of several ways, with its share of what goes out and a store of what may.
#[derive(Clone, Copy)]
struct WeightedLane {
    zone_share: ZoneShare,
    credit: f64,
    tokens: f64,
    refilled_at: Time,
}

/// Turns among ways by shares (smooth weighted round robin), each within its rate: what a lane's store does not hold goes to the
/// others. The stores hold a second's worth, one at least.
#[derive(Clone, Default)]
pub struct WeightedLanes(Vec<WeightedLane>);

/// Credits stay within this, so that a lane that was shut is not owed all that it missed.
const MAX_CREDIT: f64 = 4.0;

impl WeightedLanes {
    /// Other shares from now on; lanes that go on keep what they have.
    pub fn set(&mut self, now: Time, ways: &[ZoneShare]) {
        let before = std::mem::take(&mut self.0);
        let lane = |way: &ZoneShare| {
            let way = ZoneShare { share: sanitize(way.share).min(1.0), ..*way };
            let held = before.iter().find(|lane| lane.zone_share.zone == way.zone).copied();
            held.map_or(
                WeightedLane { zone_share: way, credit: 0.0, tokens: 1.0, refilled_at: now },
                |lane| WeightedLane { zone_share: way, ..lane },
            )
        };
        self.0 = ways.iter().map(lane).collect();
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether anything may go this way; any while there are no lanes.
    pub fn is_open(&self, zone: u32) -> bool {
        self.0.is_empty()
            || self.0.iter().any(|lane| lane.zone_share.zone == zone && lane.zone_share.share > 0.0)
    }

    /// Whose turn it is, and who is asked after that one if nothing can go its way. Lanes whose stores hold none are asked only
    /// while one without a rate is open: nothing has been decided against it, and each does as it would alone.
    pub fn turns(&mut self, now: Time) -> Vec<u32> {
        for lane in &mut self.0 {
            let most = lane.zone_share.max_rate.max(0.0);
            let filled =
                if most.is_finite() { lane.tokens + now.since(lane.refilled_at) * most } else { 1.0 };
            lane.tokens = filled.min(most.max(1.0));
            lane.refilled_at = now;
            lane.credit = (lane.credit + lane.zone_share.share).clamp(-MAX_CREDIT, MAX_CREDIT);
        }
        let alone =
            self.0.iter().any(|lane| lane.zone_share.share > 0.0 && lane.zone_share.max_rate.is_infinite());
        let open = |lane: &&WeightedLane| lane.zone_share.share > 0.0 && (alone || lane.tokens >= 1.0);
        let mut open: Vec<&WeightedLane> = self.0.iter().filter(open).collect();
        let holds = |lane: &WeightedLane| lane.tokens >= 1.0;
        open.sort_by(|a, b| holds(b).cmp(&holds(a)).then(b.credit.total_cmp(&a.credit)));
        open.into_iter().map(|lane| lane.zone_share.zone).collect()
    }

    /// One went this way.
    pub fn on_sent(&mut self, zone: u32) {
        for lane in self.0.iter_mut().filter(|lane| lane.zone_share.zone == zone) {
            lane.credit -= 1.0;
            lane.tokens -= 1.0;
        }
    }
}

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finalizer of SplitMix64.
fn splitmix64_finalize(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Most takers that [`subset`] tells apart, which bounds its work.
const MAX_SUBSETS: u32 = 1000;

/// The share of one of several takers in some items: `own` of them each, each item to as many takers as any other
/// but one, and the same wherever it is reckoned. By hashes (rendezvous), so that an item that comes or goes moves
/// few of the others; in the takers' order, as one whose first items are taken has its next ones.
pub fn subset(items: &mut [u32], taker: u32, takers: u32, own: usize) -> &[u32] {
    let (own, takers) = (own.min(items.len()), takers.clamp(1, MAX_SUBSETS));
    let most = (f64::from(takers) * own as f64 / items.len().max(1) as f64).ceil() as u32;
    let mut taken: HashMap<u32, u32> = HashMap::new();
    let hash =
        |a: u32, b: u32| splitmix64_finalize((u64::from(a) << 32 | u64::from(b)).wrapping_add(GOLDEN_GAMMA));
    for before in 0..=taker % takers {
        // Those that others have taken up come last.
        items.sort_by_cached_key(|&item| (taken.get(&item).is_some_and(|&n| n >= most), hash(before, item)));
        items[..own].iter().for_each(|&item| *taken.entry(item).or_default() += 1);
    }
    &items[..own]
}

/// A stream of random numbers from a seed (SplitMix64).
pub struct Random(pub u64);

impl Random {
    /// Uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        (splitmix64_finalize(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }
}
