//! What was appended is there after a loss of power, whatever became of what was not synced.

use marblecroft_wal::{Recovered, Wal};
use std::fs;
use std::path::{Path, PathBuf};

/// A folder of its own for each test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("marblecroft-log-{}-{name}", std::process::id()));
        drop(fs::remove_dir_all(&path));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn only_segment(folder: &Path) -> PathBuf {
    let mut files: Vec<PathBuf> =
        fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path()).collect();
    assert_eq!(files.len(), 1, "{files:?}");
    files.remove(0)
}

fn reopened(folder: &Path) -> Recovered {
    Wal::open(folder).expect("opens").1
}

#[test]
fn an_empty_folder_has_no_snapshot_and_nothing_can_be_appended_before_a_segment_starts() {
    let folder = Folder::new("empty");
    let (mut log, found) = Wal::open(&folder.0).expect("opens");
    assert_eq!(found, Recovered::default());
    assert!(log.append(&[b"x"]).is_err());
}

#[test]
fn every_prefix_of_a_segment_gives_back_exactly_the_whole_records_in_it() {
    let folder = Folder::new("prefix");
    let (mut log, _) = Wal::open(&folder.0).expect("opens");
    log.start_segment(b"state").expect("starts");
    let first = fs::metadata(only_segment(&folder.0)).expect("there").len() as usize;
    let records: [&[u8]; 3] = [b"one", b"", b"three"];
    let mut ends = vec![];
    for record in records {
        log.append(&[record]).expect("appended");
        ends.push(fs::metadata(only_segment(&folder.0)).expect("there").len() as usize);
    }
    let path = only_segment(&folder.0);
    let whole = fs::read(&path).expect("read");
    for cut in 0..=whole.len() {
        fs::write(&path, &whole[..cut]).expect("written");
        let found = reopened(&folder.0);
        if cut < first {
            assert_eq!(found, Recovered::default(), "cut at {cut}");
        } else {
            let expected = ends.iter().filter(|&&end| end <= cut).count();
            assert_eq!(found.snapshot.as_deref(), Some(&b"state"[..]));
            assert_eq!(found.records, records[..expected], "cut at {cut}");
            assert!(!found.damaged, "a torn end is no damage: cut at {cut}");
        }
    }
}

#[test]
fn a_flipped_bit_is_never_read_as_data() {
    let folder = Folder::new("flip");
    let (mut log, _) = Wal::open(&folder.0).expect("opens");
    log.start_segment(b"state").expect("starts");
    log.append(&[b"first", b"second"]).expect("appended");
    let path = only_segment(&folder.0);
    let whole = fs::read(&path).expect("read");
    for bit in 0..whole.len() * 8 {
        let mut damaged = whole.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        fs::write(&path, &damaged).expect("written");
        let found = reopened(&folder.0);
        assert!(found.snapshot.is_none_or(|snapshot| snapshot == b"state"), "bit {bit}");
        let known: [&[u8]; 2] = [b"first", b"second"];
        assert!(found.records.iter().zip(known).all(|(got, was)| got == was), "bit {bit}");
    }
}

#[test]
fn a_torn_new_segment_leaves_the_one_before_in_force() {
    let folder = Folder::new("torn");
    let (mut log, _) = Wal::open(&folder.0).expect("opens");
    log.start_segment(b"old").expect("starts");
    log.append(&[b"record"]).expect("appended");
    let kept = (only_segment(&folder.0), fs::read(only_segment(&folder.0)).expect("read"));
    log.start_segment(b"new state").expect("starts");
    let newer = only_segment(&folder.0);
    let whole = fs::read(&newer).expect("read");
    for cut in 0..whole.len() {
        fs::write(&kept.0, &kept.1).expect("the removal was not durable");
        fs::write(&newer, &whole[..cut]).expect("written");
        let found = reopened(&folder.0);
        assert_eq!(found.snapshot.as_deref(), Some(&b"old"[..]), "cut at {cut}");
        assert_eq!(found.records, [b"record"]);
    }
}

#[test]
fn random_histories_come_back_as_they_were_appended() {
    let folder = Folder::new("random");
    arbtest::arbtest(|u| {
        drop(fs::remove_dir_all(&folder.0));
        let (mut log, _) = Wal::open(&folder.0).expect("opens");
        let (mut snapshot, mut records) = (Vec::new(), Vec::new());
        log.start_segment(&snapshot).expect("starts");
        for _ in 0..u.int_in_range(0..=20)? {
            let payload: Vec<u8> = u.arbitrary()?;
            if u.ratio(1, 4)? {
                log.start_segment(&payload).expect("starts");
                (snapshot, records) = (payload, Vec::new());
            } else {
                log.append(&[&payload]).expect("appended");
                records.push(payload);
            }
            if u.ratio(1, 5)? {
                let (reopened, found) = Wal::open(&folder.0).expect("opens");
                assert_eq!(found.records, records);
                log = reopened;
                log.start_segment(&snapshot).expect("starts");
                records.clear();
            }
        }
        let found = reopened(&folder.0);
        assert_eq!((found.snapshot, found.records), (Some(snapshot), records));
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn damage_in_front_of_what_was_synced_later_is_told_from_a_torn_end() {
    let folder = Folder::new("damage");
    let (mut log, _) = Wal::open(&folder.0).expect("opens");
    log.start_segment(b"state").expect("starts");
    for _ in 0..100 {
        log.append(&[b"a record", b"another one"]).expect("appended");
    }
    let path = only_segment(&folder.0);
    let before_last = fs::metadata(&path).expect("there").len() as usize;
    log.append(&[b"the last one"]).expect("appended");
    let whole = fs::read(&path).expect("read");
    for at in 0..before_last {
        let mut damaged = whole.clone();
        damaged[at] ^= 0x10;
        fs::write(&path, &damaged).expect("written");
        let found = reopened(&folder.0);
        assert!(found.damaged, "byte {at} of {before_last}");
        assert!(found.records.len() < 201);
    }
    for at in before_last + 8 + 24..whole.len() {
        let mut torn = whole.clone();
        torn[at] ^= 0x10;
        fs::write(&path, &torn).expect("written");
        let found = reopened(&folder.0);
        assert_eq!((found.records.len(), found.damaged), (200, false), "byte {at}");
    }
}

#[test]
fn a_newest_segment_without_a_snapshot_is_damage_where_something_was_appended_or_no_older_one_is_left() {
    let folder = Folder::new("newest");
    let (mut log, _) = Wal::open(&folder.0).expect("opens");
    log.start_segment(b"old").expect("starts");
    let kept = (only_segment(&folder.0), fs::read(only_segment(&folder.0)).expect("read"));
    log.start_segment(b"new state").expect("starts");
    let newer = only_segment(&folder.0);
    let spoil = |path: &Path| {
        let mut bytes = fs::read(path).expect("read");
        bytes[18] ^= 1;
        fs::write(path, &bytes).expect("written");
    };
    spoil(&newer);
    assert!(reopened(&folder.0).damaged, "the older one is gone, so the newer one was synced");
    fs::write(&kept.0, &kept.1).expect("written");
    assert_eq!((reopened(&folder.0).snapshot, reopened(&folder.0).damaged), (Some(b"old".to_vec()), false));
    spoil(&newer);
    drop(fs::remove_file(&kept.0));
    log.append(&[b"record"]).expect("appended");
    spoil(&newer);
    fs::write(&kept.0, &kept.1).expect("written");
    assert!(reopened(&folder.0).damaged, "something was appended to the newer one");
}

#[test]
fn an_unknown_format_is_an_error_and_not_an_empty_disk() {
    let folder = Folder::new("format");
    let (mut log, _) = Wal::open(&folder.0).expect("opens");
    log.start_segment(b"state").expect("starts");
    let path = only_segment(&folder.0);
    let mut bytes = fs::read(&path).expect("read");
    bytes[7] = 9;
    fs::write(&path, &bytes).expect("written");
    let error = Wal::open(&folder.0).err().expect("refused").to_string();
    assert_eq!(error, "segment 1 has format 9, and this program reads format 2");
}
