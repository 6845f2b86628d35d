//! Deterministic random numbers and hashes (SplitMix64: Steele, Lea and Flood, "Fast Splittable Pseudorandom
//! Number Generators", OOPSLA 2014).

/// The increment of SplitMix64: 2^64 divided by the golden ratio.
pub(crate) const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finalizer of SplitMix64: every bit of the input reaches every bit of the result.
pub(crate) fn splitmix64_finalize(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A pseudorandom number generator. The field is its state, which starts as the seed.
pub struct Random(pub u64);

impl Random {
    /// Returns the next number, uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        (splitmix64_finalize(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }
}
