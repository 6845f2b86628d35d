//! Deterministic subsetting: each gateway computes the subset of servers that it prefers, without messages
//! between gateways.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998) keeps most of each subset when a server is added or
//! removed. Hashing alone would put some servers in more subsets than others, so the number of subsets that
//! contain an item is capped: it differs by at most one between items.

use crate::random::{splitmix64_finalize, GOLDEN_GAMMA};
use std::collections::HashMap;

/// Maximum number of distinct subsets, which bounds the running time of [`subset`].
const MAX_SUBSETS: u32 = 1000;

/// Returns the `size` items of subset `index` of `count`. Every gateway computes the same subsets from the
/// same items.
pub fn subset(items: &mut [u32], index: u32, count: u32, size: usize) -> &[u32] {
    let (size, count) = (size.min(items.len()), count.clamp(1, MAX_SUBSETS));
    let max_memberships = (f64::from(count) * size as f64 / items.len().max(1) as f64).ceil() as u32;
    let mut memberships: HashMap<u32, u32> = HashMap::new();
    let hash =
        |a: u32, b: u32| splitmix64_finalize((u64::from(a) << 32 | u64::from(b)).wrapping_add(GOLDEN_GAMMA));
    for earlier in 0..=index % count {
        // Items that already are in enough of the earlier subsets come last.
        items.sort_by_cached_key(|&item| {
            (memberships.get(&item).is_some_and(|&n| n >= max_memberships), hash(earlier, item))
        });
        items[..size].iter().for_each(|&item| *memberships.entry(item).or_default() += 1);
    }
    &items[..size]
}
