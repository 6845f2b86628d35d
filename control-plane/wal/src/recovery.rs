//! Recovery of what a log contains.

use crate::directory::{segment_numbers, segment_path};
use crate::segment::{decode_segment, has_appends};
use std::fs;
use std::io;
use std::path::Path;

/// What [`Wal::open`](crate::Wal::open) found in its directory.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The snapshot at the start of the newest complete segment; `None` where there is no such segment.
    pub snapshot: Option<Vec<u8>>,
    /// The records behind it, in order.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes behind the last intact record, which were ignored.
    pub torn_bytes: usize,
    /// Whether something that was synced cannot be read: what was found is then older than what was acknowledged.
    pub damaged: bool,
}

/// What was found, and where the log goes on.
pub(crate) struct Recovery {
    pub recovered: Recovered,
    /// Number of the newest segment, complete or not; 0 where there is none.
    pub newest_segment: u64,
}

/// Reads the newest complete segment of a directory.
pub(crate) fn recover(directory: &Path) -> io::Result<Recovery> {
    let mut numbers = segment_numbers(directory)?;
    numbers.sort_unstable();
    let newest_segment = numbers.last().copied().unwrap_or(0);
    let mut recovered = Recovered::default();
    for &number in numbers.iter().rev() {
        let bytes = fs::read(segment_path(directory, number))?;
        if let Some(segment) = decode_segment(&bytes, number)? {
            recovered = Recovered {
                snapshot: Some(segment.snapshot),
                records: segment.records,
                torn_bytes: segment.torn_bytes,
                damaged: recovered.damaged || segment.is_damaged,
            };
            break;
        }
        // Nothing is appended to a segment before its snapshot is synced and the older segments are durably removed.
        recovered.damaged |= has_appends(&bytes, number);
    }
    if recovered.snapshot.is_none() {
        // Only the first segment is ever written with nothing complete before it. A start that failed uses up a number too;
        // then this errs on the safe side.
        recovered.damaged |= newest_segment > 1;
    }
    Ok(Recovery { recovered, newest_segment })
}
