//! The format of segment files does not change: a log is written as the literal bytes of a fixture, and a log
//! with these bytes is recovered.

#[path = "../../../testing/support/golden/hex.rs"]
mod hex;

use hex::{decode_hex, hex};
use marblecroft_wal::{Recovered, Wal, MAGIC};
use std::fs;
use std::path::{Path, PathBuf};

/// Creates an empty directory for one test.
fn create_directory(name: &str) -> PathBuf {
    let directory =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{}-{name}", std::process::id()));
    // The directory exists only if an earlier process with the same id was killed.
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("a directory");
    directory
}

const SEGMENT: &str = "00000000000000000002.segment";

#[test]
fn segment_file_keeps_its_name_and_format() {
    assert_eq!(&MAGIC, b"mcroft\x00\x02");
    let directory = create_directory("written");
    let (mut wal, recovered) = Wal::open(&directory).expect("opens");
    assert_eq!(recovered, Recovered::default());
    wal.start_segment(b"an older snapshot").expect("written");
    wal.start_segment(b"the snapshot").expect("written");
    wal.append(&[b"first", b""]).expect("written");
    wal.append(&[&[0xff; 9]]).expect("written");
    let names: Vec<_> =
        fs::read_dir(&directory).expect("a directory").map(|file| file.expect("a file")).collect();
    assert_eq!(names.len(), 1);
    assert_eq!(names[0].file_name().to_str(), Some(SEGMENT));
    let written = hex(&fs::read(directory.join(SEGMENT)).expect("a file"));
    assert_eq!(written, include_str!("golden/segment.hex").trim_end());
    fs::remove_dir_all(&directory).expect("removed");
}

#[test]
fn stored_segment_file_is_recovered() {
    let directory = create_directory("read");
    let stored = decode_hex(include_str!("golden/segment.hex").trim_end());
    fs::write(directory.join(SEGMENT), &stored).expect("written");
    let (mut wal, recovered) = Wal::open(&directory).expect("opens");
    let expected = Recovered {
        snapshot: Some(b"the snapshot".to_vec()),
        records: vec![b"first".to_vec(), Vec::new(), vec![0xff; 9]],
        torn_bytes: 0,
        damaged: false,
    };
    assert_eq!(recovered, expected);
    wal.start_segment(b"next").expect("written");
    assert!(directory.join("00000000000000000003.segment").is_file() && !directory.join(SEGMENT).exists());
    fs::remove_dir_all(&directory).expect("removed");
}
