//! Deterministic subsetting: which of the servers each gateway prefers, without any message between gateways.
//!
//! By rendezvous hashing (Thaler and Ravishankar, 1998), so that a server that comes or goes moves few of the others. A plain
//! hash would load some servers more than others; here each item is taken by as many subsets as any other, but for one.

use crate::random::{splitmix64_finalize, GOLDEN_GAMMA};
use std::collections::HashMap;

/// Most subsets that [`subset`] tells apart, which bounds its work.
const MAX_SUBSETS: u32 = 1000;

/// Returns the `size` items of subset `index` of `count`. Every gateway computes the same subsets from the same items.
pub fn subset(items: &mut [u32], index: u32, count: u32, size: usize) -> &[u32] {
    let (size, count) = (size.min(items.len()), count.clamp(1, MAX_SUBSETS));
    let most_taken = (f64::from(count) * size as f64 / items.len().max(1) as f64).ceil() as u32;
    let mut taken: HashMap<u32, u32> = HashMap::new();
    let hash =
        |a: u32, b: u32| splitmix64_finalize((u64::from(a) << 32 | u64::from(b)).wrapping_add(GOLDEN_GAMMA));
    for earlier in 0..=index % count {
        // Items that enough other subsets have taken come last.
        items.sort_by_cached_key(|&item| {
            (taken.get(&item).is_some_and(|&n| n >= most_taken), hash(earlier, item))
        });
        items[..size].iter().for_each(|&item| *taken.entry(item).or_default() += 1);
    }
    &items[..size]
}
