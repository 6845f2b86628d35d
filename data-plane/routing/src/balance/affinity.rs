//! Prefix affinity: prompts that begin alike go to the same few servers, whose prefix caches then hold the shared part.
//!
//! The servers of a key are found by rendezvous hashing (highest random weight; Thaler and Ravishankar 1998): each server is
//! ranked by a hash of key and server id, and the first few of the ranking are the key's servers. Every gateway comes to the
//! same ranking from the list of servers alone, without any exchange, and when a server joins or leaves only the keys that
//! rank it among their first move. The cost is O(n) hashes a placement, for n servers of the zone; for thousands of servers
//! a ring or a table would be the better choice.
//!
//! Affinity is a preference and not a rule: it enters the cost of a server as one term, which load soon outweighs. A hot
//! prefix thus spreads to further servers instead of overloading its own.

use super::endpoint::Endpoint;
use crate::hash::{fnv1a, splitmix64};

/// Returns the ids of the `count` servers with the lowest rank for `key`.
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
