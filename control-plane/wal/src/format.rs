//! The version of the format.

/// First bytes of a segment; the last one is the version of the format.
pub const MAGIC: [u8; 8] = *b"mcroft\x00\x02";
/// First bytes of [`MAGIC`], which are the same in every version.
pub(crate) const MAGIC_PREFIX: &[u8] = b"mcroft\x00";
/// The version that this program reads and writes.
pub(crate) const VERSION: u8 = MAGIC[MAGIC.len() - 1];
