//! Segment files keep their bytes: a log that is written has the literal bytes of a fixture, and those are read again.

use marblecroft_wal::{Recovered, Wal, MAGIC};
use std::fs;
use std::path::{Path, PathBuf};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// An empty folder of one test.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{}-{name}", std::process::id()));
    // It is there only where an earlier process of this number was stopped.
    drop(fs::remove_dir_all(&folder));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

const SEGMENT: &str = "00000000000000000002.segment";

#[test]
fn a_segment_file_keeps_its_name_and_bytes() {
    assert_eq!(&MAGIC, b"mcroft\x00\x02");
    let folder = folder("written");
    let (mut log, found) = Wal::open(&folder).expect("opens");
    assert_eq!(found, Recovered::default());
    log.start_segment(b"an older snapshot").expect("written");
    log.start_segment(b"the snapshot").expect("written");
    log.append(&[b"first", b""]).expect("written");
    log.append(&[&[0xff; 9]]).expect("written");
    let names: Vec<_> = fs::read_dir(&folder).expect("a folder").map(|file| file.expect("a file")).collect();
    assert_eq!(names.len(), 1);
    assert_eq!(names[0].file_name().to_str(), Some(SEGMENT));
    let written = hex(&fs::read(folder.join(SEGMENT)).expect("a file"));
    assert_eq!(written, include_str!("golden/segment.hex").trim_end());
    fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_stored_segment_file_is_read_again() {
    let folder = folder("read");
    let stored = unhex(include_str!("golden/segment.hex").trim_end());
    fs::write(folder.join(SEGMENT), &stored).expect("written");
    let (mut log, found) = Wal::open(&folder).expect("opens");
    let expected = Recovered {
        snapshot: Some(b"the snapshot".to_vec()),
        records: vec![b"first".to_vec(), Vec::new(), vec![0xff; 9]],
        torn_bytes: 0,
        damaged: false,
    };
    assert_eq!(found, expected);
    log.start_segment(b"next").expect("written");
    assert!(folder.join("00000000000000000003.segment").is_file() && !folder.join(SEGMENT).exists());
    fs::remove_dir_all(&folder).expect("removed");
}
