//! The two hash functions that placement uses.
//!
//! Both are part of the protocol between gateways: every gateway must rank servers in the same
//! order and refer to them by the same hash in load updates, also while two releases run side by
//! side. `tests/golden.rs` pins their values. Neither resists an adversary who chooses the inputs.
//! This is acceptable because the inputs are ids that the platform assigns, and a poor distribution
//! only affects load balance.

/// Returns the 64-bit FNV-1a hash of `bytes` (Fowler, Noll and Vo).
///
/// ```
/// assert_eq!(marblecroft_routing::hash::fnv1a(b"a"), 0xaf63_dc4c_8601_ec8c);
/// ```
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns one step of SplitMix64 (Steele, Lea and Flood 2014) from `value`: a bijection that
/// spreads every input bit over all output bits.
pub fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps the upper 53 bits of `hash` to the interval `[0, 1)`. Every result is exact as an `f64`.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
