//! The files of a log. Each segment is one file, named by the segment's number.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

pub(crate) fn segment_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{number:020}.segment"))
}

/// Returns the numbers of the segments in a directory, in no particular order. Other files are ignored.
pub(crate) fn segment_numbers(directory: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(directory)? {
        let name = entry?.file_name();
        let number: Option<u64> = name.to_str().and_then(|name| name.strip_suffix(".segment")?.parse().ok());
        numbers.extend(number);
    }
    Ok(numbers)
}

/// Makes the creation and removal of files durable.
pub(crate) fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}
