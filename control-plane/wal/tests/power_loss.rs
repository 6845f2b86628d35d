//! Appended records are recovered after a power failure, regardless of the contents of unsynced bytes. Damage
//! to synced bytes is reported.

use marblecroft_wal::{Recovered, Wal, WalError};
use std::fs;
use std::path::{Path, PathBuf};

/// Length of the marker before each append in bytes: its header and its payload.
const MARKER_RECORD_BYTES: usize = 8 + 24;

/// The directory of one test, which is removed when dropped.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let path = std::env::temp_dir().join(format!("marblecroft-log-{}-{name}", std::process::id()));
        // The directory exists only if an earlier process with the same id was killed.
        let _ = fs::remove_dir_all(&path);
        TestDirectory(path)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        // A failed removal does not affect the result of the test.
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn only_segment(directory: &Path) -> PathBuf {
    let mut files: Vec<PathBuf> =
        fs::read_dir(directory).expect("a directory").map(|entry| entry.expect("an entry").path()).collect();
    assert_eq!(files.len(), 1, "{files:?}");
    files.remove(0)
}

fn recover(directory: &Path) -> Recovered {
    Wal::open(directory).expect("opens").1
}

#[test]
fn empty_directory_has_no_snapshot_and_accepts_no_record_before_a_segment_starts() {
    let directory = TestDirectory::new("empty");
    let (mut wal, recovered) = Wal::open(&directory.0).expect("opens");
    assert_eq!(recovered, Recovered::default());
    assert!(wal.append(&[b"x"]).is_err());
}

#[test]
fn every_prefix_of_a_segment_recovers_exactly_its_complete_records() {
    let directory = TestDirectory::new("prefix");
    let (mut wal, _) = Wal::open(&directory.0).expect("opens");
    wal.start_segment(b"state").expect("starts");
    let first = fs::metadata(only_segment(&directory.0)).expect("there").len() as usize;
    let records: [&[u8]; 3] = [b"one", b"", b"three"];
    let mut ends = vec![];
    for record in records {
        wal.append(&[record]).expect("appended");
        ends.push(fs::metadata(only_segment(&directory.0)).expect("there").len() as usize);
    }
    let path = only_segment(&directory.0);
    let complete = fs::read(&path).expect("read");
    for length in 0..=complete.len() {
        fs::write(&path, &complete[..length]).expect("written");
        let recovered = recover(&directory.0);
        if length < first {
            assert_eq!(recovered, Recovered::default(), "truncated at {length}");
        } else {
            let expected = ends.iter().filter(|&&end| end <= length).count();
            assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]));
            assert_eq!(recovered.records, records[..expected], "truncated at {length}");
            assert!(!recovered.damaged, "a torn end is not damage: truncated at {length}");
        }
    }
}

#[test]
fn flipped_bit_is_never_recovered_as_data() {
    let directory = TestDirectory::new("flip");
    let (mut wal, _) = Wal::open(&directory.0).expect("opens");
    wal.start_segment(b"state").expect("starts");
    wal.append(&[b"first", b"second"]).expect("appended");
    let path = only_segment(&directory.0);
    let complete = fs::read(&path).expect("read");
    for bit in 0..complete.len() * 8 {
        let mut damaged = complete.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        fs::write(&path, &damaged).expect("written");
        let recovered = recover(&directory.0);
        assert!(recovered.snapshot.is_none_or(|snapshot| snapshot == b"state"), "bit {bit}");
        let known: [&[u8]; 2] = [b"first", b"second"];
        assert!(recovered.records.iter().zip(known).all(|(got, was)| got == was), "bit {bit}");
    }
}

#[test]
fn torn_new_segment_is_ignored_in_favor_of_the_previous_one() {
    let directory = TestDirectory::new("torn");
    let (mut wal, _) = Wal::open(&directory.0).expect("opens");
    wal.start_segment(b"old").expect("starts");
    wal.append(&[b"record"]).expect("appended");
    let older = (only_segment(&directory.0), fs::read(only_segment(&directory.0)).expect("read"));
    wal.start_segment(b"new state").expect("starts");
    let newer = only_segment(&directory.0);
    let complete = fs::read(&newer).expect("read");
    for length in 0..complete.len() {
        fs::write(&older.0, &older.1).expect("the removal was not durable");
        fs::write(&newer, &complete[..length]).expect("written");
        let recovered = recover(&directory.0);
        assert_eq!(recovered.snapshot.as_deref(), Some(&b"old"[..]), "truncated at {length}");
        assert_eq!(recovered.records, [b"record"]);
    }
}

#[test]
fn random_histories_are_recovered_as_they_were_appended() {
    let directory = TestDirectory::new("random");
    arbtest::arbtest(|u| {
        // The directory does not exist before the first history.
        let _ = fs::remove_dir_all(&directory.0);
        let (mut wal, _) = Wal::open(&directory.0).expect("opens");
        let (mut snapshot, mut records) = (Vec::new(), Vec::new());
        wal.start_segment(&snapshot).expect("starts");
        for _ in 0..u.int_in_range(0..=20)? {
            let payload: Vec<u8> = u.arbitrary()?;
            if u.ratio(1, 4)? {
                wal.start_segment(&payload).expect("starts");
                (snapshot, records) = (payload, Vec::new());
            } else {
                wal.append(&[&payload]).expect("appended");
                records.push(payload);
            }
            if u.ratio(1, 5)? {
                let (reopened, recovered) = Wal::open(&directory.0).expect("opens");
                assert_eq!(recovered.records, records);
                wal = reopened;
                wal.start_segment(&snapshot).expect("starts");
                records.clear();
            }
        }
        let recovered = recover(&directory.0);
        assert_eq!((recovered.snapshot, recovered.records), (Some(snapshot), records));
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn nothing_is_appended_to_an_older_segment_after_a_newer_one_failed() {
    let directory = TestDirectory::new("failed-start");
    let (mut wal, _) = Wal::open(&directory.0).expect("opens");
    wal.start_segment(b"older").expect("starts");
    wal.append(&[b"first"]).expect("appended");
    // A directory with the name of the next segment exists, so that the segment cannot be created.
    let obstacle = directory.0.join("00000000000000000002.segment");
    fs::create_dir(&obstacle).expect("created");
    assert!(wal.start_segment(b"newer").is_err());
    assert!(!wal.is_writable());
    assert!(wal.append(&[b"second"]).is_err());
    fs::remove_dir(&obstacle).expect("removed");
    let recovered_again = wal.recover().expect("reads");
    assert_eq!(recovered_again.snapshot.as_deref(), Some(&b"older"[..]));
    assert_eq!(recovered_again.records, [b"first".to_vec()]);
    assert_eq!(recovered_again, recover(&directory.0));
    wal.start_segment(b"third").expect("starts");
    wal.append(&[b"fourth"]).expect("appended");
    let recovered = recover(&directory.0);
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"third"[..]));
    assert_eq!(recovered.records, [b"fourth".to_vec()]);
    assert!(!recovered.damaged);
}

#[test]
fn damage_before_a_later_synced_append_is_distinguished_from_a_torn_end() {
    let directory = TestDirectory::new("damage");
    let (mut wal, _) = Wal::open(&directory.0).expect("opens");
    wal.start_segment(b"state").expect("starts");
    for _ in 0..100 {
        wal.append(&[b"a record", b"another one"]).expect("appended");
    }
    let path = only_segment(&directory.0);
    let before_last = fs::metadata(&path).expect("there").len() as usize;
    wal.append(&[b"the last one"]).expect("appended");
    let complete = fs::read(&path).expect("read");
    for at in 0..before_last {
        let mut damaged = complete.clone();
        damaged[at] ^= 0x10;
        fs::write(&path, &damaged).expect("written");
        let recovered = recover(&directory.0);
        assert!(recovered.damaged, "byte {at} of {before_last}");
        assert!(recovered.records.len() < 201);
    }
    for at in before_last + MARKER_RECORD_BYTES..complete.len() {
        let mut torn = complete.clone();
        torn[at] ^= 0x10;
        fs::write(&path, &torn).expect("written");
        let recovered = recover(&directory.0);
        assert_eq!((recovered.records.len(), recovered.damaged), (200, false), "byte {at}");
    }
}

#[test]
fn newest_segment_without_snapshot_is_damage_if_appended_to_or_without_an_older_one() {
    let directory = TestDirectory::new("newest");
    let (mut wal, _) = Wal::open(&directory.0).expect("opens");
    wal.start_segment(b"old").expect("starts");
    let older = (only_segment(&directory.0), fs::read(only_segment(&directory.0)).expect("read"));
    wal.start_segment(b"new state").expect("starts");
    let newer = only_segment(&directory.0);
    let damage_snapshot = |path: &Path| {
        let mut bytes = fs::read(path).expect("read");
        bytes[18] ^= 1;
        fs::write(path, &bytes).expect("written");
    };
    damage_snapshot(&newer);
    assert!(recover(&directory.0).damaged, "the older segment was removed, so the newer one was synced");
    fs::write(&older.0, &older.1).expect("written");
    assert_eq!(
        (recover(&directory.0).snapshot, recover(&directory.0).damaged),
        (Some(b"old".to_vec()), false)
    );
    damage_snapshot(&newer);
    // The removal may fail if the file does not exist.
    let _ = fs::remove_file(&older.0);
    wal.append(&[b"record"]).expect("appended");
    damage_snapshot(&newer);
    fs::write(&older.0, &older.1).expect("written");
    assert!(recover(&directory.0).damaged, "a record was appended to the newer segment");
}

#[test]
fn unknown_format_is_an_error_and_not_an_empty_log() {
    let directory = TestDirectory::new("format");
    let (mut wal, _) = Wal::open(&directory.0).expect("opens");
    wal.start_segment(b"state").expect("starts");
    let path = only_segment(&directory.0);
    let mut bytes = fs::read(&path).expect("read");
    bytes[7] = 9;
    fs::write(&path, &bytes).expect("written");
    let error = Wal::open(&directory.0).err().expect("an error");
    let cause = error.get_ref().and_then(|cause| cause.downcast_ref::<WalError>());
    assert_eq!(cause, Some(&WalError::UnknownFormat(1, 9)));
    assert_eq!(error.to_string(), "segment 1 has format 9, and this program reads format 2");
}
