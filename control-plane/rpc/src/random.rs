//! Random ids.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};

/// Returns a random number, which is unique among processes except with negligible probability.
pub fn random_id() -> u64 {
    // The standard library seeds its hashers from the system's source of randomness.
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}
