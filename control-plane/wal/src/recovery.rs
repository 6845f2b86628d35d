//! Recovery of the contents of a log.

use crate::directory::{segment_numbers, segment_path};
use crate::segment::{decode_segment, has_appends};
use std::fs;
use std::io;
use std::path::Path;

/// The contents of a log that [`Wal::open`](crate::Wal::open) has recovered from its directory.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The snapshot at the start of the newest complete segment; `None` if there is no such segment.
    pub snapshot: Option<Vec<u8>>,
    /// The records after the snapshot, in order.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes after the last intact record, which were ignored.
    pub torn_bytes: usize,
    /// Whether synced data cannot be read: the recovered contents are then older than what was acknowledged.
    pub damaged: bool,
}

/// The recovered contents, and the number after which the log continues.
pub(crate) struct Recovery {
    pub recovered: Recovered,
    /// Number of the newest segment, complete or not; 0 if there is none.
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
        // Appends to a segment begin only after its snapshot is synced and the older segments are durably
        // removed, so an append marker shows that synced data was damaged.
        recovered.damaged |= has_appends(&bytes, number);
    }
    if recovered.snapshot.is_none() {
        // A complete older segment exists while any segment but the first is written. A failed write of the
        // first segment also uses a number, so damage may be reported although nothing was lost. This is safer
        // than an undetected loss.
        recovered.damaged |= newest_segment > 1;
    }
    Ok(Recovery { recovered, newest_segment })
}
