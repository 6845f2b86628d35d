//! The log's store: the consensus crate's own suite for stores, and disks that crash, tear and fail.

use marblecroft_coordination::disk::MemoryDisk as Disk;
use marblecroft_coordination::raft::{Machine, NodeId, Types};
use marblecroft_coordination::state::Command;
use marblecroft_coordination::storage::{LogStore, Writer};
use openraft::storage::{RaftLogStorage, RaftLogStorageExt};
use openraft::testing::{StoreBuilder, Suite};
use openraft::{CommittedLeaderId, Entry, EntryPayload, LogId, RaftLogReader, StorageError, Vote};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use redb::backends::InMemoryBackend;

struct Memory;

impl StoreBuilder<Types, LogStore, Machine> for Memory {
    async fn build(&self) -> Result<((), LogStore, Machine), StorageError<NodeId>> {
        // Built on a thread that waits: it is opened before there is a runtime.
        let log = std::thread::spawn(|| {
            LogStore::open_on_backend(InMemoryBackend::new(), true, Writer::Thread).expect("opens")
        });
        let log = log.join().expect("no panic");
        let machine = Machine::open(log.clone()).expect("no snapshot");
        Ok(((), log, machine))
    }
}

#[test]
fn it_passes_the_consensus_crates_own_suite() {
    Suite::test_all(Memory).expect("all of it");
}

fn entry(index: u64) -> Entry<Types> {
    let commands = vec![Command::Floor { token: index }];
    Entry { log_id: LogId::new(CommittedLeaderId::new(1, 1), index), payload: EntryPayload::Normal(commands) }
}

/// Appends, votes, cuts and purges until the disk stops; the last index, the cut, and the vote that were acknowledged.
async fn work(store: &mut LogStore, rng: &mut StdRng) -> (u64, u64, u64) {
    let state = store.get_log_state().await.expect("in memory");
    let mut last = state.last_log_id.map_or(0, |last| last.index);
    let mut purged = state.last_purged_log_id.map_or(0, |last| last.index);
    let mut vote = store.read_vote().await.expect("in memory").map_or(0, |vote| vote.leader_id().term);
    for _ in 0..60 {
        let done = match rng.random_range(0..10) {
            0 => {
                let kept = store.save_vote(&Vote::new(vote + 1, 1)).await.is_ok();
                vote += u64::from(kept);
                kept
            }
            1 if last > purged + 20 => {
                let upto = LogId::new(CommittedLeaderId::new(1, 1), purged + 10);
                purged += 10;
                store.purge(upto).await.is_ok()
            }
            _ => {
                let from = if last == 0 { 0 } else { last + 1 };
                let upto = from + rng.random_range(0..5);
                let kept = store.blocking_append((from..=upto).map(entry).collect::<Vec<_>>()).await.is_ok();
                last = if kept { upto } else { last };
                kept
            }
        };
        if !done {
            break;
        }
    }
    (last, purged, vote)
}

/// Whatever step the machine stops at, and whatever of the unsynced writes is kept: the store opens again, and what was
/// acknowledged is there, without a hole.
#[test]
fn what_was_acknowledged_survives_a_crash_at_any_step() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default())
        .expect("a runtime");
    let mut crashes = 0;
    for seed in 0..80 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut image, mut last, mut vote) = (Vec::new(), 0, 0);
        for _ in 0..3 {
            let disk = Disk::new(image);
            disk.stop_in(rng.random_range(20..400), rng.random_bool(0.2));
            let opened = disk.clone();
            let Ok(mut store) = LogStore::open_on_backend(opened, true, Writer::Thread) else {
                // It stopped while it was opened: nothing was acknowledged in this life.
                image = disk.after_crash(&mut rng);
                crashes += 1;
                continue;
            };
            let before = runtime.block_on(store.get_log_state()).expect("in memory");
            let held = before.last_log_id.map_or(0, |last| last.index);
            assert!(held >= last, "seed {seed}: {held} of {last} acknowledged entries");
            let kept = runtime.block_on(store.read_vote()).expect("in memory");
            let kept = kept.map_or(0, |vote| vote.leader_id().term);
            assert!(kept >= vote, "seed {seed}: vote {kept}, and {vote} was acknowledged");
            let from = before.last_purged_log_id.map_or(0, |purged| purged.index + 1);
            let entries = runtime.block_on(store.try_get_log_entries(from..)).expect("in memory");
            assert!(
                entries.iter().zip(from..).all(|(entry, index)| entry.log_id.index == index),
                "seed {seed}"
            );
            (last, _, vote) = runtime.block_on(work(&mut store, &mut rng));
            image = disk.after_crash(&mut rng);
            crashes += u64::from(disk.has_stopped());
        }
    }
    assert!(crashes > 80, "{crashes} crashes in 240 lives");
}

/// The file once the log's thread has let go of it in order: then it can be opened for reading alone, which a store that needs
/// recovery cannot.
fn closed(path: &std::path::Path) -> Vec<u8> {
    let begun = std::time::Instant::now();
    while redb::ReadOnlyDatabase::open(path).is_err() {
        assert!(begun.elapsed().as_secs() < 30, "it is not closed");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    std::fs::read(path).expect("there")
}

/// A log with a spoilt record: the start ends with the file's name, the record and its place, and not a byte is changed.
#[test]
fn damage_names_the_file_and_the_place_and_touches_nothing() {
    let folder = std::env::temp_dir().join(format!("marblecroft-damage-{}", std::process::id()));
    let path = folder.join("log.redb");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default())
        .expect("a runtime");
    let mut store = LogStore::open(&folder).expect("a new one");
    let entries: Vec<_> = (0..200).map(entry).collect();
    runtime.block_on(store.blocking_append(entries)).expect("written");
    // What is spoilt in the last commit alone is taken for a torn write, as everywhere: so more follow.
    for index in 200..204 {
        runtime.block_on(store.blocking_append(vec![entry(index)])).expect("written");
    }
    // As a process that is killed leaves it, and as one that ended in order.
    let killed = std::fs::read(&path).expect("there");
    drop(store);
    // The store's thread closes the file after the store is dropped.
    closed(&path);
    std::fs::write(&path, &killed).expect("written");
    drop(LogStore::open(&folder).expect("it recovers"));
    let good = closed(&path);
    let record = postcard::to_stdvec(&entry(150)).expect("bytes");
    for (mut image, in_order) in [(good, true), (killed, false)] {
        let found = |at: &usize| image[*at..*at + record.len()] == record;
        let places: Vec<usize> = (0..image.len() - record.len()).filter(found).collect();
        assert!(!places.is_empty());
        for at in &places {
            image[at + record.len() - 1] ^= 0x10;
        }
        std::fs::write(&path, &image).expect("written");
        let error = LogStore::open(&folder).err().expect("damage");
        let error = error.to_string();
        assert!(error.starts_with(&path.display().to_string()) && !error.contains('\n'), "{error}");
        // A store that was not closed in order is looked through by the crate that keeps it, which names no place. The record
        // begins with its checksum, before what was looked for.
        let named = places.iter().any(|at| error.contains(&format!("byte {}", at - 4)));
        let ours = error.contains("entry 150: its checksum is wrong") && named;
        assert_eq!(ours, in_order, "{error} {places:?}");
        assert!(std::fs::read(&path).expect("there") == image, "nothing is touched");
    }
    drop(std::fs::remove_dir_all(&folder));
}
