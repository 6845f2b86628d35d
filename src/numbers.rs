//! Arithmetic that the decisions use, and no decision.

use crate::api::{Plan, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// A finite, non-negative number, whatever was told.
pub fn sane(x: f64) -> f64 {
    if x.is_finite() {
        x.clamp(0.0, 1e12)
    } else {
        0.0
    }
}

/// The same for a plan's figures.
pub fn sane_plan(p: &mut Plan) {
    for x in [&mut p.rate, &mut p.burst, &mut p.price, &mut p.over_worth, &mut p.over_cost] {
        *x = sane(*x);
    }
    for x in [&mut p.ceiling_rate, &mut p.ceiling_depth, &mut p.ceiling_slack] {
        *x = sane(*x);
    }
}

/// The average that moves from `old` towards `new` by `weight`.
pub fn mix(old: f64, new: f64, weight: f64) -> f64 {
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

const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finalizer of SplitMix64.
fn scattered(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Most takers that [`subset`] tells apart, which bounds its work.
const TAKERS_MOST: u32 = 1000;

/// The share of one of several takers in some items: `own` of them each, each item to as many takers as any other
/// but one, and the same wherever it is reckoned. By hashes (rendezvous), so that an item that comes or goes moves
/// few of the others; in the takers' order, as one whose first items are taken has its next ones.
pub fn subset(items: &mut [u32], taker: u32, takers: u32, own: usize) -> &[u32] {
    let (own, takers) = (own.min(items.len()), takers.clamp(1, TAKERS_MOST));
    let most = (f64::from(takers) * own as f64 / items.len().max(1) as f64).ceil() as u32;
    let mut taken: HashMap<u32, u32> = HashMap::new();
    let hash = |a: u32, b: u32| scattered((u64::from(a) << 32 | u64::from(b)).wrapping_add(GOLDEN));
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
        self.0 = self.0.wrapping_add(GOLDEN);
        (scattered(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }
}
