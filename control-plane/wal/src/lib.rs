//! A write-ahead log in segments. Every segment begins with a snapshot of the state after all earlier
//! records, so the newest complete segment is sufficient to restore the state.
//!
//! - [`Wal::start_segment`] writes and syncs a new segment with its directory, and only then removes the
//!   older ones. Until the newest segment has a complete snapshot, a recovery uses the one before it.
//! - [`Wal::append`] writes records and syncs them; they are durable on return.
//! - [`Wal::open`] recovers the newest complete segment up to its first record whose checksum does not match:
//!   after a power failure the records that were being written may be torn.
//!
//! **Torn end or damage.** Every append begins with a marker that contains its own offset, and is written
//! only after everything before it was synced. An unreadable record before an intact marker was therefore
//! synced, and may have been acknowledged: this is damage, not a torn end, and [`Recovered::damaged`] reports
//! it. Damage within the very last append cannot be distinguished from a torn end.
//!
//! **Format.** A record is the length of the payload (u32, little endian), the CRC-32 of the payload, and the payload. A
//! segment is [`MAGIC`], which contains the version of the format, the record of the snapshot, and for each append the
//! record of its marker and its records. The payload of a marker is 24 bytes: `mc-mark` and a zero, the number of the
//! segment, and the offset of the marker's record in the segment (both u64, little endian).
#![forbid(unsafe_code)]

mod directory;
mod error;
mod format;
mod record;
mod recovery;
mod segment;
mod wal;

pub use error::WalError;
pub use format::MAGIC;
pub use recovery::Recovered;
pub use wal::Wal;
