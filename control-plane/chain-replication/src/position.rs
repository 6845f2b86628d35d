//! Positions in a chain's history.

use musli::{Decode, Encode};

/// A position in a chain's history. Equal positions mean equal states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Position {
    /// Number of entries in the history.
    pub index: u64,
    /// Hash of all entries, in order.
    pub hash: u64,
}

impl Position {
    /// Returns the position after one more entry.
    pub fn after(self, entry: &[u8]) -> Position {
        // FNV-1a over words of eight bytes, continued from the hash of all earlier entries. Folding in the
        // upper half lets every bit of a word affect the lower bits of the hash.
        const PRIME: u64 = 0x0100_0000_01b3;
        const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        let mix = |hash: u64, word: u64| {
            let hash = (hash ^ word).wrapping_mul(PRIME);
            hash ^ (hash >> 32)
        };
        let mut hash = mix(mix(BASIS, self.hash), entry.len() as u64);
        let mut words = entry.chunks_exact(8);
        for word in &mut words {
            hash = mix(hash, word.try_into().map_or(0, u64::from_le_bytes));
        }
        hash = words.remainder().iter().fold(hash, |hash, byte| mix(hash, u64::from(*byte)));
        Position { index: self.index + 1, hash }
    }
}
