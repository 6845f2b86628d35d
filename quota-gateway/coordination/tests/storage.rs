//! Tests of the log store: the storage test suite of the consensus crate, crashes with torn writes, and
//! damaged files.

use marblecroft_coordination::disk::MemoryDisk;
use marblecroft_coordination::raft::{Machine, NodeId, Types};
use marblecroft_coordination::state::Command;
use marblecroft_coordination::storage::{LogStore, Writer};
use openraft::storage::{RaftLogStorage, RaftLogStorageExt};
use openraft::testing::{StoreBuilder, Suite};
use openraft::{CommittedLeaderId, Entry, EntryPayload, LogId, RaftLogReader, StorageError, Vote};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use redb::backends::InMemoryBackend;

struct InMemoryStoreBuilder;

impl StoreBuilder<Types, LogStore, Machine> for InMemoryStoreBuilder {
    async fn build(&self) -> Result<((), LogStore, Machine), StorageError<NodeId>> {
        // Opening a store blocks, so it runs on a thread outside the runtime.
        let log = std::thread::spawn(|| {
            LogStore::open_on_backend(InMemoryBackend::new(), true, Writer::Thread).expect("a store")
        });
        let log = log.join().expect("no panic");
        let machine = Machine::open(log.clone()).expect("a state machine without a snapshot");
        Ok(((), log, machine))
    }
}

#[test]
fn the_store_passes_the_test_suite_of_the_consensus_crate() {
    Suite::test_all(InMemoryStoreBuilder).expect("all tests of the suite pass");
}

fn entry(index: u64) -> Entry<Types> {
    let commands = vec![Command::RaiseTokenFloor { token: index }];
    Entry { log_id: LogId::new(CommittedLeaderId::new(1, 1), index), payload: EntryPayload::Normal(commands) }
}

/// Appends, votes and purges at random until the disk stops. Returns the last index and the vote that were
/// acknowledged, and between them the purged index.
async fn run_random_writes(store: &mut LogStore, rng: &mut StdRng) -> (u64, u64, u64) {
    let state = store.get_log_state().await.expect("in memory");
    let mut last = state.last_log_id.map_or(0, |last| last.index);
    let mut purged = state.last_purged_log_id.map_or(0, |last| last.index);
    let mut vote = store.read_vote().await.expect("in memory").map_or(0, |vote| vote.leader_id().term);
    for _ in 0..60 {
        let is_acknowledged = match rng.random_range(0..10) {
            0 => {
                let is_saved = store.save_vote(&Vote::new(vote + 1, 1)).await.is_ok();
                vote += u64::from(is_saved);
                is_saved
            }
            1 if last > purged + 20 => {
                let up_to = LogId::new(CommittedLeaderId::new(1, 1), purged + 10);
                purged += 10;
                store.purge(up_to).await.is_ok()
            }
            _ => {
                let from = if last == 0 { 0 } else { last + 1 };
                let up_to = from + rng.random_range(0..5);
                let is_appended =
                    store.blocking_append((from..=up_to).map(entry).collect::<Vec<_>>()).await.is_ok();
                last = if is_appended { up_to } else { last };
                is_appended
            }
        };
        if !is_acknowledged {
            break;
        }
    }
    (last, purged, vote)
}

/// The machine stops at a random step, and a random part of the unsynced writes is kept. The store must open
/// again and contain everything that was acknowledged, without a gap.
#[test]
fn acknowledged_writes_survive_a_crash_at_any_step() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default())
        .expect("a runtime");
    let mut crashes = 0;
    for seed in 0..80 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut image, mut last, mut vote) = (Vec::new(), 0, 0);
        for _ in 0..3 {
            let disk = MemoryDisk::new(image);
            disk.stop_in(rng.random_range(20..400), rng.random_bool(0.2));
            let backend = disk.clone();
            let Ok(mut store) = LogStore::open_on_backend(backend, true, Writer::Thread) else {
                // The disk stopped while the store was opened, so nothing was acknowledged since the last
                // crash.
                image = disk.after_crash(&mut rng);
                crashes += 1;
                continue;
            };
            let recovered = runtime.block_on(store.get_log_state()).expect("in memory");
            let recovered_last = recovered.last_log_id.map_or(0, |last| last.index);
            assert!(
                recovered_last >= last,
                "seed {seed}: last index {recovered_last}, {last} was acknowledged"
            );
            let recovered_vote = runtime.block_on(store.read_vote()).expect("in memory");
            let recovered_vote = recovered_vote.map_or(0, |vote| vote.leader_id().term);
            assert!(recovered_vote >= vote, "seed {seed}: vote {recovered_vote}, {vote} was acknowledged");
            let from = recovered.last_purged_log_id.map_or(0, |purged| purged.index + 1);
            let entries = runtime.block_on(store.try_get_log_entries(from..)).expect("in memory");
            assert!(
                entries.iter().zip(from..).all(|(entry, index)| entry.log_id.index == index),
                "seed {seed}: the entries have a gap"
            );
            (last, _, vote) = runtime.block_on(run_random_writes(&mut store, &mut rng));
            image = disk.after_crash(&mut rng);
            crashes += u64::from(disk.has_stopped());
        }
    }
    assert!(crashes > 80, "{crashes} crashes in 240 runs");
}

/// Waits until the log's thread has closed the file cleanly, and returns the contents of the file. A cleanly
/// closed database can be opened read-only; one that needs recovery cannot.
fn read_when_closed(path: &std::path::Path) -> Vec<u8> {
    let started_at = std::time::Instant::now();
    while redb::ReadOnlyDatabase::open(path).is_err() {
        assert!(started_at.elapsed().as_secs() < 30, "the database is not closed");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    std::fs::read(path).expect("the file is read")
}

/// A record of the log is damaged. Opening the store fails with an error that names the file, the record and
/// its offset, and the file is not changed.
#[test]
fn damage_is_reported_with_file_and_offset_and_nothing_is_changed() {
    let folder = std::env::temp_dir().join(format!("marblecroft-damage-{}", std::process::id()));
    let path = folder.join("log.redb");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default())
        .expect("a runtime");
    let mut store = LogStore::open(&folder).expect("a new store");
    let entries: Vec<_> = (0..200).map(entry).collect();
    runtime.block_on(store.blocking_append(entries)).expect("the entries are appended");
    // Damage in the last commit alone is treated as a torn write, so more commits follow.
    for index in 200..204 {
        runtime.block_on(store.blocking_append(vec![entry(index)])).expect("the entry is appended");
    }
    // The file as a killed process leaves it, and as a process leaves it that exits cleanly.
    let unclean = std::fs::read(&path).expect("the file is read");
    drop(store);
    // The store's thread closes the file after the store is dropped.
    read_when_closed(&path);
    std::fs::write(&path, &unclean).expect("the file is written");
    drop(LogStore::open(&folder).expect("the store recovers"));
    let clean = read_when_closed(&path);
    let record = postcard::to_stdvec(&entry(150)).expect("an encoded entry");
    for (mut image, is_clean) in [(clean, true), (unclean, false)] {
        let matches = |offset: &usize| image[*offset..*offset + record.len()] == record;
        let offsets: Vec<usize> = (0..image.len() - record.len()).filter(matches).collect();
        assert!(!offsets.is_empty());
        for offset in &offsets {
            image[offset + record.len() - 1] ^= 0x10;
        }
        std::fs::write(&path, &image).expect("the file is written");
        let error = LogStore::open(&folder).err().expect("damage");
        let error = error.to_string();
        assert!(error.starts_with(&path.display().to_string()) && !error.contains('\n'), "{error}");
        // If the file was not closed cleanly, the database crate detects the damage itself, and its error
        // contains no offset. Otherwise, the reported offset is that of the record's checksum, 4 bytes before
        // the encoded entry.
        let has_offset = offsets.iter().any(|offset| error.contains(&format!("byte {}", offset - 4)));
        let names_record = error.contains("entry 150: its checksum is wrong") && has_offset;
        assert_eq!(names_record, is_clean, "{error} {offsets:?}");
        assert!(std::fs::read(&path).expect("the file is read") == image, "the file is not changed");
    }
    drop(std::fs::remove_dir_all(&folder));
}
