//! Prefix affinity: prompts with the same prefix go to the same few servers, whose prefix caches
//! then hold the shared part.
//!
//! The servers of a key are found by rendezvous hashing (highest random weight; Thaler and
//! Ravishankar 1998): servers are ranked by a hash of the key and the server id, and the first few
//! in the ranking are the servers of the key. Every gateway computes the same ranking from the
//! server list alone, without coordination. When a server joins or leaves, only the keys that rank
//! it among their first few servers move. Each placement costs O(n) hashes for n servers of the
//! zone; for thousands of servers a hash ring or a lookup table would be the better choice.
//!
//! Affinity is a preference, not a constraint: it is one term in the cost of a server and is soon
//! outweighed by load. A hot prefix therefore spreads to further servers instead of overloading its
//! preferred ones.

use super::endpoint::Endpoint;
use crate::hash::{fnv1a, splitmix64};

/// Returns the ids of the `count` servers with the lowest hash for `key`.
pub(super) fn affine_servers<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
    key: u64,
    count: usize,
) -> Vec<String> {
    let mut ranked: Vec<(u64, &str)> = endpoints
        .map(|endpoint| (splitmix64(key ^ fnv1a(endpoint.server.id.as_bytes())), endpoint.server.id.as_str()))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().take(count).map(|(_, id)| id.to_owned()).collect()
}
