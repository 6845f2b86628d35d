//! The two hash functions on which placement rests.
//!
//! Both are part of the contract between gateways: every gateway must rank servers alike and name them alike in load
//! updates, also while two releases run side by side. Their values are pinned by `tests/golden.rs`. Neither resists an
//! adversary who chooses the inputs; the inputs are ids that the platform assigns, and a bad spread costs balance only.

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

/// Returns one step of SplitMix64 (Steele, Lea and Flood 2014) from `value`: a bijection that spreads every input bit
/// over all output bits.
pub fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps the upper 53 bits of `hash` to the unit interval `[0, 1)`; each result is exact as an `f64`.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
